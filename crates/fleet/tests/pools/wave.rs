//! Waves, with failures, changes of the duty's holder, and decisions of operators.

use fleet::config::Weights;
use fleet::decision::Refusal;
use fleet::fact::Fact;
use fleet::instance::State;
use fleet::pool;
use fleet::pool::Reason;
use fleet::wave;
use fleet::wave::Decision;
use fleet::wave::Phase;
use fleet::wave::Stall;

use super::site::Pool;
use super::site::Site;

fn site() -> Site {
    let racks = ["r0", "r0", "r1", "r1", "r2", "r2"];
    Site::new(&[Pool("a", 6, 2, false, &racks)], Weights::default())
}

fn started() -> Site {
    let mut site = site();
    let wave = site.wave();
    site.decide(Decision::Start { wave }).expect("the wave can start");
    site
}

fn phase(site: &Site) -> Phase {
    site.world.waves.get(site.wave()).expect("the wave exists").phase
}

fn stalls(site: &Site) -> Vec<Stall> {
    wave::progress(&site.world, site.wave(), site.now).stalls
}

/// Runs the wave to its end. Returns the number of rounds of restarts.
fn finish(site: &mut Site) -> u32 {
    for round in 0..100 {
        site.run_waves();
        if !phase(site).is_active() {
            return round;
        }
        site.acknowledge_drains();
        site.run_waves();
        site.restart_stopped();
    }
    panic!("the wave doesn't end: {:?}", stalls(site));
}

#[test]
fn every_instance_is_maintained_once() {
    let mut site = started();
    let rounds = finish(&mut site);
    assert_eq!(phase(&site), Phase::Done);
    assert_eq!(rounds, 2, "three instances at a time");
    let wave = site.world.waves.get(site.wave()).expect("the wave exists");
    assert!(site.world.instances.iter().all(|(_, instance)| !wave.is_due(site.wave(), instance)));
}

#[test]
fn the_next_run_maintains_every_instance_again() {
    let mut site = started();
    finish(&mut site);
    let wave = site.wave();
    site.decide(Decision::Start { wave }).expect("the wave can start again");
    assert_eq!(finish(&mut site), 2);
}

#[test]
fn drains_begin_with_the_largest_racks() {
    let mut site = started();
    site.run_waves();
    let out = site.names("a", State::Draining);
    assert_eq!(out, ["a0", "a2", "a4"], "one instance of each rack");
}

#[test]
fn an_instance_that_fails_before_its_stop_is_drained_again() {
    let mut site = started();
    site.run_waves();
    site.report(&Fact::Unresponsive(site.key("a0")));
    assert_eq!(site.instance("a0").purpose, None);
    site.report(&Fact::Healthy(site.key("a0")));
    site.pass_checks();
    finish(&mut site);
    assert!(site.instance("a0").last_run.is_some());
}

#[test]
fn a_restart_that_never_ends_is_reported_and_then_lost() {
    let mut site = started();
    site.run_waves();
    site.acknowledge_drains();
    site.run_waves();
    site.wait(170);
    for name in ["a2", "a4"] {
        site.report(&Fact::Restarted(site.key(name)));
    }
    let stall = Stall::Restarting { instance: "a0".to_owned(), secs: 170 };
    assert!(stalls(&site).contains(&stall));
    site.wait(71);
    site.run_waves();
    assert_eq!(site.names("a", State::Failed), ["a0"]);
    finish(&mut site);
    let wave = site.world.waves.get(site.wave()).expect("the wave exists");
    assert_eq!((wave.phase, wave.lost.join(" ")), (Phase::Done, "a0".to_owned()));
}

#[test]
fn a_lost_instance_that_comes_back_counts_as_maintained() {
    let mut site = started();
    site.run_waves();
    site.acknowledge_drains();
    site.run_waves();
    site.wait(241);
    site.run_waves();
    site.report(&Fact::Restarted(site.key("a0")));
    site.pass_checks();
    assert!(site.instance("a0").last_run.is_some());
}

#[test]
fn an_unacknowledged_drain_is_reported_with_the_entries() {
    let mut site = started();
    site.run_waves();
    let (instance, by) = (site.key("a0"), vec!["entry-7".to_owned()]);
    site.report(&Fact::Unacknowledged { instance, by: by.clone() });
    site.wait(11);
    let stall = Stall::Unacknowledged { instance: "a0".to_owned(), by };
    assert!(stalls(&site).contains(&stall));
}

