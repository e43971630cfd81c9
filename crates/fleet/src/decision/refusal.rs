//! Why a decision may not be carried out.

use derive_more::Display;
use quick_error::quick_error;

use crate::instance::State;
use crate::job::Trust;
use crate::wave::Phase;

/// The kinds of entity that a decision can name.
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
    /// Why a decision may not be carried out.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Refusal {
        /// What it is about is not known, or is no more.
        Unknown(entity: Entity) {
            display("no such {}", entity)
        }
        /// The instance is in a state from which there is no such step.
        State(instance: String, state: State) {
            display("instance {} is {}", instance, state)
        }
        /// Something else has the instance out.
        Busy(instance: String, purpose: String) {
            display("instance {} is out for: {}", instance, purpose)
        }
        /// The pool would have fewer instances ready than it promises.
        Budget(pool: String, ready: u32, min_ready: u32) {
            display("pool {} would have {} ready and promises {}", pool, ready, min_ready)
        }
        /// The next failure of a rack would leave fewer ready than the pool promises.
        Rack(pool: String, ready: u32, rack: u32, min_ready: u32) {
            display(
                "pool {} would have {} ready, {} of them in one rack, and promises {}",
                pool, ready, rack, min_ready
            )
        }
        /// So many look failed at once that the signal is doubted.
        Doubt(pool: String, failed: u32, members: u32) {
            display("{} of {} instances of pool {} look failed at once", failed, members, pool)
        }
        /// The instance is in that pool already.
        SamePool(instance: String, pool: String) {
            display("instance {} is in pool {} already", instance, pool)
        }
        /// The pool is not a spare one.
        NotSpare(pool: String) {
            display("pool {} is not a spare pool", pool)
        }
        /// Nothing would change.
        Nothing {
            display("nothing to change")
        }
        /// The wave is in a phase from which there is no such step.
        Phase(wave: String, phase: Phase) {
            display("wave {} is {}", wave, phase)
        }
        /// The wave covers no pool that is known.
        Empty(wave: String) {
            display("wave {} covers no instance", wave)
        }
        /// The instance's maintenance is not this wave's.
        NotCovered(instance: String, wave: String) {
            display("instance {} is not covered by wave {}", instance, wave)
        }
        /// The instance is not serving, so that nothing can start there.
        NotServing(instance: String) {
            display("instance {} is not serving", instance)
        }
        /// A job of this name exists.
        JobExists(job: String) {
            display("a job named {} exists", job)
        }
        /// The job is in a state from which there is no such step.
        JobState(job: String, state: &'static str) {
            display("job {} is {}", job, state)
        }
        /// The job's attempt may have run, and the job may not run twice.
        MayNotRepeat(job: String) {
            display("job {} may not run twice", job)
        }
        /// What is booked at the instance leaves no room for it.
        NoRoom(instance: String) {
            display("instance {} has no room for it", instance)
        }
        /// The worker's standing leaves no such step.
        Standing(instance: String, standing: Trust) {
            display("the worker of {} is in standing {}", instance, standing)
        }
    }
}
