//! Puts an image into the object store.

use crate::Error;
use crate::object::Store;
use crate::rest;
use crate::table::Position;

use super::Image;
use super::PREFIX;
use super::decode;
use super::encode;
use super::name;
use super::position;

/// What became of an image.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// It is there and was read back; so many older ones were removed.
    Done {
        /// How many older ones were removed.
        removed: usize,
    },
    /// A snapshot at this position is there already, at least as new.
    Older(Position),
}

/// Puts an image into the object store, reads it back, and then removes all but the newest `keep`.
///
/// Any entry may write at any time: one position has one name and one content, and an older image
/// is not written over a newer one. Nothing is removed before the new one was read back whole.
pub async fn write<S: Store>(store: &S, image: &Image, keep: usize) -> Result<Written, Error> {
    let newest = names(store).await?.pop();
    if let Some(there) = newest.as_deref().and_then(position)
        && there >= image.position()
    {
        return Ok(Written::Older(there));
    }
    let object = encode(image);
    if object.len() > rest::OBJECT_BYTES {
        return Err(Error::Malformed(format!("a snapshot of {} bytes is too large", object.len())));
    }
    let name = name(image.position());
    match store.put(&name, &object).await {
        // A lost reply: whether it is there shows when it is read back.
        Ok(()) | Err(Error::Unknown(_)) => {}
        Err(error) => return Err(error),
    }
    let back = store.get(&name).await?;
    if back.is_none_or(|back| decode(&back).as_ref() != Ok(image)) {
        return Err(Error::Unavailable("the snapshot could not be read back".to_owned()));
    }
    let removed = prune(store, keep.max(1)).await;
    Ok(Written::Done { removed })
}

/// Names of snapshots of this format, oldest first.
pub(super) async fn names<S: Store>(store: &S) -> Result<Vec<String>, Error> {
    let mut names = store.list(PREFIX).await?;
    names.retain(|name| position(name).is_some());
    names.sort();
    Ok(names)
}

/// Removes all but the newest `keep`. What cannot be removed now is removed after the next write.
async fn prune<S: Store>(store: &S, keep: usize) -> usize {
    let Ok(names) = names(store).await else { return 0 };
    let mut removed = 0;
    for name in &names[..names.len().saturating_sub(keep)] {
        removed += usize::from(store.remove(name).await.is_ok());
    }
    removed
}
