//! What the systems want done, in one closed type, and what each decision changes.

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

/// One decision. It takes effect only once its [`Change`]s are recorded.
#[derive(Clone, Debug, PartialEq, From)]
pub enum Decision {
    /// About a pool or one of its instances.
    Pool(pool::Decision),
    /// About a maintenance wave.
    Wave(wave::Decision),
    /// About a job.
    Job(job::Decision),
}

/// The new values that carry `decision` out, or why it may not be carried out.
///
/// The changes belong into one transaction, conditional on the versions of the rows that they
/// replace. Two decisions that spend the same pool's budget both change that pool, so that only one
/// of them gets through and the other is weighed again.
pub fn effect(world: &World, decision: &Decision, now: Time) -> Result<Vec<Change>, Refusal> {
    match decision {
        Decision::Pool(decision) => pool::effect(world, decision, now),
        Decision::Wave(decision) => wave::effect(world, decision, now),
        Decision::Job(decision) => job::effect(world, decision, now),
    }
}
