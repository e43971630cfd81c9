//! Machines: which change their pool, and which are maintained when.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;
use tracing::warn;

use super::Core;
use crate::job::Phase;
use crate::job::TaskKey;
use crate::machine::Duty;
use crate::machine::Machine;
use crate::machine::Outcome;
use crate::machine::Progress;
use crate::machine::State;
use crate::machine::Wave;
use crate::runner;
use crate::runner::Runner;

/// Time after which a call without answer, or refused for the moment, is made again.
const RETRY: Duration = Duration::from_millis(400);

/// Longest wait for a machine to empty before its call is dropped: the longest short task.
const PATIENCE: Duration = Duration::from_secs(4);

/// Longest time a machine may take beyond its move or maintenance before it is listed as up.
const OVERRUN: Duration = Duration::from_secs(3);

/// Room beyond the demand of the moment that a pool keeps: demand climbs while a machine moves.
const HEADROOM: f64 = 1.1;

/// Room that each pool keeps, in thousandths of a core: what the first jobs of a hill ask for.
const RESERVE: f64 = 40_000.0;

/// Share of the processors of machines in use whose instances must be known before any moves.
const KNOWN: f64 = 0.5;

/// Share of all machines that may be on the move at once: bounds what one wrong guess costs.
const MAX_MOVING: f64 = 0.5;

/// A call on its way to a machine.
#[derive(Clone, Debug)]
struct Errand {
    duty: Duty,
    /// When it was decided.
    since: Time,
    /// When it is to be made, or made again.
    next: Time,
    /// When the platform accepted it.
    accepted: Option<Time>,
    /// Whether it may have been made.
    called: bool,
    /// Whether the store knows that it is about to be made.
    log: Log,
}

/// Whether the store knows of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Log {
    /// It need not yet.
    Idle,
    /// It should.
    Wanted,
    /// A write that says so is under way.
    Writing,
    /// It does.
    Written,
}

/// Calls to machines, and what else is known of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Ledger {
    errands: BTreeMap<String, Errand>,
    /// Since when a machine has been without tasks.
    idle: BTreeMap<String, Time>,
    /// When a machine last came into its pool.
    arrived: BTreeMap<String, Time>,
    /// Whether the store lacks what is known of waves.
    dirty: bool,
    /// Machines that an earlier holder may have called lately: not before this time.
    held: BTreeMap<String, Time>,
    /// When pools were last logged.
    logged: Option<Time>,
    /// When machines were last listed.
    listed: Option<Time>,
    /// When that list was asked for.
    asked: Option<Time>,
    /// Machines by the instance on them.
    hosts: BTreeMap<String, String>,
}

impl Ledger {
    /// When the newest list of machines was asked for.
    pub(super) const fn asked(&self) -> Option<Time> {
        self.asked
    }
}

/// A call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// What is asked.
    pub duty: Duty,
}

impl Core {
    /// Forbids calls to a machine until `at`: an earlier holder may have made one.
    pub fn hold_machine(&mut self, host: &str, at: Time) {
        self.duties.held.insert(host.to_owned(), at);
    }

    fn is_held(&self, now: Time, host: &str) -> bool {
        self.duties.held.get(host).is_some_and(|&until| now < until)
    }

    /// Whether the store should know of calls that are about to be made.
    pub(super) fn has_calls(&self) -> bool {
        self.duties.errands.values().any(|errand| errand.log == Log::Wanted)
    }

    /// Machines that are about to be called, for the next write, `most` at the most.
    ///
    /// A successor reads there which machines it must leave alone for a while.
    pub fn calls(&mut self, most: usize) -> Vec<String> {
        let wanted = self.duties.errands.iter_mut().filter(|(_, row)| row.log == Log::Wanted);
        let hosts = wanted.take(most).map(|(host, errand)| {
            errand.log = Log::Writing;
            host.clone()
        });
        hosts.collect()
    }

