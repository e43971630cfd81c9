//! Snapshots of the table's state in the object store, so that a new entry need not scan.
//!
//! * [`Image`]: the rows at one position, kept up to date by changes.
//! * [`encode`], [`decode`]: an image as a checksummed object.
//! * [`write`](fn@write): puts an image into the object store and removes old ones.
//! * [`restore`]: the newest good snapshot and the changes since, or a scan.
//!
//! docs/design/snapshots.md has the reasons.

mod codec;
mod image;
mod restore;
mod write;

pub use codec::Refusal;
pub use codec::decode;
pub use codec::encode;
pub use image::Image;
pub use restore::Restored;
pub use restore::Source;
pub use restore::restore;
pub use restore::restore_again;
pub use write::Written;
pub use write::write;

use crate::table::Position;

/// The version of the format that this code writes and reads.
pub const FORMAT: u32 = 1;
/// How all names of snapshots start.
pub const PREFIX: &str = "snapshots/";

/// The name of the snapshot at a position. Names sort as positions do.
pub fn name(position: Position) -> String {
    format!("{PREFIX}{FORMAT}/{:020}", position.0)
}

/// The position in a snapshot's name; nothing if the name is not one of this format.
pub fn position(name: &str) -> Option<Position> {
    let digits = name.strip_prefix(PREFIX)?.strip_prefix(&format!("{FORMAT}/"))?;
    let plain = digits.len() == 20 && digits.bytes().all(|byte| byte.is_ascii_digit());
    plain.then(|| digits.parse().ok().map(Position)).flatten()
}
