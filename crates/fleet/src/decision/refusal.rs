//! Reasons for which a decision is refused.

use derive_more::Display;
use quick_error::quick_error;

use crate::instance::State;
use crate::job::Trust;
use crate::wave::Phase;

/// Kinds of entity that a decision can refer to.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Entity {
    /// An instance.
    #[display("instance")]
    Instance,
    /// A pool.
    #[display("pool")]
    Pool,
    /// A wave.
    #[display("wave")]
    Wave,
    /// A job.
    #[display("job")]
    Job,
    /// A team.
    #[display("team")]
    Team,
}

quick_error! {
    /// Why a decision is refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Refusal {
        /// The entity that the decision refers to doesn't exist, or no longer exists.
        Unknown(entity: Entity) {
            display("no such {}", entity)
        }
        /// The state of the instance doesn't allow the decision.
        State(instance: String, state: State) {
            display("instance {} is {}", instance, state)
        }
        /// The instance is already out of service for another purpose.
        Busy(instance: String, purpose: String) {
            display("instance {} is out for: {}", instance, purpose)
        }
        /// The pool would have fewer ready instances than its `min_ready`.
        Budget(pool: String, ready: u32, min_ready: u32) {
            display("pool {} would have {} ready and promises {}", pool, ready, min_ready)
        }
        /// The failure of the pool's largest rack (`rack` ready instances) would then leave fewer
        /// ready instances than its `min_ready`.
        Rack(pool: String, ready: u32, rack: u32, min_ready: u32) {
            display(
                "pool {} would have {} ready, {} of them in one rack, and promises {}",
                pool, ready, rack, min_ready
            )
        }
        /// Too many instances of the pool appear to have failed at once for the failure signal to
        /// be trusted.
        Doubt(pool: String, failed: u32, members: u32) {
            display("{} of {} instances of pool {} look failed at once", failed, members, pool)
        }
        /// The instance already belongs to that pool.
        SamePool(instance: String, pool: String) {
            display("instance {} is in pool {} already", instance, pool)
        }
        /// The pool isn't a spare pool.
        NotSpare(pool: String) {
            display("pool {} is not a spare pool", pool)
        }
        /// The decision would change nothing.
        Nothing {
            display("nothing to change")
        }
        /// The phase of the wave doesn't allow the decision.
        Phase(wave: String, phase: Phase) {
            display("wave {} is {}", wave, phase)
        }
        /// The wave covers no instance.
        Empty(wave: String) {
            display("wave {} covers no instance", wave)
        }
        /// The instance isn't covered or being maintained by this run of the wave.
        NotCovered(instance: String, wave: String) {
            display("instance {} is not covered by wave {}", instance, wave)
        }
        /// The instance isn't serving, so no attempt can start there.
        NotServing(instance: String) {
            display("instance {} is not serving", instance)
        }
        /// A job with this name already exists.
        JobExists(job: String) {
            display("a job named {} already exists", job)
        }
        /// The state of the job doesn't allow the decision.
        JobState(job: String, state: &'static str) {
            display("job {} is {}", job, state)
        }
        /// An attempt of the job may have run, and the job must not run twice.
        MayNotRepeat(job: String) {
            display("job {} may not run twice", job)
        }
        /// The instance's unreserved resources are too small for the attempt.
        NoRoom(instance: String) {
            display("instance {} has no room for the attempt", instance)
        }
        /// The trust state of the instance's worker doesn't allow the decision.
        Standing(instance: String, trust: Trust) {
            display("the trust state of the worker of {} is {}", instance, trust)
        }
    }
}
