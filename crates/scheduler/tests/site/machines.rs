//! A fake platform that carries out machine operations, and loses or delays calls and answers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;
use scheduler::Core;
use scheduler::core::WaveRow;
use scheduler::machine::Machine;
use scheduler::machine::Operation;
use scheduler::machine::Outcome;
use scheduler::machine::State;
use scheduler::machine::Wave;

use super::Availability;
use super::Site;
use super::ms;

/// Time for which the leader waits for the answer to a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum duration of the last write of a term.
const STEP_DOWN_TIMEOUT: Duration = Duration::from_millis(800);

/// Time without a write after which the leader calls no machines.
const CALL_LEASE: Duration = Duration::from_millis(1_000);

/// Time from the record of a call to the end of the call at the latest.
const MAX_CALL_TIME: Duration = Duration::from_millis(2_500);

/// Maximum number of rows of waves in a write.
const MAX_WAVE_ROWS: usize = 20;

/// Rows of calls to machines and of waves.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// Times of the last call by host.
    calls: BTreeMap<String, Time>,
    /// Machines whose maintenance has begun, and whether the wave is completed, by key.
    waves: BTreeMap<String, (BTreeSet<String>, bool)>,
}

impl Rows {
    /// Takes the rows of the next write.
    pub fn take(&mut self, now: Time, core: &mut Core) {
        self.calls = core.take_call_hosts(20).into_iter().map(|host| (host, now)).collect();
        let rows = core.take_wave_rows(MAX_WAVE_ROWS).into_iter();
        self.waves = rows.map(|row| (row.key(), (row.begun, row.completed))).collect();
    }

    /// Number of rows.
    pub fn len(&self) -> usize {
        self.calls.len() + self.waves.len()
    }

    /// Replaces rows by those of a write.
    pub fn merge(&mut self, write: Self) {
        self.calls.extend(write.calls);
        self.waves.extend(write.waves);
    }
}

/// A call on its way.
#[derive(Clone, Debug)]
struct Call {
    operation: Operation,
    epoch: u64,
    sent: Time,
    arrives: Time,
    /// Whether its answer is lost.
    unanswered: bool,
}

/// A list of machines on its way to the leader that has requested it.
#[derive(Clone, Debug)]
struct List {
    arrives: Time,
    requested: Time,
    epoch: u64,
    machines: Vec<Machine>,
}

/// Time for which a machine of a standby pool is off, unless it is moved.
pub const SWITCHED_OFF: Duration = Duration::from_secs(3_600);

/// Time beyond two late lists of machines in which a leader learns that an instance has not crashed.
const MAX_ATTRIBUTION_TIME: Duration = Duration::from_secs(1);

/// A fake platform with a machine beneath each instance of a site.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    waves: Vec<Wave>,
    calls: Vec<Call>,
    /// Answers on their way.
    answers: Vec<(Time, u64, Operation, Outcome)>,
    /// Operations that were carried out.
    done: BTreeSet<(String, u64)>,
    /// Epochs of the newest caller by host.
    tokens: BTreeMap<String, u64>,
    /// Until when each machine is under maintenance.
    upkeep_until: BTreeMap<String, Time>,
    /// Until when each machine moves.
    moving_until: BTreeMap<String, Time>,
    /// Number of moves that were carried out.
    pub moves: u64,
    listed_at: Time,
    list: Option<List>,
    called_at: Time,
    /// Number of calls that were sent.
    pub calls_sent: u64,
    stored_at: Time,
    /// Maximum time that a call takes to arrive.
    pub latency: Duration,
    /// Percent of calls whose answers are lost.
    pub lost_percent: u64,
    /// Percent of calls that never arrive.
    pub dropped_percent: u64,
    /// Percent of calls that arrive after the caller has stopped waiting.
    pub late_percent: u64,
    /// Whether the list of machines names the instances of those under maintenance, too.
    pub lists_maintained: bool,
    /// Time that a list of machines takes to arrive.
    pub list_latency: Duration,
    /// Whether leases that lapse count as orders: nothing is disrupted but the leader.
    pub judges_lapses: bool,
    pub availability: Availability,
    /// Wave of the newest maintenance by host.
    newest_wave: BTreeMap<String, u64>,
    /// Whether a call was carried out late.
    was_late: bool,
    /// The term in which instances count as crashed, and since when.
    crashed: Option<(u64, Time)>,
    /// Terms in which instances have counted as crashed for long.
    pub crashes: BTreeSet<u64>,
}

impl Platform {
    pub fn new(site: &mut Site) -> Self {
        site.lists_machines = false;
        site.machine_rows = Some(Rows::default());
        Self { latency: ms(5), ..Self::default() }
    }

