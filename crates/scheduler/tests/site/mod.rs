//! A simulated site in virtual time: the real scheduler with fake instances and a fake store. Tests
//! inject faults; the monitor records rules that runs on the instances violate.
#![allow(dead_code, unreachable_pub, reason = "each test binary uses a part of it")]

mod availability;
mod begun;
mod callers;
mod fault;
mod instance;
mod machines;
mod monitor;
pub mod pools;
mod quota;
mod sightings;
mod standstill;

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;
use scheduler::Command;
use scheduler::Config;
use scheduler::Core;
use scheduler::Tuning;
use scheduler::command::Action;
use scheduler::command::Outcome;
use scheduler::command::Refusal;
use scheduler::config::Queue;
use scheduler::config::Service;
use scheduler::core::ExpiryChange;
use scheduler::core::Handover;
use scheduler::core::Limits;
use scheduler::core::Row;
use scheduler::core::Sent;
use scheduler::core::Stored;
use scheduler::core::Table;
use scheduler::core::Verdict;
use scheduler::instance::Key;
use scheduler::job::Body;
use scheduler::job::Id;
use scheduler::job::Progress;
use scheduler::job::Spec;
use scheduler::job::State;
use scheduler::job::Step;
use scheduler::job::part;
use scheduler::job::part::Assembly;
use scheduler::machine::Machine;

#[allow(unused_imports, reason = "each test binary uses a part of it")]
pub use availability::Availability;
use begun::Overlooked;
#[allow(unused_imports, reason = "each test binary uses a part of it")]
pub use callers::Callers;
use callers::Submission;
#[allow(unused_imports, reason = "each test binary uses a part of it")]
pub use fault::Losses;
#[allow(unused_imports, reason = "each test binary uses a part of it")]
pub use instance::Deadly;
pub use instance::Fake;
#[allow(unused_imports, reason = "each test binary uses a part of it")]
pub use machines::Platform;
#[allow(unused_imports, reason = "each test binary uses a part of it")]
pub use machines::SWITCHED_OFF;
pub use monitor::Monitor;
use sightings::Sightings;
use standstill::Disruption;
use standstill::Standstill;

/// Delay of a message between the scheduler and an instance or the store, one way.
const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// Usual time that the store takes to apply a write.
const WRITE_TIME: Duration = Duration::from_millis(6);

/// Maximum time for which an instance holds a heartbeat call back until a run ends.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(1_000);

/// That time while a suspect runs there.
const TRIAL_HEARTBEAT_WAIT: Duration = Duration::from_millis(150);

/// Time after which a call without an answer fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Time without an answer to a write after which tasks start although the store does not hold
/// their placements.
const UNRECORDED_AFTER: Duration = Duration::from_millis(100);

/// Interval at which the leader writes its row.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(350);

/// Low bits of a fencing token, which count the raises within an epoch.
const RAISE_BITS: u32 = 20;

/// Interval at which accepted work is looked at.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(50);

/// Limits of a write, less than the store's own, so that many jobs take several writes.
pub const LIMITS: Limits = Limits { rows: 30, bytes: 1_000_000 };

/// Maximum number of entries of a write besides those of the leader's row.
const MAX_ENTRIES: usize = 98;

/// Longest value of a row that the store takes, in bytes.
const MAX_ROW_BYTES: usize = 49_152;

/// Unix time at the zero of the virtual clock.
pub const UNIX_TIME: Duration = Duration::from_secs(1_000_000);

/// Step of the virtual clock.
pub const TIME_STEP: Duration = Duration::from_millis(1);

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn id(number: u64) -> Id {
    format!("{number:016x}").parse().expect("16 digits")
}

/// A configuration with one queue per service, of the same name.
pub fn config(services: &[&str]) -> Config {
    let queue = |service: &str| Queue {
        host: "example".to_owned(),
        prefix: format!("/{service}/"),
        service: service.to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        target_latency: ms(600),
        timeout: ms(3_000),
        advised: false,
        public: false,
    };
    let pool = Service { admission_check: true, standby: false, max_connections: 64 };
    Config {
        version: 1,
        queues: services.iter().map(|&name| (name.to_owned(), queue(name))).collect(),
        services: services.iter().map(|&name| (name.to_owned(), pool.clone())).collect(),
        ..Config::default()
    }
}

/// A step of `count` tasks of one core each.
pub fn step(count: u32, estimate_ms: u64) -> Step {
    Step { count, cpu: 1_000, memory: 100, estimate_ms, ..Step::default() }
}

