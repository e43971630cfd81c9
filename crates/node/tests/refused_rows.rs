//! A store that refuses a row for good, on a node that runs.

mod site;

use std::time::Duration;

use async_io::Timer;
use http::Request;
use site::Site;
use site::job;
use site::long_running;
use site::name;
use site::run;

async fn complete(site: &Site, jobs: std::ops::Range<u64>) {
    for number in jobs.clone() {
        site.until(async || site.submit(0, &name(number), &job(4)).await.status == 200).await;
    }
    for number in jobs {
        site.until_state(0, &name(number), "completed").await;
    }
}

/// Guards against one row that keeps the changes of all other jobs from the store.
#[test]
fn a_job_whose_row_is_refused_holds_up_no_other() {
    run(2, |site| async move {
        site.ready().await;
        for number in 1..3 {
            assert_eq!(site.submit(0, &name(number), &long_running(2)).await.status, 200);
        }
        site.until(async || site.platform.monitor.borrow().starts == 4).await;
        site.platform.store.refused_key.replace(name(1));
        // Its row changes.
        assert!(site.platform.instances.iter().any(|instance| instance.fail_long_running()));
        complete(&site, 10..20).await;
        let cancel = Request::new("DELETE", format!("/oven/{}", name(2)));
        assert_eq!(site.call(0, cancel).await.status, 200);
        site.platform.store.refused_key.take();
        // The job that was set aside is stored again.
        let cancel = Request::new("DELETE", format!("/oven/{}", name(1)));
        site.until(async || site.call(0, cancel.clone()).await.status == 200).await;
        site.until_state(0, &name(1), "cancelled").await;
        site.check();
    });
}

/// Guards against a caller who waits until its deadline for a job that is never stored.
#[test]
fn a_new_job_whose_row_is_refused_is_rejected_at_once() {
    run(2, |site| async move {
        site.ready().await;
        site.platform.store.refused_key.replace(name(1));
        let request = Request::new("POST", format!("/oven/{}", name(1)));
        let request = request.with_header("x-deadline-ms", "8000").with_body(job(4).to_string());
        let began = node::clock::now();
        assert_eq!(site.call(0, request).await.status, 503);
        let took = node::clock::now().since(began);
        assert!(took < Duration::from_secs(2), "{took:?}");
        complete(&site, 10..13).await;
        Timer::after(Duration::from_millis(300)).await;
        assert_eq!(site.state(0, &name(1)).await, "410");
        site.check();
    });
}
