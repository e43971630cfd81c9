//! A planned stop under load aborts no request; after a pause nothing is sent by an old view.

mod site;

use std::time::Duration;

use async_io::Timer;
use entry::pause::Detector;
use fleet::time::Time;
use site::Plan;
use site::Site;
use site::outcome;
use site::request;
use standin::caller::Balancer;
use standin::caller::Callers;
use standin::caller::Phase;
use standin::caller::Settings;
use standin::caller::Told;

#[test]
fn a_planned_stop_under_load_aborts_no_request() {
    site::run(|executor| async move {
        let mut plan = Plan { upstreams: 6, ..Plan::default() };
        plan.upstream.work_ms = 20;
        let site = Site::new(&executor, plan);
        let other = site.another("entry-2");
        let balancer = Balancer::new([site.entry.address(), other.address()]);
        let settings = Settings {
            mean: 400.0,
            phases: vec![Phase::mean(Duration::from_millis(2_000))],
            target: "/granite/book/seats".to_owned(),
            ..Settings::default()
        };
        let callers = Callers::new(&executor, &balancer, settings);
        let load = executor.spawn(async move { callers.run().await });
        Timer::after(Duration::from_millis(500)).await;
        let stopping = site.entry.clone();
        let stop = executor.spawn(async move {
            stopping.stop(Duration::from_millis(600), Duration::from_secs(10)).await
        });
        site::until(|| !site.entry.is_ready()).await;
        // The balancer takes some time to notice.
        Timer::after(Duration::from_millis(200)).await;
        balancer.set([other.address()]);
        assert_eq!(stop.await.cut_off, 0);
        let report = load.await;
        assert!(report.told.len() > 500);
        assert_eq!(report.count(Told::Ran), report.told.len(), "{:?}", report.told);
        assert_eq!(report.broken_promises(&site.ledgers()), Vec::<String>::new());
    });
}

#[test]
fn a_stop_waits_for_requests_in_flight_and_counts_aborted_ones() {
    site::run(|executor| async move {
        let mut plan = Plan { upstreams: 1, ..Plan::default() };
        plan.upstream.work_ms = 300;
        let site = Site::new(&executor, plan);
        let entry = site.entry.clone();
        let sent = executor.spawn(async move { site::send(&entry, &request("a")).await });
        site::until(|| site.runs("a") == 1).await;
        let stopped = site.entry.stop(Duration::ZERO, Duration::from_secs(10)).await;
        assert_eq!(stopped.cut_off, 0);
        let answer = sent.await;
        assert_eq!(outcome(&answer), (200, "ran", ""));
        assert_eq!(answer.headers.get("connection"), Some("close"));

        let other = site.another("entry-2");
        let entry = other.clone();
        let cut = executor.spawn(async move {
            http::call(entry.address(), &request("b"), http::Limits::default(), site::TIMEOUT).await
        });
        site::until(|| site.total() == 2).await;
        assert_eq!(other.stop(Duration::ZERO, Duration::ZERO).await.cut_off, 1);
        assert!(cut.await.is_err());
    });
}

#[test]
fn after_a_pause_requests_wait_for_a_newer_view() {
    let at = Time::from_millis;
    let mut detector = Detector::new(at(0));
    assert!(!detector.check(at(900)));
    assert!(!detector.is_stale(at(900)));
    assert!(detector.check(at(5_000)));
    assert!(detector.is_stale(at(5_000)));
    detector.record_refresh();
    assert!(!detector.is_stale(at(5_001)));
    assert!(detector.check(at(9_000)));
    assert!(detector.is_stale(at(9_400)));
    assert!(!detector.is_stale(at(9_600)), "a partitioned entry goes on with the view it has");
}
