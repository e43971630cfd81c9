//! Outages of the store, the instance list and workers: serving continues, and no new decisions are
//! made without the store.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::instance::State;
use futures_lite::future::block_on;
use platform::object::Store;
use standin::platform::Faults;

use crate::support::Site;

#[test]
fn serving_goes_on_while_the_store_is_down() {
    let mut site = Site::with_workers(3, 3, 4);
    site.memory.set("", Faults::DOWN);
    site.memory.reset_counters();
    site.run(Duration::from_secs(120));
    for name in ["a", "b", "c"] {
        assert!(site.is_open(name, "w0"));
    }
    let status = {
        let now = site.now;
        site.entry("a").engine.status(now)
    };
    assert!(!status.platform_reachable);
    assert!((118..=121).contains(&status.outage_secs), "{}", status.outage_secs);
}

#[test]
fn missed_changes_are_recovered_by_a_scan() {
    let mut site = Site::with_workers(3, 3, 4);
    site.set_faults("c", Faults::CUT);
    site.cut_peers("c");
    site.mark_leaving(1);
    site.run(Duration::from_secs(10));
    assert_eq!(site.state("c", "w1"), Some(State::Serving));
    site.memory.forget_changes();
    site.set_faults("c", Faults::NONE);
    site.run(Duration::from_secs(1));
    assert_ne!(
        site.state("c", "w1"),
        Some(State::Serving),
        "the scan that replaces the lost changes was not applied"
    );
}

#[test]
fn a_dead_worker_is_found_and_taken_out() {
    let mut site = Site::with_workers(3, 3, 4);
    site.workers.stop(SocketAddr::from(([127, 0, 0, 1], 10_002)));
    let found = site.run_until(Duration::from_secs(6), |site| !site.is_open("a", "w2"));
    assert!(found.is_some());
}

// An instance list that suddenly lacks most instances is more likely wrong than true.
#[test]
fn an_instance_list_that_shrinks_suddenly_is_not_accepted() {
    let mut site = Site::with_workers(3, 3, 4);
    for name in ["w0", "w1", "w2", "w3"] {
        site.memory.unlist_instance(name);
    }
    site.run(Duration::from_secs(20));
    for index in 0..4 {
        assert!(site.is_open("a", &format!("w{index}")));
    }
}

#[test]
fn a_new_process_starts_from_a_snapshot_and_the_changes_since() {
    let mut site = Site::with_workers(3, 3, 4);
    site.run(Duration::from_secs(90));
    let objects =
        block_on(Store::list(&site.memory, "snapshots/")).expect("the object store is up");
    assert!(!objects.is_empty(), "the holder of the duty has written no snapshot");
    site.memory.forget_changes();
    site.mark_leaving(1);
    site.run(Duration::from_secs(3));
    site.start("d", "dc0");
    site.run(Duration::from_secs(1));
    assert!(site.is_open("d", "w0"));
    assert!(!site.is_open("d", "w1"));
}

// The rows of old acts are removed after a day; recent acts, the configuration and the heartbeats
// of live entries must stay.
#[test]
fn only_obsolete_rows_are_removed() {
    let mut site = Site::with_workers(3, 3, 4);
    site.write("control/act/old", r#"{"author":"rosa","what":"drain","unix_secs":1}"#);
    let now = site.now;
    let stamp = site.stamp();
    block_on(site.entry("a").engine.drain(&stamp, "w1", now))
        .expect("draining w1 is within the budget");
    for entry in site.entries.values_mut() {
        entry.clock_offset = Duration::from_secs(48 * 3_600);
    }
    site.run(Duration::from_secs(5));
    let stamp = site.stamp();
    let later = site.now + Duration::from_secs(48 * 3_600);
    block_on(site.entry("a").engine.put_back(&stamp, "w1", later)).expect("w1 is drained");
    site.run(Duration::from_secs(70));
    let left: Vec<String> =
        site.memory.rows("control/act/").into_iter().map(|row| row.key).collect();
    assert_eq!(left, [format!("control/act/{}", stamp.operation)]);
    assert_eq!(site.memory.rows("control/config/").len(), 2);
    assert_eq!(site.memory.rows("control/member/").len(), 3);
}