    pub(super) fn calls_unwritten(&mut self) {
        for errand in self.duties.errands.values_mut() {
            if errand.log == Log::Writing {
                errand.log = Log::Wanted;
            }
        }
        self.duties.dirty |= !self.waves.is_empty();
    }

    pub(super) fn calls_written(&mut self) {
        for errand in self.duties.errands.values_mut() {
            if errand.log == Log::Writing {
                errand.log = Log::Written;
            }
        }
    }

    /// Takes in the machines of the site, as asked for at `asked`.
    pub fn machines(&mut self, now: Time, asked: Time, machines: Vec<Machine>) {
        let machines = machines.into_iter().map(|row| (row.host.clone(), row)).collect();
        let before = std::mem::replace(&mut self.machines, machines);
        self.log_machines(&before);
        self.duties.listed = Some(now);
        self.duties.asked = Some(asked);
        self.duties.hosts = self
            .machines
            .values()
            .filter(|machine| !machine.runner.is_empty())
            .map(|machine| (machine.runner.clone(), machine.host.clone()))
            .collect();
        self.end_lives(now, asked);
        self.settle_errands(now);
        self.settle_waves(now);
    }

    /// Gives up what ran on silent instances that no machine carries any more.
    ///
    /// Answers instances that crash while their platform can tell: their work need not wait until
    /// its leases have lapsed.
    fn end_lives(&mut self, now: Time, asked: Time) {
        let hosts = &self.duties.hosts;
        let over = |runner: &Runner| {
            let silent = runner.silent.is_some_and(|since| since < asked);
            silent && runner.answered < asked && !hosts.contains_key(&runner.report.id)
        };
        let over: Vec<runner::Key> = self
            .runners()
            .filter(|(_, runner)| !runner.tasks.is_empty() && over(runner))
            .map(|(key, _)| key)
            .collect();
        for key in over {
            let runner = self.runner_mut(key);
            runner.aligned = false;
            info!(
                event = "runner",
                state = "over",
                runner = runner.report.id,
                silent_ms = now.since(runner.answered).as_millis(),
                tasks = runner.tasks.len(),
            );
            self.free_all(now, key, |_| true);
        }
    }

    /// Whether work hangs on instances that do not answer, so that the list should be read soon.
    pub fn doubts_instances(&self) -> bool {
        self.runners().any(|(_, runner)| runner.silent.is_some() && !runner.tasks.is_empty())
    }

    /// Logs what has changed among machines.
    fn log_machines(&self, before: &BTreeMap<String, Machine>) {
        if before.is_empty() {
            return;
        }
        for (host, machine) in &self.machines {
            if before.get(host) != Some(machine) {
                let (state, pool, runner) = (machine.state, &machine.pool, &machine.runner);
                info!(event = "machine", host, state = ?state, pool, runner);
            }
        }
        for host in before.keys().filter(|host| !self.machines.contains_key(*host)) {
            info!(event = "machine", host, state = "gone");
        }
    }

    /// Takes in what the operator asks of waves.
    pub fn set_waves(&mut self, now: Time, waves: Vec<Wave>) {
        for wave in waves {
            if self.waves.contains_key(&wave.number) {
                continue;
            }
            info!(
                event = "wave",
                wave = wave.number,
                state = "new",
                machines = wave.hosts.len(),
                cap = wave.cap,
                duration_ms = wave.duration.as_millis(),
            );
            let due = now + wave.duration;
            let progress =
                Progress { wave, due, begun: BTreeSet::new(), completed: false, told: false };
            self.waves.insert(progress.wave.number, progress);
        }
    }

    /// Takes over what an earlier scheduler knew of a wave.
    pub fn restore_wave(&mut self, number: u64, begun: BTreeSet<String>, completed: bool) {
        if let Some(wave) = self.waves.get_mut(&number) {
            wave.begun.extend(begun);
            wave.completed |= completed;
        }
    }

