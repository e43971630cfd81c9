//! The scheduler's state machine over jobs, instances and machines. It does no I/O.
//!
//! Input comes through [`Core::submit`], [`Core::cancel`], [`Core::apply_instances`],
//! [`Core::heartbeat`], [`Core::apply_start_result`], [`Core::apply_machines`] and [`Core::tick`].
//! [`Core::place_tasks`] assigns tasks to instances. [`Core::begin_write`] returns the placements
//! to store, and [`Core::finish_write`] releases their start commands once the store holds them.
//! [`Core::release_unrecorded`] releases them earlier, while the store is unavailable.

mod admission;
mod attribution;
mod availability;
mod backlog;
mod blame;
mod capacity;
mod choice;
mod crash;
mod demand;
mod dirty;
mod disruption;
mod end;
mod expiry;
mod hold;
mod instances;
mod isolation;
mod machines;
mod memory;
mod moves;
mod operations;
mod placement;
mod quota;
mod rank;
mod rate;
mod release;
mod restore;
mod rounds;
mod separation;
mod share;
mod shortage;
mod standing;
mod start_limit;
mod start_result;
mod submit;
mod throttle;
mod tick;
mod unbegun;
mod unrecorded;
mod waiting;
mod wave;
mod write;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;

pub use expiry::ExpiryChange;
pub use instances::MAX_REMOVAL_DELAY;
pub use instances::Sent;
pub use operations::Call;
pub use rate::Beyond;
pub use restore::Stored;
pub use restore::unix_to_local;
pub use standing::Stage;
pub use standing::Standing;
pub use submit::Cancellation;
pub use submit::Rejection;
pub use submit::Submission;
pub use submit::Verdict;
pub use unrecorded::Handover;
pub use waiting::Waits;
pub use wave::WaveRow;
pub use write::Limits;
pub use write::Row;
pub use write::Table;

use crate::Command;
use crate::Config;
use crate::Tuning;
use crate::command::Action;
use crate::instance;
use crate::instance::Instance;
use crate::interference::Evidence;
use crate::job::Id;
use crate::job::Job;
use crate::job::Phase;
use crate::job::State;
use crate::job::TaskKey;
use crate::machine;
use crate::tenant;
use crate::tenant::Tenants;

/// Longest expected duration of a task: sums over the steps of a job still fit.
const MAX_DURATION: Duration = Duration::from_secs(1 << 50);

