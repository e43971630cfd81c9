//! Lending: idle slots of one pool for the requests of another that bursts.
//!
//! A burst lasts seconds. Lending moves no instance, needs no write and no agreement: each entry
//! works loans out for itself from the demand that its peers report, and an upstream that is asked
//! for more than it has refuses before it runs anything. The instances stay in their own pool and
//! their own pool's requests go first.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key;
use crate::pool::Pool;
use crate::time::Time;
use crate::world::World;

/// A pool bursts when its demand is above this many hundredths of its slots.
const BURST_PERCENT: u64 = 85;

/// A pool needs its loans no more when its demand is below this many hundredths of its own slots.
const CALM_PERCENT: u64 = 60;

/// How long a pool must be calm before its loans are given back.
const CALM: Duration = Duration::from_secs(2);

/// What a lender keeps free beyond its own demand, in hundredths of its slots.
const KEPT_PERCENT: u64 = 25;

/// One instance's idle slots, lent to another pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// The pool whose requests may use them.
    pub to: key::Pool,
    /// Since when.
    pub since: Time,
    /// Since when the borrower has been calm, if it is.
    pub low_since: Option<Time>,
}

/// What is lent at present, by instance.
pub type Loans = BTreeMap<key::Instance, Loan>;

/// What should be lent from now on, given what is lent and what each pool's demand is.
///
/// A lender that needs its slots again gets them back at once; a borrower gives back what it needs
/// no more once it has been calm for a while.
pub fn lend(world: &World, now: Time) -> Loans {
    let books = Books::open(world);
    let mut loans = Loans::new();
    let mut lent = BTreeMap::new();
    let mut got = BTreeMap::new();
    for (&instance, &loan) in &world.loans {
        let Some(from) = lender(world, instance) else {
            continue;
        };
        let Some(loan) = books.renew(loan, now) else {
            continue;
        };
        let count = lent.entry(from).or_insert(0);
        if *count < books.idle(from) {
            *count += 1;
            *got.entry(loan.to).or_insert(0) += 1;
            loans.insert(instance, loan);
        }
    }
    for (to, need) in books.needs() {
        let missing = need.saturating_sub(got.get(&to).copied().unwrap_or(0));
        borrow(world, &books, to, missing, &mut lent, &mut loans, now);
    }
    loans
}

/// Lends up to `missing` instances to `to`, from the idlest pool on.
fn borrow(
    world: &World,
    books: &Books,
    to: key::Pool,
    missing: u32,
    lent: &mut BTreeMap<key::Pool, u32>,
    loans: &mut Loans,
    now: Time,
) {
    let mut missing = missing;
    for from in books.lenders(to) {
        let count = lent.entry(from).or_insert(0);
        let mut left = books.idle(from).saturating_sub(*count).min(missing);
        for instance in by_name(world, from) {
            if left == 0 {
                break;
            }
            if loans.contains_key(&instance) {
                continue;
            }
            loans.insert(instance, Loan { to, since: now, low_since: None });
            *count += 1;
            left -= 1;
            missing -= 1;
        }
    }
}

/// Ready instances of a pool by name: every entry lends the same ones.
fn by_name(world: &World, pool: key::Pool) -> Vec<key::Instance> {
    let mut members: Vec<_> = world.ready(pool).collect();
    members.sort_by(|(_, left), (_, right)| left.name.cmp(&right.name));
    members.into_iter().map(|(key, _)| key).collect()
}

/// The pool of an instance that may still be lent.
fn lender(world: &World, instance: key::Instance) -> Option<key::Pool> {
    let member = world.instances.get(instance)?;
    let lends = world.pools.get(member.pool)?.spec.lends;
    (lends && member.state.is_serving()).then_some(member.pool)
}

/// Slots and demand of each pool.
struct Books {
    pools: BTreeMap<key::Pool, Book>,
}

struct Book {
    organisation: key::Organisation,
    lends: bool,
    slots: u64,
    capacity: u64,
    demand: u64,
}

impl Books {
    fn open(world: &World) -> Self {
        let book = |key, pool: &Pool| Book {
            organisation: pool.organisation,
            lends: pool.spec.lends,
            slots: u64::from(pool.slots),
            capacity: u64::from(pool.slots) * u64::from(pool.ready()),
            demand: u64::from(world.observations.demand.get(&key).copied().unwrap_or(0)),
        };
        let pools = world.pools.iter().map(|(key, pool)| (key, book(key, pool)));
        Self { pools: pools.collect() }
    }

    /// The loan, for another while; none once its borrower has been calm for long enough.
    fn renew(&self, loan: Loan, now: Time) -> Option<Loan> {
        let book = self.pools.get(&loan.to)?;
        if book.demand * 100 >= book.capacity * CALM_PERCENT {
            return Some(Loan { low_since: None, ..loan });
        }
        let calm = loan.low_since.unwrap_or(now);
        (now.since(calm) < CALM).then_some(Loan { low_since: Some(calm), ..loan })
    }

    /// Instances that a pool can lend.
    fn idle(&self, pool: key::Pool) -> u32 {
        let Some(book) = self.pools.get(&pool).filter(|book| book.lends && book.slots > 0) else {
            return 0;
        };
        let kept = book.demand + book.capacity * KEPT_PERCENT / 100;
        let idle = book.capacity.saturating_sub(kept) / book.slots;
        u32::try_from(idle).unwrap_or(u32::MAX)
    }

    /// How many instances' slots each bursting pool needs on top of its own, the neediest first.
    fn needs(&self) -> Vec<(key::Pool, u32)> {
        let mut needs = Vec::new();
        for (&key, book) in &self.pools {
            let usual = book.capacity * BURST_PERCENT / 100;
            if book.slots == 0 || book.demand <= usual {
                continue;
            }
            let need = (book.demand - usual).div_ceil(book.slots);
            needs.push((key, u32::try_from(need).unwrap_or(u32::MAX)));
        }
        needs.sort_by_key(|&(key, need)| (std::cmp::Reverse(need), key));
        needs
    }

    /// Pools that can lend to `to`, the idlest first.
    fn lenders(&self, to: key::Pool) -> Vec<key::Pool> {
        let Some(borrower) = self.pools.get(&to) else {
            return Vec::new();
        };
        let others = self.pools.iter().filter(|&(&key, book)| {
            key != to && book.organisation == borrower.organisation && self.idle(key) > 0
        });
        let mut others: Vec<_> = others.map(|(&key, _)| key).collect();
        others.sort_by_key(|&key| (std::cmp::Reverse(self.idle(key)), key));
        others
    }
}
