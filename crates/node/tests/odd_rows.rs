//! Odd rows of other writers, on a node that runs.

mod site;

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use node::rows;
use serde_json::json;
use site::Site;
use site::job;
use site::long_running;
use site::name;
use site::run;

/// Number of the leader's term.
fn epoch(site: &Site) -> u64 {
    let leader = site.platform.store.get(rows::LEADERS, rows::PARTITION, rows::LEADER);
    leader.and_then(|leader| leader["epoch"].as_u64()).expect("a leader")
}

async fn complete(site: &Site, jobs: std::ops::Range<u64>) {
    for number in jobs.clone() {
        assert_eq!(site.submit(0, &name(number), &job(4)).await.status, 200, "job {number}");
    }
    for number in jobs {
        site.until_state(0, &name(number), "completed").await;
    }
}

#[test]
fn odd_entries_leave_the_instances_beside_them_in_use() {
    run(3, |site| async move {
        site.ready().await;
        let term = epoch(&site);
        for kind in 0..sitestand::odd::KINDS {
            site.platform.write_odd(kind);
            let first = 10 * (kind as u64 + 1);
            complete(&site, first..first + 2).await;
        }
        assert_eq!(epoch(&site), term, "the leader's term");
        site.check();
    });
}

#[test]
fn a_node_starts_beside_odd_entries() {
    run(3, |site| async move {
        (0..sitestand::odd::KINDS).for_each(|kind| site.platform.write_odd(kind));
        site.platform.odd.machines.set(true);
        site.ready().await;
        complete(&site, 1..5).await;
        site.kill(0);
        site.start("two");
        site.ready().await;
        complete(&site, 5..9).await;
        site.check();
    });
}

/// Time for which an instance's own entry is odd: longer than any lease.
const ODD_TIME: Duration = Duration::from_secs(11);

#[test]
fn runs_go_on_while_the_entry_of_their_instance_is_odd() {
    run(1, |site| async move {
        site.ready().await;
        let instance = Rc::clone(&site.platform.instances[0]);
        instance.task_duration.set(ODD_TIME);
        let step = json!([{ "count": 3, "cpu": 500, "memMb": 10, "estimateMs": 11_000 }]);
        let body = json!({ "spec": "ladoo", "phases": step });
        assert_eq!(site.submit(0, &name(1), &body).await.status, 200);
        assert_eq!(site.submit(0, &name(2), &long_running(1)).await.status, 200);
        site.until(async || site.platform.monitor.borrow().starts == 4).await;
        instance.odd_entry.set(true);
        // Read by the leader.
        Timer::after(Duration::from_secs(1)).await;
        // No instance is left for new work.
        assert_eq!(site.submit(0, &name(3), &body).await.status, 503);
        site.until_state(0, &name(1), "completed").await;
        assert_eq!(site.platform.monitor.borrow().starts, 4, "starts while the entry is odd");
        assert_eq!(site.state(0, &name(2)).await, "running");
        instance.odd_entry.set(false);
        instance.task_duration.set(Duration::from_millis(100));
        site.until(async || site.submit(0, &name(4), &body).await.status == 200).await;
        site.until_state(0, &name(4), "completed").await;
        assert_eq!(site.platform.monitor.borrow().starts, 7);
        site.check();
    });
}

#[test]
fn maintenance_goes_on_beside_odd_machines() {
    run(2, |site| async move {
        site.ready().await;
        site.platform.odd.machines.set(true);
        let hosts: Vec<String> =
            site.platform.instances.iter().map(|it| sitestand::Platform::host(it)).collect();
        site.platform.begin_wave(1, &hosts, 1, Duration::from_secs(20));
        site.until(async || site.platform.machines.maintenances.get() == 2).await;
        site.check();
    });
}