    /// The operator requests a wave.
    pub fn request(&mut self, site: &mut Site, wave: Wave) {
        self.waves.push(wave);
        let now = site.now;
        if site.core.is_some() {
            site.core().set_waves(now, self.waves.clone());
        }
    }

    /// The leader completes its last write, if the store lets it, and the next one takes over.
    pub fn step_down(&mut self, site: &mut Site) {
        let end = site.now + STEP_DOWN_TIMEOUT;
        while site.writing && site.now < end {
            self.run(site, super::TIME_STEP);
        }
        let written = site.core.is_some() && !site.writing;
        if written {
            let now = site.now;
            let mut rows = Rows::default();
            rows.take(now, site.core());
            site.write_at_once();
            site.machine_rows.get_or_insert_default().merge(rows);
        }
        self.change_leader(site, written);
    }

    /// A new leader takes over, and reads what was recorded of calls and waves.
    pub fn change_leader(&mut self, site: &mut Site, stepped_down: bool) {
        site.change_leader(stepped_down);
        let now = site.now;
        let rows = site.machine_rows.clone().unwrap_or_default();
        let gap = site.tuning.operation_gap + MAX_CALL_TIME;
        for (host, called_at) in &rows.calls {
            site.core().hold_machine(host, *called_at + gap);
        }
        site.core().set_waves(now, self.waves.clone());
        for (key, (begun, completed)) in rows.waves {
            let number = WaveRow::parse_key(&key).expect("the key of a wave's row");
            site.core().restore_wave(number, begun, completed);
        }
    }

    /// Whether a call is on its way.
    pub fn is_called(&self) -> bool {
        !self.calls.is_empty()
    }

    /// Whether all waves are completed.
    pub fn is_done(&self, site: &mut Site) -> bool {
        site.core().waves().all(|wave| wave.completed)
    }

    /// Runs the site for `time`.
    pub fn run(&mut self, site: &mut Site, time: Duration) {
        let end = site.now + time;
        while site.now < end {
            self.arrive(site);
            self.answer(site);
            self.lead(site);
            self.availability.observe(site);
            self.observe_crashes(site);
            site.run(super::TIME_STEP);
            for (name, run) in std::mem::take(&mut site.monitor.stop_orders) {
                self.availability.judge(site.now, &site.monitor, name, run, "stop");
            }
            for (name, run) in std::mem::take(&mut site.monitor.lapses) {
                if self.judges_lapses {
                    self.availability.judge(site.now, &site.monitor, name, run, "lapse");
                }
            }
        }
    }

    /// Records terms in which instances count as crashed.
    fn observe_crashes(&mut self, site: &mut Site) {
        let (now, epoch) = (site.now, site.epoch);
        let counted = site.core.as_ref().is_some_and(|core| core.crashes() > 0);
        if !counted || self.crashed.is_some_and(|(term, _)| term != epoch) {
            self.crashed = None;
        }
        if counted {
            let (_, since) = self.crashed.get_or_insert((epoch, now));
            if now.since(*since) > self.list_latency * 2 + MAX_ATTRIBUTION_TIME {
                self.crashes.insert(epoch);
            }
        }
    }

    /// What the leader does about machines.
    fn lead(&mut self, site: &mut Site) {
        let now = site.now;
        if now >= site.store_down_until {
            self.stored_at = now;
        }
        if !site.is_led() || now < site.paused_until {
            return;
        }
        self.list(site);
        if now.since(self.called_at) < ms(10) || now.since(self.stored_at) > CALL_LEASE {
            return;
        }
        self.called_at = now;
        for call in site.core().machine_calls(now) {
            self.calls_sent += 1;
            let late = site.random(100) < self.late_percent;
            let latency = ms(1 + site.random(self.latency.as_millis() as u64));
            let delay = if late { CALL_TIMEOUT + ms(site.random(4_000)) } else { latency };
            let unanswered = late || site.random(100) < self.lost_percent;
            if site.random(100) < self.dropped_percent {
                let answer = (now + CALL_TIMEOUT, site.epoch, call.operation, Outcome::Unknown);
                self.answers.push(answer);
                continue;
            }
            let (epoch, arrives) = (site.epoch, now + delay);
            let operation = call.operation;
            self.calls.push(Call { operation, epoch, sent: now, arrives, unanswered });
        }
    }

    /// Hands the list of machines to the leader, and requests the next one.
    fn list(&mut self, site: &mut Site) {
        let now = site.now;
        let epoch = site.epoch;
        if self.list.as_ref().is_some_and(|list| list.epoch != epoch) {
            self.list = None;
        }
        if self.list.is_none() && now.since(self.listed_at) >= ms(200) {
            self.listed_at = now;
            let machines = self.machines(site);
            let arrives = now + self.list_latency;
            self.list = Some(List { arrives, requested: now, epoch, machines });
        }
        if let Some(list) = self.list.take_if(|list| list.arrives <= now) {
            site.core().apply_machines(now, list.requested, list.machines);
        }
    }