/// The scheduler's state during one term of a leader.
#[derive(Debug)]
pub struct Core {
    tuning: Tuning,
    config: Config,
    /// Start of the term.
    since: Time,
    /// How long after `since` the previous leader may have granted leases.
    overlap: Duration,
    /// When the longest lease on an instance with tasks ends, as of the last tick or a later restart.
    longest_lease: Time,
    /// How much longer than usual leases of previous leaders may last, from `since` on.
    inherited_excess: Duration,
    /// Whether the previous leader may have started tasks that the store does not record.
    unrecorded_starts: bool,
    /// Tenants that the configuration or a job names.
    tenants: Tenants,
    /// Changed by [`Self::insert_job`] and [`Self::remove_job`] only.
    jobs: BTreeMap<Id, Job>,
    /// Memory that they take up, in bytes.
    job_memory: usize,
    /// Accepted jobs that have not ended.
    active: BTreeSet<Id>,
    /// Those of them that have not begun.
    unbegun: unbegun::Unbegun,
    /// Active jobs of which the store lacks that they have begun. Those that have no other changes go with writes
    /// that have room left.
    newly_begun: dirty::Dirty,
    /// Jobs that may have tasks to place.
    schedulable: BTreeSet<Id>,
    /// Due times of the next occurrences of repeated jobs.
    occurrences: BTreeSet<(Time, Id)>,
    instances: Vec<Instance>,
    /// Instances of which the store holds when their leases expire, or may have to.
    expiries: BTreeSet<instance::Key>,
    /// When the newest complete instance list was requested.
    list_requested_at: Time,
    /// Number of instances with tasks, at the last tick.
    busy: usize,
    /// Keys by instance name.
    keys: BTreeMap<String, instance::Key>,
    /// Listed instances by service.
    pools: BTreeMap<String, BTreeSet<instance::Key>>,
    /// Jobs with changes that the store lacks.
    dirty: dirty::Dirty,
    /// Jobs in the pending write.
    writing: Vec<write::Written>,
    /// Maximum number of rows of the pending write, or of the last one.
    write_rows: usize,
    /// When tasks were last started without a record in the store.
    unrecorded_at: Option<Time>,
    /// When the last write was completed, if changes were left to write then.
    written_at: Option<Time>,
    /// Usual time between two writes while there are changes to write.
    write_interval: Duration,
    /// When jobs past their retention were last looked for.
    deleted_at: Time,
    /// Jobs past their retention, which the store still holds.
    deletions: Vec<write::Deletion>,
    /// Jobs that the pending write deletes.
    deleting: Vec<write::Deletion>,
    isolation: isolation::Isolation,
    /// Commands to send.
    commands: Vec<Command>,
    /// Instances on which tasks were placed although they had not answered lately.
    unseen: BTreeSet<instance::Key>,
    /// Limits the starts under way to what this leader carries out without delay.
    start_limit: start_limit::StartLimit,
    /// Starts that accepted jobs wait for.
    admission: admission::Admission,
    /// Jobs that were rejected.
    rejected: admission::Rejected,
    /// When the caller that was rejected last should come back.
    returns_at: Time,
    /// Jobs that tenants send, beside their rates.
    rates: rate::Rates,
    /// Use of pools by tenants.
    shares: share::Shares,
    /// Tasks that starved jobs may place in their turn while others can be on time.
    starved_credit: f64,
    /// Number of tasks that may still be placed in this round.
    free_starts: usize,
    /// What found no room in this round.
    shortage: shortage::Shortage,
    /// Number of tasks of accepted jobs that have not started, those of long-running and repeated
    /// jobs apart.
    unstarted: usize,
    /// Those of them that are beyond the rates of their tenants.
    unstarted_beyond_rate: usize,
    /// When waiting tasks were last logged.
    waiting_logged_at: Time,
    /// When tasks without a run were last logged.
    standing_logged_at: Time,
    /// Time for which the tasks that had waited longest then had been ready.
    longest_waits: Waits,
    /// What kept the last round of placement from trying some jobs; None if it tried all.
    round_end: Option<waiting::RoundEnd>,
    /// What the rounds of placement have done since they were last logged.
    rounds: rounds::Tally,
    /// When that was.
    rounds_logged_at: Time,
    /// Learnt durations of tasks by queue.
    estimators: BTreeMap<String, demand::Estimator>,
    /// When this leader had restored all jobs, and could accept others. Until then the jobs and instances that
    /// it knows say nothing of those that there are.
    restored_at: Option<Time>,
    /// Demand by service.
    demand: BTreeMap<String, demand::Pool>,
    /// Machines by host, as the platform last listed them.
    machines: BTreeMap<String, machine::Machine>,
    /// Maintenance waves by number.
    waves: BTreeMap<u64, machine::Progress>,
    operations: operations::Tracker,
    /// Instances that are kept free for long-running tasks.
    holds: hold::Holds,
    /// Number of tasks that were taken back because their instances had shrunk.
    taken_back: u64,
    crashes: crash::Tracker,
    /// Which images slow each other down.
    interference: Evidence,
    /// What is known of tenants' use of their caps.
    quota: quota::Quota,
    /// Work of tenants with caps that has been accepted.
    backlogs: backlog::Backlogs,
}

