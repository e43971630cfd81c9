//! Which entry holds the duties during failures, and that a former holder cannot write.

use std::time::Duration;

use control::Engine;
use control::duty::Duty;
use control::engine::Outcome;
use fleet::decision::Decision;
use fleet::instance::State;
use fleet::pool;
use fleet::pool::Reason;
use futures_lite::future::block_on;
use standin::platform::Faults;

use crate::support::Fakes;
use crate::support::Site;
use crate::support::pool_duty;

/// Maximum time until the duties of a lost holder have moved (issue 4).
const MAX_MOVE_TIME: Duration = Duration::from_secs(3);

fn duties() -> [Duty; 4] {
    let wave = Duty::Wave { organisation: "lisbon".to_owned(), wave: "kernel".to_owned() };
    [pool_duty(), wave, Duty::Snapshots, Duty::Garbage]
}

/// How an entry loses its duties.
#[derive(Clone, Copy)]
enum Loss {
    Crash,
    CutFromPlatform,
    CutFromPlatformAndPeers,
    StopsCleanly,
    RestartsUnderItsName,
}

cases::cases! {
    a_lost_holders_duties_move;
    duties_move_when_the_holder_crashes: Loss::Crash,
    duties_move_when_the_holder_is_cut_from_the_platform: Loss::CutFromPlatform,
    duties_move_when_the_holder_is_cut_from_platform_and_peers: Loss::CutFromPlatformAndPeers,
    duties_move_when_the_holder_stops: Loss::StopsCleanly,
    duties_move_when_the_holder_restarts: Loss::RestartsUnderItsName,
}

fn a_lost_holders_duties_move(loss: Loss) {
    let mut site = Site::with_workers(3, 3, 4);
    let holder = site.holder(&pool_duty()).expect("the duty has a holder");
    let lost: Vec<Duty> =
        duties().into_iter().filter(|duty| site.holder(duty).as_ref() == Some(&holder)).collect();
    let epoch = epoch(&site, &pool_duty());
    lose(&mut site, &holder, loss);
    let moved = site.run_until(MAX_MOVE_TIME, |site| {
        lost.iter().all(|duty| {
            let now = site.holder(duty);
            now.is_some() && now.as_ref() != Some(&holder)
        }) || (matches!(loss, Loss::RestartsUnderItsName)
            && epoch < self::epoch(site, &pool_duty()))
    });
    assert!(moved.is_some(), "the duties of {holder} have not moved within {MAX_MOVE_TIME:?}");
    assert!(
        self::epoch(&site, &pool_duty()) > epoch,
        "the epoch did not increase with the new holder"
    );
}

fn lose(site: &mut Site, holder: &str, loss: Loss) {
    match loss {
        Loss::Crash => site.pause(holder),
        Loss::CutFromPlatform => site.set_faults(holder, Faults::CUT),
        Loss::CutFromPlatformAndPeers => {
            site.set_faults(holder, Faults::CUT);
            site.cut_peers(holder);
        }
        Loss::StopsCleanly => {
            let now = site.now;
            block_on(site.entry(holder).engine.shut_down(now));
            site.pause(holder);
        }
        Loss::RestartsUnderItsName => site.restart(holder),
    }
}

fn epoch(site: &Site, duty: &Duty) -> u64 {
    let rows = site.memory.rows(&format!("control/{}", duty.key()));
    let row: control::duty::Row =
        serde_json::from_str(&rows[0].value).expect("the duty's row is valid JSON");
    row.epoch
}

/// Events that must not move a duty.
#[derive(Clone, Copy)]
enum Disturbance {
    None,
    HeartbeatsLate,
    ClockOfAnObserverSteps,
    ObserverPauses,
    StoreDownForEveryone,
    StoreThrottles,
    PeersCutFromEachOther,
}

cases::cases! {
    duties_stay;
    duties_stay_in_health: Disturbance::None,
    duties_stay_with_a_slow_holder_that_peers_hear: Disturbance::HeartbeatsLate,
    duties_stay_when_an_observers_clock_steps: Disturbance::ClockOfAnObserverSteps,
    duties_stay_when_an_observer_pauses: Disturbance::ObserverPauses,
    duties_stay_through_an_outage_of_the_store: Disturbance::StoreDownForEveryone,
    duties_stay_while_the_store_throttles: Disturbance::StoreThrottles,
    duties_stay_when_peers_are_cut_from_each_other: Disturbance::PeersCutFromEachOther,
}

