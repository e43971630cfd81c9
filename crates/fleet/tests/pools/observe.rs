//! Decisions on facts, and their limits.

use fleet::config::Weights;
use fleet::fact::Fact;
use fleet::instance::Instance;
use fleet::instance::State;
use fleet::pool::Absence;
use fleet::pool::Decision;

use super::site::Pool;
use super::site::Site;

fn site() -> Site {
    let racks = ["r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7"];
    Site::new(&[Pool("a", 8, 4, false, &racks)], Weights::default())
}

#[test]
fn the_check_gets_longer_with_each_strike() {
    let mut site = site();
    let key = site.key("a0");
    let mut checks = Vec::new();
    for _ in 0..3 {
        site.report(&Fact::Unresponsive(key));
        assert_eq!(site.state("a0"), State::Failed);
        site.report(&Fact::Healthy(key));
        let start = site.now;
        while site.state("a0") == State::Checking {
            site.wait(1);
            site.report(&Fact::Healthy(key));
        }
        checks.push(site.now.since(start).as_secs());
    }
    assert_eq!(checks, [4, 8, 16]);
}

#[test]
fn strikes_are_reset_after_a_long_healthy_period() {
    let mut site = site();
    let key = site.key("a0");
    site.report(&Fact::Unresponsive(key));
    site.report(&Fact::Healthy(key));
    site.pass_checks();
    site.wait(3600);
    site.report(&Fact::Unresponsive(key));
    assert_eq!(site.instance("a0").strikes, 1);
}

#[test]
fn an_unresponsive_instance_fails_its_check() {
    let mut site = site();
    let key = site.key("a0");
    site.report(&Fact::Unresponsive(key));
    site.report(&Fact::Healthy(key));
    site.wait(3);
    site.report(&Fact::Unresponsive(key));
    assert_eq!(site.state("a0"), State::Failed);
}

#[test]
fn at_most_half_of_a_pool_fails_and_the_rest_is_suspected() {
    let mut site = site();
    for number in 0..8 {
        site.report(&Fact::Unresponsive(site.key(&format!("a{number}"))));
    }
    assert_eq!(site.names("a", State::Failed).len(), 4);
    assert_eq!(site.names("a", State::Serving).len(), 4, "the others still receive work");
    assert_eq!(site.ready("a"), 0, "but they don't count as ready");
    let key = site.key("a7");
    site.report(&Fact::Healthy(key));
    assert_eq!(site.ready("a"), 1);
}

#[test]
fn the_only_member_of_a_pool_may_fail() {
    let mut site = Site::new(&[Pool("a", 1, 1, false, &["r0"])], Weights::default());
    site.report(&Fact::Unresponsive(site.key("a0")));
    assert_eq!(site.state("a0"), State::Failed);
}

#[test]
fn instances_that_the_platform_removes_are_drained_regardless_of_the_budget() {
    let mut site = site();
    for number in 0..8 {
        let instance = site.key(&format!("a{number}"));
        site.report(&Fact::Listed { instance, leaving: true });
    }
    assert_eq!(site.names("a", State::Draining).len(), 8);
    site.acknowledge_drains();
    site.wait(120);
    for number in 0..8 {
        site.report(&Fact::Unlisted(site.key(&format!("a{number}"))));
    }
    assert_eq!(site.names("a", State::Gone).len(), 0, "removed instances aren't members");
    let pool = site.world.pools.get(site.pool("a")).expect("the pool exists");
    assert_eq!((pool.members, pool.absences.len()), (0, 0));
}

#[test]
fn an_empty_list_drains_at_most_half_of_a_pool() {
    let mut site = site();
    site.wait(120);
    for number in 0..8 {
        site.report(&Fact::Unlisted(site.key(&format!("a{number}"))));
    }
    assert_eq!(site.names("a", State::Serving).len(), 4);
    let pool = site.world.pools.get(site.pool("a")).expect("the pool exists");
    assert_eq!(pool.count_absent(Absence::Leaving), 4);
    site.wait(120);
    for number in 0..8 {
        let instance = site.key(&format!("a{number}"));
        site.report(&Fact::Listed { instance, leaving: false });
    }
    assert_eq!(site.ready("a"), 8, "they return when the list is complete again");
}

#[test]
fn a_lagging_list_removes_no_instance() {
    let mut site = site();
    let listed = Instance { name: "new".to_owned(), pool: site.pool("a"), ..Instance::default() };
    site.decide(Decision::Enlist(Box::new(listed))).expect("the instance can be added");
    let key = site.key("new");
    assert!(site.report(&Fact::Unlisted(key)).is_empty());
    assert_eq!(site.state("new"), State::Checking);
}

#[test]
fn an_instance_that_returns_rejoins_its_pool() {
    let mut site = Site::new(
        &[Pool("a", 2, 1, false, &["r0", "r1"]), Pool("b", 1, 0, false, &["r2"])],
        Weights::default(),
    );
    let key = site.key("a0");
    site.report(&Fact::Unresponsive(key));
    site.wait(120);
    site.report(&Fact::Unlisted(key));
    let epoch = site.instance("a0").epoch;
    let listed = Instance { pool: site.pool("b"), ..site.instance("a0").clone() };
    site.decide(Decision::Enlist(Box::new(listed))).expect("the instance can be added");
    assert_eq!(site.instance("a0").pool, site.pool("a"));
    assert!(
        site.instance("a0").epoch > epoch,
        "the fencing token increases, so that old calls are rejected"
    );
}

#[test]
fn a_row_is_dropped_a_day_after_its_instance_is_gone() {
    let mut site = site();
    let key = site.key("a0");
    site.report(&Fact::Unresponsive(key));
    site.wait(120);
    site.report(&Fact::Unlisted(key));
    site.wait(23 * 3600);
    assert!(site.report(&Fact::Unlisted(key)).is_empty());
    site.wait(3600);
    site.report(&Fact::Unlisted(key));
    assert!(!site.world.names.instances.contains_key("a0"));
}
