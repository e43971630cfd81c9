//! The availability budget, which failures, drains, moves and waves share.

use fleet::config::Weights;
use fleet::decision::Refusal;
use fleet::fact::Fact;
use fleet::pool::Budget;
use fleet::pool::Decision;
use fleet::pool::Reason;
use fleet::wave;

use super::site::Pool;
use super::site::Site;

/// Size, `min_ready`, number of ready members in each rack, and how many may be stopped at once.
struct Case(u32, u32, &'static [u32], u32);

cases::cases! {
    max_unavailable_is;
    one_member_per_rack_reserves_one_for_a_rack_failure: Case(10, 8, &[1; 10], 1),
    a_larger_budget_allows_more: Case(10, 6, &[1; 10], 3),
    large_racks_are_drained_first: Case(12, 6, &[3, 3, 3, 3], 4),
    too_few_racks_allow_one_at_a_time: Case(8, 6, &[4, 4], 1),
    min_ready_equal_to_size_allows_none: Case(4, 4, &[1; 4], 0),
    min_ready_of_zero_allows_all: Case(3, 0, &[1, 1, 1], 3),
    a_pool_below_its_size_allows_none: Case(10, 8, &[1; 9], 0),
    members_beyond_the_size_add_budget: Case(10, 8, &[1; 12], 3),
    no_ready_members_allow_none: Case(4, 2, &[], 0),
}
fn max_unavailable_is(Case(size, min_ready, counts, expected): Case) {
    let mut world = fleet::world::World::default();
    let racks = counts.iter().enumerate();
    let racks = racks.map(|(number, &count)| (world.rack(&number.to_string()), count)).collect();
    assert_eq!(Budget::new(size, min_ready, racks).max_unavailable(), expected);
}

fn site() -> Site {
    Site::new(&[Pool("a", 4, 2, false, &["r0", "r1", "r2", "r3"])], Weights::default())
}

fn drain(site: &mut Site, name: &str) -> Result<(), Refusal> {
    let instance = site.key(name);
    site.decide(Decision::Drain { instance, reason: Reason::Operator })
}

#[test]
fn a_drain_uses_the_budget_of_a_wave() {
    let mut site = site();
    let wave = site.wave();
    site.decide(wave::Decision::Start { wave }).expect("the wave can start");
    drain(&mut site, "a0").expect("the budget allows one drain");
    assert_eq!(site.run_waves(), 0, "the operator's drain has used up the budget");
    let instance = site.key("a1");
    let refused = site.decide(wave::Decision::Step { wave, instance });
    assert!(matches!(refused, Err(Refusal::Rack(..))), "{refused:?}");
}

#[test]
fn a_failure_uses_the_budget_of_a_drain() {
    let mut site = site();
    site.report(&Fact::Unresponsive(site.key("a0")));
    assert!(matches!(drain(&mut site, "a1"), Err(Refusal::Rack(..))));
    site.report(&Fact::Unresponsive(site.key("a2")));
    assert!(matches!(drain(&mut site, "a1"), Err(Refusal::Budget(..))));
}

#[test]
fn two_duties_that_spend_one_budget_change_the_same_pool() {
    let mut site = site();
    let wave = site.wave();
    site.decide(wave::Decision::Start { wave }).expect("the wave can start");
    let (drained, stepped) = (site.key("a0"), site.key("a1"));
    let drain = Decision::Drain { instance: drained, reason: Reason::Operator };
    let step = wave::Decision::Step { wave, instance: stepped };
    for decision in [drain.into(), step.into()] {
        let changes = fleet::decision::effect(&site.world, &decision, site.now);
        let changes = changes.expect("each decision alone is allowed").into_iter();
        let mut keys = changes.map(|change| fleet::row::write(&site.world, &change).key);
        assert!(keys.any(|key| key == "pool/org/a"), "{decision:?}");
    }
}

#[test]
fn a_drained_instance_returns_and_gives_its_budget_back() {
    let mut site = site();
    drain(&mut site, "a0").expect("the budget allows one drain");
    site.acknowledge_drains();
    let instance = site.key("a0");
    site.decide(Decision::Return { instance, reason: Reason::Operator })
        .expect("a drained instance can return");
    assert_eq!(site.ready("a"), 4);
    drain(&mut site, "a1").expect("the budget allows one drain again");
}

#[test]
fn an_operators_drain_survives_a_failure() {
    let mut site = site();
    drain(&mut site, "a0").expect("the budget allows one drain");
    let key = site.key("a0");
    site.report(&Fact::Unresponsive(key));
    site.report(&Fact::Healthy(key));
    site.pass_checks();
    assert_eq!(site.state("a0"), fleet::instance::State::Drained);
}
