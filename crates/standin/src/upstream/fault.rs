//! What goes wrong with an upstream.

use std::time::Duration;

/// What goes wrong. With nothing set all is well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every request fails at once with 500; it counts as run.
    pub fails_fast: bool,
    /// Every request is refused as not run.
    pub refuses: bool,
    /// Every request takes this much longer.
    pub slower: Duration,
    /// Answers are odd in this way.
    pub oddity: Option<Oddity>,
}

/// Ways in which an answer can be wrong; the request has run all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Oddity {
    /// The answer comes before the request has been read.
    Early,
    /// The answer comes twice.
    Twice,
    /// The answer names another request.
    WrongId,
    /// The answer ends in the middle of its body, and the connection with it.
    HalfBody,
    /// The connection ends without an answer.
    Closes,
    /// No answer comes.
    Silent,
    /// The answer has both a length and chunks.
    TwoLengths,
    /// The answer never ends.
    Endless,
}