fn duties_stay(disturbance: Disturbance) {
    let mut site = Site::with_workers(5, 3, 4);
    site.run(Duration::from_secs(10));
    let before = duties().map(|duty| epoch(&site, &duty));
    let holder = site.holder(&pool_duty()).expect("the duty has a holder");
    let holds =
        |name: &&str| duties().iter().any(|duty| site.holder(duty).as_deref() == Some(*name));
    let observer = ["a", "b", "c", "d", "e"].into_iter().find(|name| !holds(name));
    let observer =
        observer.expect("an entry without duties exists: there are more entries than duties");
    match disturbance {
        Disturbance::None => {}
        Disturbance::HeartbeatsLate => {
            let later = site.now + Duration::from_secs(5);
            site.entry(&holder).skip_heartbeats_until(later);
        }
        Disturbance::ClockOfAnObserverSteps => {
            site.entry(observer).clock_offset = Duration::from_secs(3_600);
        }
        Disturbance::ObserverPauses => {
            site.pause(observer);
            site.run(Duration::from_secs(10));
            site.resume(observer);
        }
        Disturbance::StoreDownForEveryone => {
            site.memory.set("", Faults::DOWN);
            site.run(Duration::from_secs(60));
            site.memory.set("", Faults::NONE);
        }
        Disturbance::StoreThrottles => {
            site.memory.set("", Faults::THROTTLED);
            site.run(Duration::from_secs(10));
            site.memory.set("", Faults::NONE);
        }
        Disturbance::PeersCutFromEachOther => {
            for name in ["a", "b", "c", "d", "e"] {
                site.cut_peers(name);
            }
        }
    }
    site.run(Duration::from_secs(6));
    assert_eq!(duties().map(|duty| epoch(&site, &duty)), before, "a duty has moved");
}

#[test]
fn duties_are_spread_evenly_and_newcomers_get_some() {
    let mut site = Site::with_workers(3, 3, 4);
    site.run(Duration::from_secs(10));
    assert_eq!(loads(&site, &["a", "b", "c"]), [2, 1, 1]);
    site.start("d", "dc0");
    site.run(Duration::from_secs(10));
    assert_eq!(loads(&site, &["a", "b", "c", "d"]), [1, 1, 1, 1]);
}

/// Number of duties that each entry holds, in descending order.
fn loads(site: &Site, names: &[&str]) -> Vec<usize> {
    let held = |name: &&str| {
        duties().iter().filter(|duty| site.holder(duty).as_deref() == Some(*name)).count()
    };
    let mut loads: Vec<usize> = names.iter().map(held).collect();
    loads.sort_by(|left, right| right.cmp(left));
    loads
}

/// Why the write of a former holder comes too late.
#[derive(Clone, Copy)]
enum Delay {
    /// It was decided before the pause and is sent after it.
    SentLate,
    /// It was sent before the pause and arrives after it.
    ArrivesLate,
    /// The holder's process was replaced by another of the same name.
    PreviousProcess,
}

cases::cases! {
    a_paused_holders_late_write_fails;
    a_late_write_fails_when_sent_after_the_pause: Delay::SentLate,
    a_late_write_fails_when_it_arrives_after_the_lease: Delay::ArrivesLate,
    a_late_write_of_a_previous_process_fails: Delay::PreviousProcess,
}

fn a_paused_holders_late_write_fails(delay: Delay) {
    let mut site = Site::with_workers(3, 3, 4);
    let holder = site.holder(&pool_duty()).expect("the duty has a holder");
    let engine: Engine<Fakes> = site.entry(&holder).engine.clone();
    let drain = drain(&engine, "w2");
    let now = site.now;
    if matches!(delay, Delay::ArrivesLate) {
        site.set_faults(&holder, Faults::SLOW);
        let outcome = block_on(engine.execute(&pool_duty(), &drain, now));
        assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    }
    if matches!(delay, Delay::PreviousProcess) {
        site.restart(&holder);
    } else {
        site.pause(&holder);
    }
    site.run(Duration::from_secs(4));
    assert!(
        engine.state().held(&pool_duty()).is_some(),
        "the old holder must still believe that it holds the duty"
    );
    if matches!(delay, Delay::ArrivesLate) {
        assert_eq!(site.memory.arrive(), 0, "a delayed write took effect");
    } else {
        let now = site.now;
        let outcome = block_on(engine.execute(&pool_duty(), &drain, now));
        assert_eq!(outcome, Outcome::Raced);
    }
    site.run(Duration::from_secs(1));
    let other =
        ["a", "b", "c"].into_iter().find(|name| *name != holder).expect("there are other entries");
    assert_eq!(site.state(other, "w2"), Some(State::Serving));
}

fn drain(engine: &Engine<Fakes>, instance: &str) -> Decision {
    let instance = engine.state().world.names.instances[instance];
    pool::Decision::Drain { instance, reason: Reason::Surplus }.into()
}

#[test]
fn of_two_entries_that_believe_to_hold_a_duty_one_can_write() {
    let mut site = Site::with_workers(3, 3, 4);
    let old = site.holder(&pool_duty()).expect("the duty has a holder");
    site.pause(&old);
    site.run(Duration::from_secs(3));
    let new = site.holder(&pool_duty()).expect("the duty has a holder again");
    assert_ne!(old, new);
    let now = site.now;
    let (old, new) = (site.entry(&old).engine.clone(), site.entry(&new).engine.clone());
    assert!(old.state().held(&pool_duty()).is_some());
    assert!(new.state().held(&pool_duty()).is_some());
    let old_outcome = block_on(old.execute(&pool_duty(), &drain(&old, "w0"), now));
    let new_outcome = block_on(new.execute(&pool_duty(), &drain(&new, "w1"), now));
    assert_eq!((old_outcome, new_outcome), (Outcome::Raced, Outcome::Done));
}