#[test]
fn an_exhausted_budget_is_reported_with_the_absent_members() {
    let mut site = started();
    for name in ["a0", "a2", "a4"] {
        site.report(&Fact::Unresponsive(site.key(name)));
    }
    assert_eq!(site.run_waves(), 0);
    let text: Vec<_> = stalls(&site).iter().map(ToString::to_string).collect();
    let expected =
        "budget of pool a is spent: 3 ready, 2 promised, a0 failed, a2 failed, a4 failed";
    assert!(text.iter().any(|text| text == expected), "{text:?}");
}

#[test]
fn a_budget_exhausted_by_lost_instances_is_reported() {
    let mut site = started();
    site.run_waves();
    site.acknowledge_drains();
    site.run_waves();
    site.wait(241);
    site.run_waves();
    assert_eq!(site.names("a", State::Failed), ["a0", "a2", "a4"]);
    let is_budget = |stall: &Stall| matches!(stall, Stall::Budget { .. });
    assert!(stalls(&site).iter().any(is_budget), "{:?}", stalls(&site));
}

#[test]
fn a_pause_drains_no_more_and_completes_pending_restarts() {
    let mut site = started();
    site.run_waves();
    let wave = site.wave();
    site.decide(Decision::Pause { wave }).expect("the wave can pause");
    for _ in 0..5 {
        site.acknowledge_drains();
        site.run_waves();
        site.restart_stopped();
    }
    assert_eq!(site.ready("a"), 6);
    let progress = wave::progress(&site.world, wave, site.now);
    assert_eq!((progress.done, progress.finish), (3, None), "no estimate while the wave is paused");
    site.decide(Decision::Resume { wave }).expect("the wave can resume");
    finish(&mut site);
    assert_eq!(phase(&site), Phase::Done);
}

/// A stage of the maintenance of an instance, in order.
#[derive(Clone, Copy)]
enum Stage {
    Serving,
    Draining,
    Drained,
    Stopped,
    Checking,
}

/// Runs the wave until the first instances have reached this stage.
fn advance(site: &mut Site, stage: Stage) {
    let steps = stage as u32;
    if steps >= 1 {
        site.run_waves();
    }
    if steps >= 2 {
        site.acknowledge_drains();
    }
    if steps >= 3 {
        site.run_waves();
    }
    if steps >= 4 {
        for name in ["a0", "a2", "a4"] {
            site.report(&Fact::Restarted(site.key(name)));
        }
    }
}

cases::cases! {
    abort_returns_every_instance;
    abort_before_the_first_step: Stage::Serving,
    abort_while_draining: Stage::Draining,
    abort_when_drained: Stage::Drained,
    abort_when_stopped: Stage::Stopped,
    abort_while_checking: Stage::Checking,
}
fn abort_returns_every_instance(stage: Stage) {
    let mut site = started();
    advance(&mut site, stage);
    let wave = site.wave();
    let instance = site.key("a0");
    site.decide(Decision::Abort { wave }).expect("the wave can be aborted");
    let result = site.decide(Decision::Step { wave, instance });
    assert!(result.is_err(), "an aborted wave takes no further step");
    site.run_waves();
    site.restart_stopped();
    site.run_waves();
    assert_eq!(phase(&site), Phase::Aborted);
    assert_eq!(site.ready("a"), 6, "every instance is back in service");
}

cases::cases! {
    the_next_holder_continues;
    handed_over_before_the_first_step: Stage::Serving,
    handed_over_while_draining: Stage::Draining,
    handed_over_when_drained: Stage::Drained,
    handed_over_when_stopped: Stage::Stopped,
    handed_over_while_checking: Stage::Checking,
}
fn the_next_holder_continues(stage: Stage) {
    let mut current = started();
    advance(&mut current, stage);
    let mut next = super::row::copy(&current);
    assert_eq!(current.plan_waves(), next.plan_waves(), "the next holder makes the same decisions");
    assert_eq!(finish(&mut current), finish(&mut next));
    assert_eq!(phase(&next), Phase::Done);
}

