//! Lending of idle slots of one pool to the requests of an overloaded pool.
//!
//! Handles bursts, which last seconds. Lending moves no instance and needs neither a write to the
//! table service nor coordination: each entry computes the loans from the demand that its peers
//! report. If entries disagree and send an upstream more requests than it has slots, the upstream
//! rejects the excess requests without running them. The instances stay in their own pool, whose
//! requests take precedence.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key;
use crate::pool::Pool;
use crate::time::Time;
use crate::world::World;

/// A pool is overloaded if its demand exceeds this percentage of its slots.
const HIGH_WATERMARK_PERCENT: u64 = 85;

/// A pool no longer needs its loans if its demand is below this percentage of its own slots.
const LOW_WATERMARK_PERCENT: u64 = 60;

/// Time for which the demand must stay below the low watermark before loans are returned.
const RETURN_DELAY: Duration = Duration::from_secs(2);

/// Reserve that a lender keeps beyond its own demand, in percent of its slots.
const RESERVE_PERCENT: u64 = 25;

/// A loan of an instance's idle slots to another pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// The borrower: the pool whose requests may use the slots.
    pub to: key::Pool,
    /// When the loan began.
    pub since: Time,
    /// Since when the borrower's demand has been below the low watermark, if it is.
    pub low_since: Option<Time>,
}

/// The current loans, by instance.
pub type Loans = BTreeMap<key::Instance, Loan>;

/// Returns the loans that should be in force from now on, based on the current loans and the demand
/// of each pool.
///
/// A lender that needs its slots gets them back at once. A borrower returns loans after its demand
/// has stayed below the low watermark for `RETURN_DELAY`.
pub fn lend(world: &World, now: Time) -> Loans {
    let loads = Loads::collect(world);
    let mut loans = Loans::new();
    let mut lent = BTreeMap::new();
    let mut borrowed = BTreeMap::new();
    for (&instance, &loan) in &world.loans {
        let Some(from) = lender(world, instance) else {
            continue;
        };
        let Some(loan) = loads.renew(loan, now) else {
            continue;
        };
        let count = lent.entry(from).or_insert(0);
        if *count < loads.idle(from) {
            *count += 1;
            *borrowed.entry(loan.to).or_insert(0) += 1;
            loans.insert(instance, loan);
        }
    }
    for (to, need) in loads.needs() {
        let missing = need.saturating_sub(borrowed.get(&to).copied().unwrap_or(0));
        borrow(world, &loads, to, missing, &mut lent, &mut loans, now);
    }
    loans
}

/// Lends up to `missing` instances to `to`, starting with the pool that can lend most.
fn borrow(
    world: &World,
    loads: &Loads,
    to: key::Pool,
    missing: u32,
    lent: &mut BTreeMap<key::Pool, u32>,
    loans: &mut Loans,
    now: Time,
) {
    let mut missing = missing;
    for from in loads.lenders(to) {
        let count = lent.entry(from).or_insert(0);
        let mut available = loads.idle(from).saturating_sub(*count).min(missing);
        for instance in by_name(world, from) {
            if available == 0 {
                break;
            }
            if loans.contains_key(&instance) {
                continue;
            }
            loans.insert(instance, Loan { to, since: now, low_since: None });
            *count += 1;
            available -= 1;
            missing -= 1;
        }
    }
}

/// Ready instances of a pool in the order of their names, so that every entry lends the same ones.
fn by_name(world: &World, pool: key::Pool) -> Vec<key::Instance> {
    let mut members: Vec<_> = world.ready(pool).collect();
    members.sort_by(|(_, left), (_, right)| left.name.cmp(&right.name));
    members.into_iter().map(|(key, _)| key).collect()
}

/// The pool of an instance, if the instance may be lent.
fn lender(world: &World, instance: key::Instance) -> Option<key::Pool> {
    let member = world.instances.get(instance)?;
    let lends = world.pools.get(member.pool)?.spec.lends;
    (lends && member.state.is_serving()).then_some(member.pool)
}

/// The slots and demand of each pool.
struct Loads {
    pools: BTreeMap<key::Pool, Load>,
}

/// The slots and demand of one pool.
struct Load {
    organisation: key::Organisation,
    lends: bool,
    /// Slots per instance.
    slots: u64,
    /// Slots of all ready instances.
    capacity: u64,
    /// Requests that are queued or in flight.
    demand: u64,
}

impl Loads {
    fn collect(world: &World) -> Self {
        let load_of = |key, pool: &Pool| Load {
            organisation: pool.organisation,
            lends: pool.spec.lends,
            slots: u64::from(pool.slots),
            capacity: u64::from(pool.slots) * u64::from(pool.ready()),
            demand: u64::from(world.observations.demand.get(&key).copied().unwrap_or(0)),
        };
        let pools = world.pools.iter().map(|(key, pool)| (key, load_of(key, pool)));
        Self { pools: pools.collect() }
    }

    /// Returns the loan with `low_since` updated, or `None` if the borrower's demand has been low for
    /// long enough to return it.
    fn renew(&self, loan: Loan, now: Time) -> Option<Loan> {
        let load = self.pools.get(&loan.to)?;
        if load.demand * 100 >= load.capacity * LOW_WATERMARK_PERCENT {
            return Some(Loan { low_since: None, ..loan });
        }
        let low_since = loan.low_since.unwrap_or(now);
        (now.since(low_since) < RETURN_DELAY).then_some(Loan { low_since: Some(low_since), ..loan })
    }

    /// Number of instances that a pool can lend.
    fn idle(&self, pool: key::Pool) -> u32 {
        let Some(load) = self.pools.get(&pool).filter(|load| load.lends && load.slots > 0) else {
            return 0;
        };
        let needed = load.demand + load.capacity * RESERVE_PERCENT / 100;
        let idle = load.capacity.saturating_sub(needed) / load.slots;
        u32::try_from(idle).unwrap_or(u32::MAX)
    }

    /// Number of instances that each overloaded pool needs to borrow, in descending order.
    fn needs(&self) -> Vec<(key::Pool, u32)> {
        let mut needs = Vec::new();
        for (&key, load) in &self.pools {
            let high_watermark = load.capacity * HIGH_WATERMARK_PERCENT / 100;
            if load.slots == 0 || load.demand <= high_watermark {
                continue;
            }
            let need = (load.demand - high_watermark).div_ceil(load.slots);
            needs.push((key, u32::try_from(need).unwrap_or(u32::MAX)));
        }
        needs.sort_by_key(|&(key, need)| (std::cmp::Reverse(need), key));
        needs
    }

    /// Pools that can lend instances to `to`, in descending order of how many they can lend.
    fn lenders(&self, to: key::Pool) -> Vec<key::Pool> {
        let Some(borrower) = self.pools.get(&to) else {
            return Vec::new();
        };
        let others = self.pools.iter().filter(|&(&key, load)| {
            key != to && load.organisation == borrower.organisation && self.idle(key) > 0
        });
        let mut others: Vec<_> = others.map(|(&key, _)| key).collect();
        others.sort_by_key(|&key| (std::cmp::Reverse(self.idle(key)), key));
        others
    }
}
