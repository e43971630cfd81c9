//! Loans of idle slots to overloaded pools, and their return.

use std::collections::BTreeMap;

use fleet::config::Weights;
use fleet::fact::Fact;
use fleet::pool;

use super::site::Pool;
use super::site::Site;

/// Slots per instance: the default of services.
const SLOTS: u32 = 8;

fn site() -> Site {
    let racks = ["r0", "r1", "r2", "r3", "r4"];
    let pools = [
        Pool("a", 5, 3, false, &racks),
        Pool("b", 5, 3, false, &racks),
        Pool("c", 5, 3, false, &racks),
    ];
    Site::new(&pools, Weights::default())
}

/// Reports the demand of the pools a, b and c, and updates the loans.
fn demand(site: &mut Site, demand: [u32; 3]) {
    let names = ["a", "b", "c"].map(|name| site.pool(name));
    let demand: BTreeMap<_, _> = names.into_iter().zip(demand).collect();
    site.world.record(&Fact::Demand(demand), site.now);
    site.world.loans = pool::lend(&site.world, site.now);
}

/// Number of instances lent from one pool to another.
fn lent(site: &Site, from: &str, to: &str) -> usize {
    let (from, to) = (site.pool(from), site.pool(to));
    let loans = site.world.loans.iter().filter(|(key, loan)| {
        let lender = site.world.instances.get(**key).map(|instance| instance.pool);
        lender == Some(from) && loan.to == to
    });
    loans.count()
}

#[test]
fn an_overloaded_pool_borrows_only_what_it_needs() {
    let mut site = site();
    demand(&mut site, [30, 2, 2]);
    assert!(site.world.loans.is_empty(), "the pool's own slots suffice");
    demand(&mut site, [50, 2, 2]);
    assert_eq!(lent(&site, "b", "a") + lent(&site, "c", "a"), 2);
}

#[test]
fn no_instance_is_moved_for_a_burst() {
    let mut site = site();
    demand(&mut site, [200, 0, 0]);
    assert!(site.plan_pools().is_empty());
    assert_eq!(lent(&site, "b", "a"), 3, "the lender keeps a quarter of its slots in reserve");
}

#[test]
fn an_overloaded_lender_gets_its_slots_back_at_once() {
    let mut site = site();
    demand(&mut site, [200, 2, 2]);
    assert!(lent(&site, "b", "a") > 0);
    demand(&mut site, [200, 5 * SLOTS, 2]);
    assert_eq!(lent(&site, "b", "a"), 0);
}

#[test]
fn loans_end_only_after_the_return_delay() {
    let mut site = site();
    demand(&mut site, [60, 0, 0]);
    let before = site.world.loans.len();
    site.wait(1);
    demand(&mut site, [1, 0, 0]);
    assert_eq!(site.world.loans.len(), before);
    site.wait(1);
    demand(&mut site, [60, 0, 0]);
    site.wait(5);
    demand(&mut site, [1, 0, 0]);
    assert_eq!(site.world.loans.len(), before, "the return delay starts again");
    site.wait(3);
    demand(&mut site, [1, 0, 0]);
    assert!(site.world.loans.is_empty());
}

#[test]
fn no_pool_lends_when_all_are_overloaded() {
    let mut site = site();
    demand(&mut site, [60, 60, 60]);
    assert!(site.world.loans.is_empty());
}

#[test]
fn two_overloaded_pools_share_one_lender() {
    let mut site = site();
    demand(&mut site, [41, 41, 0]);
    assert_eq!((lent(&site, "c", "a"), lent(&site, "c", "b")), (1, 1));
}

#[test]
fn a_draining_instance_is_no_longer_lent() {
    let mut site = site();
    demand(&mut site, [50, 2, 2]);
    let instance = *site.world.loans.keys().next().expect("an instance is lent");
    site.report(&Fact::Listed { instance, leaving: true });
    demand(&mut site, [50, 2, 2]);
    assert!(!site.world.loans.contains_key(&instance));
    assert_eq!(site.world.loans.len(), 2, "another instance is lent in its place");
}