    /// Waves under way.
    pub fn waves(&self) -> impl Iterator<Item = &Progress> {
        self.waves.values()
    }

    /// Notes that the operator has been told how a wave stands.
    pub fn wave_told(&mut self, number: u64) {
        if let Some(wave) = self.waves.get_mut(&number) {
            wave.told = true;
        }
    }

    /// Whether the store lacks what is known of waves; noted as being written.
    pub fn take_waves_dirty(&mut self) -> bool {
        std::mem::take(&mut self.duties.dirty)
    }

    /// Whether a machine's maintenance is still to come.
    pub(super) fn upkeep_ahead(&self, runner: &str) -> bool {
        let Some(host) = self.duties.hosts.get(runner) else { return false };
        self.waves.values().any(|wave| {
            !wave.completed && wave.wave.hosts.contains(host) && !wave.begun.contains(host)
        })
    }

    /// Processors on their way into a pool, in thousandths of a core.
    pub(super) fn incoming(&self, service: &str) -> f64 {
        let errands = self.duties.errands.values();
        let coming = errands.filter_map(|errand| match &errand.duty {
            Duty::Move { host, pool } if pool == service => self.machines.get(host),
            _ => None,
        });
        coming.map(|machine| machine.cpu as f64).sum()
    }

    /// Decides what machines are to do, and tells the calls that are due.
    pub fn duties(&mut self, now: Time) -> Vec<Call> {
        if self.duties.listed.is_none() {
            return Vec::new();
        }
        self.log_pools(now);
        self.note_idle(now);
        self.drop_stale(now);
        self.plan_upkeep(now);
        self.plan_moves(now);
        self.due_calls(now)
    }

    fn runner_of(&self, phase: Phase) -> Option<&Runner> {
        phase.runner().map(|key| self.runner(key))
    }

    fn host_runner(&self, host: &str) -> Option<runner::Key> {
        let machine = self.machines.get(host)?;
        self.names.get(&machine.runner).copied()
    }

    fn note_idle(&mut self, now: Time) {
        let machines = &self.machines;
        self.duties.idle.retain(|host, _| machines.contains_key(host));
        for (host, machine) in &self.machines {
            let key = self.names.get(&machine.runner).copied();
            let busy = key.is_none_or(|key| !self.runner(key).tasks.is_empty());
            if busy || machine.state != State::Up {
                self.duties.idle.remove(host);
            } else {
                self.duties.idle.entry(host.clone()).or_insert(now);
            }
        }
    }

    /// Calls for machines that are empty, or hold nothing that may not be ended.
    fn due_calls(&mut self, now: Time) -> Vec<Call> {
        let mut calls = Vec::new();
        let hosts: Vec<String> = self.duties.errands.keys().cloned().collect();
        for host in hosts {
            let errand = &self.duties.errands[&host];
            if errand.accepted.is_some() || errand.next > now || self.is_held(now, &host) {
                continue;
            }
            if matches!(errand.log, Log::Wanted | Log::Writing) {
                continue;
            }
            let logged = errand.log == Log::Written;
            let duty = errand.duty.clone();
            if !errand.called && !self.is_clear(now, &duty) {
                self.evacuate(now, &duty);
                continue;
            }
            if !errand.called {
                self.mark_away(&host);
            }
            let Some(errand) = self.duties.errands.get_mut(&host) else { continue };
            if !logged {
                errand.log = Log::Wanted;
                continue;
            }
            errand.called = true;
            errand.next = now + RETRY;
            // Each further call has to be known, too.
            errand.log = Log::Idle;
            info!(event = "duty", %duty, state = "call");
            calls.push(Call { duty });
        }
        calls
    }

    /// Whether nothing runs on a machine that its call would break off unduly.
    fn is_clear(&self, now: Time, duty: &Duty) -> bool {
        let Some(key) = self.host_runner(duty.host()) else { return true };
        if self.may_hide(now, self.runner(key)) {
            return false;
        }
        let tasks = &self.runner(key).tasks;
        match duty {
            Duty::Move { .. } => tasks.is_empty(),
            Duty::Upkeep { .. } => tasks.iter().all(|&task| self.may_end_beside(task, tasks)),
        }
    }

