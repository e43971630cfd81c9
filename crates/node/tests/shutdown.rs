//! What callers get from a node that was told to stop.

mod site;

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use site::job;
use site::name;

/// Interval at which a leader with nothing to store renews its row.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(350);

#[test]
fn requests_are_answered_before_a_stopping_node_ends() {
    site::run(1, |site| async move {
        site.ready().await;
        site.start("two");
        site.ready().await;
        // Slow enough for a request to be under way at any moment.
        site.platform.store.transaction_latency.set(Duration::from_millis(600));
        let node = Rc::clone(&site.nodes.borrow()[1].node);
        let calling = async {
            for number in 0.. {
                let status = site.submit(1, &name(number), &job(1)).await.status;
                assert_ne!(status, 0, "job {number}");
            }
        };
        node::signal::stop(&node).or(calling).await;
        assert_eq!(node.requests.get(), 0, "requests under way at its end");
    });
}

/// A leader that stepped down leaves a row that says so. While it only renewed its row, it gave up without.
#[test]
fn a_leader_that_is_stopped_while_it_renews_its_row_hands_over() {
    site::run(1, |site| async move {
        site.ready().await;
        let latency = Duration::from_millis(150);
        site.platform.store.transaction_latency.set(latency);
        let row = || site.platform.store.get("sail_office", "main", "holder").expect("the row");
        let written = row()["count"].clone();
        site.until(async || row()["count"] != written).await;
        // The next renewal is under way soon after the interval between two of them.
        Timer::after(RENEWAL_INTERVAL + latency / 2).await;
        let node = Rc::clone(&site.nodes.borrow()[0].node);
        node::signal::stop(&node).await;
        assert_eq!(row()["left"], true, "{}", row());
    });
}

/// The signal to stop comes after a node has sent its campaign, and before it learns that it is the leader.
#[test]
fn a_leader_that_is_stopped_during_its_campaign_hands_over() {
    site::run(1, |site| async move {
        site.ready().await;
        site.start("two");
        site.ready().await;
        let store = &site.platform.store;
        let row = || store.get("sail_office", "main", "holder").expect("the row");
        store.transaction_latency.set(Duration::from_millis(300));
        site.kill(0);
        let before = store.transactions.get();
        site.until(async || store.transactions.get() > before).await;
        assert_eq!(row()["epoch"], 1, "the campaign is under way");
        let node = Rc::clone(&site.nodes.borrow()[0].node);
        node::signal::stop(&node).await;
        assert_eq!(row()["epoch"], 2, "the campaign was won");
        assert_eq!(row()["left"], true, "{}", row());
    });
}