impl Core {
    /// A scheduler without any state, whose term starts at `now`.
    pub fn open(now: Time, tuning: Tuning) -> Self {
        Self {
            tuning,
            config: Config::default(),
            since: now,
            overlap: tuning.leader_lease,
            longest_lease: Time::ZERO,
            inherited_excess: Duration::ZERO,
            unrecorded_starts: false,
            tenants: Tenants::default(),
            jobs: BTreeMap::new(),
            job_memory: 0,
            active: BTreeSet::new(),
            unbegun: unbegun::Unbegun::default(),
            newly_begun: dirty::Dirty::default(),
            schedulable: BTreeSet::new(),
            occurrences: BTreeSet::new(),
            instances: Vec::new(),
            expiries: BTreeSet::new(),
            list_requested_at: Time::ZERO,
            busy: 0,
            keys: BTreeMap::new(),
            pools: BTreeMap::new(),
            dirty: dirty::Dirty::default(),
            writing: Vec::new(),
            write_rows: usize::MAX,
            unrecorded_at: None,
            written_at: None,
            write_interval: Duration::ZERO,
            deleted_at: now,
            deletions: Vec::new(),
            deleting: Vec::new(),
            isolation: isolation::Isolation::default(),
            commands: Vec::new(),
            unseen: BTreeSet::new(),
            start_limit: start_limit::StartLimit::open(now),
            admission: admission::Admission::default(),
            rejected: admission::Rejected::default(),
            returns_at: now,
            rates: rate::Rates::default(),
            shares: share::Shares::default(),
            starved_credit: 0.0,
            free_starts: 0,
            shortage: shortage::Shortage::default(),
            unstarted: 0,
            unstarted_beyond_rate: 0,
            waiting_logged_at: now,
            standing_logged_at: now,
            longest_waits: Waits::default(),
            round_end: None,
            rounds: rounds::Tally::default(),
            rounds_logged_at: now,
            estimators: BTreeMap::new(),
            restored_at: None,
            demand: BTreeMap::new(),
            machines: BTreeMap::new(),
            waves: BTreeMap::new(),
            operations: operations::Tracker::default(),
            holds: hold::Holds::default(),
            taken_back: 0,
            crashes: crash::Tracker::default(),
            interference: Evidence::default(),
            quota: quota::Quota::default(),
            backlogs: backlog::Backlogs::default(),
        }
    }

    /// Sets for how long after the start of this term the previous leader may still grant leases:
    /// up to [`Tuning::leader_lease`] after it last confirmed its leadership, which was
    /// `unconfirmed` before the term started. None means that it had certainly stopped acting as
    /// leader.
    pub fn set_overlap(&mut self, unconfirmed: Option<Duration>) {
        self.overlap = match unconfirmed {
            Some(unconfirmed) => self.tuning.leader_lease.saturating_sub(unconfirmed),
            None => Duration::ZERO,
        };
    }

    /// Start of the term.
    pub const fn since(&self) -> Time {
        self.since
    }

    /// Whether this leader knows the jobs of the leaders before it.
    pub const fn is_restored(&self) -> bool {
        self.restored_at.is_some()
    }

    /// Weights and limits of the scheduler.
    pub const fn tuning(&self) -> &Tuning {
        &self.tuning
    }

    /// The configuration in force.
    pub const fn config(&self) -> &Config {
        &self.config
    }

    /// Applies a configuration if it is newer; returns whether it was.
    pub fn configure(&mut self, config: Config) -> bool {
        if config.version <= self.config.version {
            return false;
        }
        for job in self.jobs.values_mut().filter(|job| !job.state.is_ended()) {
            if config.queues.get(&job.queue).is_some_and(|queue| job.follow(queue)) {
                self.dirty.insert(job.id);
            }
        }
        self.tenants.configure(&config);
        self.config = config;
        self.schedulable.extend(self.active.iter().copied());
        true
    }

    /// Takes the commands to send.
    pub fn take_commands(&mut self) -> Vec<Command> {
        let starts = |command: &&Command| matches!(command.action, Action::Start { .. });
        self.start_limit.sent(self.commands.iter().filter(starts).count());
        std::mem::take(&mut self.commands)
    }

    /// Takes the instances on which tasks were placed although they had not answered lately. Each needs a
    /// heartbeat at once: its answer shows that the instance was alive before the tasks started.
    pub fn take_unseen(&mut self) -> BTreeSet<instance::Key> {
        std::mem::take(&mut self.unseen)
    }

