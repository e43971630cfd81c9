//! The scheduler: jobs, instances and machines, and what is to be done about them.
//!
//! Events come in by [`Core::submit`], [`Core::cancel`], [`Core::list`], [`Core::look`],
//! [`Core::answer`], [`Core::machines`] and [`Core::tick`]. [`Core::plan`] places tasks. A place
//! goes into the store by [`Core::snapshot`] before [`Core::written`] lets its order out.

mod demand;
mod dirty;
mod disruption;
mod end;
mod expiry;
mod instances;
mod machines;
mod moves;
mod operations;
mod placement;
mod restore;
mod submit;
mod throttle;
mod tick;
mod unrecorded;
mod wave;
mod write;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;

pub use expiry::ExpiryChange;
pub use instances::Sent;
pub use operations::Call;
pub use restore::Stored;
pub use restore::unix_to_local;
pub use submit::Cancellation;
pub use submit::Rejection;
pub use submit::Verdict;
pub use write::BodyChange;
pub use write::Row;

use crate::Command;
use crate::Config;
use crate::Tuning;
use crate::instance;
use crate::instance::Instance;
use crate::job::Id;
use crate::job::Job;
use crate::job::Phase;
use crate::job::State;
use crate::job::TaskKey;
use crate::machine;

/// The scheduler.
#[derive(Debug)]
pub struct Core {
    tuning: Tuning,
    config: Config,
    /// When this scheduler took over.
    since: Time,
    /// How long its predecessor may have gone on granting.
    overlap: Duration,
    /// Whether its predecessor may have started tasks that the store does not tell of.
    unrecorded_starts: bool,
    jobs: BTreeMap<Id, Job>,
    /// Jobs that are accepted and not ended.
    active: BTreeSet<Id>,
    /// Jobs that may have tasks to place.
    schedulable: BTreeSet<Id>,
    /// When the next occurrence of a repeated job is due.
    occurrences: BTreeSet<(Time, Id)>,
    instances: Vec<Instance>,
    keys: BTreeMap<String, instance::Key>,
    /// Instances by service.
    pools: BTreeMap<String, BTreeSet<instance::Key>>,
    /// Jobs that differ from what the store holds.
    dirty: dirty::Dirty,
    /// Jobs that the write under way covers.
    writing: Vec<Id>,
    /// Whether the write under way covers all that was dirty, and so all ends taken in.
    covers_all: bool,
    /// Jobs to forget, here and in the store.
    deletions: Vec<Id>,
    /// Those of them that the write under way drops.
    deleting: Vec<Id>,
    /// Calls to send.
    commands: Vec<Command>,
    estimators: BTreeMap<String, demand::Estimator>,
    demand: BTreeMap<String, demand::Pool>,
    machines: BTreeMap<String, machine::Machine>,
    waves: BTreeMap<u64, machine::Progress>,
    operations: operations::Tracker,
}

impl Core {
    /// A scheduler that takes over at `now` and knows nothing yet.
    pub fn open(now: Time, tuning: Tuning) -> Self {
        Self {
            tuning,
            config: Config::default(),
            since: now,
            overlap: tuning.leader_lease,
            unrecorded_starts: false,
            jobs: BTreeMap::new(),
            active: BTreeSet::new(),
            schedulable: BTreeSet::new(),
            occurrences: BTreeSet::new(),
            instances: Vec::new(),
            keys: BTreeMap::new(),
            pools: BTreeMap::new(),
            dirty: dirty::Dirty::default(),
            writing: Vec::new(),
            covers_all: false,
            deletions: Vec::new(),
            deleting: Vec::new(),
            commands: Vec::new(),
            estimators: BTreeMap::new(),
            demand: BTreeMap::new(),
            machines: BTreeMap::new(),
            waves: BTreeMap::new(),
            operations: operations::Tracker::default(),
        }
    }

    /// Notes for how long the predecessor had not proved its office when this scheduler took over,
    /// if it had not ended; it may grant for the rest of the time that it may be without proof.
    pub fn set_overlap(&mut self, vacant: Option<Duration>) {
        self.overlap = match vacant {
            Some(vacant) => self.tuning.leader_lease.saturating_sub(vacant),
            None => Duration::ZERO,
        };
    }

    /// When it took over.
    pub const fn since(&self) -> Time {
        self.since
    }

    /// Its weights and limits.
    pub const fn tuning(&self) -> &Tuning {
        &self.tuning
    }

    /// The configuration in force.
    pub const fn config(&self) -> &Config {
        &self.config
    }

    /// Puts a newer configuration in force; whether it was newer.
    pub fn configure(&mut self, config: Config) -> bool {
        if config.version <= self.config.version {
            return false;
        }
        for job in self.jobs.values_mut() {
            if let Some(queue) = config.queues.get(&job.queue) {
                job.service.clone_from(&queue.service);
            }
        }
        self.config = config;
        self.schedulable.extend(self.active.iter().copied());
        true
    }

    /// Takes the calls to send.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// An instance.
    pub fn instance(&self, key: instance::Key) -> &Instance {
        &self.instances[u32::from(key) as usize]
    }

    fn instance_mut(&mut self, key: instance::Key) -> &mut Instance {
        &mut self.instances[u32::from(key) as usize]
    }

    /// All instances ever seen in this reign.
    pub fn instances(&self) -> impl Iterator<Item = (instance::Key, &Instance)> {
        self.instances.iter().enumerate().map(|(place, runner)| ((place as u32).into(), runner))
    }

    /// Number of instances with tasks.
    pub fn busy_instances(&self) -> usize {
        self.instances.iter().filter(|runner| !runner.tasks.is_empty()).count()
    }

    /// A job.
    pub fn job(&self, id: Id) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Number of accepted jobs of a queue that have not begun.
    pub fn waiting_jobs(&self, queue: &str) -> usize {
        let jobs = self.active.iter().filter_map(|id| self.jobs.get(id));
        jobs.filter(|job| job.queue == queue && !job.begun).count()
    }

    /// Gives up the place of a task, so that it can be placed anew.
    fn unassign(&mut self, now: Time, key: TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let active = job.state == State::Active;
        let step = job.task_name(key.index).step as usize;
        let task = &mut job.tasks[key.index as usize];
        if task.phase == Phase::Done {
            return;
        }
        let runner = task.phase.instance();
        task.phase = if active { Phase::Ready } else { Phase::Waiting };
        task.since = now;
        task.stop_sent_at = None;
        task.over_target_since = None;
        if let Some(runner) = runner {
            let step = &job.spec.steps[step];
            self.instances[u32::from(runner) as usize].book(key, step, false);
        }
        self.dirty.insert(key.job);
        if active {
            self.schedulable.insert(key.job);
        }
    }

    /// The time that `estimate_ms` of a queue's guess is expected to take.
    fn expected_duration(&self, queue: &str, estimate_ms: u64) -> Duration {
        let learnt = self.estimators.get(queue);
        let expected_ms = learnt.map_or(estimate_ms as f64, |queue| queue.expected_ms(estimate_ms));
        Duration::from_secs_f64(expected_ms / 1_000.0)
    }
}
