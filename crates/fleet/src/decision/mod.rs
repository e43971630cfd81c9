//! Decisions of the planners and of operators, and the changes that carry them out.

mod line;
mod refusal;

pub use line::line;
pub use refusal::Entity;
pub use refusal::Refusal;

use derive_more::From;

use crate::job;
use crate::pool;
use crate::time::Time;
use crate::wave;
use crate::world::Change;
use crate::world::World;

/// A decision. It takes effect only once its [`Change`]s are stored.
#[derive(Clone, Debug, PartialEq, From)]
pub enum Decision {
    /// Concerns a pool or one of its instances.
    Pool(pool::Decision),
    /// Concerns a maintenance wave.
    Wave(wave::Decision),
    /// Concerns a job.
    Job(job::Decision),
}

/// Returns the changes that carry out `decision`, or why it is refused.
///
/// The changes must be stored in one transaction, conditional on the versions of the rows that they
/// replace. Two decisions that spend the budget of one pool both change that pool, so that only one
/// transaction succeeds and the other decision is evaluated again.
pub fn effect(world: &World, decision: &Decision, now: Time) -> Result<Vec<Change>, Refusal> {
    match decision {
        Decision::Pool(decision) => pool::effect(world, decision, now),
        Decision::Wave(decision) => wave::effect(world, decision, now),
        Decision::Job(decision) => job::effect(world, decision, now),
    }
}
