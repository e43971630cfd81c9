//! Planned stops, through every fault.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::instance::State;
use futures_lite::future::block_on;
use standin::platform::Faults;

use crate::support::Site;
use crate::support::pool_duty;

/// How long a drain with nothing in the way may take.
const SOON: Duration = Duration::from_secs(3);

/// Long enough for anything that would ever time out, but the list's lag.
const LONG: Duration = Duration::from_secs(20);

/// A site of six entries in three data centres, `d` not the holder, with `w1` told to drain.
fn draining(prepare: impl FnOnce(&mut Site, &str)) -> (Site, String) {
    let mut site = Site::with_workers(6, 3, 4);
    let holder = site.holder(&pool_duty()).expect("someone holds it");
    let other = ["a", "b", "c", "d", "e", "f"].into_iter().find(|name| *name != holder);
    let other = other.expect("there are others").to_owned();
    prepare(&mut site, &other);
    let (stamp, now) = (site.stamp(), site.now);
    let drain = block_on(site.entry(&holder).engine.drain(&stamp, "w1", now));
    drain.expect("the budget allows it");
    (site, other)
}

fn is_drained(site: &Site) -> bool {
    let rows = site.memory.rows("control/instance/w1");
    rows.first().is_some_and(|row| row.value.contains("\"state\":\"drained\""))
}

fn drained_within(site: &mut Site, limit: Duration) -> bool {
    site.run_until(limit, |site| is_drained(site)).is_some()
}

/// What an entry is in while an instance drains.
#[derive(Clone, Copy)]
enum Trouble {
    None,
    CutFromPlatform,
    CutFromPeers,
}

cases::cases! {
    a_drain_goes_on;
    a_drain_goes_on_in_health: Trouble::None,
    a_drain_is_acknowledged_through_peers: Trouble::CutFromPlatform,
    a_drain_is_acknowledged_through_the_table: Trouble::CutFromPeers,
}

fn a_drain_goes_on(trouble: Trouble) {
    let (mut site, other) = draining(|site, other| match trouble {
        Trouble::None => {}
        Trouble::CutFromPlatform => site.set_faults(other, Faults::CUT),
        Trouble::CutFromPeers => site.cut_peers(other),
    });
    assert!(drained_within(&mut site, SOON));
    assert!(!site.is_open(&other, "w1"));
}

/// Why an entry could still send, and the way it ends.
#[derive(Clone, Copy)]
enum Unsure {
    CutFromAll,
    Paused,
    OldViewInUse,
    RequestInFlight,
    InstanceStillWorks,
    InstanceIgnoresIt,
}

cases::cases! {
    a_planned_stop_waits;
    a_stop_waits_for_an_entry_cut_from_all: Unsure::CutFromAll,
    a_stop_waits_for_a_paused_entry: Unsure::Paused,
    a_stop_waits_while_an_old_view_is_in_use: Unsure::OldViewInUse,
    a_stop_waits_for_a_request_in_flight: Unsure::RequestInFlight,
    a_stop_waits_while_the_instance_still_works: Unsure::InstanceStillWorks,
    a_stop_waits_while_the_instance_takes_work: Unsure::InstanceIgnoresIt,
}

fn a_planned_stop_waits(unsure: Unsure) {
    let (mut site, other) = draining(|site, other| set(site, other, unsure, true));
    if matches!(unsure, Unsure::InstanceStillWorks | Unsure::InstanceIgnoresIt) {
        site.run(Duration::from_millis(200));
        set(&mut site, &other, unsure, true);
    }
    for _ in 0..100 {
        site.tick();
        assert!(!is_drained(&site), "it may not be stopped yet");
        if matches!(unsure, Unsure::InstanceIgnoresIt) {
            set(&mut site, &other, unsure, true);
        }
    }
    if matches!(unsure, Unsure::CutFromAll) {
        assert!(site.is_open(&other, "w1"), "the entry goes on serving what it can");
    }
    set(&mut site, &other, unsure, false);
    assert!(drained_within(&mut site, SOON), "once it is sure, it is drained");
}

fn set(site: &mut Site, other: &str, unsure: Unsure, on: bool) {
    let w1 = SocketAddr::from(([127, 0, 0, 1], 10_001));
    match unsure {
        Unsure::CutFromAll if on => {
            site.set_faults(other, Faults::CUT);
            site.cut_peers(other);
        }
        Unsure::CutFromAll => {
            site.set_faults(other, Faults::NONE);
            site.mend_peers(other);
        }
        Unsure::Paused if on => site.pause(other),
        Unsure::Paused => site.resume(other),
        Unsure::OldViewInUse => site.entry(other).path.set_stuck(on),
        Unsure::RequestInFlight => site.entry(other).path.set_in_flight("w1", u32::from(on)),
        Unsure::InstanceStillWorks => {
            site.workers.change(w1, |health| health.in_flight = u32::from(on));
        }
        Unsure::InstanceIgnoresIt if on => {
            site.workers.change(w1, |health| health.serving = contract::Serving::Open);
            site.workers.with(w1, |worker| worker.deaf = true);
        }
        Unsure::InstanceIgnoresIt => site.workers.with(w1, |worker| worker.deaf = false),
    }
}

