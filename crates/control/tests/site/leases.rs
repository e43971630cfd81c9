//! Who holds the duties, through every fault.

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

/// The bound of issue 4.
const MOVED: Duration = Duration::from_secs(3);

fn duties() -> [Duty; 4] {
    let wave = Duty::Wave { organisation: "lisbon".to_owned(), wave: "kernel".to_owned() };
    [pool_duty(), wave, Duty::Snapshots, Duty::Garbage]
}

/// How a holder is lost.
#[derive(Clone, Copy)]
enum Loss {
    Crash,
    CutFromPlatform,
    CutFromAll,
    StopsCleanly,
    RestartsUnderItsName,
}

cases::cases! {
    a_lost_holders_duties_move;
    duties_move_when_the_holder_crashes: Loss::Crash,
    duties_move_when_the_holder_is_cut_from_the_platform: Loss::CutFromPlatform,
    duties_move_when_the_holder_is_cut_from_platform_and_peers: Loss::CutFromAll,
    duties_move_when_the_holder_stops: Loss::StopsCleanly,
    duties_move_when_the_holder_restarts: Loss::RestartsUnderItsName,
}

fn a_lost_holders_duties_move(loss: Loss) {
    let mut site = Site::with_workers(3, 3, 4);
    let holder = site.holder(&pool_duty()).expect("someone holds it");
    let lost: Vec<Duty> =
        duties().into_iter().filter(|duty| site.holder(duty).as_ref() == Some(&holder)).collect();
    let epoch = epoch(&site, &pool_duty());
    lose(&mut site, &holder, loss);
    let moved = site.run_until(MOVED, |site| {
        lost.iter().all(|duty| {
            let now = site.holder(duty);
            now.is_some() && now.as_ref() != Some(&holder)
        }) || (matches!(loss, Loss::RestartsUnderItsName)
            && epoch < self::epoch(site, &pool_duty()))
    });
    assert!(moved.is_some(), "the duties of {holder} have not moved");
    assert!(self::epoch(&site, &pool_duty()) > epoch, "the epoch rises with the holder");
}

