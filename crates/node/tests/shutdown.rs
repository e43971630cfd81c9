//! What callers get from a node that was told to stop.

mod site;

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use site::job;
use site::name;

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
