//! Replacement, moves between pools, and parking.

use fleet::config::Weights;
use fleet::decision::Refusal;
use fleet::fact::Fact;
use fleet::instance::State;
use fleet::pool::Decision;
use fleet::pool::Reason;

use super::site::Pool;
use super::site::Site;

const BUFFER_HEAVY: Weights = Weights { buffer: 3.0, rollout: 1.0, moves: 1.0 };
const MOVES_HEAVY: Weights = Weights { buffer: 1.0, rollout: 1.0, moves: 3.0 };

fn site(weights: Weights) -> Site {
    let pools = [
        Pool("a", 6, 4, false, &["r0", "r1", "r2", "r3", "r4", "r5"]),
        Pool("spare", 3, 1, true, &["r6", "r7", "r8"]),
    ];
    Site::new(&pools, weights)
}

fn moves(decisions: &[Decision]) -> usize {
    decisions.iter().filter(|one| matches!(one, Decision::Move { .. })).count()
}

#[test]
fn a_pool_below_its_floor_gets_a_spare_at_once() {
    let mut site = site(MOVES_HEAVY);
    site.tell(&Fact::Unresponsive(site.key("a0")));
    assert_eq!(moves(&site.plan_pools()), 0, "five ready survive the next rack");
    site.tell(&Fact::Unresponsive(site.key("a1")));
    assert_eq!(moves(&site.plan_pools()), 1, "four ready do not");
}

#[test]
fn a_move_is_drained_first_and_changes_hands_in_one_transaction() {
    let mut site = site(Weights::default());
    let (instance, to) = (site.key("spare0"), site.pool("a"));
    let go = Decision::Move { instance, to, reason: Reason::Operator };
    site.decide(go.clone()).expect("the spare pool can give one");
    assert_eq!(site.instance("spare0").pool, site.pool("spare"), "not before it is drained");
    assert!(matches!(site.decide(go.clone()), Err(Refusal::Busy(..))));
    site.quiet();
    let changes = fleet::decision::effect(&site.world, &go.clone().into(), site.now);
    assert_eq!(changes.expect("it changes hands").len(), 3, "the instance and both pools");
    site.decide(go).expect("it changes hands");
    assert_eq!((site.ready("a"), site.ready("spare")), (7, 2));
    assert_eq!(site.state("spare0"), State::Serving);
}

#[test]
fn a_move_to_its_own_pool_is_refused() {
    let mut site = site(Weights::default());
    let (instance, to) = (site.key("a0"), site.pool("a"));
    let refused = site.decide(Decision::Move { instance, to, reason: Reason::Operator });
    assert!(matches!(refused, Err(Refusal::SamePool(..))));
}

#[test]
fn two_short_pools_do_not_count_on_the_same_spare() {
    let mut site = Site::new(
        &[
            Pool("a", 2, 2, false, &["r0", "r1"]),
            Pool("b", 2, 2, false, &["r2", "r3"]),
            Pool("spare", 1, 0, true, &["r4"]),
        ],
        Weights::default(),
    );
    site.tell(&Fact::Unresponsive(site.key("a0")));
    site.tell(&Fact::Unresponsive(site.key("b0")));
    assert_eq!(moves(&site.plan_pools()), 1);
}

#[test]
fn a_failure_in_the_middle_of_a_move_leaves_it_where_it_was() {
    let mut site = site(Weights::default());
    let (instance, to) = (site.key("spare0"), site.pool("a"));
    site.decide(Decision::Move { instance, to, reason: Reason::Operator }).expect("it is drained");
    site.tell(&Fact::Unresponsive(instance));
    site.tell(&Fact::Healthy(instance));
    site.pass_checks();
    assert_eq!(site.instance("spare0").pool, site.pool("spare"));
    assert_eq!((site.state("spare0"), site.instance("spare0").purpose), (State::Serving, None));
}

#[test]
fn drains_of_our_own_are_called_back_when_the_promise_breaks() {
    let mut site = site(Weights::default());
    let instance = site.key("a0");
    let to = site.pool("spare");
    site.decide(Decision::Move { instance, to, reason: Reason::Surplus }).expect("it is drained");
    site.tell(&Fact::Unresponsive(site.key("a1")));
    site.tell(&Fact::Unresponsive(site.key("a2")));
    let rescue = Decision::Return { instance, reason: Reason::Rescue };
    assert!(site.plan_pools().contains(&rescue));
}

/// Secs until a pool that holds one more than it wants gives it away.
fn rest(weights: Weights) -> u64 {
    let mut site = site(weights);
    let (instance, to) = (site.key("spare0"), site.pool("a"));
    let go = Decision::Move { instance, to, reason: Reason::Operator };
    site.decide(go.clone()).expect("it is drained");
    site.quiet();
    site.decide(go).expect("it changes hands");
    let start = site.now;
    let gives = |one: &Decision| matches!(one, Decision::Move { reason: Reason::Surplus, .. });
    while !site.plan_pools().iter().any(gives) {
        site.wait(60);
    }
    site.now.since(start).as_secs()
}

#[test]
fn the_weights_say_how_long_a_surplus_is_held() {
    assert_eq!(rest(BUFFER_HEAVY), 1200);
    assert_eq!(rest(Weights::default()), 3600);
    assert_eq!(rest(MOVES_HEAVY), 3 * 3600);
}

#[test]
fn the_weights_say_how_much_is_held() {
    let mut ready = Vec::new();
    for weights in [BUFFER_HEAVY, MOVES_HEAVY] {
        let mut site = site(weights);
        for _ in 0..24 {
            site.wait(1800);
            site.run_pools();
            site.quiet();
            site.run_pools();
        }
        ready.push((site.ready("a"), site.ready("spare")));
    }
    assert_eq!(ready, [(5, 2), (6, 2)]);
}

#[test]
fn a_parked_spare_is_woken_when_one_is_needed() {
    let mut site = site(BUFFER_HEAVY);
    for _ in 0..8 {
        site.wait(1800);
        site.run_pools();
        site.quiet();
    }
    assert!(!site.names("spare", State::Stopped).is_empty());
    site.tell(&Fact::Unresponsive(site.key("a0")));
    site.tell(&Fact::Unresponsive(site.key("a1")));
    let wakes = |one: &Decision| matches!(one, Decision::Return { reason: Reason::Short, .. });
    assert!(site.plan_pools().iter().any(wakes));
}

#[test]
fn flapping_moves_nothing_back_and_forth() {
    let mut site = site(Weights::default());
    let mut moved = 0;
    for _ in 0..50 {
        for name in ["a0", "a1"] {
            site.tell(&Fact::Unresponsive(site.key(name)));
        }
        moved += moves(&site.plan_pools());
        site.run_pools();
        site.quiet();
        site.run_pools();
        for name in ["a0", "a1"] {
            site.tell(&Fact::Healthy(site.key(name)));
        }
        site.pass_checks();
    }
    assert_eq!(moved, 1, "one spare covers the pool, and stays");
}
