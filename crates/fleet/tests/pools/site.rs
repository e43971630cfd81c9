//! A small site: the pools of one organisation. Decisions are carried out at once.

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::config;
use fleet::decision;
use fleet::decision::Decision;
use fleet::decision::Refusal;
use fleet::fact::Fact;
use fleet::instance::Instance;
use fleet::instance::State;
use fleet::key;
use fleet::pool;
use fleet::time::Time;
use fleet::wave;
use fleet::world::Change;
use fleet::world::World;

/// A pool to be created: its name, size, `min_ready`, whether it is a spare pool, and the rack of
/// each of its instances.
pub(crate) struct Pool<'a>(
    pub(crate) &'a str,
    pub(crate) u32,
    pub(crate) u32,
    pub(crate) bool,
    pub(crate) &'a [&'a str],
);

/// The state and configuration of a small site, and the simulated time.
#[derive(Clone)]
pub(crate) struct Site {
    pub(crate) world: World,
    pub(crate) config: config::Config,
    pub(crate) now: Time,
}

impl Site {
    /// Creates a site with these pools. Instances are named after their pool and number: `a0`, `a1`.
    pub(crate) fn new(pools: &[Pool<'_>], weights: config::Weights) -> Self {
        let mut organisation = config::Organisation { weights, ..config::Organisation::default() };
        for Pool(name, size, min_ready, spare, _) in pools {
            let (size, min_ready, spare) = (*size, *min_ready, *spare);
            let spec = config::Pool { size, min_ready, spare, lends: true };
            organisation.pools.insert((*name).to_owned(), spec);
            let service =
                config::Service { pool: (*name).to_owned(), ..config::Service::default() };
            organisation.services.insert((*name).to_owned(), service);
        }
        let names = pools.iter().map(|pool| pool.0.to_owned()).collect();
        let wave = config::Wave { pools: names, restart_secs: 60, ..config::Wave::default() };
        organisation.waves.insert("all".to_owned(), wave);
        let config = config::Config {
            revision: config::Revision(1),
            organisations: [("org".to_owned(), organisation)].into(),
        };
        let mut world = World::default();
        world.configure(&config);
        let mut site = Self { world, config, now: Time::from_secs(10_000) };
        for Pool(name, _, _, _, racks) in pools {
            for (number, rack) in racks.iter().enumerate() {
                site.add(name, &format!("{name}{number}"), rack);
            }
        }
        site
    }

    fn add(&mut self, pool: &str, name: &str, rack: &str) {
        let key = self.pool(pool);
        let instance = Instance {
            name: name.to_owned(),
            address: "127.0.0.1:8000".to_owned(),
            data_centre: self.world.data_centre("dc"),
            rack: self.world.rack(rack),
            pool: key,
            ..Instance::default()
        };
        let pool = self.world.pools.get(key).expect("the pool exists").clone();
        let pool = pool::Pool { members: pool.members + 1, ..pool };
        self.world.apply(Change::Instance(instance));
        self.world.apply(Change::Pool(pool));
    }

    pub(crate) fn pool(&self, name: &str) -> key::Pool {
        let organisation = self.world.names.organisations["org"];
        self.world.names.pools[&(organisation, name.to_owned())]
    }

    pub(crate) fn wave(&self) -> key::Wave {
        let organisation = self.world.names.organisations["org"];
        self.world.names.waves[&(organisation, "all".to_owned())]
    }

    pub(crate) fn key(&self, name: &str) -> key::Instance {
        self.world.names.instances[name]
    }

    pub(crate) fn instance(&self, name: &str) -> &Instance {
        self.world.instances.get(self.key(name)).expect("the instance exists")
    }

    pub(crate) fn state(&self, name: &str) -> State {
        self.instance(name).state
    }

    pub(crate) fn ready(&self, pool: &str) -> u32 {
        self.world.pools.get(self.pool(pool)).expect("the pool exists").ready()
    }

    /// Names of the members in this state, in order.
    pub(crate) fn names(&self, pool: &str, state: State) -> Vec<String> {
        let members = self.world.members(self.pool(pool));
        let mut names: Vec<_> = members
            .filter(|(_, member)| member.state == state)
            .map(|(_, member)| member.name.clone())
            .collect();
        names.sort();
        names
    }

    /// Advances the time by `secs` seconds.
    pub(crate) fn wait(&mut self, secs: u64) {
        self.now = self.now + Duration::from_secs(secs);
    }

    /// Carries out a decision.
    pub(crate) fn decide(&mut self, decision: impl Into<Decision>) -> Result<(), Refusal> {
        for change in decision::effect(&self.world, &decision.into(), self.now)? {
            self.world.apply(change);
        }
        Ok(())
    }

    /// Records a fact and carries out the decisions that it calls for.
    pub(crate) fn report(&mut self, fact: &Fact) -> Vec<pool::Decision> {
        self.world.record(fact, self.now);
        let decisions = pool::observe(&self.world, fact, self.now);
        for decision in &decisions {
            self.decide(decision.clone()).expect("decisions on facts are not refused");
        }
        decisions
    }

    pub(crate) fn plan_pools(&self) -> Vec<pool::Decision> {
        let pools: BTreeSet<_> = self.world.pools.iter().map(|(key, _)| key).collect();
        pool::plan(&self.world, &pools, self.now)
    }

    pub(crate) fn plan_waves(&self) -> Vec<wave::Decision> {
        wave::plan(&self.world, &BTreeSet::from([self.wave()]), self.now)
    }

    /// Carries out the decisions that the pools call for. Returns their number.
    pub(crate) fn run_pools(&mut self) -> usize {
        let decisions = self.plan_pools();
        for decision in &decisions {
            self.decide(decision.clone()).expect("planned decisions are not refused");
        }
        decisions.len()
    }

    /// Carries out the decisions that the wave calls for. Returns their number.
    pub(crate) fn run_waves(&mut self) -> usize {
        let decisions = self.plan_waves();
        for decision in &decisions {
            self.decide(decision.clone()).expect("planned decisions are not refused");
        }
        decisions.len()
    }

    /// Reports that all entries have acknowledged every pending drain.
    pub(crate) fn acknowledge_drains(&mut self) {
        let draining: Vec<_> = self.in_state(State::Draining);
        for key in draining {
            self.report(&Fact::Quiesced(key));
        }
    }

    /// Reports that every stopped instance has restarted, and lets it pass its check.
    pub(crate) fn restart_stopped(&mut self) {
        for key in self.in_state(State::Stopped) {
            self.report(&Fact::Restarted(key));
        }
        self.pass_checks();
    }

    /// Reports every instance that is being checked as healthy until it passes its check.
    pub(crate) fn pass_checks(&mut self) {
        for key in self.in_state(State::Checking) {
            self.report(&Fact::Healthy(key));
        }
        self.wait(300);
        for key in self.in_state(State::Checking) {
            self.report(&Fact::Healthy(key));
        }
    }

    fn in_state(&self, state: State) -> Vec<key::Instance> {
        let instances = self.world.instances.iter();
        instances.filter(|(_, instance)| instance.state == state).map(|(key, _)| key).collect()
    }
}
