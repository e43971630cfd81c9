//! An instance shrinks while commands to it wait to be sent.

mod site;

use std::time::Duration;

use async_io::Timer;
use serde_json::json;
use site::name;
use site::run;

/// Of 16 starts, three are under way at a time, for half a second each. Those that the instance has no
/// room for once it has shrunk are not sent.
#[test]
fn starts_that_wait_to_be_sent_are_taken_back_when_their_instance_shrinks() {
    run(1, |site| async move {
        site.ready().await;
        let instance = &site.platform.instances[0];
        instance.checks_admission.set(false);
        instance.start_latency.set(Duration::from_millis(500));
        let step = json!({ "count": 16, "cpu": 500, "memMb": 100, "estimateMs": 100, "longRunning": true });
        let job = json!({ "spec": "barfi", "phases": [step] });
        assert_eq!(site.submit(0, &name(1), &job).await.status, 200);
        site.until(async || instance.runs() >= 3).await;
        instance.cpu.set(1_500);
        Timer::after(Duration::from_secs(4)).await;
        let runs = instance.runs();
        assert!(runs <= 12, "{runs} of 16 tasks run although three fit");
        instance.start_latency.set(Duration::ZERO);
        instance.cpu.set(8_000);
        site.until(async || instance.runs() == 16).await;
        site.check();
    });
}