#[test]
fn a_step_that_raced_an_abort_changes_the_row_that_the_abort_changed() {
    let site = started();
    let wave = site.wave();
    let step = Decision::Step { wave, instance: site.key("a0") };
    let changes = fleet::decision::effect(&site.world, &step.into(), site.now);
    let changes = changes.expect("the step is allowed").into_iter();
    let mut keys = changes.map(|change| fleet::row::write(&site.world, &change).key);
    assert!(keys.any(|key| key == "wave/org/all"));
}

#[test]
fn decisions_in_the_wrong_phase_are_refused() {
    let mut site = started();
    let wave = site.wave();
    assert!(matches!(site.decide(Decision::Start { wave }), Err(Refusal::Phase(..))));
    assert!(matches!(site.decide(Decision::Resume { wave }), Err(Refusal::Phase(..))));
    site.decide(Decision::Abort { wave }).expect("the wave can be aborted");
    assert!(matches!(site.decide(Decision::Pause { wave }), Err(Refusal::Phase(..))));
}

#[test]
fn a_wave_waits_for_an_instance_that_an_operator_drained() {
    let mut site = started();
    let instance = site.key("a0");
    site.decide(pool::Decision::Drain { instance, reason: Reason::Operator })
        .expect("the budget allows the drain");
    for _ in 0..10 {
        site.run_waves();
        site.acknowledge_drains();
        site.run_waves();
        site.restart_stopped();
    }
    assert_eq!(phase(&site), Phase::Running);
    let stall = Stall::Held { instance: "a0".to_owned(), by: "operator".to_owned() };
    assert!(stalls(&site).contains(&stall), "{:?}", stalls(&site));
}

#[test]
fn replacement_instances_need_no_maintenance() {
    let mut site = started();
    site.run_waves();
    site.acknowledge_drains();
    site.run_waves();
    site.wait(61);
    let old = site.instance("a0").clone();
    site.report(&Fact::Unlisted(site.key("a0")));
    let new = fleet::instance::Instance { name: "a0-next".to_owned(), ..old };
    site.decide(pool::Decision::Enlist(Box::new(new))).expect("the replacement can be added");
    site.restart_stopped();
    finish(&mut site);
    assert_eq!(site.instance("a0-next").last_run, None);
    assert_eq!(phase(&site), Phase::Done);
}

#[test]
fn an_automatic_wave_starts_once() {
    let mut site = site();
    let mut config = site.config.clone();
    config.revision = config.revision.next();
    let organisation = config.organisations.get_mut("org").expect("the organisation exists");
    organisation.waves.get_mut("all").expect("the wave exists").auto_start = true;
    site.world.configure(&config);
    assert_eq!(finish(&mut site), 3);
    assert_eq!(site.run_waves(), 0);
}

#[test]
fn a_wave_removed_from_the_configuration_ends() {
    let mut site = started();
    site.run_waves();
    let mut config = site.config.clone();
    config.revision = config.revision.next();
    config.organisations.get_mut("org").expect("the organisation exists").waves.clear();
    site.world.configure(&config);
    for _ in 0..3 {
        site.run_waves();
        site.run_pools();
        site.acknowledge_drains();
    }
    assert_eq!(phase(&site), Phase::Done);
    assert_eq!(site.ready("a"), 6, "the instances that it drained are back");
}

/// Numbers of instances and pools, and the target time for the maintenance of all of them.
const INSTANCES: usize = 1_200;
const POOLS: usize = 35;
const SIX_WEEKS_SECS: u32 = 6 * 7 * 24 * 3600;

#[test]
fn the_whole_fleet_is_maintained_well_within_six_weeks() {
    let size = INSTANCES.div_ceil(POOLS);
    let racks: Vec<_> = (0..size).map(|number| format!("rack{number}")).collect();
    let racks: Vec<_> = racks.iter().map(String::as_str).collect();
    let names: Vec<_> = (0..POOLS).map(|number| format!("pool{number}-")).collect();
    let (size, min_ready) = (size as u32, size as u32 - 2);
    let pools: Vec<_> =
        names.iter().map(|name| Pool(name, size, min_ready, false, &racks)).collect();
    let mut site = Site::new(&pools, Weights::default());
    let wave = site.wave();
    site.decide(Decision::Start { wave }).expect("the wave can start");
    let rounds = finish(&mut site);
    assert_eq!(rounds, size, "one instance of each pool at a time");
    let restart_secs = 3_600;
    assert!(rounds * restart_secs < SIX_WEEKS_SECS, "restarts of one hour each fit into six weeks");
}
