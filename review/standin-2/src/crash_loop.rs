//! One instance of a pool crashes four times under the same task, which does nothing wrong. The job is
//! shown as failed although none of its runs has ended so.

use serde_json::json;

use crate::stage::MAX_ATTEMPTS;
use crate::stage::Stage;
use crate::stage::Verdict;
use crate::stage::now;
use crate::stage::pause;

/// Services and their numbers of instances.
pub const SERVICES: &[(&str, usize)] = &[("kitchen", 8)];

const SERVICE: &str = "kitchen";

const JOB: &str = "00000000000000a1";

/// Number of instances of the pool, and of tasks of the job: one on each instance.
const COUNT: usize = 8;

/// Index of the instance that crashes.
const CRASHING: usize = 3;

/// Number of crashes.
const CRASHES: u32 = 4;

/// Time for which a run lasts until its instance crashes.
const RUN_MS: u64 = 3_500;

/// Duration of a task.
const TASK_S: u64 = 40;

/// Plays the scene.
pub async fn play(stage: &Stage) -> Result<Verdict, String> {
    let instances = &stage.platform.instances;
    for instance in &instances[..COUNT] {
        instance.task_duration.set(std::time::Duration::from_secs(TASK_S));
    }
    let step = json!({
        "count": COUNT, "cpu": 1_000, "memMb": 64, "estimateMs": TASK_S * 1_000, "antiAffinity": 1,
    });
    let body = json!({ "spec": "plan the kitchen's batches", "phases": [step] });
    stage.submit(SERVICE, JOB, &body).await?;
    let mut crashes = 0;
    let mut shown = String::new();
    // For how many polls of 100 ms the instance has had a run.
    let mut polls = 0;
    loop {
        pause(100).await;
        let crashing = &instances[CRASHING];
        polls = if crashing.runs() > 0 { polls + 1 } else { 0 };
        if stage.trouble && crashes < CRASHES && polls * 100 >= RUN_MS {
            crashes += 1;
            polls = 0;
            crashing.crash(now());
            stage.note(&format!("{} crashes (crash {crashes}), back in 3 s", crashing.id));
        }
        if polls % 5 != 0 {
            continue;
        }
        let state = stage.state(polls as usize, SERVICE, JOB).await;
        if state != shown {
            let runs: Vec<usize> = instances[..COUNT].iter().map(|it| it.runs()).collect();
            stage.note(&format!("caller: GET /{SERVICE}/{JOB} -> {state}; runs {runs:?}"));
            shown = state;
        }
        let failures = stage.platform.monitor.borrow().most_failures(JOB);
        match shown.as_str() {
            "failed" => {
                let starts = stage.platform.monitor.borrow().starts_of(JOB);
                stage.note(&format!(
                    "instances: {starts} starts; runs of one task that ended failed: {failures} at most, {MAX_ATTEMPTS} allowed"
                ));
                let cause = failures >= MAX_ATTEMPTS;
                return Ok(if cause { Verdict::Held } else { Verdict::Broken });
            }
            "completed" => return Ok(Verdict::Held),
            _ => {}
        }
    }
}
