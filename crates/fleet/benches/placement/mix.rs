//! Fleets and jobs of the target size: 35 pools, 370 teams, 31 accelerators to 12 instances.

use fleet::config;
use fleet::config::Priority;
use fleet::config::Size;
use fleet::fact::Fact;
use fleet::fact::Report;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::site::Site;
use crate::site::size;
use crate::site::spec;

const POOLS: u32 = 35;
const TEAMS: u32 = 370;

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub(crate) instances: u32,
    pub(crate) pools: u32,
    pub(crate) teams: u32,
}

impl Shape {
    /// The target number of pools, or fewer for small fleets, and the target number of teams.
    pub(crate) fn full(instances: u32) -> Self {
        Self { instances, pools: POOLS.min(instances / 2), teams: TEAMS }
    }

    /// Number of teams that use each pool.
    pub(crate) const fn teams_of_pool(self) -> u32 {
        self.teams / self.pools
    }
}

/// Numbers of accelerators of twelve consecutive instances.
const ACCELERATORS: [u32; 12] = [8, 0, 4, 0, 2, 8, 0, 4, 0, 1, 4, 0];

/// The capacity of the `number`th instance.
pub(crate) const fn capacity(number: u32) -> Size {
    match ACCELERATORS[number as usize % ACCELERATORS.len()] {
        8 => size(64, 256, 8),
        accelerators => size(32, 128, accelerators),
    }
}

/// Kinds of job: name, cores, memory in GB, accelerators, run time in seconds, share in percent.
const KINDS: [(&str, u32, u32, u32, u32, u32); 8] = [
    ("shell", 1, 2, 0, 60, 20),
    ("build", 4, 8, 0, 180, 20),
    ("report", 8, 32, 0, 300, 10),
    ("solve", 16, 48, 0, 400, 5),
    ("infer", 4, 16, 1, 240, 20),
    ("tune", 8, 32, 2, 400, 12),
    ("train", 16, 64, 4, 600, 8),
    ("pretrain", 32, 128, 8, 900, 5),
];

/// Sum of the teams' quotas, percent of the fleet's capacity.
const QUOTA_PERCENT: u32 = 90;

/// A fleet with its pools and teams, and empty queues.
pub(crate) fn fleet(shape: Shape) -> Site {
    let Shape { instances, pools, teams } = shape;
    let whole = (0..instances).map(capacity).fold(Size::default(), Size::plus);
    let part = |amount: u32| (u64::from(amount) * u64::from(QUOTA_PERCENT) / 100) as u32 / teams;
    let quota = Size {
        milli_cores: part(whole.milli_cores),
        memory_mb: part(whole.memory_mb),
        accelerators: part(whole.accelerators),
    };
    let share = config::Team { quota, share: 1, borrows: true };
    let names: Vec<_> = (0..teams).map(|team| format!("team-{team}")).collect();
    let teams: Vec<_> = names.iter().map(|name| (name.as_str(), share.clone())).collect();
    let mut site = Site::new(&teams);
    for number in 0..instances {
        let pool = format!("pool-{}", number / 4 % pools);
        site.add_instances(&pool, 1, capacity(number));
    }
    let keys: Vec<_> = site.workers.keys().copied().collect();
    for instance in keys {
        let taken = site.now;
        let report = Report { instance, boot: 0, epoch: 1, taken, attempts: Vec::new() };
        site.world.record(&Fact::Report(report), taken);
    }
    site
}

/// A seeded source of jobs.
pub(crate) struct Source {
    random: ChaCha8Rng,
    next: u32,
    shape: Shape,
    /// Whether only kinds with accelerators are drawn.
    pub(crate) accelerated: bool,
}

impl Source {
    pub(crate) fn new(seed: u64, shape: Shape) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { random, next: 0, shape, accelerated: false }
    }

    /// Submits one more job to a random pool; `false` if it was rejected.
    pub(crate) fn submit(&mut self, site: &mut Site) -> bool {
        let pool = self.random.random_range(0..self.shape.pools);
        self.submit_to(site, pool)
    }

    /// Submits one more job to this pool, for a random one of the teams that use it; `false` if it was
    /// rejected.
    pub(crate) fn submit_to(&mut self, site: &mut Site, pool: u32) -> bool {
        let (kind, cores, memory, accelerators, seconds, _) = self.kind();
        let nth = self.random.random_range(0..self.shape.teams_of_pool());
        let team = pool + self.shape.pools * nth;
        let urgency = self.random.random_range(0..10);
        let spec = config::Job {
            seconds: self.random.random_range(seconds / 2..seconds * 2),
            priority: if urgency < 3 { Priority::Batch } else { Priority::Normal },
            preemptible: urgency < 5,
            idempotent: urgency % 2 == 0,
            ..spec(&format!("pool-{pool}"), cores, memory, accelerators)
        };
        self.next += 1;
        let (name, team) = (format!("job-{}", self.next), format!("team-{team}"));
        site.submit(&name, &team, kind, &spec).is_ok()
    }

    fn kind(&mut self) -> (&'static str, u32, u32, u32, u32, u32) {
        loop {
            let mut at = self.random.random_range(0..100);
            for kind in KINDS {
                if at < kind.5 {
                    if self.accelerated && kind.3 == 0 {
                        break;
                    }
                    return kind;
                }
                at -= kind.5;
            }
        }
    }
}

/// Starts all jobs that can be started without time passing. Returns the number of decisions.
pub(crate) fn settle(site: &mut Site) -> usize {
    let mut decisions_taken = 0;
    loop {
        let decisions = fleet::job::plan(&site.world, &site.index, &site.pools, site.now);
        if decisions.is_empty() {
            return decisions_taken;
        }
        decisions_taken += decisions.len();
        for decision in decisions {
            site.apply(&decision);
        }
    }
}
