//! Which tasks slow each other down on one instance.

mod evidence;
mod sample;

pub use evidence::Evidence;
pub use evidence::Key;
pub use evidence::Pair;
pub use evidence::Verdict;
