//! The log events and keys by which docs/OPERATIONS.md guides on-call engineers.

mod site;

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

use cases::cases;
use site::job;
use site::long_running;
use site::name;
use site::run;
use tracing_subscriber::layer::SubscriberExt;

/// Collects log lines.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no holder panics").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Lines {
    /// Whether one line contains all of these parts.
    fn contain(&self, parts: &[&str]) -> bool {
        let bytes = self.0.lock().expect("no holder panics").clone();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        text.lines().any(|line| parts.iter().all(|part| line.contains(part)))
    }

    fn check(&self, parts: &[&str]) {
        assert!(self.contain(parts), "no line contains {parts:?}");
    }
}

/// Runs a test and collects its log lines.
fn with_log(test: impl FnOnce(Lines)) {
    let lines = Lines::default();
    let writer = lines.clone();
    let layer = tracing_logfmt::builder().layer().with_writer(move || writer.clone());
    let subscriber = tracing_subscriber::registry().with(layer);
    tracing::subscriber::with_default(subscriber, || test(lines));
}

#[test]
fn a_refused_request_is_logged_with_the_store_outage() {
    with_log(|lines| {
        run(1, |site| async move {
            site.ready().await;
            site.platform.store.down.set(true);
            assert_eq!(site.submit(0, &name(1), &job(1)).await.status, 503);
            let id = format!("job={}", name(1));
            lines.check(&[
                "event=request",
                "ask=submit",
                &id,
                "status=503",
                "retry=",
                "took_ms=",
                "config=",
            ]);
            lines.check(&["event=refuse", &id, "reason=store"]);
            lines.check(&["event=dependency", "name=store-writes", "state=lost", "error="]);
            site.platform.store.down.set(false);
            site.until(async || lines.contain(&["name=store-writes", "state=regained"])).await;
        });
    });
}

#[test]
fn a_late_job_is_logged_with_the_instance_it_waited_for() {
    with_log(|lines| {
        run(1, |site| async move {
            site.ready().await;
            site.platform.instances[0].task_duration.set(std::time::Duration::from_millis(2_500));
            site.submit(0, &name(1), &job(8)).await;
            site.submit(0, &name(2), &job(1)).await;
            site.until_state(0, &name(2), "completed").await;
            let id = format!("job={}", name(2));
            lines.check(&["event=submit", &id, "queue=oven", "due_ms=", "tasks=", "config="]);
            let task = format!("task={}.0.0.0", name(2));
            lines.check(&[
                "event=waiting",
                "service=oven",
                "kind=short",
                "jobs=1",
                "tasks=1",
                &task,
                "run=0",
                "waited_ms=",
                "gate=none",
                "ahead=0",
                "open=0",
                "closed=no-room:1",
            ]);
            lines.check(&["event=pool", "service=oven", "open=", "suspended=0", "probation=0"]);
            lines.check(&[
                "event=place",
                &task,
                "run=1",
                "runner=i-oven-0",
                "waited_ms=",
                "slack_ms=",
                "used_cpu=",
                "looked_ms_ago=",
            ]);
            lines.check(&["event=start", &task, "outcome=Started", "took_ms="]);
            lines.check(&["event=end", &task, "how=done", "ran_ms="]);
            lines.check(&["event=job", &id, "state=completed", "took_ms=", "late_ms="]);
        });
    });
}

#[test]
fn a_lost_run_is_logged_with_its_instance() {
    with_log(|lines| {
        run(2, |site| async move {
            site.ready().await;
            site.submit(0, &name(1), &long_running(1)).await;
            site.until(async || site.platform.monitor.borrow().running(&name(1)) == 1).await;
            let index = usize::from(site.platform.instances[0].runs() == 0);
            let instance = format!("runner={}", site.platform.instances[index].id);
            site.platform.instances[index].restart();
            site.until(async || site.platform.monitor.borrow().running(&name(1)) == 1).await;
            lines.check(&["event=runner", "state=reborn", &instance, "tasks=1"]);
            let task = format!("task={}.0.0.0", name(1));
            site.until(async || lines.contain(&["event=place", &task, "run=2"])).await;
        });
    });
}

cases! {
    is_logged;
    the_start_of_a_term: &["event=election", "outcome=won", "reason=", "epoch=1"],
    the_restored_state: &["event=restore", "jobs=0", "active=0"],
    a_new_configuration: &["event=config", "version=1", "old=0", "source=store"],
    a_new_instance: &["event=runner", "state=new", "runner=i-oven-0", "service=oven"],
    a_synced_instance: &["event=runner", "state=aligned", "born="],
}

fn is_logged(parts: &[&str]) {
    with_log(|lines| {
        run(1, |site| async move {
            site.ready().await;
            site.until(async || lines.contain(parts)).await;
        });
    });
}
