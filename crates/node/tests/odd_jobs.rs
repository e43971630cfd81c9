//! Odd jobs of callers, on a node that runs.

mod site;

use std::time::Duration;

use cases::cases;
use http::Request;
use serde_json::Value;
use serde_json::json;
use site::Site;
use site::job;
use site::name;
use site::run;

async fn complete(site: &Site, jobs: std::ops::Range<u64>) {
    for number in jobs.clone() {
        assert_eq!(site.submit(0, &name(number), &job(4)).await.status, 200, "job {number}");
    }
    for number in jobs {
        site.until_state(0, &name(number), "completed").await;
    }
}

/// The largest job that is accepted leaves all others their writes.
#[test]
fn the_largest_job_fits_into_rows() {
    run(2, |site| async move {
        site.ready().await;
        // All of its tasks run at once.
        let long = Duration::from_secs(8);
        site.platform.instances.iter().for_each(|instance| instance.task_duration.set(long));
        let steps = json!([{ "count": 2_000, "cpu": 1, "memMb": 1, "estimateMs": 100 }]);
        let body = json!({ "spec": "x", "phases": steps });
        // A new leader refuses more tasks than it can start in time.
        site.until(async || site.submit(0, &name(1), &body).await.status == 200).await;
        site.until(async || site.platform.monitor.borrow().starts == 2_000).await;
        let short = Duration::from_millis(100);
        site.platform.instances.iter().for_each(|instance| instance.task_duration.set(short));
        complete(&site, 2..4).await;
        site.until_state(0, &name(1), "completed").await;
        assert_eq!(site.platform.store.refused_sizes.get(), 0, "writes refused for their size");
        site.check();
    });
}

fn step(field: &str, value: Value) -> Value {
    let mut step = json!({ "count": 1, "cpu": 1_000, "memMb": 100, "estimateMs": 100 });
    step[field] = value;
    json!({ "spec": "x", "phases": [step] })
}

fn repeated(field: &str, value: Value) -> Value {
    let mut body = step("count", json!(1));
    body["repeats"] = json!(2_000);
    body[field] = value;
    body
}

cases! {
    is_refused_beside_good_jobs;
    a_job_whose_interval_is_too_large: repeated("intervalMs", json!(1e300)),
    a_job_that_is_due_too_late: repeated("firstRunMs", json!(1e300)),
    a_job_whose_estimate_is_too_large: step("estimateMs", json!(1e300)),
    a_job_that_needs_too_much_cpu: step("cpu", json!(u64::MAX)),
    a_job_whose_label_does_not_fit_into_a_row: step("requires", json!("x".repeat(100_000))),
    a_job_whose_image_does_not_fit_into_a_row: step("image", json!("\u{1}".repeat(20_000))),
    a_job_whose_order_does_not_fit_into_a_row: json!({
        "spec": "x", "phases": [{ "count": 1 }, { "count": 1, "after": vec![0; 60_000] }],
    }),
}

fn is_refused_beside_good_jobs(body: Value) {
    run(1, |site| async move {
        site.ready().await;
        let request = Request::new("POST", format!("/oven/{}", name(1)));
        let request = request.with_header("x-deadline-ms", "2000").with_body(body.to_string());
        assert_eq!(site.call(0, request).await.status, 400);
        complete(&site, 2..4).await;
        site.check();
    });
}