pub fn spec(steps: Vec<Step>) -> Spec {
    Spec { payload: "payload".to_owned(), steps, ..Spec::default() }
}

/// The instance that a command is meant for.
#[derive(Clone, Debug)]
struct Addressee {
    /// Index of the process at its address.
    index: usize,
    /// Its name. A process with another name refuses the command.
    id: String,
}

/// A message or a result in transit.
#[derive(Clone, Debug)]
enum Event {
    /// A command reaches an instance.
    CommandArrives {
        to: Addressee,
        command: Command,
        sent: Sent,
        token: u64,
        lease_ms: u64,
        epoch: u64,
    },
    /// The answer to a command reaches the scheduler, or the command timed out.
    CommandAnswered { command: Command, sent: Sent, outcome: Outcome, clock_ms: u64, epoch: u64 },
    /// A heartbeat call reaches an instance.
    HeartbeatArrives {
        index: usize,
        sent: Sent,
        token: u64,
        lease_ms: Option<u64>,
        last_seen: u64,
        epoch: u64,
    },
    /// The answer to a heartbeat call reaches the scheduler, or the call timed out.
    HeartbeatAnswered {
        index: usize,
        sent: Sent,
        heartbeat: Option<scheduler::instance::Heartbeat>,
        epoch: u64,
    },
    /// The store applies a write.
    WriteApplied {
        rows: Vec<Row>,
        expiry_changes: Vec<ExpiryChange>,
        machine_rows: machines::Rows,
        epoch: u64,
    },
    /// The confirmation of a write reaches the scheduler.
    WriteConfirmed { epoch: u64 },
    /// The scheduler learns that the store has refused a write.
    WriteRefused { epoch: u64 },
    /// A submission reaches the leader's node.
    SubmissionArrives { submission: Submission },
    /// A submission has waited until the leader is free.
    SubmissionReceived { submission: Submission, epoch: u64 },
}

impl Event {
    /// Whether the leader has to run to receive it.
    const fn is_for_leader(&self) -> bool {
        matches!(
            self,
            Self::CommandAnswered { .. }
                | Self::HeartbeatAnswered { .. }
                | Self::WriteConfirmed { .. }
                | Self::WriteRefused { .. }
                | Self::SubmissionReceived { .. }
        )
    }
}

/// A heartbeat call that an instance holds back.
#[derive(Clone, Debug)]
struct PendingHeartbeat {
    sent: Sent,
    last_seen: u64,
    until: Time,
    epoch: u64,
    /// The process that holds it back: its end breaks the connection.
    incarnation: u64,
}

/// A simulated site in virtual time.
pub struct Site {
    pub now: Time,
    pub core: Option<Core>,
    pub epoch: u64,
    pub tuning: Tuning,
    pub config: Config,
    pub fakes: Vec<Fake>,
    pub monitor: Monitor,
    pub bodies: BTreeMap<Id, Body>,
    pub progress: BTreeMap<Id, Progress>,
    /// Rows of the progress of jobs, by key.
    pub progress_rows: BTreeMap<String, Vec<u8>>,
    /// Jobs of which the store refuses all rows.
    pub refused_jobs: Vec<Id>,
    /// Number of writes that the store has refused.
    pub refused_writes: u64,
    /// Limits of a write.
    pub limits: Limits,
    pub expiries: BTreeMap<String, u64>,
    /// The store answers nothing before this time.
    pub store_down_until: Time,
    /// Time that the store takes to apply a write.
    pub write_time: Duration,
    /// Time for which a command occupies the leader's processor or link.
    pub command_cost: Duration,
    /// Time for which a heartbeat occupies the leader's processor or link.
    pub heartbeat_cost: Duration,
    /// Time for which a caller's submission occupies the leader's processor, refused or not.
    pub submission_cost: Duration,
    /// What callers were told.
    pub callers: Callers,
    /// Until when the leader's processor or link is occupied.
    busy_until: Time,
    /// The leader's process does nothing before this time.
    pub paused_until: Time,
    /// When the store first held each accepted job.
    pub accepted: BTreeMap<Id, Time>,
    /// When the store first held each completed job as such.
    pub completed: BTreeMap<Id, Time>,
    events: BTreeMap<(Time, u64), Event>,
    next_event: u64,
    writing: bool,
    write_sent: Time,
    /// What the leader's row holds, and when it was last written.
    stored_handover: Handover,
    renewed_at: Time,
    /// Whether the platform lists the machines of all instances as up, also of those that are down.
    pub lists_machines: bool,
    /// Rows of calls to machines and of waves; None if the test records them itself.
    pub machine_rows: Option<machines::Rows>,
    pending_heartbeats: BTreeMap<usize, PendingHeartbeat>,
    /// When the next heartbeat call to an instance may be sent.
    next_heartbeat: BTreeMap<usize, Time>,
    /// When the heartbeat call in flight to an instance was sent.
    heartbeat_sent: BTreeMap<usize, Time>,
    /// Former names of instances, calls to which fail.
    gone: Vec<String>,
    /// Shares of messages that are lost.
    pub losses: Losses,
    /// Percent of start commands whose answer is lost and that take effect seconds later.
    pub late_percent: u64,
    random: u64,
    last_tick: Time,
    last_list: Time,
    /// The scheduler can't read the instance list before this time.
    pub list_lost_until: Time,
    standstill: Standstill,
    sightings: Sightings,
    overlooked: Overlooked,
    last_observation: Time,
}

