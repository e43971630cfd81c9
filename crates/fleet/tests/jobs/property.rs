//! Checks invariants under random arrivals, faults, cancellations and operator actions.

use std::time::Duration;

use fleet::config;
use fleet::config::Priority;
use fleet::instance;
use fleet::job;
use fleet::job::Resolution;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

use crate::site::Site;
use crate::site::size;
use crate::site::spec;
use crate::worker::Faults;
use crate::worker::Task;

const CASES: u32 = 48;
const SEED: u64 = 20_261_203;

/// A random event. With `NextHolder`, the next holder of the duty takes over, with another clock and
/// a rebuilt index.
#[derive(Clone, Debug)]
enum Event {
    Submit { team: u8, shape: u8, flags: u8, seconds: u8, usage_percent: u16, fails: bool },
    Cancel(u16),
    CancelTeam(u8),
    Resolve(u16),
    Fault { worker: u8, fault: u8 },
    Restart(u8),
    Drain(u8),
    Return(u8),
    Gone(u8),
    NextHolder,
    Wait(u8),
}

fn event() -> impl Strategy<Value = Event> {
    let submit = (any::<u8>(), any::<u8>(), any::<u8>(), 1..60_u8, 10..300_u16, any::<u8>());
    prop_oneof![
        12 => submit.prop_map(|(team, shape, flags, seconds, usage_percent, fails)| Event::Submit {
            team, shape, flags, seconds, usage_percent, fails: fails < 25,
        }),
        2 => any::<u16>().prop_map(Event::Cancel),
        1 => any::<u8>().prop_map(Event::CancelTeam),
        1 => any::<u16>().prop_map(Event::Resolve),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(worker, fault)| Event::Fault { worker, fault }),
        1 => any::<u8>().prop_map(Event::Restart),
        1 => any::<u8>().prop_map(Event::Drain),
        2 => any::<u8>().prop_map(Event::Return),
        1 => any::<u8>().prop_map(Event::Gone),
        1 => Just(Event::NextHolder),
        6 => (1..80_u8).prop_map(Event::Wait),
    ]
}

const TEAMS: [&str; 3] = ["quota", "borrower", "both"];

fn site(lag: u8) -> Site {
    let mut site = Site::new(&[
        ("quota", config::Team { quota: size(60, 200, 8), share: 1, borrows: false }),
        ("borrower", config::Team { quota: size(0, 0, 0), share: 1, borrows: true }),
        ("both", config::Team { quota: size(40, 100, 8), share: 3, borrows: true }),
    ]);
    site.add_instances("main", 5, size(16, 64, 4));
    site.add_instances("main", 3, size(32, 64, 0));
    site.lag = Duration::from_millis(u64::from(lag) * 20);
    site
}

fn submit(site: &mut Site, number: usize, event: &Event) {
    let Event::Submit { team, shape, flags, seconds, usage_percent, fails } = *event else {
        return;
    };
    let once = flags & 1 == 1;
    let base =
        spec("main", 1 + u32::from(shape % 12), 1 + u32::from(shape % 23), u32::from(shape % 5));
    let spec = config::Job {
        idempotent: !once,
        preemptible: flags & 2 == 2,
        priority: [Priority::Urgent, Priority::Normal, Priority::Batch]
            [usize::from(flags >> 2) % 3],
        seconds: seconds.into(),
        ..base
    };
    let name = if once { format!("once-{number}") } else { format!("job-{number}") };
    let usage = spec.size.percent(usage_percent.into());
    let runs = Duration::from_secs(seconds.into());
    site.tasks.insert(name.clone(), Task { runs, usage, fails });
    let team = TEAMS[usize::from(team) % TEAMS.len()];
    let _ = site.submit(&name, team, &format!("kind-{}", shape % 4), &spec);
}

fn nth_job(site: &Site, number: u16) -> Option<fleet::key::Job> {
    let jobs = site.world.jobs.len().max(1);
    site.world.jobs.iter().nth(usize::from(number) % jobs).map(|(key, _)| key)
}

fn name(site: &Site, worker: u8) -> String {
    let number = usize::from(worker) % site.workers.len();
    let key = *site.workers.keys().nth(number).expect("there are workers");
    site.world.instances.get(key).expect("known").name.clone()
}

const FAULTS: [fn() -> Faults; 5] = [
    Faults::default,
    || Faults { unreachable: true, ..Faults::default() },
    || Faults { paused: true, ..Faults::default() },
    || Faults { fails_all: true, ..Faults::default() },
    || Faults {
        ignores_checkpoints: true,
        ignores_throttles: true,
        drops_commands: true,
        ..Faults::default()
    },
];

fn act(site: &mut Site, number: usize, event: &Event) {
    match *event {
        Event::Submit { .. } => submit(site, number, event),
        Event::Cancel(job) => {
            let decision = nth_job(site, job).and_then(|job| job::cancel(&site.world, job));
            decision.map(|decision| site.apply(&decision));
        }
        Event::CancelTeam(team) => {
            let organisation = site.world.organisation("acme");
            let name = TEAMS[usize::from(team) % TEAMS.len()].to_owned();
            let team = site.world.names.teams[&(organisation, name)];
            for decision in job::cancel_team(&site.world, &site.index, team, None) {
                assert!(site.apply(&decision));
            }
        }
        Event::Resolve(job) => {
            let resolve = |job| job::resolve(&site.world, job, Resolution::Succeeded);
            let decision = nth_job(site, job).and_then(resolve);
            decision.map(|decision| site.apply(&decision));
        }
        Event::Fault { worker, fault } => {
            let name = name(site, worker);
            site.worker(&name).faults = FAULTS[usize::from(fault) % FAULTS.len()]();
        }
        Event::Restart(worker) => {
            let name = name(site, worker);
            site.worker(&name).restart();
        }
        Event::Drain(worker) => {
            let name = name(site, worker);
            site.set_state(&name, instance::State::Draining);
        }
        Event::Return(worker) => {
            let name = name(site, worker);
            site.set_state(&name, instance::State::Serving);
        }
        Event::Gone(worker) => {
            let name = name(site, worker);
            site.worker(&name).faults.unreachable = true;
            site.set_state(&name, instance::State::Gone);
        }
        Event::NextHolder => {
            site.world.clock_id += 1;
            site.index = job::Index::build(&site.world);
        }
        Event::Wait(ticks) => {
            for _ in 0..ticks {
                site.tick();
                site.check_not_concurrent();
            }
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn nothing_runs_twice_nothing_is_oversubscribed_and_nothing_leaks(
        lag in any::<u8>(),
        events in prop::collection::vec(event(), 20..160),
    ) {
        let mut site = site(lag);
        for (number, event) in events.iter().enumerate() {
            act(&mut site, number, event);
            site.check();
            site.check_once();
        }
        for worker in 0..site.workers.len() as u8 {
            let name = name(&site, worker);
            site.worker(&name).faults = Faults::default();
            site.set_state(&name, instance::State::Serving);
        }
        for team in 0..TEAMS.len() as u8 {
            act(&mut site, 0, &Event::CancelTeam(team));
        }
        site.run(Duration::from_secs(120));
        site.check();
        site.check_once();
        prop_assert_eq!(site.index.open_jobs(), 0);
        site.run(Duration::from_secs(700));
        prop_assert_eq!(site.world.jobs.len(), 0);
    }
}