#[test]
fn a_replaced_entry_acknowledges_anew() {
    let (mut site, other) = draining(|site, other| site.pause(other));
    site.run(LONG);
    assert!(!is_drained(&site));
    site.restart(&other);
    assert!(drained_within(&mut site, SOON));
}

#[test]
fn an_acknowledgement_of_a_predecessor_does_not_count() {
    let (mut site, other) = draining(|site, other| {
        site.entry(other).path.set_stuck(true);
        let first = ["a", "b", "c", "d", "e", "f"].into_iter().find(|name| *name != other);
        site.entry(first.expect("others")).path.set_in_flight("w1", 1);
    });
    site.entry(&other).path.set_stuck(false);
    site.run(Duration::from_secs(2));
    site.restart(&other);
    site.entry(&other).path.set_stuck(true);
    for name in ["a", "b", "c", "d", "e", "f"] {
        site.entry(name).path.set_in_flight("w1", 0);
    }
    site.run(LONG);
    assert!(!is_drained(&site), "the new process has not acknowledged");
    site.entry(&other).path.set_stuck(false);
    assert!(drained_within(&mut site, SOON));
}

#[test]
fn an_entry_off_the_list_for_longer_than_its_lag_is_gone() {
    let (mut site, other) = draining(|site, other| site.pause(other));
    site.memory.unlist_instance(&other);
    site.run(Duration::from_secs(25));
    assert!(!is_drained(&site), "the list may lag");
    assert!(drained_within(&mut site, Duration::from_secs(10)));
}

#[test]
fn a_data_centre_off_the_list_as_a_whole_is_not_gone() {
    let mut gone = Vec::new();
    let (mut site, _) = draining(|site, _| {
        let holder = site.holder(&pool_duty()).expect("someone holds it");
        let place = |name: &str| usize::from(name.as_bytes()[0] - b'a') % 3;
        let lost = (place(&holder) + 1) % 3;
        gone.extend(["a", "b", "c", "d", "e", "f"].into_iter().filter(|name| place(name) == lost));
        for name in &gone {
            site.pause(name);
        }
    });
    assert_eq!(gone.len(), 2);
    for name in &gone {
        site.memory.unlist_instance(name);
    }
    site.run(Duration::from_secs(60));
    assert!(!is_drained(&site));
}

/// Which path the news of a leaving instance may take to an entry.
#[derive(Clone, Copy)]
enum Way {
    All,
    OnlyPeers,
    OnlyTable,
}

cases::cases! {
    a_leaving_instance_gets_no_new_work;
    a_leaving_instance_gets_no_new_work_in_health: Way::All,
    a_leaving_instance_gets_no_new_work_from_those_with_peers_only: Way::OnlyPeers,
    a_leaving_instance_gets_no_new_work_from_those_with_the_table_only: Way::OnlyTable,
}

fn a_leaving_instance_gets_no_new_work(way: Way) {
    let mut site = Site::with_workers(6, 3, 4);
    let holder = site.holder(&pool_duty()).expect("someone holds it");
    let names = ["a", "b", "c", "d", "e", "f"];
    let other = names.into_iter().find(|name| *name != holder).expect("others");
    match way {
        Way::All => {}
        Way::OnlyPeers => site.set_faults(other, Faults::CUT),
        Way::OnlyTable => site.cut_peers(other),
    }
    site.leave(1);
    let closed = site.run_until(SOON, |site| names.iter().all(|name| !site.is_open(name, "w1")));
    assert!(closed.is_some(), "someone still sends to w1");
}

#[test]
fn a_drain_heard_of_from_peers_is_over_only_on_proof() {
    let (mut site, other) = draining(|site, other| site.set_faults(other, Faults::CUT));
    assert!(drained_within(&mut site, SOON));
    assert!(!site.is_open(&other, "w1"));
    let holder = site.holder(&pool_duty()).expect("someone holds it");
    let (stamp, now) = (site.stamp(), site.now);
    block_on(site.entry(&holder).engine.put_back(&stamp, "w1", now)).expect("it is drained");
    site.run(SOON);
    assert!(site.is_open(&other, "w1"), "peers that closed it have opened it again");
}

#[test]
fn a_wave_restarts_every_instance_once() {
    let mut site = Site::with_workers(3, 3, 4);
    let (stamp, now) = (site.stamp(), site.now);
    let order = control::act::WaveCommand::Start;
    let started =
        block_on(site.entry("a").engine.command_wave(&stamp, "lisbon", "kernel", order, now));
    started.expect("it is idle");
    let mut restarts = [0; 4];
    let done = site.run_until(Duration::from_secs(300), |site| {
        for (index, count) in restarts.iter_mut().enumerate() {
            let name = format!("w{index}");
            let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16));
            let up = site.workers.health(address).is_some_and(|health| health.epoch > 0);
            if site.state("a", &name) == Some(State::Stopped) && up {
                site.workers.start(address);
                *count += 1;
            }
        }
        let now = site.now;
        site.entry("b").engine.waves(now)[0].state == "done"
    });
    assert!(done.is_some());
    assert_eq!(restarts, [1; 4]);
}
