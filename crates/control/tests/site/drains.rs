//! Planned stops during failures: an instance is stopped only when nothing can be cut off.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::instance::State;
use futures_lite::future::block_on;
use standin::platform::Faults;

use crate::support::Site;
use crate::support::pool_duty;

/// Maximum duration of a drain that nothing blocks.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Longer than every timeout except the instance list's lag.
const PAST_TIMEOUTS: Duration = Duration::from_secs(20);

/// A site of six entries in three data centres with a drain of `w1` recorded, and the name of an
/// entry that does not hold the pool's duty. `prepare` is called with that name before the drain.
fn draining(prepare: impl FnOnce(&mut Site, &str)) -> (Site, String) {
    let mut site = Site::with_workers(6, 3, 4);
    let holder = site.holder(&pool_duty()).expect("the duty has a holder");
    let other = ["a", "b", "c", "d", "e", "f"].into_iter().find(|name| *name != holder);
    let other = other.expect("there are other entries").to_owned();
    prepare(&mut site, &other);
    let (stamp, now) = (site.stamp(), site.now);
    let drain = block_on(site.entry(&holder).engine.drain(&stamp, "w1", now));
    drain.expect("draining w1 is within the budget");
    (site, other)
}

fn is_drained(site: &Site) -> bool {
    let rows = site.memory.rows("control/instance/w1");
    rows.first().is_some_and(|row| row.value.contains("\"state\":\"drained\""))
}

fn drained_within(site: &mut Site, limit: Duration) -> bool {
    site.run_until(limit, |site| is_drained(site)).is_some()
}

/// The connections that an entry lacks while an instance drains.
#[derive(Clone, Copy)]
enum Cut {
    None,
    FromPlatform,
    FromPeers,
}

cases::cases! {
    a_drain_goes_on;
    a_drain_goes_on_in_health: Cut::None,
    a_drain_is_acknowledged_through_peers: Cut::FromPlatform,
    a_drain_is_acknowledged_through_the_table: Cut::FromPeers,
}

fn a_drain_goes_on(cut: Cut) {
    let (mut site, other) = draining(|site, other| match cut {
        Cut::None => {}
        Cut::FromPlatform => site.set_faults(other, Faults::CUT),
        Cut::FromPeers => site.cut_peers(other),
    });
    assert!(drained_within(&mut site, DRAIN_TIME));
    assert!(!site.is_open(&other, "w1"));
}

/// Why a planned stop has to wait.
#[derive(Clone, Copy)]
enum Blocker {
    CutFromAll,
    Paused,
    OldViewInUse,
    RequestInFlight,
    InstanceStillWorks,
    InstanceIgnoresIt,
}

cases::cases! {
    a_planned_stop_waits;
    a_stop_waits_for_an_entry_cut_from_all: Blocker::CutFromAll,
    a_stop_waits_for_a_paused_entry: Blocker::Paused,
    a_stop_waits_while_an_old_view_is_in_use: Blocker::OldViewInUse,
    a_stop_waits_for_a_request_in_flight: Blocker::RequestInFlight,
    a_stop_waits_while_the_instance_still_works: Blocker::InstanceStillWorks,
    a_stop_waits_while_the_instance_takes_work: Blocker::InstanceIgnoresIt,
}

fn a_planned_stop_waits(blocker: Blocker) {
    let (mut site, other) = draining(|site, other| set(site, other, blocker, true));
    if matches!(blocker, Blocker::InstanceStillWorks | Blocker::InstanceIgnoresIt) {
        site.run(Duration::from_millis(200));
        set(&mut site, &other, blocker, true);
    }
    for _ in 0..100 {
        site.tick();
        assert!(!is_drained(&site), "the instance was drained too early");
        if matches!(blocker, Blocker::InstanceIgnoresIt) {
            set(&mut site, &other, blocker, true);
        }
    }
    if matches!(blocker, Blocker::CutFromAll) {
        assert!(site.is_open(&other, "w1"), "the disconnected entry stopped routing to w1");
    }
    set(&mut site, &other, blocker, false);
    assert!(
        drained_within(&mut site, DRAIN_TIME),
        "the instance was not drained after the blocker was gone"
    );
}

/// Sets or removes a blocker.
fn set(site: &mut Site, other: &str, blocker: Blocker, on: bool) {
    let w1 = SocketAddr::from(([127, 0, 0, 1], 10_001));
    match blocker {
        Blocker::CutFromAll if on => {
            site.set_faults(other, Faults::CUT);
            site.cut_peers(other);
        }
        Blocker::CutFromAll => {
            site.set_faults(other, Faults::NONE);
            site.mend_peers(other);
        }
        Blocker::Paused if on => site.pause(other),
        Blocker::Paused => site.resume(other),
        Blocker::OldViewInUse => site.entry(other).path.set_stuck(on),
        Blocker::RequestInFlight => site.entry(other).path.set_in_flight("w1", u32::from(on)),
        Blocker::InstanceStillWorks => {
            site.workers.change_health(w1, |health| health.in_flight = u32::from(on));
        }
        Blocker::InstanceIgnoresIt if on => {
            site.workers.change_health(w1, |health| health.serving = contract::Serving::Open);
            site.workers.with(w1, |worker| worker.ignores_commands = true);
        }
        Blocker::InstanceIgnoresIt => {
            site.workers.with(w1, |worker| worker.ignores_commands = false)
        }
    }
}

