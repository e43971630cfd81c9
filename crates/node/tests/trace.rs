//! The log fields that docs/OPERATIONS.md leads on-call engineers by.

mod site;

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

use cases::cases;
use site::job;
use site::lasting;
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
    /// Whether a line holds all of these parts.
    fn hold(&self, parts: &[&str]) -> bool {
        let bytes = self.0.lock().expect("no holder panics").clone();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        text.lines().any(|line| parts.iter().all(|part| line.contains(part)))
    }

    fn check(&self, parts: &[&str]) {
        assert!(self.hold(parts), "no line holds {parts:?}");
    }
}

/// Runs a test with its log lines collected.
fn logged(test: impl FnOnce(Lines)) {
    let lines = Lines::default();
    let writer = lines.clone();
    let layer = tracing_logfmt::builder().layer().with_writer(move || writer.clone());
    let subscriber = tracing_subscriber::registry().with(layer);
    tracing::subscriber::with_default(subscriber, || test(lines));
}

#[test]
fn a_request_refused_at_the_door_leads_to_the_store() {
    logged(|lines| {
        run(1, |site| async move {
            site.ready().await;
            site.world.rows.down.set(true);
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
            site.world.rows.down.set(false);
            site.until(async || lines.hold(&["name=store-writes", "state=regained"])).await;
        });
    });
}

#[test]
fn a_job_that_was_late_leads_to_what_it_waited_for() {
    logged(|lines| {
        run(1, |site| async move {
            site.ready().await;
            site.world.workers[0].takes.set(std::time::Duration::from_millis(2_500));
            site.submit(0, &name(1), &job(8)).await;
            site.submit(0, &name(2), &job(1)).await;
            site.until_state(0, &name(2), "completed").await;
            let id = format!("job={}", name(2));
            lines.check(&["event=submit", &id, "queue=oven", "due_ms=", "tasks=", "config="]);
            let task = format!("task={}.0.0.0", name(2));
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
fn work_that_ended_leads_to_its_instance() {
    logged(|lines| {
        run(2, |site| async move {
            site.ready().await;
            site.submit(0, &name(1), &lasting(1)).await;
            site.until(async || site.world.ledger.borrow().running(&name(1)) == 1).await;
            let place = usize::from(site.world.workers[0].runs() == 0);
            let runner = format!("runner={}", site.world.workers[place].id);
            site.world.workers[place].restart();
            site.until(async || site.world.ledger.borrow().running(&name(1)) == 1).await;
            lines.check(&["event=runner", "state=reborn", &runner, "tasks=1"]);
            let task = format!("task={}.0.0.0", name(1));
            site.until(async || lines.hold(&["event=place", &task, "run=2"])).await;
        });
    });
}

cases! {
    is_told_once;
    the_start_of_an_office: &["event=election", "outcome=won", "reason=", "epoch=1"],
    what_was_taken_over: &["event=restore", "jobs=0", "active=0"],
    a_configuration: &["event=config", "version=1", "old=0", "source=store"],
    an_instance: &["event=runner", "state=new", "runner=i-oven-0", "service=oven"],
    an_instance_that_was_aligned: &["event=runner", "state=aligned", "born="],
}

fn is_told_once(parts: &[&str]) {
    logged(|lines| {
        run(1, |site| async move {
            site.ready().await;
            site.until(async || lines.hold(parts)).await;
        });
    });
}
