//! The store turns the leader away, which starts tasks without a record; the next leader is told to stop
//! while it restores the jobs from a slow store. The one after it starts the tasks once more.

use std::time::Duration;

use serde_json::json;

use crate::stage::Stage;
use crate::stage::Verdict;
use crate::stage::now;
use crate::stage::pause;
use crate::stage::unix_ms;

/// Services and their numbers of instances.
pub const SERVICES: &[(&str, usize)] = &[("kitchen", 8)];

const SERVICE: &str = "kitchen";

const JOB: &str = "00000000000000c3";

/// Duration of a task.
const TASK_MS: u64 = 20_000;

/// Number of tasks of the job.
const COUNT: u64 = 4;

/// Time from the submission to the due time of the job's only occurrence.
const DUE_MS: u64 = 5_000;

/// Time from the submission until the store turns the leader away.
const TURNED_AWAY_AT_MS: u64 = 4_300;

/// Time for which it does.
const TURNED_AWAY_MS: u64 = 7_000;

/// Latency of the slow store: fifty times the usual 4 ms.
const SLOW_MS: u64 = 200;

/// Time for which the store is slow.
const SLOW_FOR_MS: u64 = 4_700;

/// Time for which an instance is cut off.
const CUT_MS: u64 = 5_500;

/// Time from the first write of the next leader's term until it is told to stop.
const STOP_AFTER_MS: u64 = 30;

/// Time for which the scene goes on after the submission.
const WATCH_MS: u64 = 32_000;

/// Plays the scene.
pub async fn play(stage: &Stage) -> Result<Verdict, String> {
    let platform = &stage.platform;
    let last = |ms| Duration::from_millis(ms);
    platform.instances.iter().for_each(|it| it.task_duration.set(last(TASK_MS)));
    let step = json!({ "count": COUNT, "cpu": 1_500, "memMb": 64, "estimateMs": TASK_MS });
    let body = json!({
        "spec": "close the ledger", "phases": [step],
        "repeats": 1, "firstRunMs": unix_ms() + DUE_MS, "intervalMs": 60_000,
    });
    stage.submit(SERVICE, JOB, &body).await?;
    let began = now();
    let elapsed_ms = || now().since(began).as_millis() as u64;
    let (first, epoch) = stage.leader().ok_or("there is no leader")?;
    stage.note(&format!("{first} is the leader, term {epoch}"));
    let mut turned_away = false;
    let mut slow_until = None;
    let mut cut: Option<(usize, u64)> = None;
    let mut second: Option<(String, u64)> = None;
    let mut told = false;
    let mut starts = 0;
    while elapsed_ms() < WATCH_MS {
        pause(5).await;
        let at = elapsed_ms();
        let violations = platform.monitor.borrow().violations.clone();
        if let Some(violation) = violations.first() {
            stage.note(&format!("instances: {violation}"));
            let twice = violation.contains(" beside run ");
            return if twice { Ok(Verdict::Broken) } else { Err(violation.clone()) };
        }
        let started = platform.monitor.borrow().starts_of(JOB);
        if started != starts {
            starts = started;
            let runs: Vec<usize> = platform.instances.iter().map(|it| it.runs()).collect();
            stage.note(&format!("instances: {starts} starts so far; runs {runs:?}"));
        }
        if stage.trouble {
            let away = (TURNED_AWAY_AT_MS..TURNED_AWAY_AT_MS + TURNED_AWAY_MS).contains(&at);
            if away != turned_away {
                turned_away = away;
                stage.turn_away(&first, away);
                stage.note(&format!("the store turns {first} away: {away}"));
            }
            if turned_away && cut.is_none() && starts == COUNT {
                let busiest =
                    (0..platform.instances.len()).max_by_key(|&it| platform.instances[it].runs());
                let index = busiest.ok_or("no instance")?;
                platform.instances[index].partitioned.set(true);
                cut = Some((index, at));
                slow_until = Some(at + SLOW_FOR_MS);
                platform.store.delay.set(last(SLOW_MS));
                stage.note(&format!(
                    "{} is cut off and runs on, with {} runs; the store is slow",
                    platform.instances[index].id,
                    platform.instances[index].runs()
                ));
            }
            if slow_until.is_some_and(|until| at >= until) {
                slow_until = None;
                platform.store.delay.set(Duration::ZERO);
                stage.note("the store is as usual again");
            }
            if let Some((index, _)) = cut.filter(|&(_, since)| at >= since + CUT_MS) {
                if platform.instances[index].partitioned.replace(false) {
                    stage.note(&format!("{} is connected again", platform.instances[index].id));
                }
            }
        }
        match (stage.leader(), &second) {
            (Some((name, newer)), None) if newer > epoch => {
                stage.note(&format!("{name} is the leader, term {newer}"));
                second = Some((name, at));
            }
            (Some((name, newer)), Some((known, _)))
                if name != *known && newer > epoch + 1 && told =>
            {
                stage.note(&format!("{name} is the leader, term {newer}"));
                second = Some((name, at));
            }
            _ => {}
        }
        if let Some((name, since)) = &second
            && stage.trouble
            && !told
            && at >= since + STOP_AFTER_MS
        {
            told = true;
            stage.terminate(name)?;
            stage.note(&format!("SIGTERM to {name}"));
        }
    }
    let state = stage.state(0, SERVICE, JOB).await;
    stage.note(&format!("caller: GET /{SERVICE}/{JOB} -> {state}; {starts} starts"));
    if stage.trouble && (cut.is_none() || !told) {
        return Err("the disruption was not laid on".to_owned());
    }
    Ok(Verdict::Held)
}
