//! How the leader keeps the instance list up to date.

mod site;

use std::time::Duration;

use site::job;
use site::name;
use site::run;

/// Time for which the leader is watched.
const WATCHED: Duration = Duration::from_secs(3);

/// The list of a large site is long: the leader reads it in whole only as often as half of the time
/// limit for a draining instance asks for, and follows its changes in between.
#[test]
fn the_instance_list_is_read_in_whole_rarely() {
    run(2, |site| async move {
        site.ready().await;
        let before = site.platform.store.reads("servers");
        let began = node::clock::now();
        async_io::Timer::after(WATCHED).await;
        let reads = site.platform.store.reads("servers") - before;
        // The time limit is 2 s unless the settings say otherwise.
        let most = node::clock::now().since(began).as_secs() + 2;
        assert!(reads <= most, "{reads} full reads, {most} at most");
        assert_eq!(site.submit(0, &name(1), &job(5)).await.status, 200);
        site.until_state(0, &name(1), "completed").await;
        site.check();
    });
}

/// An entry expires and comes back, and the store drops its history in between: the change feed
/// can't show that the entry is back.
#[test]
fn an_instance_that_comes_back_while_history_is_dropped_is_used() {
    run(1, |site| async move {
        site.ready().await;
        site.platform.store.delete("servers", "i-oven-0");
        site.platform.store.drop_history();
        assert_eq!(site.submit(0, &name(1), &job(3)).await.status, 200);
        site.until_state(0, &name(1), "completed").await;
        site.check();
    });
}
