//! What a leader may say that does not know yet that another node has replaced it.

mod site;

use std::time::Duration;

use async_io::Timer;
use cases::cases;
use futures_lite::future::zip;
use http::Request;
use node::rows;
use site::long_running;
use site::name;

cases! {
    a_paused_leader_does_not_deny_a_job_of_the_next_one;
    state: "GET",
    cancel: "DELETE",
}

fn a_paused_leader_does_not_deny_a_job_of_the_next_one(method: &'static str) {
    site::run(2, |site| async move {
        site.ready().await;
        site.start("two");
        site.ready().await;
        let leader = || {
            let row = site.platform.store.get(rows::LEADERS, rows::PARTITION, rows::LEADER);
            row.and_then(|row| row["node"].as_str().map(str::to_owned))
        };
        assert_eq!(leader().as_deref(), Some("one"));
        site.pause(0, true);
        site.until(async || leader().as_deref() == Some("two")).await;
        site.until(async || site.submit(1, &name(1), &long_running(1)).await.status == 200).await;
        // The paused leader learns of the next one only from the store.
        site.platform.store.delay.set(Duration::from_millis(500));
        let request = Request::new(method, format!("/oven/{}", name(1)));
        let resuming = async {
            Timer::after(Duration::from_millis(50)).await;
            site.pause(0, false);
        };
        let (answer, ()) = zip(site.call(0, request), resuming).await;
        assert_ne!(answer.status, 410, "the next leader has accepted the job");
    });
}

#[test]
fn a_leader_that_can_write_says_that_a_job_is_not_there() {
    site::run(1, |site| async move {
        site.ready().await;
        site.until_state(0, &name(1), "410").await;
        site.platform.store.down.set(true);
        site.until_state(0, &name(1), "503").await;
        site.platform.store.down.set(false);
        site.until_state(0, &name(1), "410").await;
    });
}
