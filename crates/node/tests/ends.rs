//! Instances that have ended more runs than one of their answers lists.

mod site;

use serde_json::json;

/// Their tasks are more than two answers list.
const JOBS: u64 = 12;

/// Guards against ends that are never taken note of, since no heartbeat asks for the rest of them.
#[test]
fn all_ends_are_taken_note_of_after_the_last_task() {
    site::run(1, |site| async move {
        site.ready().await;
        let step = json!({ "count": 100, "cpu": 5, "memMb": 1, "estimateMs": 100 });
        let body = json!({ "spec": "ladoo", "phases": [step] });
        for number in 1..=JOBS {
            let job = site::name(number);
            site.until(async || site.submit(0, &job, &body).await.status == 200).await;
        }
        for number in 1..=JOBS {
            site.until_state(0, &site::name(number), "completed").await;
        }
        let instance = &site.platform.instances[0];
        site.until(async || instance.unforgotten_ends() == 0).await;
        site.check();
    });
}