    /// How many times longer start commands take to be answered than they should; 1 while this
    /// leader keeps up with its work.
    pub fn pressure(&self) -> f64 {
        self.start_limit.pressure()
    }

    /// The instance with a key.
    pub fn instance(&self, key: instance::Key) -> &Instance {
        &self.instances[u32::from(key) as usize]
    }

    fn instance_mut(&mut self, key: instance::Key) -> &mut Instance {
        &mut self.instances[u32::from(key) as usize]
    }

    /// All instances seen in this term.
    pub fn instances(&self) -> impl Iterator<Item = (instance::Key, &Instance)> {
        self.instances.iter().enumerate().map(|(index, instance)| ((index as u32).into(), instance))
    }

    /// Number of instances with tasks, at the last tick.
    pub const fn busy_instances(&self) -> usize {
        self.busy
    }

    /// The job with an id.
    pub fn job(&self, id: Id) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// The key of a named tenant; None for an empty name, which stands for none.
    fn tenant(&mut self, name: &str) -> Option<tenant::Key> {
        (!name.is_empty()).then(|| self.tenants.intern(name))
    }

    /// Whether a caller of a tenant, or of none, may see and cancel a job; true if there is no such job.
    pub fn may_access(&self, id: Id, caller: Option<&str>) -> bool {
        self.jobs.get(&id).is_none_or(|job| {
            let owner = job.tenant.map(|key| self.tenants.get(key).name.as_str());
            self.config.may_access(caller, owner, &job.queue)
        })
    }

    /// Tenants that the configuration or a job names.
    pub const fn tenants(&self) -> &Tenants {
        &self.tenants
    }

    /// Number of accepted jobs of a queue that have not begun.
    pub fn waiting_jobs(&self, queue: &str) -> usize {
        self.unbegun.count(queue)
    }

    /// Books the resources of a task on an instance if `booked`, and for its tenant; else frees them. Does nothing
    /// if they are booked or free already.
    fn book(&mut self, key: TaskKey, instance: instance::Key, booked: bool) {
        let job = &self.jobs[&key.job];
        let step = job.step(key.index);
        let changed = self.instances[u32::from(instance) as usize].book(key, step, booked);
        if changed && let Some(tenant) = job.tenant {
            self.tenants.book(tenant, step, booked);
        }
    }

    /// Unassigns a task, so that it can be placed anew.
    fn unassign(&mut self, now: Time, key: TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let active = job.state == State::Active;
        let task = &mut job.tasks[key.index as usize];
        if task.phase == Phase::Done {
            return;
        }
        if let Phase::Running(_) = task.phase {
            job.ran_at = now;
        }
        let instance = task.phase.instance();
        task.phase = if active { Phase::Ready } else { Phase::Waiting };
        task.since = now;
        task.stop_sent_at = None;
        task.over_target_since = None;
        if let Some(instance) = instance {
            self.book(key, instance, false);
        }
        self.dirty.insert(key.job);
        if active {
            self.schedulable.insert(key.job);
        }
    }

    /// Expected duration of a task in a queue, given the caller's estimate in milliseconds.
    fn expected_duration(&self, queue: &str, estimate_ms: u64) -> Duration {
        expected_duration(self.estimators.get(queue), estimate_ms)
    }
}

/// Expected duration of a task of a queue with an estimator, given the caller's estimate in
/// milliseconds.
fn expected_duration(estimator: Option<&demand::Estimator>, estimate_ms: u64) -> Duration {
    let expected_ms =
        estimator.map_or(estimate_ms as f64, |estimator| estimator.expected_ms(estimate_ms));
    scaled(Duration::from_secs(1), expected_ms / 1_000.0).min(MAX_DURATION)
}

/// A time multiplied by a factor; the longest one if the product is longer.
fn scaled(time: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(time.as_secs_f64() * factor).unwrap_or(Duration::MAX)
}
