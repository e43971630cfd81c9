//! Requests as a flow: each pool has a queue, and slots that empty it.
//!
//! Requests of one moment share one wait. A pool's own requests go before those of its borrowers.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use fleet::key;
use fleet::time::Time;
use fleet::world::World;
use hdrhistogram::Histogram;

use crate::fake::Site;
use crate::trace::Traffic;

/// The longest wait that is told apart, milliseconds.
const MAX_WAIT_MS: u64 = 600_000;

/// Requests that came at one moment.
#[derive(Clone, Copy, Debug)]
struct Batch {
    at: Time,
    count: f64,
}

/// One pool's requests.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    traffic: Traffic,
    times: f64,
    until: Time,
    waiting: VecDeque<Batch>,
    busy: f64,
}

/// All requests of a site.
#[derive(Clone, Debug)]
pub struct Requests {
    queues: BTreeMap<key::Pool, Queue>,
    /// Waits of those that were served, milliseconds.
    pub waits: Histogram<u64>,
    /// Requests that were served.
    pub served: f64,
    /// Requests that were refused as not run, because no slot was free in time.
    pub refused: f64,
}

impl Requests {
    /// The usual requests of each pool.
    pub fn open(traffic: BTreeMap<key::Pool, Traffic>) -> Self {
        let queue = |traffic| Queue { traffic, times: 1.0, ..Queue::default() };
        let queues = traffic.into_iter().map(|(key, traffic)| (key, queue(traffic))).collect();
        let waits = Histogram::new_with_max(MAX_WAIT_MS, 3).expect("a fixed range is valid");
        Self { queues, waits, served: 0.0, refused: 0.0 }
    }

    /// Forgets what was measured.
    pub fn forget(&mut self) {
        self.waits.reset();
        self.served = 0.0;
        self.refused = 0.0;
    }

    /// A pool's requests are this many times their mean until then.
    pub fn load(&mut self, pool: key::Pool, times: f64, until: Time) {
        if let Some(queue) = self.queues.get_mut(&pool) {
            queue.times = times;
            queue.until = until;
        }
    }

    /// Requests queued or in flight for each pool.
    pub fn demand(&self) -> BTreeMap<key::Pool, u32> {
        self.queues.iter().map(|(&key, queue)| (key, queue.demand())).collect()
    }

    /// Lets requests come, be served and give up, for `step` from `now` on.
    pub fn advance(&mut self, world: &World, site: &Site, now: Time, step: Duration) {
        let mut idle = BTreeMap::new();
        for (&key, queue) in &mut self.queues {
            queue.arrive(now, step);
            let room = slots(world, site, key);
            let used = queue.serve(room, now, step, &mut self.waits);
            queue.busy = used;
            self.served += used * queue.rate(step);
            idle.insert(key, room - used);
        }
        for (&key, queue) in &mut self.queues {
            let room = lent(world, site, key, &idle);
            let used = queue.serve(room, now, step, &mut self.waits);
            queue.busy += used;
            self.served += used * queue.rate(step);
            self.refused += queue.give_up(now);
        }
    }
}

impl Queue {
    fn arrive(&mut self, now: Time, step: Duration) {
        if now >= self.until {
            self.times = 1.0;
        }
        let count = self.traffic.per_second * self.times * step.as_secs_f64();
        self.waiting.push_back(Batch { at: now, count });
    }

    /// Serves what `slots` can take in this step, the longest waiting first; returns slots used.
    fn serve(&mut self, slots: f64, now: Time, step: Duration, waits: &mut Histogram<u64>) -> f64 {
        let rate = self.rate(step);
        let mut left = slots * rate;
        while left > 0.0 {
            let Some(batch) = self.waiting.front_mut() else {
                break;
            };
            let taken = batch.count.min(left);
            left -= taken;
            batch.count -= taken;
            let wait = now.since(batch.at).as_millis() as u64;
            let recorded = waits.record_n(wait.min(MAX_WAIT_MS), (taken * 1_000.0) as u64);
            recorded.expect("a wait within the range is recorded");
            if batch.count <= f64::EPSILON {
                self.waiting.pop_front();
            }
        }
        if rate > 0.0 { slots - left / rate } else { 0.0 }
    }

    fn give_up(&mut self, now: Time) -> f64 {
        let patience = Duration::from_millis(self.traffic.patience_ms);
        let mut refused = 0.0;
        while let Some(batch) = self.waiting.front().filter(|batch| now.since(batch.at) >= patience)
        {
            refused += batch.count;
            self.waiting.pop_front();
        }
        refused
    }

    /// Requests that one slot finishes in a step.
    fn rate(&self, step: Duration) -> f64 {
        step.as_secs_f64() * 1_000.0 / self.traffic.service_ms.max(1) as f64
    }

    fn demand(&self) -> u32 {
        let waiting: f64 = self.waiting.iter().map(|batch| batch.count).sum();
        (self.busy + waiting).round() as u32
    }
}

/// Slots of a pool's own instances that are up and get work.
fn slots(world: &World, site: &Site, pool: key::Pool) -> f64 {
    let slots = world.pools.get(pool).map_or(0, |pool| pool.slots);
    let members = world.members(pool).filter(|(_, member)| member.state.is_serving());
    let up = members.filter(|(_, member)| site.is_up(&member.name)).count();
    f64::from(slots) * up as f64
}

/// Slots that other pools lend to this one, as far as they are idle there.
fn lent(world: &World, site: &Site, pool: key::Pool, idle: &BTreeMap<key::Pool, f64>) -> f64 {
    let mut lent: BTreeMap<key::Pool, f64> = BTreeMap::new();
    for (&instance, loan) in &world.loans {
        let Some(member) = world.instances.get(instance).filter(|_| loan.to == pool) else {
            continue;
        };
        let serves = member.state.is_serving() && site.is_up(&member.name);
        let slots = world.pools.get(member.pool).map_or(0, |pool| pool.slots);
        if serves {
            *lent.entry(member.pool).or_insert(0.0) += f64::from(slots);
        }
    }
    let free = |pool| idle.get(pool).copied().unwrap_or(f64::INFINITY).max(0.0);
    lent.iter().map(|(pool, slots)| slots.min(free(pool))).sum()
}
