//! A fake instance with leases, fencing tokens, run ends and switches for faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use fleet::time::Time;
use scheduler::Command;
use scheduler::command::Action;
use scheduler::command::Outcome;
use scheduler::command::Refusal;
use scheduler::instance::Capacity;
use scheduler::instance::End;
use scheduler::instance::Exit;
use scheduler::instance::Heartbeat;
use scheduler::instance::Report;
use scheduler::instance::Run;
use scheduler::job::Id;
use scheduler::job::Step;
use scheduler::job::TaskName;

use super::Monitor;

/// Usual time after a change of an instance's capacity in which it may still be filled as before.
const RESIZE_GRACE: Duration = Duration::from_millis(4_500);

/// Maximum number of ended runs that one heartbeat answer lists.
const MAX_ENDS: usize = 500;

/// Speed of a long-running run on a slow instance, in percent of its full speed.
const SLOW_PERCENT: u8 = 60;

/// A run in progress.
#[derive(Clone, Debug)]
struct Active {
    run: u32,
    started: Time,
    duration: Duration,
    long_running: bool,
    /// When it stops, if it was commanded to.
    stops_at: Option<Time>,
    /// Whether it fails now.
    fails: bool,
    /// Whether it makes no progress and does not end by itself.
    hangs: bool,
    /// Whether another member of its gang has ended.
    gang_broken: bool,
}

/// How a task crashes the instances on which it starts.
#[derive(Clone, Copy, Debug)]
pub struct Deadly {
    /// Time from the start to the crash; if zero, the start gets no answer.
    pub after: Duration,
    /// Time from the crash until the instance has restarted.
    pub restarts_after: Duration,
}

/// A change of an instance's capacity.
#[derive(Clone, Copy, Debug)]
struct Resize {
    before: Capacity,
    after: Capacity,
    /// When its entry in the list shows the change.
    listed_at: Time,
    /// Until when it may be filled as before.
    allowed_until: Time,
}

/// A fake instance.
#[derive(Clone, Debug)]
pub struct Fake {
    pub id: String,
    pub service: String,
    pub capacity: Capacity,
    /// Whether it refuses runs that exceed its free capacity.
    pub checks_admission: bool,
    /// Time after a change of its capacity in which it may still be filled as before.
    pub resize_grace: Duration,
    /// Changes of its capacity, the oldest first.
    resizes: Vec<Resize>,
    pub labels: Vec<String>,
    pub incarnation: u64,
    /// The incarnation that its entry in the list shows; None if that is the present one.
    pub listed_incarnation: Option<u64>,
    pub draining: bool,
    /// The network delivers nothing to it before this time.
    pub unreachable_until: Time,
    /// The instance list lacks it before this time.
    pub unlisted_until: Time,
    /// Its process is down before this time.
    pub down_until: Time,
    /// Whether all of its runs fail.
    pub fails: bool,
    /// Time after which a run fails, if it is to fail.
    pub fails_after: Duration,
    /// Jobs whose runs all fail.
    pub impossible: BTreeSet<Id>,
    /// Tasks that crash it.
    pub deadly: BTreeMap<TaskName, Deadly>,
    /// Whether it neither carries out nor answers start commands.
    pub ignores_starts: bool,
    /// How it refuses all start commands, if it does.
    pub refuses_starts: Option<Refusal>,
    /// Whether heartbeat calls to it neither return nor fail.
    pub mutes_heartbeats: bool,
    /// Whether all of its runs hang.
    pub hangs: bool,
    /// Its long-running runs work at [`SLOW_PERCENT`] before this time.
    pub slow_until: Time,
    /// Time from the start of a long-running run until it works at full speed.
    pub startup: Duration,
    /// Longest lease that it takes, in milliseconds; longer ones are shortened to it.
    pub max_lease_ms: u64,
    /// Whether its clock starts anew with its process.
    pub restarts_clock: bool,
    /// When its clock has started.
    clock_started: Time,
    /// By how many thousandths its clock runs slow.
    pub clock_lag_permille: u64,
    /// Durations of runs by step, in milliseconds.
    pub durations_ms: BTreeMap<u32, u64>,
    /// Duration of runs of the other steps, in milliseconds.
    pub default_duration_ms: u64,
    /// Percent of its usual duration that a task takes which starts beside another.
    pub percent_beside: fn(TaskName, TaskName) -> u64,
    pub long_running: bool,
    /// Number of starts that it has refused for want of room.
    pub refused_starts: u64,
    token: u64,
    leased_until_ms: u64,
    running: BTreeMap<TaskName, Active>,
    ended: Vec<End>,
    /// Number of its newest run end.
    last_end: u64,
    /// Per task, the highest run that ended or was stopped: it and lower ones are refused.
    refused: BTreeMap<TaskName, u32>,
}

