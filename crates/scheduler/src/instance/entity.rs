//! What the scheduler knows of an instance.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Capacity;
use super::Closure;
use super::Report;
use super::Speed;
use super::Trust;
use super::report::Reading;
use crate::Tuning;
use crate::job::Step;
use crate::job::TaskKey;

/// Longest time for which an instance that runs tasks usually does not answer: one that has not answered
/// for longer may have ended since.
const MAX_SIGHT_AGE: Duration = Duration::from_millis(1_500);

/// Index of an instance in the scheduler's arena; valid for one term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::From, derive_more::Into)]
pub struct Key(u32);

/// Resources booked on an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Add)]
pub struct Usage {
    /// CPU in millicores.
    pub cpu: u64,
    /// Memory in megabytes.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Usage {
    /// With one more task of a step.
    pub const fn with(self, step: &Step) -> Self {
        Self {
            cpu: self.cpu.saturating_add(step.booked_cpu()),
            memory: self.memory.saturating_add(step.memory),
            accelerators: self.accelerators.saturating_add(step.accelerators),
        }
    }

    /// Without a task of a step.
    pub const fn without(self, step: &Step) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(step.booked_cpu()),
            memory: self.memory.saturating_sub(step.memory),
            accelerators: self.accelerators.saturating_sub(step.accelerators),
        }
    }

    /// Whether a capacity suffices for it.
    pub const fn fits_in(&self, capacity: &Capacity) -> bool {
        self.cpu <= capacity.cpu
            && self.memory <= capacity.memory
            && self.accelerators <= capacity.accelerators
    }
}

/// Ended runs whose effects on jobs the store does not hold yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnstoredEnds {
    /// Number of the newest of them.
    pub last: u64,
    /// Position in the queue of changed jobs below which all jobs have to be written first.
    pub position: u64,
}

/// What an answer of an instance lists of ended runs, which it goes on listing until it is told to forget
/// them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedEnds {
    /// None: it has forgotten all ends that it was told to forget.
    #[default]
    None,
    /// All that it remembers. It has listed them in this many answers in a row although the store held them.
    All(u32),
    /// Some: more may follow.
    Some,
}

impl ListedEnds {
    /// Number of such answers after which an idle instance is left alone: it does not forget.
    const MAX_ANSWERS: u32 = 4;

    /// After an answer that lists ends up to number `last`, zero if none, and with `more` maybe further ones.
    /// The store holds the ends up to `last_stored`.
    pub const fn after(self, last: u64, more: bool, last_stored: u64) -> Self {
        match (last, more, self) {
            (0, _, _) => Self::None,
            (_, true, _) => Self::Some,
            (_, false, Self::All(answers)) if last <= last_stored => Self::All(answers + 1),
            (_, false, _) => Self::All(0),
        }
    }

    /// Whether the instance has to be told to forget ends, although all have been read.
    pub const fn await_removal(self) -> bool {
        matches!(self, Self::All(answers) if answers < Self::MAX_ANSWERS)
    }
}

/// Whether the store holds the time at which the leases of an unresponsive instance expire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Expiry {
    /// The store holds no expiry.
    #[default]
    None,
    /// The write that stores the expiry is in flight.
    Setting,
    /// The store holds the expiry. No lease may be renewed until its row is deleted.
    Set,
    /// The write that deletes the row is in flight.
    Clearing,
}

/// An instance: its entry in the instance list, its leases, its tasks and its health.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Its newest entry in the instance list.
    pub report: Report,
    /// Whether the newest list contains it.
    pub listed: bool,
    /// When a list last contained it.
    pub listed_at: Time,
    /// Its incarnation according to its heartbeats: Unix time of the process start in milliseconds;
    /// zero before the first heartbeat.
    pub incarnation: u64,
    /// Newest reading of its clock.
    pub reading: Option<Reading>,
    /// End of the latest lease that may have reached it, in milliseconds on its clock.
    pub leased_until_ms: u64,
    /// When all leases that a previous leader may have granted it have expired.
    pub inherited_until: Time,
    /// How often the fencing token was raised for it within this term.
    pub token_raises: u32,
    /// Whether a start command got no answer, and no heartbeat with a raised token has shown its
    /// outcome yet.
    pub outcome_unknown: bool,
    /// Whether it has accepted the present fencing token, and its runs and all ends that it lists have been
    /// read.
    pub synced: bool,
    /// Whether its runs and ends have been read in this term, and it has neither restarted by itself since
    /// nor shown a run that it should not have. Unlike [`Self::synced`] this stays so when this leader
    /// has its machine moved or maintained.
    pub runs_known: bool,
    /// Whether this leader has had its machine maintained since it was last in sync, so that it restarts.
    pub ended_by_call: bool,
    /// Number of the newest run end that was applied.
    pub last_end_seen: u64,
    /// What its last answer listed of ended runs.
    pub listed_ends: ListedEnds,
    /// Run ends after `last_end_stored`, the oldest first.
    pub unstored_ends: VecDeque<UnstoredEnds>,
    /// Number of the newest run end that the write in flight covers.
    pub last_end_writing: u64,
    /// Number of the newest run end that the store covers; the instance may forget ends up to it.
    pub last_end_stored: u64,
    /// Tasks that book resources there.
    pub tasks: BTreeSet<TaskKey>,
    /// The subset of `tasks` that another run has completed; the run here only has to end.
    pub superseded: BTreeSet<TaskKey>,
    /// The subset of `tasks` that are suspected of crashing instances.
    pub trials: BTreeSet<TaskKey>,
    /// Resources that `tasks` book.
    pub used: Usage,
    /// When it last answered a call.
    pub answered_at: Time,
    /// Since when it has not answered; None if its last call was answered.
    pub unresponsive_since: Option<Time>,
    /// Whether the store holds the expiry of its leases.
    pub expiry: Expiry,
    /// When an answer last ended a time in which it was unresponsive.
    pub silent_until: Time,
    /// Whether runs there succeed.
    pub trust: Trust,
    /// How fast runs there are, as compared with other instances.
    pub speed: Speed,
    /// Nothing is placed there before this time, since it has less room than expected.
    pub full_until: Time,
    /// Number of times in a row that it had less room than expected, without a sign that it has more.
    pub times_full: u32,
    /// Number of `tasks` that are not long-running.
    pub short_tasks: usize,
    /// When it was last seen to be draining.
    pub drained_at: Option<Time>,
    /// Whether its machine is about to be moved or maintained.
    pub reserved: bool,
    /// The long-running task that it is kept free for: only tasks of that step may be placed there.
    pub held_for: Option<TaskKey>,
}

