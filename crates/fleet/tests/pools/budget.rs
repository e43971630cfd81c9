//! One budget for failures, racks, drains, moves and waves.

use fleet::config::Weights;
use fleet::decision::Refusal;
use fleet::fact::Fact;
use fleet::pool::Budget;
use fleet::pool::Decision;
use fleet::pool::Reason;
use fleet::wave;

use super::site::Pool;
use super::site::Site;

/// Size, promise, ready members by rack, and how many may be out at once.
struct Case(u32, u32, &'static [u32], u32);

cases::cases! {
    lets_be_out;
    one_rack_each_keeps_one_for_the_next_rack: Case(10, 8, &[1; 10], 1),
    more_room_lets_more_out: Case(10, 6, &[1; 10], 3),
    full_racks_are_levelled_first: Case(12, 6, &[3, 3, 3, 3], 4),
    too_small_for_a_rack_goes_one_at_a_time: Case(8, 6, &[4, 4], 1),
    a_promise_of_all_lets_none_out: Case(4, 4, &[1; 4], 0),
    a_promise_of_none_lets_all_out: Case(3, 0, &[1, 1, 1], 3),
    a_short_pool_lets_none_out: Case(10, 8, &[1; 9], 0),
    spares_beyond_the_size_add_room: Case(10, 8, &[1; 12], 3),
    nobody_ready_lets_none_out: Case(4, 2, &[], 0),
}
fn lets_be_out(Case(size, min_ready, counts, expected): Case) {
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
fn a_drain_spends_what_a_wave_then_lacks() {
    let mut site = site();
    let wave = site.wave();
    site.decide(wave::Decision::Start { wave }).expect("it starts");
    drain(&mut site, "a0").expect("the budget has room for one");
    assert_eq!(site.run_waves(), 0, "the operator's drain has spent the budget");
    let instance = site.key("a1");
    let refused = site.decide(wave::Decision::Step { wave, instance });
    assert!(matches!(refused, Err(Refusal::Rack(..))), "{refused:?}");
}

#[test]
fn a_failure_spends_what_a_drain_then_lacks() {
    let mut site = site();
    site.tell(&Fact::Unresponsive(site.key("a0")));
    assert!(matches!(drain(&mut site, "a1"), Err(Refusal::Rack(..))));
    site.tell(&Fact::Unresponsive(site.key("a2")));
    assert!(matches!(drain(&mut site, "a1"), Err(Refusal::Budget(..))));
}

#[test]
fn two_duties_that_spend_one_budget_change_the_same_pool() {
    let mut site = site();
    let wave = site.wave();
    site.decide(wave::Decision::Start { wave }).expect("it starts");
    let (drained, stepped) = (site.key("a0"), site.key("a1"));
    let drain = Decision::Drain { instance: drained, reason: Reason::Operator };
    let step = wave::Decision::Step { wave, instance: stepped };
    for decision in [drain.into(), step.into()] {
        let changes = fleet::decision::effect(&site.world, &decision, site.now);
        let rows = changes.expect("each alone is allowed").into_iter();
        let mut keys = rows.map(|change| fleet::row::write(&site.world, &change).key);
        assert!(keys.any(|key| key == "pool/org/a"), "{decision:?}");
    }
}

#[test]
fn a_drained_instance_returns_and_gives_its_budget_back() {
    let mut site = site();
    drain(&mut site, "a0").expect("there is room");
    site.quiet();
    let instance = site.key("a0");
    site.decide(Decision::Return { instance, reason: Reason::Operator }).expect("it returns");
    assert_eq!(site.ready("a"), 4);
    drain(&mut site, "a1").expect("there is room again");
}

#[test]
fn an_operator_s_drain_outlasts_a_failure() {
    let mut site = site();
    drain(&mut site, "a0").expect("there is room");
    let key = site.key("a0");
    site.tell(&Fact::Unresponsive(key));
    site.tell(&Fact::Healthy(key));
    site.pass_checks();
    assert_eq!(site.state("a0"), fleet::instance::State::Drained);
}
