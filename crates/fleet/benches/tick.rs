//! Cost of one control step of pools and waves, and its growth with the size of the fleet.
//!
//! `cargo bench -p fleet --bench tick`. Prints the time of each part at four sizes, and the slope:
//! the exponent of its growth from one size to the next.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::Duration;

use fleet::config;
use fleet::fact::Fact;
use fleet::instance::Instance;
use fleet::instance::State;
use fleet::key;
use fleet::pool;
use fleet::pool::Absence;
use fleet::pool::Decision;
use fleet::time::Time;
use fleet::view;
use fleet::wave;
use fleet::world::Change;
use fleet::world::World;

/// Number of instances of each fleet.
const SIZES: [u32; 4] = [50, 300, 1_200, 4_800];

/// Number of pools of each fleet, the spare one included.
const POOLS: u32 = 35;

/// Number of teams of each fleet.
const TEAMS: u32 = 370;

/// Number of instances in a rack.
const RACK: u32 = 4;

/// Number of timed rounds, of which the median is reported.
const ROUNDS: usize = 31;

/// Maximum time of a step of pools and waves with 1,200 instances.
const TARGET: Duration = Duration::from_millis(5);

/// A timed part of a step: its name and function.
type Part = (&'static str, fn(&Fleet) -> usize);

const PARTS: [Part; 7] = [
    ("plan pools", plan_pools),
    ("plan a wave", plan_waves),
    ("observe all instances", observe),
    ("one effect", effect),
    ("progress of a wave", progress),
    ("lend", lend),
    ("build the view", build),
];

/// A fleet with a running wave, one failed instance in fifty, and demand in every pool.
struct Fleet {
    config: config::Config,
    world: World,
    pools: BTreeSet<key::Pool>,
    wave: key::Wave,
    now: Time,
}

fn main() {
    let fleets: Vec<_> = SIZES.iter().map(|&instances| Fleet::new(instances)).collect();
    println!(
        "{:24}{:>12}{:>12}{:>12}{:>12}   slopes",
        "microseconds, instances:", 50, 300, 1200, 4800
    );
    let mut round = Duration::ZERO;
    for (name, part) in PARTS {
        let times: Vec<_> = fleets.iter().map(|fleet| time(fleet, part)).collect();
        print!("{name:24}");
        for time in &times {
            print!("{:12.1}", time.as_secs_f64() * 1e6);
        }
        println!("   {}", slopes(&times));
        if name.starts_with("plan") || name.starts_with("observe") {
            round += times[2];
        }
    }
    let kept = if round < TARGET { "within" } else { "BEYOND" };
    println!("a round at 1,200 instances: {round:?}, {kept} {TARGET:?}");
    println!(
        "rows of the tables, bytes: {:?}",
        fleets.iter().map(Fleet::bytes).collect::<Vec<_>>()
    );
}

/// The median time of a part.
fn time(fleet: &Fleet, part: fn(&Fleet) -> usize) -> Duration {
    let mut times: Vec<_> = (0..ROUNDS).map(|_| once(fleet, part)).collect();
    times.sort_unstable();
    times[ROUNDS / 2]
}

#[expect(clippy::disallowed_methods, reason = "a bench reads the clock")]
fn once(fleet: &Fleet, part: fn(&Fleet) -> usize) -> Duration {
    let start = std::time::Instant::now();
    black_box(part(black_box(fleet)));
    start.elapsed()
}

/// The exponent of growth between each size and the next.
fn slopes(times: &[Duration]) -> String {
    let pairs = times.windows(2).zip(SIZES.windows(2));
    let slopes = pairs.map(|(times, sizes)| {
        let grown = times[1].as_secs_f64() / times[0].as_secs_f64().max(1e-9);
        let larger = f64::from(sizes[1]) / f64::from(sizes[0]);
        format!("{:.2}", grown.ln() / larger.ln())
    });
    slopes.collect::<Vec<_>>().join(" ")
}

fn plan_pools(fleet: &Fleet) -> usize {
    pool::plan(&fleet.world, &fleet.pools, fleet.now).len()
}

fn plan_waves(fleet: &Fleet) -> usize {
    wave::plan(&fleet.world, &BTreeSet::from([fleet.wave]), fleet.now).len()
}

fn observe(fleet: &Fleet) -> usize {
    let facts = fleet.world.instances.iter().map(|(key, _)| Fact::Healthy(key));
    facts.map(|fact| pool::observe(&fleet.world, &fact, fleet.now).len()).sum()
}

fn effect(fleet: &Fleet) -> usize {
    let ready = fleet.pools.iter().find_map(|&pool| fleet.world.ready(pool).next());
    let Some((instance, _)) = ready else {
        return 0;
    };
    let decision = Decision::Fail { instance };
    pool::effect(&fleet.world, &decision, fleet.now).map_or(0, |changes| changes.len())
}

fn progress(fleet: &Fleet) -> usize {
    wave::progress(&fleet.world, fleet.wave, fleet.now).total as usize
}

fn lend(fleet: &Fleet) -> usize {
    pool::lend(&fleet.world, fleet.now).len()
}

fn build(fleet: &Fleet) -> usize {
    let context = view::Context { entries: 72, ..view::Context::default() };
    view::build(&fleet.world, &fleet.config, &context, 1).targets.len()
}

impl Fleet {
    fn new(instances: u32) -> Self {
        let config = config(instances);
        let mut world = World::default();
        world.configure(&config);
        let organisation = world.organisation("org");
        let pools: Vec<_> =
            (0..POOLS).map(|number| world.pool(organisation, &pool_name(number))).collect();
        for number in 0..instances {
            enlist(&mut world, pools[(number % POOLS) as usize], number);
        }
        let wave = world.wave(organisation, "all");
        let now = Time::from_secs(100_000);
        let demand = pools.iter().enumerate().map(|(number, &pool)| {
            (pool, if number % 5 == 0 { 10 * instances / POOLS } else { instances / POOLS })
        });
        world.record(&Fact::Demand(demand.collect()), now);
        let mut fleet = Self { config, world, pools: pools.into_iter().collect(), wave, now };
        let start = wave::Decision::Start { wave };
        let started = wave::effect(&fleet.world, &start, now).expect("it starts");
        started.into_iter().for_each(|change| fleet.world.apply(change));
        fleet
    }

    /// Total size of the rows of all instances and pools, bytes.
    fn bytes(&self) -> usize {
        let world = &self.world;
        let instances = world.instances.iter().map(|(_, one)| Change::Instance(one.clone()));
        let pools = world.pools.iter().map(|(_, one)| Change::Pool(one.clone()));
        let rows = instances.chain(pools).map(|change| fleet::row::write(world, &change));
        rows.map(|row| row.key.len() + row.value.map_or(0, |value| value.len())).sum()
    }
}

fn pool_name(number: u32) -> String {
    format!("pool{number:02}")
}

fn config(instances: u32) -> config::Config {
    let size = instances.div_ceil(POOLS);
    let mut organisation = config::Organisation::default();
    for number in 0..POOLS {
        let name = pool_name(number);
        let spare = number == POOLS - 1;
        let min_ready = if spare { size / 4 } else { size * 4 / 5 };
        let pool = config::Pool { size, min_ready, spare, lends: true };
        organisation.pools.insert(name.clone(), pool);
        let service = config::Service { pool: name.clone(), ..config::Service::default() };
        organisation.services.insert(name, service);
    }
    for number in 0..TEAMS {
        organisation.teams.insert(format!("team{number}"), config::Team::default());
    }
    let pools = (0..POOLS).map(pool_name).collect();
    let wave = config::Wave { pools, restart_secs: 300, ..config::Wave::default() };
    organisation.waves.insert("all".to_owned(), wave);
    config::Config {
        revision: config::Revision(1),
        organisations: [("org".to_owned(), organisation)].into(),
    }
}

/// Adds an instance to a pool; one in fifty has failed.
fn enlist(world: &mut World, key: key::Pool, number: u32) {
    let failed = number % 50 == 49;
    let name = format!("worker{number:05}");
    let instance = Instance {
        name: name.clone(),
        address: "127.0.0.1:8000".to_owned(),
        data_centre: world.data_centre(&format!("dc{}", number / RACK % 8)),
        rack: world.rack(&format!("rack{}", number / RACK)),
        pool: key,
        state: if failed { State::Failed } else { State::Serving },
        ..Instance::default()
    };
    world.apply(Change::Instance(instance));
    let Some(mut pool) = world.pools.get(key).cloned() else {
        return;
    };
    pool.members += 1;
    if failed {
        pool.absences.insert(name, Absence::Failed);
    }
    world.apply(Change::Pool(pool));
}
