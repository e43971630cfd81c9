//! Calls to machines under lost and late answers and changes of office, drawn from seeds: machines
//! are called by one scheduler at a time, no more are down for a wave than it allows, and a wave is
//! completed only when all of it has begun.

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

/// Time between two schedulers' calls for one machine, as the tuning has it.
const GAP: Duration = Duration::from_secs(3);

/// Time for which a call may be under way: how long a caller waits, and the proof that it needs.
const CALL_TIME: Duration = Duration::from_millis(2_500);

const CAP: usize = 2;

const SEEDS: u64 = 40;

/// Distinct states that all seeds together have to reach at least: fewer would mean that nothing
/// goes wrong.
const LEAST: usize = 300;

/// The machines as they are, whatever schedulers believe.
struct Cloud {
    hosts: BTreeMap<String, Host>,
    /// Calls that are carried out later.
    late: Vec<(Time, Operation)>,
    begun: BTreeSet<String>,
    broken: Vec<String>,
}

struct Host {
    fake: usize,
    down_until: Time,
    upkeep: bool,
    /// The last call, and the epoch of whoever made it.
    called: Option<(Time, u64)>,
}

impl Cloud {
    fn list(&self, site: &Site) -> Vec<Machine> {
        let rows = self.hosts.iter().map(|(name, host)| {
            let fake = &site.fakes[host.fake];
            let state = match (host.down_until > site.now, host.upkeep) {
                (true, true) => State::Upkeep,
                (true, false) => State::Moving,
                (false, _) => State::Up,
            };
            let runner = if state == State::Up { fake.id.clone() } else { String::new() };
            Machine {
                host: name.clone(),
                pool: fake.service.clone(),
                state,
                instance: runner,
                cpu: 32_000,
            }
        });
        rows.collect()
    }

    fn call(&mut self, site: &mut Site, duty: &Operation) -> Outcome {
        let (now, epoch) = (site.now, site.epoch);
        let Some(host) = self.hosts.get_mut(duty.host()) else { return Outcome::Refused };
        if let Some((at, other)) = host.called.replace((now, epoch))
            && other != epoch
            && now.since(at) < GAP
        {
            self.broken.push(format!("{now}: {duty} by {epoch} {:?} after {other}", now.since(at)));
        }
        match site.random(10) {
            0 | 1 => {
                let after = ms(site.random(2_400));
                self.late.push((now + after, duty.clone()));
                Outcome::Unknown
            }
            2 => {
                self.obey(site, duty);
                Outcome::Unknown
            }
            3 => Outcome::Later,
            _ => self.obey(site, duty),
        }
    }

    fn obey(&mut self, site: &mut Site, duty: &Operation) -> Outcome {
        let now = site.now;
        let down = self.hosts.values().filter(|host| host.upkeep && host.down_until > now).count();
        let Some(host) = self.hosts.get_mut(duty.host()) else { return Outcome::Refused };
        if host.down_until > now {
            return Outcome::Busy;
        }
        host.upkeep = matches!(duty, Operation::Maintain { .. });
        let time = if host.upkeep { ms(2_000) } else { ms(1_500) };
        host.down_until = now + time;
        if host.upkeep {
            if down >= CAP {
                self.broken.push(format!("{now}: {duty} begins while {down} are down"));
            }
            self.begun.insert(duty.host().to_owned());
        }
        let fake = &mut site.fakes[host.fake];
        fake.crash(now, time, &mut site.ledger);
        if let Operation::Move { pool, .. } = duty {
            fake.service.clone_from(pool);
        }
        Outcome::Accepted
    }

    fn pass(&mut self, site: &mut Site) {
        let now = site.now;
        let due: Vec<Operation> =
            self.late.extract_if(.., |(at, _)| *at <= now).map(|(_, duty)| duty).collect();
        for duty in due {
            self.obey(site, &duty);
        }
    }
}