    /// Checks that a maintenance that begins keeps to the cap of its wave. A call that was held up does not
    /// count, nor does what one has taken down.
    fn check_cap(&mut self, now: Time, host: &str, wave: u64, sent: Time) {
        let cap = self.waves.iter().find(|it| it.number == wave).map(|it| it.max_down);
        let of_wave = |other: &String| self.newest_wave.get(other) == Some(&wave);
        let under_way = self.upkeep_until.iter().filter(|(_, until)| now < **until);
        let down = under_way.filter(|(other, _)| of_wave(other)).count();
        let late = now.since(sent) >= CALL_TIMEOUT;
        if !late && !self.was_late && cap.is_some_and(|cap| down >= cap) {
            self.availability.violations.push(format!(
                "{now}: maintenance of {host} begins while {down} machines of wave {wave} are down, and {cap:?} may be"
            ));
        }
        self.was_late |= late;
        self.newest_wave.insert(host.to_owned(), wave);
    }

    fn machines(&self, site: &Site) -> Vec<Machine> {
        let rows = site.fakes.iter().map(|fake| {
            let host = format!("m-{}", fake.id);
            let over = |until: &BTreeMap<String, Time>| {
                until.get(&host).is_none_or(|&until| until <= site.now)
            };
            let state = match (over(&self.upkeep_until), over(&self.moving_until)) {
                (false, _) => State::Upkeep,
                (true, false) => State::Moving,
                (true, true) => State::Up,
            };
            let on = state == State::Up && !site.config.is_standby(&fake.service);
            Machine {
                pool: fake.service.clone(),
                state,
                instance: if on || (state == State::Upkeep && self.lists_maintained) {
                    fake.id.clone()
                } else {
                    String::new()
                },
                cpu: fake.capacity.cpu,
                host,
            }
        });
        rows.collect()
    }

    /// Carries out the calls that have arrived.
    fn arrive(&mut self, site: &mut Site) {
        let now = site.now;
        for call in self.calls.extract_if(.., |call| call.arrives <= now).collect::<Vec<_>>() {
            let outcome = self.carry_out(site, &call);
            let (at, outcome) = if call.unanswered {
                (call.sent.max(now - CALL_TIMEOUT) + CALL_TIMEOUT, Outcome::Unknown)
            } else {
                (now + ms(1), outcome)
            };
            self.answers.push((at, call.epoch, call.operation, outcome));
        }
    }

    fn carry_out(&mut self, site: &mut Site, call: &Call) -> Outcome {
        let now = site.now;
        let host = call.operation.host();
        let token = self.tokens.entry(host.to_owned()).or_default();
        if call.epoch < *token {
            return Outcome::Busy;
        }
        *token = call.epoch;
        let found = site.fakes.iter().position(|fake| format!("m-{}", fake.id) == host);
        let Some(index) = found else { return Outcome::Refused };
        let on_standby = site.config.is_standby(&site.fakes[index].service);
        let down = now < site.fakes[index].down_until && !on_standby;
        let (time, cause) = match &call.operation {
            Operation::Maintain { wave, .. } => {
                if self.done.contains(&(host.to_owned(), *wave)) {
                    return Outcome::Accepted;
                }
                if down {
                    return Outcome::Busy;
                }
                self.check_cap(now, host, *wave, call.sent);
                self.done.insert((host.to_owned(), *wave));
                self.upkeep_until.insert(host.to_owned(), now + ms(2_000));
                (ms(2_000), "maintenance")
            }
            Operation::Move { pool, .. } => {
                if site.fakes[index].service == *pool {
                    return Outcome::Accepted;
                }
                if down {
                    return Outcome::Busy;
                }
                self.moves += 1;
                site.fakes[index].service.clone_from(pool);
                self.moving_until.insert(host.to_owned(), now + ms(1_500));
                let time = if site.config.is_standby(pool) { SWITCHED_OFF } else { ms(1_500) };
                (time, "move")
            }
        };
        // An order that was held up does not count.
        if now.since(call.sent) < CALL_TIMEOUT {
            let runs: Vec<_> = site.fakes[index].long_runs(now).collect();
            for (name, run, _) in runs {
                self.availability.judge(now, &site.monitor, name, run, cause);
            }
        }
        site.fakes[index].turn_off(now, time, &mut site.monitor);
        Outcome::Accepted
    }

    /// Hands answers to the leader that has called.
    fn answer(&mut self, site: &mut Site) {
        let now = site.now;
        if now < site.paused_until {
            return;
        }
        for (_, epoch, operation, outcome) in
            self.answers.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>()
        {
            if epoch == site.epoch && site.core.is_some() {
                site.core().apply_operation_result(now, &operation, outcome);
            }
        }
    }
}
