//! What facts mean, and how far they are believed.

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
fn a_silent_instance_fails_answers_and_is_checked_longer_each_time() {
    let mut site = site();
    let key = site.key("a0");
    let mut checks = Vec::new();
    for _ in 0..3 {
        site.tell(&Fact::Unresponsive(key));
        assert_eq!(site.state("a0"), State::Failed);
        site.tell(&Fact::Healthy(key));
        let start = site.now;
        while site.state("a0") == State::Checking {
            site.wait(1);
            site.tell(&Fact::Healthy(key));
        }
        checks.push(site.now.since(start).as_secs());
    }
    assert_eq!(checks, [4, 8, 16]);
}

#[test]
fn a_long_quiet_time_forgives() {
    let mut site = site();
    let key = site.key("a0");
    site.tell(&Fact::Unresponsive(key));
    site.tell(&Fact::Healthy(key));
    site.pass_checks();
    site.wait(3600);
    site.tell(&Fact::Unresponsive(key));
    assert_eq!(site.instance("a0").strikes, 1);
}

#[test]
fn a_break_in_the_answers_starts_the_check_again() {
    let mut site = site();
    let key = site.key("a0");
    site.tell(&Fact::Unresponsive(key));
    site.tell(&Fact::Healthy(key));
    site.wait(3);
    site.tell(&Fact::Unresponsive(key));
    assert_eq!(site.state("a0"), State::Failed);
}

#[test]
fn half_of_a_pool_may_fail_and_the_rest_is_only_suspected() {
    let mut site = site();
    for number in 0..8 {
        site.tell(&Fact::Unresponsive(site.key(&format!("a{number}"))));
    }
    assert_eq!(site.names("a", State::Failed).len(), 4);
    assert_eq!(site.names("a", State::Serving).len(), 4, "the others go on getting work");
    assert_eq!(site.ready("a"), 0, "but no planned stop counts on them");
    let key = site.key("a7");
    site.tell(&Fact::Healthy(key));
    assert_eq!(site.ready("a"), 1);
}

#[test]
fn one_of_a_pool_of_one_may_fail() {
    let mut site = Site::new(&[Pool("a", 1, 1, false, &["r0"])], Weights::default());
    site.tell(&Fact::Unresponsive(site.key("a0")));
    assert_eq!(site.state("a0"), State::Failed);
}

#[test]
fn what_the_platform_takes_away_is_drained_whatever_the_budget() {
    let mut site = site();
    for number in 0..8 {
        let instance = site.key(&format!("a{number}"));
        site.tell(&Fact::Listed { instance, leaving: true });
    }
    assert_eq!(site.names("a", State::Draining).len(), 8);
    site.quiet();
    site.wait(120);
    for number in 0..8 {
        site.tell(&Fact::Unlisted(site.key(&format!("a{number}"))));
    }
    assert_eq!(site.names("a", State::Gone).len(), 0, "those gone are no members any more");
    let pool = site.world.pools.get(site.pool("a")).expect("it is there");
    assert_eq!((pool.members, pool.absences.len()), (0, 0));
}

#[test]
fn an_empty_list_takes_no_more_than_half_of_a_pool() {
    let mut site = site();
    site.wait(120);
    for number in 0..8 {
        site.tell(&Fact::Unlisted(site.key(&format!("a{number}"))));
    }
    assert_eq!(site.names("a", State::Serving).len(), 4);
    let pool = site.world.pools.get(site.pool("a")).expect("it is there");
    assert_eq!(pool.count_absent(Absence::Leaving), 4);
    site.wait(120);
    for number in 0..8 {
        let instance = site.key(&format!("a{number}"));
        site.tell(&Fact::Listed { instance, leaving: false });
    }
    assert_eq!(site.ready("a"), 8, "they are back with the list");
}

#[test]
fn a_list_that_lags_takes_nobody_away() {
    let mut site = site();
    let listed = Instance { name: "new".to_owned(), pool: site.pool("a"), ..Instance::default() };
    site.decide(Decision::Enlist(Box::new(listed))).expect("it is taken in");
    let key = site.key("new");
    assert!(site.tell(&Fact::Unlisted(key)).is_empty());
    assert_eq!(site.state("new"), State::Checking);
}

#[test]
fn what_comes_back_under_its_name_comes_back_to_its_pool() {
    let mut site = Site::new(
        &[Pool("a", 2, 1, false, &["r0", "r1"]), Pool("b", 1, 0, false, &["r2"])],
        Weights::default(),
    );
    let key = site.key("a0");
    site.tell(&Fact::Unresponsive(key));
    site.wait(120);
    site.tell(&Fact::Unlisted(key));
    let epoch = site.instance("a0").epoch;
    let listed = Instance { pool: site.pool("b"), ..site.instance("a0").clone() };
    site.decide(Decision::Enlist(Box::new(listed))).expect("it is taken in");
    assert_eq!(site.instance("a0").pool, site.pool("a"));
    assert!(site.instance("a0").epoch > epoch, "old orders are refused");
}

#[test]
fn a_row_is_dropped_a_day_after_its_instance_is_gone() {
    let mut site = site();
    let key = site.key("a0");
    site.tell(&Fact::Unresponsive(key));
    site.wait(120);
    site.tell(&Fact::Unlisted(key));
    site.wait(23 * 3600);
    assert!(site.tell(&Fact::Unlisted(key)).is_empty());
    site.wait(3600);
    site.tell(&Fact::Unlisted(key));
    assert!(!site.world.names.instances.contains_key("a0"));
}