impl Fake {
    /// An instance of 8 cores.
    pub fn new(id: &str, service: &str, rack: &str) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            capacity: Capacity { cpu: 8_000, memory: 8_000, accelerators: 0 },
            checks_admission: true,
            resize_grace: RESIZE_GRACE,
            resizes: Vec::new(),
            labels: vec!["a".to_owned(), rack.to_owned()],
            incarnation: 1_000,
            listed_incarnation: None,
            draining: false,
            unreachable_until: Time::ZERO,
            unlisted_until: Time::ZERO,
            down_until: Time::ZERO,
            fails: false,
            fails_after: Duration::ZERO,
            impossible: BTreeSet::new(),
            deadly: BTreeMap::new(),
            ignores_starts: false,
            refuses_starts: None,
            mutes_heartbeats: false,
            hangs: false,
            slow_until: Time::ZERO,
            startup: Duration::ZERO,
            max_lease_ms: u64::MAX / 2,
            restarts_clock: false,
            clock_started: Time::ZERO,
            clock_lag_permille: 0,
            durations_ms: BTreeMap::new(),
            default_duration_ms: 500,
            percent_beside: |_, _| 100,
            long_running: false,
            refused_starts: 0,
            token: 0,
            leased_until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            refused: BTreeMap::new(),
        }
    }

    pub fn listed(&self, now: Time) -> bool {
        now >= self.down_until && now >= self.unlisted_until
    }

    pub fn reachable(&self, now: Time) -> bool {
        now >= self.down_until && now >= self.unreachable_until
    }

    /// Changes its capacity, which its entry in the list shows after `listed_after`.
    pub fn resize(&mut self, now: Time, capacity: Capacity, listed_after: Duration) {
        let before = std::mem::replace(&mut self.capacity, capacity);
        let (listed_at, allowed_until) = (now + listed_after, now + self.resize_grace);
        self.resizes.push(Resize { before, after: capacity, listed_at, allowed_until });
    }

    /// The capacity that its entry in the list shows.
    fn listed_capacity(&self, now: Time) -> Capacity {
        let listed = self.resizes.iter().rev().find(|resize| now >= resize.listed_at);
        let first = self.resizes.first().map_or(self.capacity, |resize| resize.before);
        listed.map_or(first, |resize| resize.after)
    }

    pub fn report(&self, now: Time) -> Report {
        Report {
            id: self.id.clone(),
            service: self.service.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: "a".to_owned(),
            capacity: self.listed_capacity(now),
            labels: self.labels.clone(),
            draining: self.draining,
            remaining: None,
            incarnation: self.listed_incarnation.unwrap_or(self.incarnation),
            sequence: 1,
        }
    }

    /// A run is done that the scheduler does not know of.
    pub fn finish_unknown(&mut self, task: TaskName, run: u32) {
        self.last_end += 1;
        self.refused.insert(task, run);
        let (number, exit) = (self.last_end, Exit::Done);
        self.ended.push(End { number, task, run, exit, checkpoint: String::new() });
    }

    /// Number of ended runs that the scheduler has not told it to forget.
    pub fn unforgotten_ends(&self) -> usize {
        self.ended.len()
    }

    pub fn clock_ms(&self, now: Time) -> u64 {
        now.since(self.clock_started).as_millis() as u64 * (1_000 - self.clock_lag_permille) / 1_000
    }

    /// A lease as it takes it.
    pub fn shorten(&self, now: Time, lease_ms: u64) -> u64 {
        lease_ms.min(self.clock_ms(now) + self.max_lease_ms)
    }

    /// Its process crashes, loses its state and its runs, and restarts `after` a time.
    pub fn crash(&mut self, now: Time, after: Duration, monitor: &mut Monitor) {
        self.running.keys().for_each(|name| monitor.crashed(*name));
        self.turn_off(now, after, monitor);
    }

    /// Its machine goes down, whatever runs there, and it restarts `after` a time.
    pub fn turn_off(&mut self, now: Time, after: Duration, monitor: &mut Monitor) {
        for (name, active) in std::mem::take(&mut self.running) {
            monitor.ended(now, name, active.run, &self.id, None);
        }
        monitor.leases_expired(&self.id);
        self.down_until = now + after;
        if self.restarts_clock {
            self.clock_started = now;
        }
        self.incarnation += 1;
        self.token = 0;
        self.leased_until_ms = 0;
        self.ended.clear();
        self.last_end = 0;
        self.refused.clear();
    }

    /// Renews the lease of all runs and forgets ends up to `last_seen`; returns whether the token is
    /// high enough.
    pub fn renew(
        &mut self,
        token: u64,
        lease_ms: Option<u64>,
        last_seen: u64,
        monitor: &mut Monitor,
    ) -> bool {
        if token < self.token {
            return false;
        }
        self.token = token;
        self.leased_until_ms = self.leased_until_ms.max(lease_ms.unwrap_or_default());
        for end in self.ended.extract_if(.., |end| end.number <= last_seen) {
            if end.exit == Exit::Done {
                monitor.acknowledged(end.task);
            }
        }
        true
    }

    pub fn has_end(&self, last_seen: u64) -> bool {
        self.ended.iter().any(|end| end.number > last_seen)
    }

    pub fn heartbeat(&self, now: Time) -> Heartbeat {
        let running = self.running.iter().map(|(task, active)| {
            let elapsed = now.since(active.started).as_millis() as u64;
            let percent = if active.long_running {
                self.speed(now, active)
            } else if self.hangs || active.hangs {
                0
            } else {
                (elapsed * 100 / (active.duration.as_millis() as u64).max(1)).min(99) as u8
            };
            Run { task: *task, run: active.run, checkpoint: String::new(), percent, metric: 0 }
        });
        Heartbeat {
            incarnation: self.incarnation,
            clock_ms: self.clock_ms(now),
            running: running.collect(),
            ended: self.ended.iter().take(MAX_ENDS).cloned().collect(),
            more_ended: self.ended.len() >= MAX_ENDS,
            last_listed_end: self
                .ended
                .iter()
                .take(MAX_ENDS)
                .next_back()
                .map_or(0, |end| end.number),
        }
    }

    pub fn command(
        &mut self,
        now: Time,
        command: &Command,
        token: u64,
        lease_ms: u64,
        monitor: &mut Monitor,
    ) -> Outcome {
        if let (Some(refusal), Action::Start { .. }) = (self.refuses_starts, &command.action) {
            return Outcome::Refused(refusal);
        }
        if token < self.token {
            return Outcome::Refused(Refusal::Fence);
        }
        self.token = token;
        match &command.action {
            Action::Start { .. } => self.start(now, command, lease_ms, monitor),
            Action::Stop => {
                let refused = self.refused.entry(command.name).or_default();
                *refused = (*refused).max(command.run);
                if let Some(active) = self.running.get_mut(&command.name)
                    && active.run == command.run
                {
                    monitor.stop_orders.push((command.name, command.run));
                    active.stops_at.get_or_insert(now + Duration::from_millis(200));
                }
                Outcome::Started
            }
            Action::Throttle { .. } => Outcome::Started,
        }
    }

    fn start(
        &mut self,
        now: Time,
        command: &Command,
        lease_ms: u64,
        monitor: &mut Monitor,
    ) -> Outcome {
        self.leased_until_ms = self.leased_until_ms.max(lease_ms);
        if self.running.get(&command.name).is_some_and(|active| active.run == command.run) {
            return Outcome::Started;
        }
        if self.refused.get(&command.name).is_some_and(|&refused| command.run <= refused) {
            return Outcome::Refused(Refusal::Old);
        }
        if self.leased_until_ms <= self.clock_ms(now) {
            return Outcome::Refused(Refusal::Late);
        }
        let step = monitor.step(command.name);
        let used: u64 = self.running.keys().map(|name| monitor.step(*name).cpu).sum();
        if self.checks_admission && used + step.cpu > self.capacity.cpu {
            self.refused_starts += 1;
            return Outcome::Refused(Refusal::Room);
        }
        if !self.checks_admission {
            self.check_capacity(now, command, &step, monitor);
        }
        let duration =
            self.durations_ms.get(&command.name.step).copied().unwrap_or(self.default_duration_ms);
        let beside = self.running.keys().map(|&other| (self.percent_beside)(command.name, other));
        let percent = beside.max().unwrap_or(100);
        let active = Active {
            run: command.run,
            started: now,
            duration: Duration::from_millis(duration * percent / 100),
            long_running: step.long_running,
            stops_at: None,
            fails: false,
            hangs: false,
            gang_broken: false,
        };
        monitor.started(now, command.name, command.run, &self.id);
        self.running.insert(command.name, active);
        match self.deadly.get(&command.name) {
            Some(deadly) if deadly.after.is_zero() => {
                self.crash(now, deadly.restarts_after, monitor);
                Outcome::Unknown
            }
            _ => Outcome::Started,
        }
    }

    /// Records a violation if a run exceeds its capacity.
    fn check_capacity(&self, now: Time, command: &Command, step: &Step, monitor: &mut Monitor) {
        let mut allowed = self.capacity;
        for Resize { before, .. } in self.resizes.iter().filter(|it| now < it.allowed_until) {
            allowed.cpu = allowed.cpu.max(before.cpu);
            allowed.memory = allowed.memory.max(before.memory);
        }
        let (cpu, memory) = self.used(monitor);
        if cpu + step.booked_cpu() > allowed.cpu || memory + step.memory > allowed.memory {
            monitor.violations.push(format!(
                "{now}: {} run {} on {} beside {cpu} millicores and {memory} MB, beyond {allowed:?}",
                command.name, command.run, self.id
            ));
        }
    }

    /// Ends the runs that are done, stopped, failed or past their lease at `now`.
    pub fn advance(&mut self, now: Time, monitor: &mut Monitor) {
        if now < self.down_until {
            return;
        }
        let deadly = self.running.iter().find_map(|(name, active)| {
            let deadly = self.deadly.get(name)?;
            (now.since(active.started) >= deadly.after).then_some(*deadly)
        });
        if let Some(deadly) = deadly {
            self.crash(now, deadly.restarts_after, monitor);
            return;
        }
        let expired = self.clock_ms(now) > self.leased_until_ms;
        if expired && self.leased_until_ms > 0 {
            monitor.leases_expired(&self.id);
        }
        let mut ended = Vec::new();
        for (name, active) in &self.running {
            let ends = !active.long_running && !self.hangs && !active.hangs;
            let done = ends && now.since(active.started) >= active.duration;
            let exit = if expired {
                Exit::Expired
            } else if active.gang_broken {
                Exit::GangBroken
            } else if active.fails {
                Exit::Failed
            } else if active.stops_at.is_some_and(|at| now >= at) {
                Exit::Stopped
            } else if (self.fails || self.impossible.contains(&name.job))
                && now.since(active.started) >= self.fails_after
            {
                Exit::Failed
            } else if done {
                Exit::Done
            } else {
                continue;
            };
            ended.push((*name, active.run, exit));
        }
        for (task, run, exit) in ended {
            self.running.remove(&task);
            self.last_end += 1;
            let number = self.last_end;
            let refused = self.refused.entry(task).or_default();
            *refused = (*refused).max(run);
            monitor.ended(now, task, run, &self.id, Some(exit));
            self.ended.push(End { number, task, run, exit, checkpoint: String::new() });
        }
    }

    /// Ends the members of a gang, since one has crashed its instance.
    pub fn break_gang(&mut self, member: TaskName) {
        let members = self.running.iter_mut().filter(|(name, _)| {
            name.job == member.job
                && name.occurrence == member.occurrence
                && name.step == member.step
        });
        members.for_each(|(_, active)| active.gang_broken = true);
    }

    /// Its runs in progress hang for ever, unlike those that start later.
    pub fn hang_runs(&mut self) {
        self.running.values_mut().for_each(|active| active.hangs = true);
    }

    /// Fails one long-running run, if there is any.
    pub fn fail_long_running(&mut self) {
        if let Some(active) = self.running.values_mut().find(|active| active.long_running) {
            active.fails = true;
        }
    }

    /// Speed of a long-running run, in percent of its full speed.
    fn speed(&self, now: Time, active: &Active) -> u8 {
        if now < self.slow_until {
            SLOW_PERCENT
        } else if now.since(active.started) < self.startup {
            0
        } else {
            100
        }
    }

    /// Long-running runs in progress, and whether each works at full speed on an instance that is not
    /// draining.
    pub fn long_runs(&self, now: Time) -> impl Iterator<Item = (TaskName, u32, bool)> {
        let long_running = self.running.iter().filter(|(_, active)| active.long_running);
        long_running.map(move |(name, active)| {
            (*name, active.run, !self.draining && self.speed(now, active) == 100)
        })
    }

    /// Whether its run of a task was told to stop.
    pub fn is_stopping(&self, name: TaskName) -> bool {
        self.running.get(&name).is_some_and(|active| active.stops_at.is_some())
    }

    /// Whether it completes what is started on it.
    pub fn is_sound(&self, now: Time) -> bool {
        let starts = !self.ignores_starts && self.refuses_starts.is_none();
        let works = !self.fails && !self.hangs && starts;
        self.reachable(now) && !self.draining && works
    }

    /// CPU and memory of the runs in progress.
    pub fn used(&self, monitor: &Monitor) -> (u64, u64) {
        let steps = self.running.keys().map(|name| monitor.step(*name));
        steps.fold((0, 0), |(cpu, memory), step| (cpu + step.booked_cpu(), memory + step.memory))
    }

    /// Number of runs in progress.
    pub fn runs(&self) -> usize {
        self.running.len()
    }

    /// Number of runs in progress of a job.
    pub fn runs_job(&self, job: Id) -> usize {
        self.running.keys().filter(|name| name.job == job).count()
    }
}
