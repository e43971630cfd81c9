//! A job that can never be done waits for its time while the operator replaces its queue's route by one
//! with the same host, prefix and service. Its task starts without end.

use serde_json::json;

use crate::stage::MAX_ATTEMPTS;
use crate::stage::Stage;
use crate::stage::Verdict;
use crate::stage::pause;
use crate::stage::unix_ms;

/// Services and their numbers of instances.
pub const SERVICES: &[(&str, usize)] = &[("kitchen", 4), ("counter", 2)];

const SERVICE: &str = "kitchen";

const JOB: &str = "00000000000000b2";

/// Number of jobs of the same kind that can be done, beside the one that can't: a twentieth is impossible.
const OTHERS: u64 = 19;

/// Time from the submission to the due time of the job's only occurrence.
const DUE_MS: u64 = 6_000;

/// Time for which the scene goes on after that.
const WATCH_MS: u64 = 20_000;

/// Plays the scene.
pub async fn play(stage: &Stage) -> Result<Verdict, String> {
    stage.platform.monitor.borrow_mut().impossible.insert(JOB.to_owned());
    let step = json!({ "count": 1, "cpu": 500, "memMb": 64, "estimateMs": 500 });
    let body = json!({
        "spec": "close the ledger", "phases": [step],
        "repeats": 1, "firstRunMs": unix_ms() + DUE_MS, "intervalMs": 60_000,
    });
    stage.submit(SERVICE, JOB, &body).await?;
    for number in 1..=OTHERS {
        stage.submit(SERVICE, &format!("{:016x}", 0xd000 + number), &body).await?;
    }
    pause(1_000).await;
    let name = if stage.trouble { "kitchen-b" } else { SERVICE };
    stage.configure(9, &[(name, SERVICE), ("counter", "counter")], SERVICES);
    let mut shown = String::new();
    let mut starts = 0;
    // Number of starts by the time at which as many runs as allowed had failed and their ends were noted.
    let mut allowed = None;
    for poll in 0..(DUE_MS + WATCH_MS) / 100 {
        pause(100).await;
        let (now_starts, failures) = {
            let monitor = stage.platform.monitor.borrow();
            (monitor.starts_of(JOB), monitor.most_failures(JOB))
        };
        if now_starts != starts && (now_starts <= 8 || poll % 50 == 0) {
            starts = now_starts;
            stage.note(&format!("instances: {starts} starts so far, {failures} ended failed"));
        }
        let unnoted: usize = stage.platform.instances.iter().map(|it| it.unforgotten_ends()).sum();
        let noted = failures.saturating_sub(unnoted as u64);
        if noted >= MAX_ATTEMPTS && allowed.is_none() {
            allowed = Some(now_starts);
            stage.note(&format!("{now_starts} starts so far; {noted} ends as failed are noted"));
        }
        if poll % 5 == 0 {
            let state = stage.state(poll as usize / 5, SERVICE, JOB).await;
            if state != shown {
                stage.note(&format!("caller: GET /{SERVICE}/{JOB} -> {state}"));
                shown = state;
            }
        }
    }
    let (starts, failures) = {
        let monitor = stage.platform.monitor.borrow();
        (monitor.starts_of(JOB), monitor.most_failures(JOB))
    };
    stage.note(&format!(
        "at the end: {starts} starts, {failures} ended failed, {MAX_ATTEMPTS} attempts allowed; shown as {shown}"
    ));
    let done = (1..=OTHERS).map(|number| format!("{:016x}", 0xd000 + number));
    let done = done.filter(|job| stage.platform.monitor.borrow().is_done(job)).count();
    stage.note(&format!("{done} of the {OTHERS} other jobs are done"));
    if failures == 0 {
        return Err("the job never started".to_owned());
    }
    let broken = allowed.is_some_and(|allowed| starts > allowed);
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
