//! What is measured in a replay, the lower bounds, and what must never happen.

mod bound;
mod check;
mod job;
mod rollout;

pub use bound::Deficits;
pub use check::Check;
pub use job::Jobs;
pub use rollout::Rollout;
pub use rollout::Rollouts;

use std::time::Duration;

use fleet::config::Priority;
use fleet::decision::Decision;
use fleet::instance::State;
use fleet::pool;
use fleet::pool::Reason;
use fleet::time::Time;
use fleet::world::World;

use crate::fake::Crew;
use crate::fake::Requests;
use crate::fake::Site;
use crate::replica::Fate;
use crate::replica::Replica;
use crate::report::Report;

/// Everything that is measured in a replay.
#[derive(Clone, Debug, Default)]
pub struct Measures {
    /// What is measured of jobs.
    pub jobs: Jobs,
    check: Check,
    rollouts: Rollouts,
    deficits: Deficits,
    held: f64,
    watched: f64,
    moves: u32,
    operator_moves: u32,
    parked: u32,
    recorded: u64,
    refused: u64,
    conflicts: u64,
    refused_acts: u64,
    below_secs: f64,
}

impl Measures {
    /// Starts to measure a site.
    pub fn open(world: &World) -> Self {
        Self { deficits: Deficits::open(world), ..Self::default() }
    }

    /// Takes note of one step of time.
    pub fn step(&mut self, world: &World, site: &Site, now: Time, step: Duration) {
        let secs = step.as_secs_f64();
        self.watched += secs;
        self.held += f64::from(held(world, site)) * secs;
        self.below_secs += f64::from(below(world)) * secs;
        self.deficits.step(world, site, now);
        self.rollouts.step(world, site, now, step);
    }

    /// Takes note of a decision and of what became of it; `world` is right after it.
    pub fn decided(&mut self, world: &World, decision: &Decision, fate: &Fate, now: Time) {
        match fate {
            Fate::Recorded(changes) => {
                self.recorded += 1;
                self.jobs.decided(decision);
                self.check.planned_stop(world, decision, changes);
                self.count(decision, changes);
                self.rollouts.decided(world, decision, now);
            }
            Fate::Refused(_) => self.refused += 1,
            Fate::Conflict => self.conflicts += 1,
            Fate::StoreDown => {}
        }
    }

    /// Takes note of how the waves stand.
    pub fn watch_waves(&mut self, world: &World, now: Time) {
        self.rollouts.watch(world, now);
    }

    /// An operator was told no.
    pub const fn count_refused_act(&mut self) {
        self.refused_acts += 1;
    }

    /// Looks at the tables, and compares what the holders believe of each instance.
    pub fn check<'a>(&mut self, world: &World, replicas: impl Iterator<Item = &'a Replica>) {
        self.check.tables(world);
        self.check.views(replicas);
    }

    /// The figures at the end.
    pub fn report(&self, world: &World, requests: &Requests, crew: &Crew, now: Time) -> Report {
        let waits = &requests.waits;
        Report {
            secs: self.watched,
            buffer: self.held / self.watched.max(f64::EPSILON),
            buffer_bound: f64::from(bound::buffer(world)),
            moves: self.moves,
            moves_bound: self.deficits.most() + self.operator_moves,
            parked: self.parked,
            rollouts: self.rollouts.all(world, now),
            budget_breaches: self.check.budget_breaches,
            rack_breaches: self.check.rack_breaches,
            two_pools: self.check.two_pools,
            miscounts: self.check.miscounts,
            below_promise_secs: self.below_secs,
            request_wait_p50_ms: waits.value_at_quantile(0.5),
            request_wait_p99_ms: waits.value_at_quantile(0.99),
            request_wait_max_ms: waits.max(),
            requests_served: requests.served,
            requests_refused: requests.refused,
            decisions: self.recorded,
            refused: self.refused,
            conflicts: self.conflicts,
            refused_acts: self.refused_acts,
            jobs_refused: self.jobs.refused,
            jobs_runnable: job::runnable(crew),
            jobs_done: self.jobs.done,
            jobs_moved: self.jobs.moved,
            urgent_start_p99_ms: job::start_p99_ms(crew, Priority::Urgent, now),
            normal_start_p99_ms: job::start_p99_ms(crew, Priority::Normal, now),
            batch_start_p99_ms: job::start_p99_ms(crew, Priority::Batch, now),
            double_runs: crew.double_runs,
            burnt_attempts: crew.burnt(),
            started_after_cancel: crew.started_after_cancel,
            accelerators_used: self.jobs.used(),
            accelerators_packed: self.jobs.packed(),
        }
    }

    fn count(&mut self, decision: &Decision, changes: &[fleet::world::Change]) {
        let Decision::Pool(decision) = decision else {
            return;
        };
        let drains = check::drained(changes).is_some();
        match decision {
            pool::Decision::Move { reason, .. } if drains => {
                self.moves += 1;
                self.operator_moves += u32::from(*reason == Reason::Operator);
            }
            pool::Decision::Park { .. } if drains => self.parked += 1,
            _ => {}
        }
    }
}

/// Instances that are up and held ready beyond what is promised.
fn held(world: &World, site: &Site) -> u32 {
    let mut held = 0;
    for (key, pool) in world.pools.iter() {
        let up = world.members(key).filter(|(_, member)| {
            let kept = matches!(member.state, State::Serving | State::Checking);
            kept && site.is_up(&member.name)
        });
        held += (up.count() as u32).saturating_sub(pool.spec.min_ready);
    }
    held
}

/// Pools that have fewer ready than they promise.
fn below(world: &World) -> u32 {
    let pools = world.pools.iter().map(|(_, pool)| pool);
    pools.filter(|pool| pool.ready() < pool.spec.min_ready).count() as u32
}
