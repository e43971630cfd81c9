//! Brings a new entry up to the table's present state.

use std::time::Duration;

use derive_more::Display;
use rand::Rng;

use crate::Error;
use crate::backoff::Backoff;
use crate::object::Store;
use crate::rest;
use crate::table::Position;
use crate::table::Row;
use crate::table::Table;
use crate::wait::Wait;

use super::Image;
use super::Refusal;
use super::decode;
use super::position;
use super::write::names;

/// Snapshots that are tried before a scan.
const TRIES: usize = 3;
/// Pages of changes after which a scan is cheaper.
const CHANGES_PAGES: usize = 64;

/// Pages of changes after which the table is given up on.
const PAGES_MAX: usize = 4_096;
/// Attempts of [`restore_again`].
const ATTEMPTS: u32 = 12;

/// Where a restored image came from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Source {
    /// A snapshot at this position, and the changes since.
    #[display("snapshot {_0}")]
    Snapshot(Position),
    /// A scan of the whole table.
    #[display("scan")]
    Scan,
}

/// A restored image and how it came about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restored {
    /// The table's state.
    pub image: Image,
    /// Where it came from.
    pub source: Source,
    /// Snapshots that were passed over, newest first.
    pub refused: Vec<(String, Refusal)>,
    /// Reads that it took.
    pub reads: u32,
}

/// The newest good snapshot and the changes since, or a scan where there is none that the changes
/// reach back to.
///
/// The image is never older than `known`, a position that this entry or its peers have seen: where
/// the platform answers from an older state, this fails and is to be tried again.
pub async fn restore<T: Table, S: Store>(
    table: &T,
    store: &S,
    known: Position,
) -> Result<Restored, Error> {
    let mut progress = Progress::default();
    if let Some(image) = progress.snapshot(store).await
        && let Some(caught_up) = progress.catch_up(table, image.clone(), CHANGES_PAGES).await?
    {
        return progress.finish(caught_up, Source::Snapshot(image.position()), known);
    }
    let image = progress.scan(table).await?;
    progress.finish(image, Source::Scan, known)
}

/// [`restore`] again and again, with growing pauses whose jitter spreads a data centre's entries
/// that start at once.
pub async fn restore_again<T: Table, S: Store, W: Wait>(
    table: &T,
    store: &S,
    known: Position,
    wait: &W,
    random: &mut (impl Rng + Send),
) -> Result<Restored, Error> {
    let mut backoff = Backoff::new(Duration::from_millis(200), Duration::from_secs(5));
    let mut attempt = 0;
    loop {
        attempt += 1;
        match restore(table, store, known).await {
            Ok(restored) => return Ok(restored),
            Err(error) if attempt == ATTEMPTS => return Err(error),
            Err(error) => tracing::warn!(event = "restore-failed", attempt, reason = %error),
        }
        wait.wait(backoff.next(random)).await;
    }
}

#[derive(Debug, Default)]
struct Progress {
    refused: Vec<(String, Refusal)>,
    reads: u32,
}

impl Progress {
    /// The newest good snapshot. An object store that is out is as one with none.
    async fn snapshot<S: Store>(&mut self, store: &S) -> Option<Image> {
        self.reads += 1;
        let names = names(store).await.ok()?;
        for name in names.iter().rev().take(TRIES) {
            self.reads += 1;
            match read(store, name).await {
                Ok(image) => return Some(image),
                Err(refusal) => {
                    tracing::warn!(event = "snapshot-refused", name, reason = %refusal);
                    self.refused.push((name.clone(), refusal));
                }
            }
        }
        None
    }

    /// Takes in the changes since the image's position, up to so many pages; nothing if they do not
    /// reach back or are more.
    async fn catch_up<T: Table>(
        &mut self,
        table: &T,
        mut image: Image,
        pages: usize,
    ) -> Result<Option<Image>, Error> {
        for _ in 0..pages {
            self.reads += 1;
            let changes = table.changes("", image.position(), rest::PAGE).await?;
            if changes.truncated {
                return Ok(None);
            }
            let last = changes.changes.len() < rest::PAGE;
            image.apply(changes);
            if last {
                return Ok(Some(image));
            }
        }
        Ok(None)
    }

    /// Reads all rows. They come from different moments, so the changes since before the first page
    /// are taken in afterwards. A table whose changes reach back to its beginning needs no scan.
    async fn scan<T: Table>(&mut self, table: &T) -> Result<Image, Error> {
        self.reads += 1;
        let all = table.changes("", Position::default(), rest::PAGE).await?;
        let image = if all.truncated {
            Image::new(all.position, self.rows(table).await?)
        } else {
            let mut image = Image::default();
            image.apply(all);
            image
        };
        let caught_up = self.catch_up(table, image, PAGES_MAX).await?;
        caught_up
            .ok_or_else(|| Error::Unavailable("the table changes faster than this reads".into()))
    }

    async fn rows<T: Table>(&mut self, table: &T) -> Result<Vec<Row>, Error> {
        let mut rows = Vec::new();
        let mut after = String::new();
        loop {
            self.reads += 1;
            let page = table.scan("", &after, rest::PAGE).await?;
            let last = page.len() < rest::PAGE;
            if let Some(row) = page.last() {
                after.clone_from(&row.key);
            }
            rows.extend(page);
            if last {
                return Ok(rows);
            }
        }
    }

    fn finish(self, image: Image, source: Source, known: Position) -> Result<Restored, Error> {
        let position = image.position();
        if position < known {
            return Err(Error::Unavailable(format!("stale: at {position}, known {known}")));
        }
        tracing::info!(event = "restored", %source, %position, rows = image.len(), reads = self.reads);
        Ok(Restored { image, source, refused: self.refused, reads: self.reads })
    }
}

async fn read<S: Store>(store: &S, name: &str) -> Result<Image, Refusal> {
    let object = store.get(name).await.map_err(|error| Refusal::Read(error.to_string()))?;
    let object = object.ok_or_else(|| Refusal::Read("gone".to_owned()))?;
    let image = decode(&object)?;
    if position(name) != Some(image.position()) {
        return Err(Refusal::Name);
    }
    Ok(image)
}