#[test]
fn a_replaced_entry_acknowledges_anew() {
    let (mut site, other) = draining(|site, other| site.pause(other));
    site.run(PAST_TIMEOUTS);
    assert!(!is_drained(&site));
    site.restart(&other);
    assert!(drained_within(&mut site, DRAIN_TIME));
}

#[test]
fn an_acknowledgement_of_a_previous_process_does_not_count() {
    let (mut site, other) = draining(|site, other| {
        site.entry(other).path.set_stuck(true);
        let first = ["a", "b", "c", "d", "e", "f"].into_iter().find(|name| *name != other);
        site.entry(first.expect("there are other entries")).path.set_in_flight("w1", 1);
    });
    site.entry(&other).path.set_stuck(false);
    site.run(Duration::from_secs(2));
    site.restart(&other);
    site.entry(&other).path.set_stuck(true);
    for name in ["a", "b", "c", "d", "e", "f"] {
        site.entry(name).path.set_in_flight("w1", 0);
    }
    site.run(PAST_TIMEOUTS);
    assert!(!is_drained(&site), "the new process has not acknowledged the drain");
    site.entry(&other).path.set_stuck(false);
    assert!(drained_within(&mut site, DRAIN_TIME));
}

#[test]
fn an_entry_off_the_list_for_longer_than_its_lag_is_gone() {
    let (mut site, other) = draining(|site, other| site.pause(other));
    site.memory.unlist_instance(&other);
    site.run(Duration::from_secs(25));
    assert!(!is_drained(&site), "the entry was considered gone within the list's lag");
    assert!(drained_within(&mut site, Duration::from_secs(10)));
}

#[test]
fn a_data_centre_off_the_list_as_a_whole_is_not_gone() {
    let mut gone = Vec::new();
    let (mut site, _) = draining(|site, _| {
        let holder = site.holder(&pool_duty()).expect("the duty has a holder");
        let data_centre = |name: &str| usize::from(name.as_bytes()[0] - b'a') % 3;
        let lost = (data_centre(&holder) + 1) % 3;
        gone.extend(
            ["a", "b", "c", "d", "e", "f"].into_iter().filter(|name| data_centre(name) == lost),
        );
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

/// How an entry can learn of a leaving instance.
#[derive(Clone, Copy)]
enum Channel {
    All,
    OnlyPeers,
    OnlyTable,
}

cases::cases! {
    a_leaving_instance_gets_no_new_work;
    a_leaving_instance_gets_no_new_work_in_health: Channel::All,
    a_leaving_instance_gets_no_new_work_from_those_with_peers_only: Channel::OnlyPeers,
    a_leaving_instance_gets_no_new_work_from_those_with_the_table_only: Channel::OnlyTable,
}

fn a_leaving_instance_gets_no_new_work(channel: Channel) {
    let mut site = Site::with_workers(6, 3, 4);
    let holder = site.holder(&pool_duty()).expect("the duty has a holder");
    let names = ["a", "b", "c", "d", "e", "f"];
    let other = names.into_iter().find(|name| *name != holder).expect("there are other entries");
    match channel {
        Channel::All => {}
        Channel::OnlyPeers => site.set_faults(other, Faults::CUT),
        Channel::OnlyTable => site.cut_peers(other),
    }
    site.mark_leaving(1);
    let closed =
        site.run_until(DRAIN_TIME, |site| names.iter().all(|name| !site.is_open(name, "w1")));
    assert!(closed.is_some(), "an entry still routes to w1");
}

#[test]
fn a_drain_known_from_peers_ends_only_on_proof() {
    let (mut site, other) = draining(|site, other| site.set_faults(other, Faults::CUT));
    assert!(drained_within(&mut site, DRAIN_TIME));
    assert!(!site.is_open(&other, "w1"));
    let holder = site.holder(&pool_duty()).expect("the duty has a holder");
    let (stamp, now) = (site.stamp(), site.now);
    block_on(site.entry(&holder).engine.put_back(&stamp, "w1", now)).expect("w1 is drained");
    site.run(DRAIN_TIME);
    assert!(
        site.is_open(&other, "w1"),
        "the entry still excludes w1 although peers have opened it again"
    );
}

#[test]
fn a_wave_restarts_every_instance_once() {
    let mut site = Site::with_workers(3, 3, 4);
    let (stamp, now) = (site.stamp(), site.now);
    let command = control::act::WaveCommand::Start;
    let started =
        block_on(site.entry("a").engine.command_wave(&stamp, "lisbon", "kernel", command, now));
    started.expect("the wave is idle");
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