    /// Ends lasting tasks one by one on a machine that holds too many of one step.
    fn evacuate(&mut self, now: Time, duty: &Duty) {
        let Some(key) = self.host_runner(duty.host()) else { return };
        let tasks = self.runner(key).tasks.clone();
        let crowded = |core: &Self, task: &TaskKey| {
            let lasts = core.jobs[&task.job].step(task.index).long_running;
            lasts && core.may_end(*task) && !core.may_end_beside(*task, &tasks)
        };
        let Some(task) = tasks.iter().find(|task| crowded(self, task)).copied() else { return };
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let state = &mut job.tasks[task.index as usize];
            info!(event = "evacuate", task = ?task, run = state.run, %duty);
            state.away = Some(state.run);
        }
        self.stop(now, task);
    }

    /// Whether a task may be ended by our own doing: it lasts, and enough of its step is at work.
    fn may_end(&self, key: TaskKey) -> bool {
        self.may_end_beside(key, &BTreeSet::new())
    }

    /// The same where others are ended with it.
    fn may_end_beside(&self, key: TaskKey, ended: &BTreeSet<TaskKey>) -> bool {
        let job = &self.jobs[&key.job];
        let step = job.step(key.index);
        if !step.long_running {
            return false;
        }
        let state = &job.tasks[key.index as usize];
        if !matches!(state.phase, Phase::Running(_)) {
            return false;
        }
        if step.may_miss == 0 {
            return true;
        }
        let name = job.name(key.index);
        let members = job.members(name.occurrence, name.step as usize);
        let away = members.filter(|&index| index as u32 != key.index).filter(|&index| {
            let task = &job.tasks[index];
            let works = matches!(task.phase, Phase::Running(_))
                && task.away.is_none()
                && task.percent == 100
                && self.runner_of(task.phase).is_some_and(|runner| runner.silent.is_none());
            !works || ended.contains(&TaskKey { job: key.job, index: index as u32 })
        });
        (away.count() as u32) < step.may_miss
    }

    /// Notes that our own call takes away the tasks on a machine.
    fn mark_away(&mut self, host: &str) {
        let Some(key) = self.host_runner(host) else { return };
        let tasks: Vec<TaskKey> = self.runner(key).tasks.iter().copied().collect();
        for key in tasks {
            if let Some(job) = self.jobs.get_mut(&key.job) {
                let task = &mut job.tasks[key.index as usize];
                task.away = Some(task.run);
            }
        }
    }

    /// Takes in what came of a call.
    pub fn duty_answer(&mut self, now: Time, duty: &Duty, outcome: Outcome) {
        info!(event = "duty", %duty, outcome = ?outcome);
        let Some(errand) = self.duties.errands.get_mut(duty.host()) else { return };
        if errand.duty != *duty {
            return;
        }
        match outcome {
            Outcome::Accepted => {
                errand.accepted = Some(now);
                if let Duty::Upkeep { host, wave } = duty {
                    self.begin_upkeep(*wave, host);
                }
                self.suspect_machine(now, duty.host());
            }
            Outcome::Later | Outcome::Unknown => errand.next = now + RETRY,
            Outcome::Busy | Outcome::Refused => {
                if outcome == Outcome::Refused {
                    warn!(event = "duty", %duty, reason = "the platform refuses it for good");
                }
                self.drop_errand(duty.host());
            }
        }
    }

    fn begin_upkeep(&mut self, wave: u64, host: &str) {
        if let Some(wave) = self.waves.get_mut(&wave) {
            wave.begun.insert(host.to_owned());
            self.duties.dirty = true;
        }
    }

    /// An accepted call ends all that runs on a machine, unless its work was done before. Nothing is
    /// placed there until a list or a look tells which.
    fn suspect_machine(&mut self, now: Time, host: &str) {
        let Some(key) = self.host_runner(host) else { return };
        let runner = self.runner_mut(key);
        runner.aligned = false;
        runner.silent = runner.silent.or(Some(now));
    }

    fn drop_errand(&mut self, host: &str) {
        self.duties.errands.remove(host);
        if let Some(key) = self.host_runner(host) {
            self.runner_mut(key).reserved = false;
        }
    }

    /// Ends errands that are over: the machine is up again with another instance.
    fn settle_errands(&mut self, now: Time) {
        let mut over = Vec::new();
        for (host, errand) in &self.duties.errands {
            let Some(accepted) = errand.accepted else {
                if !self.machines.contains_key(host) {
                    over.push(host.clone());
                }
                continue;
            };
            let time = match &errand.duty {
                Duty::Move { .. } => self.tuning.move_time,
                Duty::Upkeep { .. } => self.tuning.upkeep_time,
            };
            let up = self.machines.get(host).is_some_and(|machine| machine.state == State::Up);
            let gone = !self.machines.contains_key(host);
            if (up && now.since(accepted) >= time) || gone || now.since(accepted) > time + OVERRUN {
                over.push(host.clone());
            }
        }
        for host in over {
            self.drop_errand(&host);
            self.duties.arrived.insert(host, now);
        }
    }

    /// Drops moves whose machine does not become empty.
    fn drop_stale(&mut self, now: Time) {
        let stale: Vec<String> = self
            .duties
            .errands
            .iter()
            .filter(|(_, errand)| !errand.called && now.since(errand.since) > PATIENCE)
            .filter(|(_, errand)| matches!(errand.duty, Duty::Move { .. }))
            .map(|(host, _)| host.clone())
            .collect();
        for host in stale {
            self.drop_errand(&host);
        }
    }

    fn begin(&mut self, now: Time, duty: Duty) {
        info!(event = "duty", %duty, state = "planned");
        if let Some(key) = self.host_runner(duty.host()) {
            self.runner_mut(key).reserved = true;
        }
        let host = duty.host().to_owned();
        let errand =
            Errand { duty, since: now, next: now, accepted: None, called: false, log: Log::Idle };
        self.duties.errands.insert(host, errand);
    }

    /// Completes waves of which every machine that stays has begun.
    fn settle_waves(&mut self, _now: Time) {
        for wave in self.waves.values_mut() {
            let machines = &self.machines;
            let mut staying = wave.wave.hosts.iter().filter(|host| machines.contains_key(*host));
            let done = staying.all(|host| wave.begun.contains(host));
            if done && !wave.completed {
                info!(event = "wave", wave = wave.wave.number, state = "completed");
                wave.completed = true;
                wave.told = false;
                self.duties.dirty = true;
            }
        }
    }

    /// Answers waves: machines go one after the other, empty ones first, never more than allowed.
    fn plan_upkeep(&mut self, now: Time) {
        let numbers: Vec<u64> = self.waves.keys().copied().collect();
        for number in numbers {
            let wave = &self.waves[&number];
            if wave.completed {
                continue;
            }
            let under_way = self.duties.errands.values().filter(
                |errand| matches!(&errand.duty, Duty::Upkeep { wave, .. } if *wave == number),
            );
            let begun_elsewhere = wave.wave.hosts.iter().filter(|host| {
                let machine = self.machines.get(*host);
                machine.is_some_and(|machine| machine.state == State::Upkeep)
                    && !self.duties.errands.contains_key(*host)
            });
            let down = under_way.count() + begun_elsewhere.count();
            let mut room = wave.wave.cap.saturating_sub(down);
            let mut waiting: Vec<(u64, String)> = wave
                .wave
                .hosts
                .iter()
                .filter(|host| !wave.begun.contains(*host))
                .filter(|host| !self.duties.errands.contains_key(*host))
                .filter_map(|host| Some((self.upkeep_cost(host)?, host.clone())))
                .collect();
            waiting.sort();
            for (_, host) in waiting {
                if room == 0 {
                    break;
                }
                room -= 1;
                self.begin(now, Duty::Upkeep { host, wave: number });
            }
        }
    }

    /// What it takes to maintain a machine now; nothing where it can't be.
    fn upkeep_cost(&self, host: &str) -> Option<u64> {
        let machine = self.machines.get(host)?;
        if machine.state != State::Up {
            return None;
        }
        let Some(key) = self.host_runner(host) else { return Some(0) };
        let runner = self.runner(key);
        let mut cost = 0;
        for &task in &runner.tasks {
            let lasts = self.jobs[&task.job].step(task.index).long_running;
            if lasts && !self.may_end(task) {
                return None;
            }
            cost += if lasts { LASTING_COST } else { 1 };
        }
        Some(cost)
    }

    /// Answers queues that peak by turns: machines go where work arrives, and out of use where
    /// none does.
    fn plan_moves(&mut self, now: Time) {
        if !self.knows_pools() {
            return;
        }
        let most = (self.machines.len() as f64 * MAX_MOVING) as usize;
        let mut room = most.saturating_sub(self.moving());
        let mut surplus: Vec<(f64, String)> = Vec::new();
        let mut wanting: Vec<(f64, String)> = Vec::new();
        let services: Vec<String> = self.config.services.keys().cloned().collect();
        for service in services {
            if self.config.is_standby(&service) {
                continue;
            }
            let need = self.need(now, &service);
            let have = self.demand.get(&service).map_or(0.0, |pool| pool.capacity)
                + self.incoming(&service);
            if have < need {
                wanting.push((need - have, service));
            } else {
                surplus.push((have - need, service));
            }
        }
        wanting.sort_by(|one, other| other.0.total_cmp(&one.0));
        for (mut lack, service) in wanting {
            while lack > 0.0 && room > 0 {
                let Some(host) = self.donor(now, &mut surplus) else { return };
                lack -= self.machines.get(&host).map_or(0.0, |machine| machine.cpu as f64);
                room -= 1;
                self.begin(now, Duty::Move { host, pool: service.clone() });
            }
        }
        self.park(now, room, &mut surplus);
    }

    /// Whether enough instances of the machines in use are known to judge what pools lack.
    ///
    /// Answers the first seconds of a site, in which instances have yet to report.
    fn knows_pools(&self) -> bool {
        let machines = self.machines.values();
        let used =
            machines.filter(|row| row.state == State::Up && !self.config.is_standby(&row.pool));
        let expected: f64 = used.map(|machine| machine.cpu as f64).sum();
        let pools = self.demand.iter().filter(|(service, _)| !self.config.is_standby(service));
        let known: f64 = pools.map(|(_, pool)| pool.capacity).sum();
        known >= expected * KNOWN
    }

    /// Logs what pools are asked for and have.
    fn log_pools(&mut self, now: Time) {
        if self.duties.logged.is_some_and(|at| now.since(at) < LOG_POOLS) {
            return;
        }
        self.duties.logged = Some(now);
        for (service, pool) in &self.demand {
            info!(
                event = "pool",
                service,
                need = self.need(now, service) as u64,
                capacity = pool.capacity as u64,
                incoming = self.incoming(service) as u64,
                lasting = pool.lasting as u64,
                asked = pool.asked as u64,
                owed_s = (pool.owed / 1_000_000.0) as u64,
                rate = pool.rate(now, self.tuning.window) as u64,
                moving = self.moving(),
            );
        }
    }

    /// Whether machines are on their way, so that lists should be read more often.
    pub fn expects_machines(&self) -> bool {
        self.duties.errands.values().any(|errand| errand.accepted.is_some())
    }

    fn moving(&self) -> usize {
        let errands = self.duties.errands.values();
        errands.filter(|errand| matches!(errand.duty, Duty::Move { .. })).count()
    }

    /// Processors that a pool should have, in thousandths of a core.
    fn need(&self, now: Time, service: &str) -> f64 {
        let Some(pool) = self.demand.get(service) else { return RESERVE };
        let window = self.tuning.window;
        let rate = pool.rate(now, window);
        let before = pool.rate_until(now - window, window);
        // What a climb adds until a machine that is moved now is at work.
        let climb = (rate - before).max(0.0) * self.tuning.move_time.div_duration_f64(window);
        let expected = (rate + climb) * HEADROOM;
        pool.lasting + RESERVE.max(expected).max(pool.asked)
    }

    /// A machine that its pool can spare: one that is switched off, else the idlest of a pool with
    /// more than it needs.
    fn donor(&mut self, now: Time, surplus: &mut [(f64, String)]) -> Option<String> {
        let standby: Vec<&String> = self
            .config
            .services
            .iter()
            .filter(|(_, row)| row.standby)
            .map(|(name, _)| name)
            .collect();
        let mut best: Option<((u8, u64), String)> = None;
        for (host, machine) in &self.machines {
            if machine.state != State::Up || self.duties.errands.contains_key(host) {
                continue;
            }
            let off = standby.contains(&&machine.pool);
            let spare = surplus
                .iter()
                .any(|(left, service)| *service == machine.pool && *left >= machine.cpu as f64);
            let cost = match self.names.get(&machine.runner) {
                _ if off => Some(0),
                Some(&key) if spare => self.move_cost(now, key),
                _ => None,
            };
            let Some(cost) = cost else { continue };
            let rank = (u8::from(!off), cost);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, host.clone()));
            }
        }
        let (_, host) = best?;
        let machine = self.machines.get(&host)?;
        if let Some(row) = surplus.iter_mut().find(|(_, service)| *service == machine.pool) {
            row.0 -= machine.cpu as f64;
        }
        Some(host)
    }

    /// Time until an instance is empty, in milliseconds; nothing where it holds lasting work.
    fn move_cost(&self, now: Time, key: runner::Key) -> Option<u64> {
        let runner = self.runner(key);
        if !runner.is_sound(now) || runner.report.draining || runner.reserved {
            return None;
        }
        let mut longest = Duration::ZERO;
        for task in &runner.tasks {
            let job = &self.jobs[&task.job];
            let step = job.step(task.index);
            if step.long_running {
                return None;
            }
            longest = longest.max(self.task_time(job, step));
        }
        Some(longest.as_millis() as u64)
    }

    /// Puts machines out of use that have been idle in a pool with more than it needs.
    fn park(&mut self, now: Time, room: usize, surplus: &mut [(f64, String)]) {
        let standby = self.config.services.iter().find(|(_, service)| service.standby);
        let Some(pool) = standby.map(|(name, _)| name.clone()) else { return };
        let idle: Vec<String> = self
            .duties
            .idle
            .iter()
            .filter(|(host, since)| {
                let settled = self
                    .duties
                    .arrived
                    .get(*host)
                    .is_none_or(|at| now.since(*at) > self.tuning.idle);
                now.since(**since) > self.tuning.idle && settled
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in idle.into_iter().take(room) {
            let Some(machine) = self.machines.get(&host) else { continue };
            if machine.pool == pool || self.duties.errands.contains_key(&host) {
                continue;
            }
            let cpu = machine.cpu as f64;
            let row =
                surplus.iter_mut().find(|(left, service)| *service == machine.pool && *left >= cpu);
            if let Some(row) = row {
                row.0 -= cpu;
                self.begin(now, Duty::Move { host, pool: pool.clone() });
            }
        }
    }
}

/// Time between two log lines of a pool.
const LOG_POOLS: Duration = Duration::from_millis(500);

/// What ending a lasting task weighs against ending short ones.
const LASTING_COST: u64 = 100;
