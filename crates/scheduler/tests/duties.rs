//! Machine operations under lost answers, late execution and leader changes, drawn from seeds: a
//! machine is called by one leader at a time, no more machines are down for a wave than its cap, and
//! a wave is completed only when maintenance has begun on all of its machines.

mod site;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;
use scheduler::machine::Machine;
use scheduler::machine::Operation;
use scheduler::machine::Outcome;
use scheduler::machine::State;
use scheduler::machine::Wave;
use site::Fake;
use site::Site;
use site::ms;
use site::spec;
use site::step;

/// Minimum time between calls by different leaders for the same machine: the default of
/// [`scheduler::Tuning::operation_gap`].
const GAP: Duration = Duration::from_secs(3);

/// Time for which a call may be in flight: the timeout of the caller, plus the maximum age of the
/// write that confirms its leadership.
const CALL_TIME: Duration = Duration::from_millis(2_500);

/// Maximum number of machines that may be down for the wave.
const CAP: usize = 2;

const SEEDS: u64 = 40;

/// Minimum number of distinct states that all seeds together have to reach: fewer would mean that
/// the faults have no effect.
const MIN_STATES: usize = 300;

/// A fake platform: the true state of the machines.
struct Platform {
    hosts: BTreeMap<String, Host>,
    /// Operations that are carried out later.
    late: Vec<(Time, Operation)>,
    /// Machines whose maintenance has begun.
    begun: BTreeSet<String>,
    /// Rules that were violated.
    violations: Vec<String>,
}

struct Host {
    /// Index of its instance among the fakes.
    fake: usize,
    down_until: Time,
    /// Whether it was last down for maintenance, and not for a move.
    maintenance: bool,
    /// Time of the last call, and the epoch of the leader that made it.
    called: Option<(Time, u64)>,
}

impl Platform {
    fn list(&self, site: &Site) -> Vec<Machine> {
        let rows = self.hosts.iter().map(|(name, host)| {
            let fake = &site.fakes[host.fake];
            let state = match (host.down_until > site.now, host.maintenance) {
                (true, true) => State::Upkeep,
                (true, false) => State::Moving,
                (false, _) => State::Up,
            };
            let instance = if state == State::Up { fake.id.clone() } else { String::new() };
            Machine { host: name.clone(), pool: fake.service.clone(), state, instance, cpu: 32_000 }
        });
        rows.collect()
    }

    fn call(&mut self, site: &mut Site, operation: &Operation) -> Outcome {
        let (now, epoch) = (site.now, site.epoch);
        let Some(host) = self.hosts.get_mut(operation.host()) else { return Outcome::Refused };
        if let Some((at, other)) = host.called.replace((now, epoch))
            && other != epoch
            && now.since(at) < GAP
        {
            self.violations.push(format!(
                "{now}: {operation} by epoch {epoch}, {:?} after epoch {other}",
                now.since(at)
            ));
        }
        match site.random(10) {
            0 | 1 => {
                let after = ms(site.random(2_400));
                self.late.push((now + after, operation.clone()));
                Outcome::Unknown
            }
            2 => {
                self.carry_out(site, operation);
                Outcome::Unknown
            }
            3 => Outcome::Later,
            _ => self.carry_out(site, operation),
        }
    }

    fn carry_out(&mut self, site: &mut Site, operation: &Operation) -> Outcome {
        let now = site.now;
        let down =
            self.hosts.values().filter(|host| host.maintenance && host.down_until > now).count();
        let Some(host) = self.hosts.get_mut(operation.host()) else { return Outcome::Refused };
        if host.down_until > now {
            return Outcome::Busy;
        }
        host.maintenance = matches!(operation, Operation::Maintain { .. });
        let time = if host.maintenance { ms(2_000) } else { ms(1_500) };
        host.down_until = now + time;
        if host.maintenance {
            if down >= CAP {
                self.violations
                    .push(format!("{now}: {operation} begins while {down} machines are down"));
            }
            self.begun.insert(operation.host().to_owned());
        }
        let fake = &mut site.fakes[host.fake];
        fake.crash(now, time, &mut site.monitor);
        if let Operation::Move { pool, .. } = operation {
            fake.service.clone_from(pool);
        }
        Outcome::Accepted
    }

    fn carry_out_late(&mut self, site: &mut Site) {
        let now = site.now;
        let due: Vec<Operation> = self
            .late
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, operation)| operation)
            .collect();
        for operation in due {
            self.carry_out(site, &operation);
        }
    }
}

