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
    decisions.iter().filter(|decision| matches!(decision, Decision::Move { .. })).count()
}

#[test]
fn a_pool_below_its_floor_gets_a_spare_instance_at_once() {
    let mut site = site(MOVES_HEAVY);
    site.report(&Fact::Unresponsive(site.key("a0")));
    assert_eq!(
        moves(&site.plan_pools()),
        0,
        "with five ready, min_ready holds after a rack failure"
    );
    site.report(&Fact::Unresponsive(site.key("a1")));
    assert_eq!(moves(&site.plan_pools()), 1, "with four ready, it does not");
}

#[test]
fn a_move_drains_first_and_then_changes_the_pool_in_one_transaction() {
    let mut site = site(Weights::default());
    let (instance, to) = (site.key("spare0"), site.pool("a"));
    let decision = Decision::Move { instance, to, reason: Reason::Operator };
    site.decide(decision.clone()).expect("the spare pool has a surplus");
    assert_eq!(
        site.instance("spare0").pool,
        site.pool("spare"),
        "it stays in its pool until it is drained"
    );
    assert!(matches!(site.decide(decision.clone()), Err(Refusal::Busy(..))));
    site.acknowledge_drains();
    let changes = fleet::decision::effect(&site.world, &decision.clone().into(), site.now);
    assert_eq!(
        changes.expect("a drained instance can change its pool").len(),
        3,
        "the changes of the instance and both pools"
    );
    site.decide(decision).expect("a drained instance can change its pool");
    assert_eq!((site.ready("a"), site.ready("spare")), (7, 2));
    assert_eq!(site.state("spare0"), State::Serving);
}

#[test]
fn a_move_to_its_own_pool_is_refused() {
    let mut site = site(Weights::default());
    let (instance, to) = (site.key("a0"), site.pool("a"));
    let result = site.decide(Decision::Move { instance, to, reason: Reason::Operator });
    assert!(matches!(result, Err(Refusal::SamePool(..))));
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
    site.report(&Fact::Unresponsive(site.key("a0")));
    site.report(&Fact::Unresponsive(site.key("b0")));
    assert_eq!(moves(&site.plan_pools()), 1);
}

#[test]
fn a_failure_during_a_move_leaves_the_instance_in_its_pool() {
    let mut site = site(Weights::default());
    let (instance, to) = (site.key("spare0"), site.pool("a"));
    site.decide(Decision::Move { instance, to, reason: Reason::Operator })
        .expect("the instance can be drained");
    site.report(&Fact::Unresponsive(instance));
    site.report(&Fact::Healthy(instance));
    site.pass_checks();
    assert_eq!(site.instance("spare0").pool, site.pool("spare"));
    assert_eq!((site.state("spare0"), site.instance("spare0").purpose), (State::Serving, None));
}

#[test]
fn automatic_drains_are_recalled_when_too_few_members_are_ready() {
    let mut site = site(Weights::default());
    let instance = site.key("a0");
    let to = site.pool("spare");
    site.decide(Decision::Move { instance, to, reason: Reason::Surplus })
        .expect("the instance can be drained");
    site.report(&Fact::Unresponsive(site.key("a1")));
    site.report(&Fact::Unresponsive(site.key("a2")));
    let recall = Decision::Return { instance, reason: Reason::Rescue };
    assert!(site.plan_pools().contains(&recall));
}

/// Seconds until a pool with one surplus instance moves it away.
fn surplus_hold_secs(weights: Weights) -> u64 {
    let mut site = site(weights);
    let (instance, to) = (site.key("spare0"), site.pool("a"));
    let decision = Decision::Move { instance, to, reason: Reason::Operator };
    site.decide(decision.clone()).expect("the instance can be drained");
    site.acknowledge_drains();
    site.decide(decision).expect("a drained instance can change its pool");
    let start = site.now;
    let is_surplus_move =
        |decision: &Decision| matches!(decision, Decision::Move { reason: Reason::Surplus, .. });
    while !site.plan_pools().iter().any(is_surplus_move) {
        site.wait(60);
    }
    site.now.since(start).as_secs()
}

#[test]
fn weights_determine_how_long_a_surplus_is_kept() {
    assert_eq!(surplus_hold_secs(BUFFER_HEAVY), 1200);
    assert_eq!(surplus_hold_secs(Weights::default()), 3600);
    assert_eq!(surplus_hold_secs(MOVES_HEAVY), 3 * 3600);
}

#[test]
fn weights_determine_how_many_instances_are_kept() {
    let mut ready = Vec::new();
    for weights in [BUFFER_HEAVY, MOVES_HEAVY] {
        let mut site = site(weights);
        for _ in 0..24 {
            site.wait(1800);
            site.run_pools();
            site.acknowledge_drains();
            site.run_pools();
        }
        ready.push((site.ready("a"), site.ready("spare")));
    }
    assert_eq!(ready, [(5, 2), (6, 2)]);
}

#[test]
fn a_parked_spare_instance_is_unparked_when_it_is_needed() {
    let mut site = site(BUFFER_HEAVY);
    for _ in 0..8 {
        site.wait(1800);
        site.run_pools();
        site.acknowledge_drains();
    }
    assert!(!site.names("spare", State::Stopped).is_empty());
    site.report(&Fact::Unresponsive(site.key("a0")));
    site.report(&Fact::Unresponsive(site.key("a1")));
    let is_unpark =
        |decision: &Decision| matches!(decision, Decision::Return { reason: Reason::Short, .. });
    assert!(site.plan_pools().iter().any(is_unpark));
}

#[test]
fn flapping_moves_nothing_back_and_forth() {
    let mut site = site(Weights::default());
    let mut moved = 0;
    for _ in 0..50 {
        for name in ["a0", "a1"] {
            site.report(&Fact::Unresponsive(site.key(name)));
        }
        moved += moves(&site.plan_pools());
        site.run_pools();
        site.acknowledge_drains();
        site.run_pools();
        for name in ["a0", "a1"] {
            site.report(&Fact::Healthy(site.key(name)));
        }
        site.pass_checks();
    }
    assert_eq!(moved, 1, "one spare instance is moved and stays");
}