impl Site {
    pub fn new(services: &[&str], fakes: Vec<Fake>, seed: u64) -> Self {
        let mut site = Self {
            now: Time::from_secs(100),
            core: None,
            epoch: 0,
            tuning: Tuning::default(),
            config: config(services),
            fakes,
            monitor: Monitor::default(),
            bodies: BTreeMap::new(),
            progress: BTreeMap::new(),
            progress_rows: BTreeMap::new(),
            refused_jobs: Vec::new(),
            refused_writes: 0,
            limits: LIMITS,
            expiries: BTreeMap::new(),
            store_down_until: Time::ZERO,
            write_time: WRITE_TIME,
            command_cost: Duration::ZERO,
            heartbeat_cost: Duration::ZERO,
            submission_cost: Duration::ZERO,
            callers: Callers::default(),
            busy_until: Time::ZERO,
            paused_until: Time::ZERO,
            accepted: BTreeMap::new(),
            completed: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            writing: false,
            write_sent: Time::ZERO,
            stored_handover: Handover::default(),
            renewed_at: Time::ZERO,
            lists_machines: true,
            machine_rows: None,
            pending_heartbeats: BTreeMap::new(),
            next_heartbeat: BTreeMap::new(),
            heartbeat_sent: BTreeMap::new(),
            gone: Vec::new(),
            losses: Losses::default(),
            late_percent: 0,
            random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            last_tick: Time::ZERO,
            last_list: Time::ZERO,
            list_lost_until: Time::ZERO,
            standstill: Standstill::new(Time::from_secs(100)),
            sightings: Sightings::default(),
            overlooked: Overlooked::default(),
            last_observation: Time::ZERO,
        };
        site.change_leader(false);
        site
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) % below.max(1)
    }

    /// The leader crashes; what it has sent stays in transit.
    pub fn crash_leader(&mut self) {
        self.core = None;
        self.writing = false;
        self.pending_heartbeats.clear();
        self.next_heartbeat.clear();
        self.heartbeat_sent.clear();
    }

    /// A new leader takes over from what the store holds. `stepped_down` says whether the previous
    /// leader ended its term in an orderly way, and handed over what it left uncertain.
    pub fn change_leader(&mut self, stepped_down: bool) {
        self.open_term(stepped_down);
        self.restore();
    }

    /// A new leader takes over as in [`Self::change_leader`], and does nothing until it has restored its state.
    pub fn open_term(&mut self, stepped_down: bool) {
        let now = self.now;
        let handover = self.core.as_ref().map(|core| core.handover(now)).unwrap_or_default();
        let lease_excess = self.stored_handover.lease_excess;
        self.crash_leader();
        self.epoch += 1;
        let mut core = Core::open(self.now, self.tuning);
        if stepped_down {
            core.set_overlap(None);
            core.inherit(handover);
        } else {
            core.inherit(Handover { lease_excess, ..Handover::default() });
            core.expect_unrecorded_starts();
        }
        self.core = Some(core);
    }

    /// The leader restores its state from what the store holds.
    pub fn restore(&mut self) {
        let mut core = self.core.take().expect("a leader");
        core.configure(self.config.clone());
        core.apply_instances(self.now, self.now, self.reports());
        let clock_ms = self.now.as_millis();
        for (instance, &expires_ms) in &self.expiries {
            core.restore_expiry(self.now, instance, Time::from_millis(expires_ms));
        }
        let Assembly { progress, digests, unreadable } = self.assemble();
        assert!(unreadable.is_empty(), "{unreadable:?}");
        let stored = Stored { bodies: self.bodies.clone(), progress, digests, clock_ms };
        core.restore(self.now, UNIX_TIME + self.now.since(Time::ZERO), stored);
        self.core = Some(core);
    }

    fn assemble(&self) -> Assembly {
        part::assemble(self.progress_rows.iter().map(|(key, row)| (key.as_str(), row.as_slice())))
    }

    fn reports(&self) -> Vec<scheduler::instance::Report> {
        let listed = self.fakes.iter().filter(|fake| fake.listed(self.now));
        listed.map(|fake| fake.report(self.now)).collect()
    }

    fn machines(&self) -> Vec<Machine> {
        let rows = self.fakes.iter().map(|fake| Machine {
            host: format!("m-{}", fake.id),
            pool: fake.service.clone(),
            state: scheduler::machine::State::Up,
            instance: fake.id.clone(),
            cpu: fake.capacity.cpu,
        });
        rows.collect()
    }

    /// Whether there is a leader that has restored its state.
    fn is_led(&self) -> bool {
        self.core.as_ref().is_some_and(Core::is_restored)
    }

    pub fn core(&mut self) -> &mut Core {
        self.core.as_mut().expect("a leader")
    }

    /// Occupies the leader's processor or link for `cost`. Returns how long the message waits until
    /// it has left.
    fn occupy(&mut self, cost: Duration) -> Duration {
        self.busy_until = self.busy_until.max(self.now) + cost;
        self.busy_until.since(self.now)
    }

    pub fn submit(&mut self, number: u64, queue: &str, spec: Spec) -> Verdict {
        self.submit_for("", number, queue, spec)
    }

    /// Submits a job on behalf of a tenant.
    pub fn submit_for(&mut self, tenant: &str, number: u64, queue: &str, spec: Spec) -> Verdict {
        let now = self.now;
        self.monitor.expect_job(id(number), &spec);
        if !tenant.is_empty() {
            self.monitor.quota.expect_job(id(number), tenant);
        }
        let submission =
            scheduler::core::Submission { id: id(number), queue, tenant, spec, first: now };
        self.core().submit(now, now.as_millis(), submission)
    }

    /// The operator writes a new version of the configuration.
    pub fn configure(&mut self, change: impl FnOnce(&mut Config)) {
        self.config.version += 1;
        change(&mut self.config);
        self.monitor.quota.configure(self.now, &self.config);
        if self.is_led() {
            let config = self.config.clone();
            self.core().configure(config);
        }
    }

    pub fn state(&self, number: u64) -> Option<State> {
        self.core.as_ref()?.state(id(number))
    }

    fn post(&mut self, after: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now + after, self.next_event), event);
    }

    /// Advances the virtual clock by `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TIME_STEP;
            while let Some((&key, _)) = self.events.first_key_value() {
                if key.0 > self.now {
                    break;
                }
                let event = self.events.remove(&key).expect("the key was just read");
                if event.is_for_leader() && self.now < self.paused_until {
                    self.events.insert((self.paused_until, key.1), event);
                } else {
                    self.deliver(event);
                }
            }
            for index in 0..self.fakes.len() {
                self.fakes[index].advance(self.now, &mut self.monitor);
                self.answer_heartbeat(index);
            }
            for member in self.monitor.take_broken_gangs() {
                self.fakes.iter_mut().for_each(|fake| fake.break_gang(member));
            }
            self.schedule();
            if self.now.since(self.last_observation) >= OBSERVATION_INTERVAL {
                self.last_observation = self.now;
                self.observe_standstill();
                self.observe_sightings();
                self.observe_begun();
            }
        }
    }

    /// Records accepted work that stands still beside free instances.
    fn observe_standstill(&mut self) {
        let now = self.now;
        let listed = self.fakes.iter().filter(|fake| fake.listed(now));
        let disruption = Disruption {
            epoch: self.core.is_some().then_some(self.epoch),
            store_up: now >= self.store_down_until && now >= self.paused_until,
            reachable: listed.clone().all(|fake| fake.reachable(now)),
            lossy: self.losses.heartbeats > 0 || self.losses.writes > 0,
            incarnations: self.fakes.iter().map(|fake| fake.incarnation).sum(),
        };
        let standing =
            self.standstill.observe(now, disruption, &self.fakes, &self.monitor, &self.progress);
        self.monitor.violations.extend(standing);
    }

    fn schedule(&mut self) {
        let now = self.now;
        if !self.is_led() || now < self.paused_until {
            return;
        }
        if now.since(self.last_list) >= ms(400) && now >= self.list_lost_until {
            self.last_list = now;
            let reports = self.reports();
            self.core().apply_instances(now, now, reports);
            if self.lists_machines {
                let machines = self.machines();
                self.core().apply_machines(now, now, machines);
            }
        }
        if now.since(self.last_tick) >= ms(100) {
            self.last_tick = now;
            self.core().tick(now);
        }
        self.core().place_tasks(now);
        if self.writing && now.since(self.write_sent) > UNRECORDED_AFTER {
            self.core().release_unrecorded(now);
        }
        self.send_commands();
        if now.since(self.renewed_at) >= RENEWAL_INTERVAL && now >= self.store_down_until {
            self.renewed_at = now;
            self.stored_handover = self.core().handover(now);
        }
        self.send_write();
        self.send_heartbeats();
    }

    fn send_commands(&mut self) {
        let now = self.now;
        let epoch = self.epoch;
        for command in self.core().take_commands() {
            let key = command.instance;
            let raises = self.core().instance(key).token_raises;
            let token = (epoch << RAISE_BITS) + u64::from(raises);
            let lease_ms = self.core().renew_lease(now, key).unwrap_or_default();
            let sent = Sent { at: now, token_raises: raises };
            let id = self.core().instance(key).report.id.clone();
            let Some(index) = self.fakes.iter().position(|fake| fake.id == id) else {
                let outcome = Outcome::Unknown;
                let answer = Event::CommandAnswered { command, sent, outcome, clock_ms: 0, epoch };
                self.post(NETWORK_DELAY, answer);
                continue;
            };
            let to = Addressee { index, id };
            let delay = self.occupy(self.command_cost) + NETWORK_DELAY;
            if delay < CALL_TIMEOUT {
                let arrival = Event::CommandArrives { to, command, sent, token, lease_ms, epoch };
                self.post(delay, arrival);
            } else {
                self.time_out(delay, to, command, sent, token, lease_ms, epoch);
            }
        }
    }

    /// The scheduler gets no answer to a command in time; the command takes effect after `delay`.
    #[allow(clippy::too_many_arguments, reason = "the fields of an event")]
    fn time_out(
        &mut self,
        delay: Duration,
        to: Addressee,
        command: Command,
        sent: Sent,
        token: u64,
        lease_ms: u64,
        epoch: u64,
    ) {
        self.monitor.lost(self.now + CALL_TIMEOUT, command.name.job);
        let outcome = Outcome::Unknown;
        let timeout =
            Event::CommandAnswered { command: command.clone(), sent, outcome, clock_ms: 0, epoch };
        self.post(CALL_TIMEOUT, timeout);
        // A send time of zero marks the command as delayed, so that it takes effect on arrival.
        let sent = Sent { at: Time::ZERO, token_raises: sent.token_raises };
        let epoch = 0;
        let arrival = Event::CommandArrives { to, command, sent, token, lease_ms, epoch };
        self.post(delay, arrival);
    }

    fn send_write(&mut self) {
        let now = self.now;
        // The leader's row is renewed although nothing has changed, too; such a write matters only if it holds more.
        let renews = now.since(self.write_sent) >= RENEWAL_INTERVAL;
        let has_rows = self.core().is_dirty(now) || (renews && self.core().has_newly_begun());
        if self.writing || !has_rows {
            return;
        }
        let expiry_changes = self.core().take_expiry_changes(now, now.as_millis(), 10);
        let mut machine_rows = machines::Rows::default();
        if self.machine_rows.is_some() {
            machine_rows.take(now, self.core());
        }
        // Expiries were taken already.
        self.core().writes_others(now);
        let limits = self.limits;
        let rows = self.core().begin_write(limits);
        self.writing = true;
        self.write_sent = now;
        let epoch = self.epoch;
        let wait = self.store_down_until.since(now);
        self.post(
            wait + self.write_time,
            Event::WriteApplied { rows, expiry_changes, machine_rows, epoch },
        );
    }

    fn send_heartbeats(&mut self) {
        let now = self.now;
        let epoch = self.epoch;
        for id in self.gone.clone() {
            if let Some(key) = self.key_of(&id)
                && self.core().needs_heartbeat(now, key)
            {
                self.core().mark_unresponsive(now, key, "gone");
            }
        }
        for index in 0..self.fakes.len() {
            let Some(key) = self.find(index) else { continue };
            let next = self.next_heartbeat.get(&index).copied();
            let pending = next.is_some_and(|at| at > now);
            if pending || !self.core().needs_heartbeat(now, key) {
                continue;
            }
            let instance = self.core().instance(key);
            if instance.last_end_seen > instance.last_end_stored
                && next.is_some_and(|at| now.since(at) < ms(500))
            {
                continue;
            }
            let (raises, last_seen) = (instance.token_raises, instance.last_end_stored);
            let in_sync = instance.synced
                && instance.is_seen(now)
                && !instance.outcome_unknown
                && instance.unresponsive_since.is_none();
            let on_trial = !instance.trials.is_empty();
            let token = (epoch << RAISE_BITS) + u64::from(raises);
            let lease_ms = self.core().heartbeat_lease(now, key);
            let sent = Sent { at: now, token_raises: raises };
            let wait = match in_sync {
                true if !on_trial => HEARTBEAT_WAIT,
                true => TRIAL_HEARTBEAT_WAIT,
                false => Duration::ZERO,
            };
            self.next_heartbeat.insert(index, now + wait + CALL_TIMEOUT);
            self.heartbeat_sent.insert(index, now);
            if self.fakes[index].mutes_heartbeats {
                self.next_heartbeat.insert(index, now + Duration::from_secs(3_600));
                continue;
            }
            let delay = self.occupy(self.heartbeat_cost) + NETWORK_DELAY;
            self.post(
                delay,
                Event::HeartbeatArrives { index, sent, token, lease_ms, last_seen, epoch },
            );
            let timeout = Event::HeartbeatAnswered { index, sent, heartbeat: None, epoch };
            self.post(wait + CALL_TIMEOUT, timeout);
        }
    }

    fn deliver(&mut self, event: Event) {
        match event {
            Event::CommandArrives { to, command, sent, token, lease_ms, epoch } => {
                self.command_arrives(to, command, sent, token, lease_ms, epoch);
            }
            Event::CommandAnswered { command, sent, outcome, clock_ms, epoch } => {
                if epoch != self.epoch || self.core.is_none() {
                    return;
                }
                let now = self.now;
                if !matches!(command.action, Action::Start { .. }) {
                    return;
                }
                self.core().apply_start_result(now, &command, sent, outcome, Some(clock_ms));
                let id = self.core().instance(command.instance).report.id.clone();
                if outcome.needs_heartbeat()
                    && let Some(index) = self.fakes.iter().position(|fake| fake.id == id)
                {
                    self.hasten_heartbeat(index);
                }
            }
            Event::HeartbeatArrives { index, sent, token, lease_ms, last_seen, epoch } => {
                if self.loses(self.losses.heartbeats) {
                    return;
                }
                let fake = &mut self.fakes[index];
                let lease_ms = lease_ms.map(|lease_ms| fake.shorten(self.now, lease_ms));
                if !fake.reachable(self.now)
                    || !fake.renew(token, lease_ms, last_seen, &mut self.monitor)
                {
                    return;
                }
                let next = self.next_heartbeat.get(&index).copied().unwrap_or(self.now);
                let until = self.now + next.since(sent.at).saturating_sub(CALL_TIMEOUT);
                let incarnation = fake.incarnation;
                let pending = PendingHeartbeat { sent, last_seen, until, epoch, incarnation };
                self.pending_heartbeats.insert(index, pending);
                self.answer_heartbeat(index);
            }
            Event::HeartbeatAnswered { index, sent, heartbeat, epoch } => {
                self.heartbeat_answered(index, sent, heartbeat, epoch)
            }
            Event::WriteApplied { rows, expiry_changes, machine_rows, epoch } => {
                if epoch == self.epoch && !self.takes(&rows, machine_rows.len()) {
                    self.refused_writes += 1;
                    self.post(NETWORK_DELAY, Event::WriteRefused { epoch });
                    return;
                }
                if let (true, Some(stored)) = (epoch == self.epoch, &mut self.machine_rows) {
                    stored.merge(machine_rows);
                }
                self.apply_write(rows, expiry_changes, epoch)
            }
            Event::WriteConfirmed { epoch } => {
                if epoch == self.epoch && self.core.is_some() {
                    self.write_confirmed();
                }
            }
            Event::WriteRefused { epoch } => {
                if epoch == self.epoch && self.core.is_some() {
                    self.writing = false;
                    let now = self.now;
                    self.core().reject_write(now);
                }
            }
            Event::SubmissionArrives { submission } => self.submission_arrives(submission),
            Event::SubmissionReceived { submission, epoch } => {
                self.submission_received(submission, epoch);
            }
        }
    }

    fn command_arrives(
        &mut self,
        to: Addressee,
        command: Command,
        sent: Sent,
        token: u64,
        lease_ms: u64,
        epoch: u64,
    ) {
        let now = self.now;
        let index = to.index;
        let ignored =
            self.fakes[index].ignores_starts && matches!(command.action, Action::Start { .. });
        let stops = matches!(command.action, Action::Stop);
        let ignored = ignored || (stops && self.loses(self.losses.stops));
        if ignored || !self.fakes[index].reachable(now) {
            let outcome = Outcome::Unknown;
            self.post(
                CALL_TIMEOUT,
                Event::CommandAnswered { command, sent, outcome, clock_ms: 0, epoch },
            );
            return;
        }
        let starts = matches!(command.action, Action::Start { .. });
        if starts {
            self.monitor.quota.sent(command.name, command.run, sent.at);
        }
        if starts
            && sent.at.since(Time::ZERO) > Duration::ZERO
            && self.random(100) < self.late_percent
        {
            let delay = ms(500 + self.random(6_000));
            self.time_out(delay, to, command, sent, token, lease_ms, epoch);
            return;
        }
        let fake = &mut self.fakes[index];
        let lease_ms = fake.shorten(now, lease_ms);
        let outcome = if fake.id == to.id {
            fake.command(now, &command, token, lease_ms, &mut self.monitor)
        } else {
            Outcome::Refused(Refusal::Incarnation)
        };
        let clock_ms = self.fakes[index].clock_ms(now);
        self.post(
            NETWORK_DELAY,
            Event::CommandAnswered { command, sent, outcome, clock_ms, epoch },
        );
    }

    /// Key of a fake instance in the present term, if the scheduler knows it.
    fn find(&self, fake: usize) -> Option<Key> {
        self.key_of(&self.fakes[fake].id)
    }

    fn key_of(&self, id: &str) -> Option<Key> {
        let core = self.core.as_ref()?;
        core.instances().find(|(_, instance)| instance.report.id == id).map(|(key, _)| key)
    }

    /// Answers a heartbeat call that an instance holds back, if there is an ended run to report or
    /// the call has waited long enough.
    fn answer_heartbeat(&mut self, index: usize) {
        let Some(pending) = self.pending_heartbeats.get(&index).cloned() else { return };
        let now = self.now;
        let fake = &self.fakes[index];
        if fake.incarnation != pending.incarnation {
            self.pending_heartbeats.remove(&index);
            return;
        }
        let may_wait = self
            .next_heartbeat
            .get(&index)
            .is_some_and(|&until| until.since(pending.sent.at) > CALL_TIMEOUT);
        if fake.has_end(pending.last_seen) || now >= pending.until || !may_wait {
            self.pending_heartbeats.remove(&index);
            if !fake.reachable(now) {
                return;
            }
            let heartbeat = Some(fake.heartbeat(now));
            let (sent, epoch) = (pending.sent, pending.epoch);
            self.post(NETWORK_DELAY, Event::HeartbeatAnswered { index, sent, heartbeat, epoch });
        }
    }

    fn heartbeat_answered(
        &mut self,
        index: usize,
        sent: Sent,
        heartbeat: Option<scheduler::instance::Heartbeat>,
        epoch: u64,
    ) {
        if epoch != self.epoch || self.core.is_none() {
            return;
        }
        if self.heartbeat_sent.get(&index) != Some(&sent.at) {
            // The call was answered or timed out before.
            return;
        }
        self.heartbeat_sent.remove(&index);
        let now = self.now;
        let Some(key) = self.find(index) else { return };
        match heartbeat {
            Some(heartbeat) => {
                let interval = ms(20).mul_f64(self.core().pressure()).min(self.tuning.lease / 4);
                self.next_heartbeat.insert(index, now + interval);
                self.core().heartbeat(now, key, sent, &heartbeat);
            }
            None => {
                self.next_heartbeat.insert(index, now + ms(250));
                self.pending_heartbeats.remove(&index);
                self.core().mark_unresponsive(now, key, "no answer");
            }
        }
    }

    /// Has the scheduler read the instance list now.
    pub fn list_now(&mut self) {
        let (now, reports) = (self.now, self.reports());
        self.last_list = now;
        self.core().apply_instances(now, now, reports);
    }

    /// Writes what the leader writes last when it steps down; a write in flight ends first.
    pub fn write_last(&mut self) {
        while self.writing {
            self.run(TIME_STEP);
        }
        self.write_at_once();
    }

    /// Writes all changes at once, unless a write is in flight.
    pub fn write_at_once(&mut self) {
        if self.writing {
            return;
        }
        let now = self.now;
        let limits = self.limits;
        let rows = self.core().begin_write(limits);
        self.store_rows(rows);
        self.core().finish_write(now);
    }

    fn apply_write(&mut self, rows: Vec<Row>, expiry_changes: Vec<ExpiryChange>, epoch: u64) {
        // A write of a previous leader fails: the store checks its epoch.
        if epoch != self.epoch {
            return;
        }
        if self.core.is_some() && self.loses(self.losses.writes) {
            self.fail_write();
            return;
        }
        self.store_rows(rows);
        for change in expiry_changes {
            match change.expires_ms {
                Some(expires_ms) => self.expiries.insert(change.instance, expires_ms),
                None => self.expiries.remove(&change.instance),
            };
        }
        self.post(NETWORK_DELAY, Event::WriteConfirmed { epoch });
    }

    /// Whether the store takes these rows of jobs, and so many others.
    fn takes(&self, rows: &[Row], others: usize) -> bool {
        let bytes: usize = rows.iter().map(Row::bytes).sum();
        let fits = |row: &Row| row.value.as_ref().is_none_or(|value| value.len() <= MAX_ROW_BYTES);
        let refused = |row: &Row| {
            let job = part::Part::parse_key(&row.key).map(|(id, _)| id);
            job.is_some_and(|id| self.refused_jobs.contains(&id))
        };
        rows.len() <= self.limits.rows
            && rows.len() + others <= MAX_ENTRIES
            && bytes <= self.limits.bytes
            && rows.iter().all(fits)
            && !rows.iter().any(refused)
    }

    fn store_rows(&mut self, rows: Vec<Row>) {
        let mut changed = Vec::new();
        for Row { table, key, value } in rows {
            let (id, _) = part::Part::parse_key(&key).expect("the key of a job's row");
            match (table, value) {
                (Table::Bodies, Some(value)) => {
                    let body = serde_json::from_slice(&value).expect("a body");
                    self.bodies.insert(id, body);
                }
                (Table::Bodies, None) => {
                    self.bodies.remove(&id);
                }
                (Table::Progress, Some(value)) => {
                    self.progress_rows.insert(key, value);
                    changed.push(id);
                }
                (Table::Progress, None) => {
                    self.progress_rows.remove(&key);
                    changed.push(id);
                }
            }
        }
        changed.dedup();
        for id in changed {
            let (first, last) = (id.to_string(), format!("{id}/"));
            let rows = self.progress_rows.range(first..last);
            let rows = rows.map(|(key, row)| (key.as_str(), row.as_slice()));
            match part::assemble(rows).progress.remove(&id) {
                Some(progress) => {
                    self.accepted.entry(id).or_insert(self.now);
                    if progress.state == State::Completed {
                        self.completed.entry(id).or_insert(self.now);
                    }
                    self.monitor.stored(id, &progress);
                    self.progress.insert(id, progress);
                }
                None => {
                    self.progress.remove(&id);
                }
            }
        }
    }

    fn write_confirmed(&mut self) {
        self.writing = false;
        let now = self.now;
        self.core().finish_write(now);
    }

    /// Percent of jobs that were completed by their deadlines.
    pub fn on_time(&self, deadlines: &BTreeMap<Id, Time>) -> u64 {
        let done = deadlines
            .iter()
            .filter(|(id, at)| self.completed.get(*id).is_some_and(|done| done <= *at));
        (done.count() * 100 / deadlines.len().max(1)) as u64
    }
}

impl Site {
    /// Key of a fake instance in the present term.
    pub fn key(&mut self, fake: usize) -> Key {
        self.find(fake).expect("an instance that the scheduler knows")
    }
}