/// Whether an instance that was last seen alive at `alive_at` was probably alive at `at`.
pub(crate) fn was_seen(alive_at: Time, at: Time) -> bool {
    at.since(alive_at) <= MAX_SIGHT_AGE
}

impl Instance {
    /// An instance seen for the first time, at `now`. Leases of previous leaders on it have expired
    /// at `inherited_until`.
    pub fn new(report: Report, now: Time, inherited_until: Time) -> Self {
        Self {
            report,
            listed: true,
            listed_at: now,
            incarnation: 0,
            reading: None,
            leased_until_ms: 0,
            inherited_until,
            token_raises: 0,
            outcome_unknown: false,
            synced: false,
            runs_known: false,
            ended_by_call: false,
            last_end_seen: 0,
            listed_ends: ListedEnds::None,
            unstored_ends: VecDeque::new(),
            last_end_writing: 0,
            last_end_stored: 0,
            tasks: BTreeSet::new(),
            superseded: BTreeSet::new(),
            trials: BTreeSet::new(),
            used: Usage::default(),
            answered_at: now,
            unresponsive_since: None,
            expiry: Expiry::None,
            silent_until: Time::ZERO,
            trust: Trust::default(),
            speed: Speed::default(),
            full_until: Time::ZERO,
            times_full: 0,
            short_tasks: 0,
            drained_at: None,
            reserved: false,
            held_for: None,
        }
    }

    /// Books the resources of a task of `step` if `booked`, else frees them. Returns whether that changed
    /// anything: not if they are booked or free already.
    pub fn book(&mut self, key: TaskKey, step: &Step, booked: bool) -> bool {
        let changed = if booked { self.tasks.insert(key) } else { self.tasks.remove(&key) };
        if !changed {
            return false;
        }
        self.superseded.remove(&key);
        self.trials.remove(&key);
        if !step.long_running {
            self.short_tasks =
                if booked { self.short_tasks + 1 } else { self.short_tasks.saturating_sub(1) };
        }
        self.used = if booked { self.used.with(step) } else { self.used.without(step) };
        true
    }

    /// Has tasks placed there from `at` on, since it has room that it had not when it last refused one.
    pub fn end_back_off(&mut self, at: Time) {
        self.full_until = self.full_until.min(at);
        self.times_full = 0;
    }

    /// Logs that a newer entry in the instance list shows another capacity.
    pub(crate) fn log_resize(&self, newer: &Report) {
        let (was, capacity) = (self.report.capacity, newer.capacity);
        if capacity != was {
            info!(
                event = "runner",
                state = "capacity",
                runner = self.report.id,
                cpu = capacity.cpu,
                was_cpu = was.cpu,
                memory = capacity.memory,
                was_memory = was.memory,
                accelerators = capacity.accelerators,
                was_accelerators = was.accelerators,
                used_cpu = self.used.cpu,
                used_memory = self.used.memory,
                tasks = self.tasks.len(),
            );
        }
    }

    /// Records that its entry in the instance list is gone, or can't be used.
    pub(crate) fn mark_unlisted(&mut self) {
        if std::mem::take(&mut self.listed) {
            let (runner, tasks) = (&self.report.id, self.tasks.len());
            info!(event = "runner", state = "unlisted", runner, tasks);
        }
    }

    /// Whether one more task of a step fits into the free capacity.
    pub const fn has_room(&self, step: &Step) -> bool {
        self.used.with(step).fits_in(&self.report.capacity)
    }