fn lose(site: &mut Site, holder: &str, loss: Loss) {
    match loss {
        Loss::Crash => site.pause(holder),
        Loss::CutFromPlatform => site.set_faults(holder, Faults::CUT),
        Loss::CutFromAll => {
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
    let row: control::duty::Row = serde_json::from_str(&rows[0].value).expect("a duty's row");
    row.epoch
}

/// What must not move a duty.
#[derive(Clone, Copy)]
enum Calm {
    Nothing,
    BeatsLateButHeard,
    ClockOfAnObserverSteps,
    ObserverPauses,
    StoreDownForEveryone,
    StoreThrottles,
    PeersCutFromEachOther,
}

cases::cases! {
    duties_stay;
    duties_stay_in_health: Calm::Nothing,
    duties_stay_with_a_slow_holder_that_peers_hear: Calm::BeatsLateButHeard,
    duties_stay_when_an_observers_clock_steps: Calm::ClockOfAnObserverSteps,
    duties_stay_when_an_observer_pauses: Calm::ObserverPauses,
    duties_stay_through_an_outage_of_the_store: Calm::StoreDownForEveryone,
    duties_stay_while_the_store_throttles: Calm::StoreThrottles,
    duties_stay_when_peers_are_cut_from_each_other: Calm::PeersCutFromEachOther,
}

fn duties_stay(calm: Calm) {
    let mut site = Site::with_workers(5, 3, 4);
    site.run(Duration::from_secs(10));
    let before = duties().map(|duty| epoch(&site, &duty));
    let holder = site.holder(&pool_duty()).expect("someone holds it");
    let holds =
        |name: &&str| duties().iter().any(|duty| site.holder(duty).as_deref() == Some(*name));
    let observer = ["a", "b", "c", "d", "e"].into_iter().find(|name| !holds(name));
    let observer = observer.expect("there are more entries than duties");
    match calm {
        Calm::Nothing => {}
        Calm::BeatsLateButHeard => {
            let later = site.now + Duration::from_secs(5);
            site.entry(&holder).skip_beats_until(later);
        }
        Calm::ClockOfAnObserverSteps => {
            site.entry(observer).ahead = Duration::from_secs(3_600);
        }
        Calm::ObserverPauses => {
            site.pause(observer);
            site.run(Duration::from_secs(10));
            site.resume(observer);
        }
        Calm::StoreDownForEveryone => {
            site.memory.set("", Faults::DOWN);
            site.run(Duration::from_secs(60));
            site.memory.set("", Faults::NONE);
        }
        Calm::StoreThrottles => {
            site.memory.set("", Faults::THROTTLED);
            site.run(Duration::from_secs(10));
            site.memory.set("", Faults::NONE);
        }
        Calm::PeersCutFromEachOther => {
            for name in ["a", "b", "c", "d", "e"] {
                site.cut_peers(name);
            }
        }
    }
    site.run(Duration::from_secs(6));
    assert_eq!(duties().map(|duty| epoch(&site, &duty)), before, "no duty has moved");
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

/// How many duties each holds, most first.
fn loads(site: &Site, names: &[&str]) -> Vec<usize> {
    let held = |name: &&str| {
        duties().iter().filter(|duty| site.holder(duty).as_deref() == Some(*name)).count()
    };
    let mut loads: Vec<usize> = names.iter().map(held).collect();
    loads.sort_by(|left, right| right.cmp(left));
    loads
}

/// Where the late write of a paused holder comes from.
#[derive(Clone, Copy)]
enum Late {
    /// It was decided before the pause and is sent after it.
    Sent,
    /// It was sent before the pause and arrives late.
    Arrives,
    /// The holder's process was replaced by another of its name.
    Predecessor,
}

cases::cases! {
    a_paused_holders_late_write_fails;
    a_late_write_fails_when_sent_after_the_pause: Late::Sent,
    a_late_write_fails_when_it_arrives_after_the_lease: Late::Arrives,
    a_late_write_of_a_predecessor_fails: Late::Predecessor,
}

fn a_paused_holders_late_write_fails(late: Late) {
    let mut site = Site::with_workers(3, 3, 4);
    let holder = site.holder(&pool_duty()).expect("someone holds it");
    let engine: Engine<Fakes> = site.entry(&holder).engine.clone();
    let drain = drain(&engine, "w2");
    let now = site.now;
    if matches!(late, Late::Arrives) {
        site.set_faults(&holder, Faults::SLOW);
        let sent = block_on(engine.execute(&pool_duty(), &drain, now));
        assert!(matches!(sent, Outcome::Unknown(_)), "{sent:?}");
    }
    if matches!(late, Late::Predecessor) {
        site.restart(&holder);
    } else {
        site.pause(&holder);
    }
    site.run(Duration::from_secs(4));
    assert!(engine.state().held(&pool_duty()).is_some(), "it still believes to hold the duty");
    if matches!(late, Late::Arrives) {
        assert_eq!(site.memory.arrive(), 0, "no held-back write takes effect");
    } else {
        let now = site.now;
        let sent = block_on(engine.execute(&pool_duty(), &drain, now));
        assert_eq!(sent, Outcome::Raced);
    }
    site.run(Duration::from_secs(1));
    let other = ["a", "b", "c"].into_iter().find(|name| *name != holder).expect("others");
    assert_eq!(site.state(other, "w2"), Some(State::Serving));
}

fn drain(engine: &Engine<Fakes>, instance: &str) -> Decision {
    let instance = engine.state().world.names.instances[instance];
    pool::Decision::Drain { instance, reason: Reason::Surplus }.into()
}

#[test]
fn of_two_that_believe_to_hold_a_duty_one_can_write() {
    let mut site = Site::with_workers(3, 3, 4);
    let old = site.holder(&pool_duty()).expect("someone holds it");
    site.pause(&old);
    site.run(Duration::from_secs(3));
    let new = site.holder(&pool_duty()).expect("someone holds it again");
    assert_ne!(old, new);
    let now = site.now;
    let (old, new) = (site.entry(&old).engine.clone(), site.entry(&new).engine.clone());
    assert!(old.state().held(&pool_duty()).is_some());
    assert!(new.state().held(&pool_duty()).is_some());
    let late = block_on(old.execute(&pool_duty(), &drain(&old, "w0"), now));
    let good = block_on(new.execute(&pool_duty(), &drain(&new, "w1"), now));
    assert_eq!((late, good), (Outcome::Raced, Outcome::Done));
}