/// Rows of the store about waves and calls.
#[derive(Default)]
struct Rows {
    begun: BTreeSet<String>,
    completed: bool,
    calls: BTreeMap<String, Time>,
}

#[test]
fn machines_are_called_by_one_leader_at_a_time_and_within_the_cap() {
    let mut states = BTreeSet::new();
    for seed in 1..=SEEDS {
        run_seed(seed, &mut states);
    }
    println!("{SEEDS} seeds, {} distinct states", states.len());
    assert!(states.len() >= MIN_STATES, "{} distinct states", states.len());
}

fn run_seed(seed: u64, states: &mut BTreeSet<String>) {
    let mut site = open(seed);
    let hosts = site.fakes.iter().enumerate().map(|(fake, row)| {
        let host = Host { fake, down_until: Time::ZERO, maintenance: false, called: None };
        (format!("m-{}", row.id), host)
    });
    let mut platform = Platform {
        hosts: hosts.collect(),
        late: Vec::new(),
        begun: BTreeSet::new(),
        violations: Vec::new(),
    };
    let wave_hosts: Vec<String> = platform.hosts.keys().take(5).cloned().collect();
    let wave = Wave { number: 1, hosts: wave_hosts.clone(), duration: ms(30_000), max_down: CAP };
    let mut rows = Rows::default();
    let mut job = 0;
    for round in 0..400 {
        if round < 150 && site.random(20) == 0 {
            site.change_leader(false);
            let now = site.now;
            let core = site.core();
            core.set_waves(now, vec![wave.clone()]);
            core.restore_wave(1, rows.begun.clone(), rows.completed);
            for (host, &at) in &rows.calls {
                if now.since(at) < GAP + CALL_TIME {
                    core.hold_machine(host, at + GAP + CALL_TIME);
                }
            }
        }
        if round < 150 && site.random(6) == 0 {
            job += 1;
            let queue = if round % 100 < 50 { "oven" } else { "till" };
            site.submit(job, queue, spec(vec![step(12, 400)]));
        }
        decide(&mut site, &mut platform, &wave, &mut rows);
        states.insert(fingerprint(&site, &platform, &rows));
        if rows.completed && !wave_hosts.iter().all(|host| platform.begun.contains(host)) {
            platform.violations.push(
                "the wave is completed, but maintenance has not begun on all machines".to_owned(),
            );
        }
        site.run(ms(100));
        platform.carry_out_late(&mut site);
    }
    site.monitor.check();
    assert!(platform.violations.is_empty(), "seed {seed}: {:#?}", platform.violations);
    assert!(rows.completed, "seed {seed}: {:?} of {wave_hosts:?}", platform.begun);
}

fn open(seed: u64) -> Site {
    let fakes = (0..8).map(|n| {
        let service = if n % 2 == 0 { "oven" } else { "till" };
        let mut fake = Fake::new(&format!("i-{n}"), service, &format!("r{}", n % 3));
        fake.capacity.cpu = 32_000;
        fake.capacity.memory = 64_000;
        fake
    });
    let mut site = Site::new(&["oven", "till"], fakes.collect(), seed);
    site.lists_machines = false;
    site.run(ms(200));
    site
}

/// One round of the scheduler: reads the lists, makes the calls that are due, and records the calls
/// to be made and the progress of the wave.
fn decide(site: &mut Site, platform: &mut Platform, wave: &Wave, rows: &mut Rows) {
    let now = site.now;
    let listed = platform.list(site);
    site.core().set_waves(now, vec![wave.clone()]);
    site.core().apply_machines(now, now, listed);
    for call in site.core().machine_calls(now) {
        let outcome = platform.call(site, &call.operation);
        site.core().apply_operation_result(now, &call.operation, outcome);
    }
    for host in site.core().take_call_hosts(20) {
        rows.calls.insert(host, now);
    }
    for row in site.core().take_wave_rows(20) {
        rows.begun.extend(row.begun);
        rows.completed |= row.completed;
    }
    site.write_at_once();
}

fn fingerprint(site: &Site, platform: &Platform, rows: &Rows) -> String {
    let hosts: Vec<_> = platform
        .hosts
        .values()
        .map(|host| {
            let fake = &site.fakes[host.fake];
            (host.down_until > site.now, host.maintenance, fake.service.as_str(), fake.runs() > 0)
        })
        .collect();
    let late: Vec<&str> = platform.late.iter().map(|(_, operation)| operation.host()).collect();
    format!("{hosts:?} {late:?} {:?} {}", rows.begun, rows.completed)
}
