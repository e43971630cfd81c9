//! Waves: step by step, through failures, holders and operators.

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
    site.decide(Decision::Start { wave }).expect("it starts");
    site
}

fn phase(site: &Site) -> Phase {
    site.world.waves.get(site.wave()).expect("it is there").phase
}

fn stalls(site: &Site) -> Vec<Stall> {
    wave::progress(&site.world, site.wave(), site.now).stalls
}

/// Runs the wave to its end; how many rounds of restarts that took.
fn finish(site: &mut Site) -> u32 {
    for round in 0..100 {
        site.run_waves();
        if !phase(site).is_active() {
            return round;
        }
        site.quiet();
        site.run_waves();
        site.restart();
    }
    panic!("the wave does not end: {:?}", stalls(site));
}

#[test]
fn takes_every_instance_once_and_ends() {
    let mut site = started();
    let rounds = finish(&mut site);
    assert_eq!(phase(&site), Phase::Done);
    assert_eq!(rounds, 2, "three at once");
    let wave = site.world.waves.get(site.wave()).expect("it is there");
    assert!(site.world.instances.iter().all(|(_, one)| !wave.is_due(site.wave(), one)));
}

#[test]
fn the_next_run_takes_them_again() {
    let mut site = started();
    finish(&mut site);
    let wave = site.wave();
    site.decide(Decision::Start { wave }).expect("it starts again");
    assert_eq!(finish(&mut site), 2);
}

#[test]
fn those_out_together_leave_the_racks_level() {
    let mut site = started();
    site.run_waves();
    let out = site.names("a", State::Draining);
    assert_eq!(out, ["a0", "a2", "a4"], "one of each of the fullest racks");
}

#[test]
fn an_instance_that_fails_before_its_stop_is_taken_again() {
    let mut site = started();
    site.run_waves();
    site.tell(&Fact::Unresponsive(site.key("a0")));
    assert_eq!(site.instance("a0").purpose, None);
    site.tell(&Fact::Healthy(site.key("a0")));
    site.pass_checks();
    finish(&mut site);
    assert!(site.instance("a0").last_run.is_some());
}

#[test]
fn a_restart_that_never_ends_is_named_and_then_lost() {
    let mut site = started();
    site.run_waves();
    site.quiet();
    site.run_waves();
    site.wait(170);
    for name in ["a2", "a4"] {
        site.tell(&Fact::Restarted(site.key(name)));
    }
    let restarting = Stall::Restarting { instance: "a0".to_owned(), secs: 170 };
    assert!(stalls(&site).contains(&restarting));
    site.wait(71);
    site.run_waves();
    assert_eq!(site.names("a", State::Failed), ["a0"]);
    finish(&mut site);
    let wave = site.world.waves.get(site.wave()).expect("it is there");
    assert_eq!((wave.phase, wave.lost.join(" ")), (Phase::Done, "a0".to_owned()));
}

#[test]
fn a_lost_instance_that_comes_back_has_had_its_restart() {
    let mut site = started();
    site.run_waves();
    site.quiet();
    site.run_waves();
    site.wait(241);
    site.run_waves();
    site.tell(&Fact::Restarted(site.key("a0")));
    site.pass_checks();
    assert!(site.instance("a0").last_run.is_some());
}

#[test]
fn a_drain_that_is_not_acknowledged_is_named_with_who_holds_it_up() {
    let mut site = started();
    site.run_waves();
    let (instance, by) = (site.key("a0"), vec!["entry-7".to_owned()]);
    site.tell(&Fact::Unacknowledged { instance, by: by.clone() });
    site.wait(11);
    let named = Stall::Unacknowledged { instance: "a0".to_owned(), by };
    assert!(stalls(&site).contains(&named));
}