    /// CPU that stays free if one more task of a step runs there, in millicores; negative if the CPU
    /// doesn't suffice.
    pub const fn free_cpu(&self, step: &Step) -> i64 {
        (self.report.capacity.cpu as i64).saturating_sub_unsigned(self.used.with(step).cpu)
    }

    /// Whether no long-running task is placed there.
    pub fn runs_only_short_tasks(&self) -> bool {
        self.tasks.len() == self.short_tasks
    }

    /// Whether a task of a step fits when nothing else runs there, with the label that it requires.
    pub fn fits(&self, step: &Step) -> bool {
        let capacity = self.report.capacity;
        step.booked_cpu() <= capacity.cpu
            && step.memory <= capacity.memory
            && step.accelerators <= capacity.accelerators
            && (step.requires.is_empty() || self.report.labels.contains(&step.requires))
    }

    /// Whether it has answered lately at `now`, so that it was probably alive then.
    pub fn is_seen(&self, now: Time) -> bool {
        was_seen(self.answered_at, now)
    }

    /// Whether its address is known: a list has contained it in this term.
    pub const fn has_address(&self) -> bool {
        self.report.address.port() != 0
    }

    /// Whether tasks that are placed there may start.
    pub(crate) fn is_usable(&self) -> bool {
        self.listed
            && self.synced
            && !self.outcome_unknown
            && !self.reserved
            && !self.report.draining
            && self.unresponsive_since.is_none()
            && self.expiry == Expiry::None
    }

    /// Whether new tasks may be placed there.
    pub fn accepts_tasks(&self, now: Time) -> bool {
        self.closure(now).is_none()
    }

    /// Why no new tasks may be placed there; None if they may.
    pub fn closure(&self, now: Time) -> Option<Closure> {
        let distrusted = !self.trust.readmitted;
        let closures = [
            (!self.listed, Closure::Unlisted),
            (self.report.draining, Closure::Draining),
            (!self.synced, Closure::Unsynced),
            (self.outcome_unknown, Closure::OutcomeUnknown),
            (self.reserved, Closure::Reserved),
            (self.unresponsive_since.is_some(), Closure::Unresponsive),
            // No lease can be renewed while the store holds its expiry.
            (self.expiry != Expiry::None, Closure::LeaseExpiry),
            (now < self.full_until, Closure::Full),
            (distrusted && self.trust.is_suspended(now), Closure::Suspended),
            (
                distrusted && self.trust.is_on_probation(now) && self.short_tasks > 0,
                Closure::Probation,
            ),
        ];
        closures.into_iter().find_map(|(applies, closure)| applies.then_some(closure))
    }

    /// Whether it counts towards the capacity of its pool, whether tasks run there or not.
    pub fn is_healthy(&self, now: Time) -> bool {
        self.listed
            && !self.report.draining
            && self.unresponsive_since.is_none()
            && !self.trust.is_suspended(now)
    }

    /// Lower bound of its clock at `now`, in milliseconds; None before the first reading.
    pub fn clock_ms(&self, now: Time) -> Option<u64> {
        let reading = self.reading?;
        Some(reading.clock_ms.saturating_add(now.since(reading.at).as_millis() as u64))
    }

    /// End of the lease to send with a call at `now`, in milliseconds on its clock; None before the
    /// first reading.
    pub fn lease_ms(&self, now: Time, tuning: &Tuning) -> Option<u64> {
        Some(self.clock_ms(now)?.saturating_add(tuning.lease.as_millis() as u64))
    }

    /// When all leases on it have expired for certain, so that no run is left there. Allows for a
    /// clock that is slow by [`Tuning::clock_drift`].
    pub fn leases_expire_at(&self, tuning: &Tuning) -> Time {
        let granted_until = self.granted_until(tuning).unwrap_or_default();
        granted_until.max(self.inherited_until)
    }

    /// When all leases of this leader on it have expired for certain; None before the first reading.
    pub fn granted_until(&self, tuning: &Tuning) -> Option<Time> {
        let reading = self.reading?;
        let left_ms = self.leased_until_ms.saturating_sub(reading.clock_ms) as f64;
        let left = Duration::from_secs_f64(left_ms / 1_000.0 / (1.0 - tuning.clock_drift));
        Some(reading.at + left)
    }

    /// Covers the ends whose jobs are all stored once the write in flight has succeeded. The changed
    /// jobs that it leaves out have positions from `first_left` on.
    pub fn cover_ends(&mut self, first_left: u64) {
        let covered = self.unstored_ends.iter().take_while(|ends| ends.position <= first_left);
        self.last_end_writing = covered.last().map_or(self.last_end_stored, |ends| ends.last);
    }

    /// Applies that the write in flight has succeeded.
    pub fn finish_ends_write(&mut self) {
        self.last_end_stored = self.last_end_stored.max(self.last_end_writing);
        while self.unstored_ends.front().is_some_and(|ends| ends.last <= self.last_end_stored) {
            self.unstored_ends.pop_front();
        }
    }

    /// Its rack: the label after its kind, or the only label; empty if it has none.
    pub fn rack(&self) -> &str {
        self.report.labels.get(1).or(self.report.labels.first()).map_or("", String::as_str)
    }
}
