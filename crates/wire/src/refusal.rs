//! Why a frame is rejected.

use derive_more::Display;

/// Why a frame is rejected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The frame exceeds the size limit of its transport.
    #[display("huge")]
    Huge,
    /// The bytes are truncated or not an encoded frame.
    #[display("malformed")]
    Malformed,
    /// The sender's protocol version is too old, or the frame requires a newer one than this.
    #[display("version")]
    Version,
    /// The frame is signed with a key whose identifier is not configured.
    #[display("stranger")]
    Stranger,
    /// The MAC has the wrong length or does not match.
    #[display("forged")]
    Forged,
    /// A field is out of bounds, such as an empty or long name or lists of unequal length.
    #[display("out-of-bounds")]
    OutOfBounds,
    /// A frame with this sequence number was received before, or the number is too old to tell.
    #[display("replayed")]
    Replayed,
    /// The frame is addressed to another incarnation of this process.
    #[display("other-life")]
    OtherLife,
    /// The frame is from an earlier incarnation of its sender.
    #[display("past-life")]
    PastLife,
    /// The sender's name is this process's own.
    #[display("own-name")]
    OwnName,
    /// The sender is not a known member yet, or belongs to another region.
    #[display("unknown-sender")]
    UnknownSender,
}