#[test]
fn a_spent_budget_is_named_with_who_spends_it() {
    let mut site = started();
    for name in ["a0", "a2", "a4"] {
        site.tell(&Fact::Unresponsive(site.key(name)));
    }
    assert_eq!(site.run_waves(), 0);
    let text: Vec<_> = stalls(&site).iter().map(ToString::to_string).collect();
    let spent = "budget of pool a is spent: 3 ready, 2 promised, a0 failed, a2 failed, a4 failed";
    assert!(text.iter().any(|text| text == spent), "{text:?}");
}

#[test]
fn a_budget_that_lost_instances_spend_is_named() {
    let mut site = started();
    site.run_waves();
    site.quiet();
    site.run_waves();
    site.wait(241);
    site.run_waves();
    assert_eq!(site.names("a", State::Failed), ["a0", "a2", "a4"]);
    let spent = |stall: &Stall| matches!(stall, Stall::Budget { .. });
    assert!(stalls(&site).iter().any(spent), "{:?}", stalls(&site));
}

#[test]
fn a_pause_takes_nobody_out_and_finishes_who_is() {
    let mut site = started();
    site.run_waves();
    let wave = site.wave();
    site.decide(Decision::Pause { wave }).expect("it pauses");
    for _ in 0..5 {
        site.quiet();
        site.run_waves();
        site.restart();
    }
    assert_eq!(site.ready("a"), 6);
    let progress = wave::progress(&site.world, wave, site.now);
    assert_eq!((progress.done, progress.finish), (3, None), "no estimate while it is paused");
    site.decide(Decision::Resume { wave }).expect("it goes on");
    finish(&mut site);
    assert_eq!(phase(&site), Phase::Done);
}

/// Aborts when the instances that are out have come this far.
#[derive(Clone, Copy)]
enum At {
    Serving,
    Draining,
    Drained,
    Stopped,
    Checking,
}

fn bring(site: &mut Site, at: At) {
    let steps = at as u32;
    if steps >= 1 {
        site.run_waves();
    }
    if steps >= 2 {
        site.quiet();
    }
    if steps >= 3 {
        site.run_waves();
    }
    if steps >= 4 {
        for name in ["a0", "a2", "a4"] {
            site.tell(&Fact::Restarted(site.key(name)));
        }
    }
}

cases::cases! {
    aborts;
    abort_before_the_first_step: At::Serving,
    abort_while_draining: At::Draining,
    abort_when_drained: At::Drained,
    abort_when_stopped: At::Stopped,
    abort_while_checking: At::Checking,
}
fn aborts(at: At) {
    let mut site = started();
    bring(&mut site, at);
    let wave = site.wave();
    let instance = site.key("a0");
    site.decide(Decision::Abort { wave }).expect("it aborts");
    let late = site.decide(Decision::Step { wave, instance });
    assert!(late.is_err(), "nothing is stopped after an abort");
    site.run_waves();
    site.restart();
    site.run_waves();
    assert_eq!(phase(&site), Phase::Aborted);
    assert_eq!(site.ready("a"), 6, "everybody is back");
}

cases::cases! {
    hands_over;
    handed_over_before_the_first_step: At::Serving,
    handed_over_while_draining: At::Draining,
    handed_over_when_drained: At::Drained,
    handed_over_when_stopped: At::Stopped,
    handed_over_while_checking: At::Checking,
}
fn hands_over(at: At) {
    let mut kept = started();
    bring(&mut kept, at);
    let mut next = super::row::copy(&kept);
    assert_eq!(kept.plan_waves(), next.plan_waves(), "the new holder decides the same");
    assert_eq!(finish(&mut kept), finish(&mut next));
    assert_eq!(phase(&next), Phase::Done);
}

#[test]
fn a_step_that_raced_an_abort_changes_the_row_that_the_abort_changed() {
    let site = started();
    let wave = site.wave();
    let step = Decision::Step { wave, instance: site.key("a0") };
    let changes = fleet::decision::effect(&site.world, &step.into(), site.now);
    let rows = changes.expect("it is allowed").into_iter();
    let mut keys = rows.map(|change| fleet::row::write(&site.world, &change).key);
    assert!(keys.any(|key| key == "wave/org/all"));
}

