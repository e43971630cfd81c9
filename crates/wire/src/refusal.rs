//! Why a frame is not taken.

use derive_more::Display;

/// Why a frame is not taken.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// It is larger than its kind may be.
    #[display("huge")]
    Huge,
    /// It ends too early, or is no frame at all.
    #[display("malformed")]
    Malformed,
    /// The sender speaks a version that is too old, or one that this code cannot follow.
    #[display("version")]
    Version,
    /// It is signed with a key that the settings do not have.
    #[display("stranger")]
    Stranger,
    /// Its MAC is wrong.
    #[display("forged")]
    Forged,
    /// It breaks a bound: an empty or long name, lists of unequal length.
    #[display("out-of-bounds")]
    OutOfBounds,
    /// It came before.
    #[display("replayed")]
    Replayed,
    /// It is for another life of this process.
    #[display("other-life")]
    OtherLife,
    /// It is from an earlier life of its sender.
    #[display("past-life")]
    PastLife,
    /// It bears this process's own name.
    #[display("own-name")]
    OwnName,
    /// Its sender is not known here yet, or is of another region.
    #[display("unknown-sender")]
    UnknownSender,
}
