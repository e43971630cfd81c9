//! Runs a trace through a policy, round by round.

mod act;
mod duty;
mod work;

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::config::Config;
use fleet::decision::Decision;
use fleet::fact::Fact;
use fleet::time::Time;
use fleet::world::Change;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fake::Commit;
use crate::fake::Crew;
use crate::fake::Requests;
use crate::fake::Site;
use crate::fake::Store;
use crate::measure::Measures;
use crate::policy::Decide;
use crate::policy::Naive;
use crate::policy::Policy;
use crate::policy::Product;
use crate::replica::Replica;
use crate::report::Report;
use crate::trace::Setup;
use crate::trace::Trace;

/// How often the duties decide.
const ROUND: Duration = Duration::from_secs(1);

/// Replays `trace` under `policy` and measures what comes of it.
///
/// The same trace, policy and seed give the same report, and the same log: one line for each
/// decision, with the event `decision`.
pub fn run(trace: &Trace, policy: Policy, seed: u64) -> Report {
    match policy {
        Policy::Product => replay(trace, trace.setup.config(), Product, seed),
        Policy::Naive => replay(trace, trace.setup.config(), Naive, seed),
        Policy::Weighted(weights) => {
            let mut config = trace.setup.config();
            for organisation in config.organisations.values_mut() {
                organisation.weights = weights;
            }
            replay(trace, config, Product, seed)
        }
    }
}

fn replay<D: Decide>(trace: &Trace, config: Config, policy: D, seed: u64) -> Report {
    let mut replay = Replay::open(&trace.setup, config, policy, seed);
    let step = Duration::from_millis(trace.setup.tick_ms.max(1));
    let start = Time::from_millis(trace.setup.warm_up_ms);
    replay.warm_up(start);
    let mut now = start;
    let mut lines = trace.lines.iter().peekable();
    while now.since(start) < trace.setup.length() {
        while let Some(line) = lines.next_if(|line| now.since(start) >= line.at()) {
            replay.happen(&line.event, now);
        }
        replay.advance(now, step);
        now = now + step;
    }
    replay.measures.report(&replay.watch.world, &replay.requests, &replay.crew, now)
}

/// A replay under way.
struct Replay<D> {
    config: Config,
    policy: D,
    store: Store,
    site: Site,
    requests: Requests,
    /// Sees every commit at once; what is measured is measured here.
    watch: Replica,
    pools: Replica,
    waves: Replica,
    operator: Replica,
    jobs: Replica,
    crew: Crew,
    /// Jobs still to be submitted, the last one first.
    arrivals: Vec<work::Arrival>,
    rng: ChaCha8Rng,
    /// How many holders of the jobs there have been; each has a clock of its own.
    clocks: u64,
    /// Entries that are cut off, with what they last knew.
    cut: BTreeMap<String, (Time, Replica)>,
    /// What operators want and have not got an answer for.
    acts: Vec<Decision>,
    /// Reports on demand that are still under way.
    demands: Vec<(Time, Fact)>,
    lag: Duration,
    demand_lag: Duration,
    next_round: Time,
    /// What the holder of the pools had learnt when all was last checked.
    checked: usize,
    measures: Measures,
}

impl<D: Decide> Replay<D> {
    fn open(setup: &Setup, config: Config, policy: D, seed: u64) -> Self {
        let site = Site::open(setup);
        let mut store = Store::default();
        let mut founder = Replica::open(&config, &store);
        found(&mut founder, &mut store, &site);
        let replica = Replica::open(&config, &store);
        let traffic = setup.traffic.iter().filter_map(|(name, traffic)| {
            Some((act::pool(&replica.world, name)?, traffic.clone()))
        });
        let requests = Requests::open(traffic.collect());
        let mut this = Self {
            policy,
            store,
            requests,
            measures: Measures::open(&replica.world),
            watch: replica.clone(),
            pools: replica.clone(),
            waves: replica.clone(),
            jobs: replica.clone(),
            operator: replica,
            crew: Crew::open(Duration::from_millis(setup.lags.report_ms)),
            arrivals: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            clocks: 0,
            site,
            config,
            cut: BTreeMap::new(),
            acts: Vec::new(),
            demands: Vec::new(),
            lag: Duration::from_millis(setup.lags.table_ms),
            demand_lag: Duration::from_millis(setup.lags.demand_ms),
            next_round: Time::ZERO,
            checked: 0,
        };
        this.set_clock();
        this
    }

    /// A new holder of the jobs has a clock of its own.
    fn set_clock(&mut self) {
        self.clocks += 1;
        self.jobs.world.clock_id = self.clocks;
    }

    /// Lets the site run up to `start` and forgets what was measured.
    fn warm_up(&mut self, start: Time) {
        let mut now = Time::ZERO;
        while now < start {
            self.advance(now, ROUND);
            now = now + ROUND;
        }
        self.measures = Measures::open(&self.watch.world);
        self.requests.forget();
    }

    /// One step of time.
    fn advance(&mut self, now: Time, step: Duration) {
        self.site.advance(now);
        self.catch_up(now);
        if now >= self.next_round {
            self.round(now);
            self.next_round = now + ROUND.max(step);
            self.measures.jobs.sample(&self.watch.world, now);
        }
        self.carry_out_acts(now);
        self.work(now);
        self.lend(now);
        self.requests.advance(&self.watch.world, &self.site, now, step);
        self.measures.step(&self.watch.world, &self.site, now, step);
        if self.watch.position() != self.checked || self.pools.position() != self.checked {
            self.checked = self.pools.position();
            self.check();
        }
    }

    /// Looks for what must never happen, whenever something was learnt.
    fn check(&mut self) {
        let cut = self.cut.values().map(|(_, replica)| replica);
        let holders = [&self.watch, &self.pools, &self.waves, &self.operator, &self.jobs];
        self.measures.check(&self.watch.world, holders.into_iter().chain(cut));
    }

    fn catch_up(&mut self, now: Time) {
        let until = if now >= Time::ZERO + self.lag { now - self.lag } else { Time::ZERO };
        for replica in [&mut self.pools, &mut self.waves, &mut self.operator, &mut self.jobs] {
            replica.catch_up(&self.store, until);
        }
        self.watch.catch_up(&self.store, now);
        self.cut.retain(|_, (until, _)| *until > now);
    }

    fn lend(&mut self, now: Time) {
        self.demands.push((now + self.demand_lag, Fact::Demand(self.requests.demand())));
        while self.demands.first().is_some_and(|(due, _)| *due <= now) {
            let (_, fact) = self.demands.remove(0);
            self.watch.world.record(&fact, now);
        }
        self.watch.world.loans = self.policy.lend(&self.watch.world, now);
    }
}

/// Records every machine as serving in the pool that it was started for.
fn found(replica: &mut Replica, store: &mut Store, site: &Site) {
    for machine in site.machines().values() {
        let mut instance = act::instance(&mut replica.world, machine);
        instance.state = fleet::instance::State::Serving;
        let Some(pool) = replica.world.pools.get(instance.pool).cloned() else {
            continue;
        };
        let pool = fleet::pool::Pool { members: pool.members + 1, ..pool };
        let changes = [Change::Instance(instance), Change::Pool(pool)];
        let commit = replica.commit(store, &changes, Time::ZERO);
        debug_assert_eq!(commit, Commit::Done);
    }
}