#[test]
fn operators_are_told_why_not() {
    let mut site = started();
    let wave = site.wave();
    assert!(matches!(site.decide(Decision::Start { wave }), Err(Refusal::Phase(..))));
    assert!(matches!(site.decide(Decision::Resume { wave }), Err(Refusal::Phase(..))));
    site.decide(Decision::Abort { wave }).expect("it aborts");
    assert!(matches!(site.decide(Decision::Pause { wave }), Err(Refusal::Phase(..))));
}

#[test]
fn what_an_operator_holds_out_is_waited_for_and_named() {
    let mut site = started();
    let instance = site.key("a0");
    site.decide(pool::Decision::Drain { instance, reason: Reason::Operator }).expect("drained");
    for _ in 0..10 {
        site.run_waves();
        site.quiet();
        site.run_waves();
        site.restart();
    }
    assert_eq!(phase(&site), Phase::Running);
    let held = Stall::Held { instance: "a0".to_owned(), by: "operator".to_owned() };
    assert!(stalls(&site).contains(&held), "{:?}", stalls(&site));
}

#[test]
fn a_wave_that_replaces_does_not_take_the_new_ones_again() {
    let mut site = started();
    site.run_waves();
    site.quiet();
    site.run_waves();
    site.wait(61);
    let old = site.instance("a0").clone();
    site.tell(&Fact::Unlisted(site.key("a0")));
    let new = fleet::instance::Instance { name: "a0-next".to_owned(), ..old };
    site.decide(pool::Decision::Enlist(Box::new(new))).expect("it is taken in");
    site.restart();
    finish(&mut site);
    assert_eq!(site.instance("a0-next").last_run, None);
    assert_eq!(phase(&site), Phase::Done);
}

#[test]
fn an_automatic_wave_starts_once() {
    let mut site = site();
    let mut config = site.config.clone();
    config.revision = config.revision.next();
    let organisation = config.organisations.get_mut("org").expect("it is there");
    organisation.waves.get_mut("all").expect("it is there").auto_start = true;
    site.world.configure(&config);
    assert_eq!(finish(&mut site), 3);
    assert_eq!(site.run_waves(), 0);
}

#[test]
fn a_wave_that_is_configured_no_more_ends() {
    let mut site = started();
    site.run_waves();
    let mut config = site.config.clone();
    config.revision = config.revision.next();
    config.organisations.get_mut("org").expect("it is there").waves.clear();
    site.world.configure(&config);
    for _ in 0..3 {
        site.run_waves();
        site.run_pools();
        site.quiet();
    }
    assert_eq!(phase(&site), Phase::Done);
    assert_eq!(site.ready("a"), 6, "and what it had out is back");
}

/// Workers, pools and the time that the target gives for one round of maintenance.
const WORKERS: usize = 1_200;
const POOLS: usize = 35;
const SIX_WEEKS_SECS: u32 = 6 * 7 * 24 * 3600;

#[test]
fn the_whole_fleet_is_maintained_well_within_six_weeks() {
    let size = WORKERS.div_ceil(POOLS);
    let racks: Vec<_> = (0..size).map(|number| format!("rack{number}")).collect();
    let racks: Vec<_> = racks.iter().map(String::as_str).collect();
    let names: Vec<_> = (0..POOLS).map(|number| format!("pool{number}-")).collect();
    let (size, min_ready) = (size as u32, size as u32 - 2);
    let pools: Vec<_> =
        names.iter().map(|name| Pool(name, size, min_ready, false, &racks)).collect();
    let mut site = Site::new(&pools, Weights::default());
    let wave = site.wave();
    site.decide(Decision::Start { wave }).expect("it starts");
    let rounds = finish(&mut site);
    assert_eq!(rounds, size, "one of each pool at a time");
    let restart_secs = 3_600;
    assert!(rounds * restart_secs < SIX_WEEKS_SECS, "even with restarts of an hour");
}