/// What the store holds of waves and of calls.
#[derive(Default)]
struct Rows {
    begun: BTreeSet<String>,
    completed: bool,
    calls: BTreeMap<String, Time>,
}

#[test]
fn machines_are_called_by_one_at_a_time_and_within_bounds() {
    let mut states = BTreeSet::new();
    for seed in 1..=SEEDS {
        play(seed, &mut states);
    }
    println!("{SEEDS} seeds, {} distinct states", states.len());
    assert!(states.len() >= LEAST, "{} distinct states", states.len());
}

fn play(seed: u64, states: &mut BTreeSet<String>) {
    let mut site = open(seed);
    let hosts = site.fakes.iter().enumerate().map(|(fake, row)| {
        let host = Host { fake, down_until: Time::ZERO, upkeep: false, called: None };
        (format!("m-{}", row.id), host)
    });
    let mut cloud = Cloud {
        hosts: hosts.collect(),
        late: Vec::new(),
        begun: BTreeSet::new(),
        broken: Vec::new(),
    };
    let asked: Vec<String> = cloud.hosts.keys().take(5).cloned().collect();
    let wave = Wave { number: 1, hosts: asked.clone(), duration: ms(30_000), max_down: CAP };
    let mut rows = Rows::default();
    let mut job = 0;
    for round in 0..400 {
        if round < 150 && site.random(20) == 0 {
            site.take_office(false);
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
        decide(&mut site, &mut cloud, &wave, &mut rows);
        states.insert(fingerprint(&site, &cloud, &rows));
        if rows.completed && !asked.iter().all(|host| cloud.begun.contains(host)) {
            cloud.broken.push("completed, and not all have begun".to_owned());
        }
        site.run(ms(100));
        cloud.pass(&mut site);
    }
    site.ledger.check();
    assert!(cloud.broken.is_empty(), "seed {seed}: {:#?}", cloud.broken);
    assert!(rows.completed, "seed {seed}: {:?} of {asked:?}", cloud.begun);
}

fn open(seed: u64) -> Site {
    let fakes = (0..8).map(|place| {
        let service = if place % 2 == 0 { "oven" } else { "till" };
        let mut fake = Fake::new(&format!("i-{place}"), service, &format!("r{}", place % 3));
        fake.capacity.cpu = 32_000;
        fake.capacity.memory = 64_000;
        fake
    });
    let mut site = Site::new(&["oven", "till"], fakes.collect(), seed);
    site.lists_machines = false;
    site.run(ms(200));
    site
}

/// One round of decisions: lists, what is to be called, and what the store has to know before.
fn decide(site: &mut Site, cloud: &mut Cloud, wave: &Wave, rows: &mut Rows) {
    let now = site.now;
    let listed = cloud.list(site);
    site.core().set_waves(now, vec![wave.clone()]);
    site.core().apply_machines(now, now, listed);
    for call in site.core().machine_calls(now) {
        let outcome = cloud.call(site, &call.operation);
        site.core().apply_operation_result(now, &call.operation, outcome);
    }
    for host in site.core().take_call_hosts(20) {
        rows.calls.insert(host, now);
    }
    if site.core().take_waves_dirty() {
        for progress in site.core().waves() {
            rows.begun.extend(progress.begun.iter().cloned());
            rows.completed |= progress.completed;
        }
    }
    site.core().begin_write(30);
    site.core().finish_write(now);
}

fn fingerprint(site: &Site, cloud: &Cloud, rows: &Rows) -> String {
    let hosts: Vec<_> = cloud
        .hosts
        .values()
        .map(|host| {
            let fake = &site.fakes[host.fake];
            (host.down_until > site.now, host.upkeep, fake.service.as_str(), fake.runs() > 0)
        })
        .collect();
    let late: Vec<&str> = cloud.late.iter().map(|(_, duty)| duty.host()).collect();
    format!("{hosts:?} {late:?} {:?} {}", rows.begun, rows.completed)
}
