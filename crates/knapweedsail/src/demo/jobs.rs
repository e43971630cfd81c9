//! Jobs submitted while the site runs, and what the workers' ledgers say of them.

use std::collections::BTreeMap;
use std::time::Duration;

use async_io::Timer;
use control::act;
use control::act::Stamp;
use fleet::config::Priority;

use super::Report;
use super::Site;

/// Jobs submitted of each kind.
const EACH: u32 = 10;
/// Pause between two submissions.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for one entry's answer: one that was killed never gives any.
const ASK: Duration = Duration::from_secs(10);
/// Longest wait for jobs to end once the load is over.
const END: Duration = Duration::from_secs(15);

/// A job that was accepted.
#[derive(Clone, Debug)]
pub(super) struct Submitted {
    name: String,
    idempotent: bool,
    urgent: bool,
    /// From the first try to submit it to the first look at which it was placed.
    started: Option<Duration>,
}

/// Submits jobs of every kind, follows them, and returns them once they are over.
pub(super) async fn run(site: Site) -> Vec<Submitted> {
    let mut submitted = Vec::new();
    for number in 0..EACH {
        for (organisation, spec) in &site.config().organisations {
            let Some(team) = spec.teams.keys().next() else { continue };
            for (kind, job) in &spec.jobs {
                let name = format!("{organisation}-{kind}-{number}");
                let wanted = act::Submission {
                    name: name.clone(),
                    organisation: organisation.clone(),
                    team: team.clone(),
                    kind: kind.clone(),
                    input: String::new(),
                };
                if let Some(started) = submit(&site, wanted).await {
                    let urgent = job.priority == Priority::Urgent;
                    let idempotent = job.idempotent;
                    submitted.push(Submitted { name, idempotent, urgent, started });
                }
            }
        }
    }
    submitted
}

/// Submits one job and waits a little for its place. Nothing if it was not accepted.
async fn submit(site: &Site, wanted: act::Submission) -> Option<Option<Duration>> {
    let start = control::clock::instant();
    let host = site.hosts().into_iter().next()?;
    let control = host.daemon().control();
    let stamp = Stamp { operation: wanted.name.clone(), author: "demo".to_owned() };
    let name = wanted.name.clone();
    match super::within(ASK, control.submit(stamp, wanted)).await {
        Some(Ok(_)) => {}
        refused => {
            tracing::warn!(event = "job-refused", job = name, ?refused);
            return None;
        }
    }
    for _ in 0..10 {
        Timer::after(PAUSE).await;
        let explained = super::within(ASK, control.explain(name.clone())).await;
        if explained.is_some_and(|told| told.is_ok_and(|told| told.job.attempt > 0)) {
            return Some(Some(start.elapsed()));
        }
    }
    Some(None)
}

/// Waits until all are over, then counts and holds them against the workers' ledgers.
pub(super) async fn check(site: &Site, submitted: &[Submitted], report: &mut Report) {
    let start = control::clock::instant();
    let mut states = states(site).await;
    while start.elapsed() < END && submitted.iter().any(|job| is_open(&states, job)) {
        Timer::after(PAUSE).await;
        states = self::states(site).await;
    }
    let instances = site.all_instances();
    let workers = instances.iter().filter_map(|each| each.upstream.worker());
    let ledgers: Vec<_> = workers.map(|worker| worker.ledger()).collect();
    report.jobs = submitted.len();
    for job in submitted {
        let runs: u32 = ledgers.iter().map(|ledger| ledger.afresh(&job.name)).sum();
        if runs > 1 && !job.idempotent {
            report.broken.push(format!("job {}: ran {runs} times from its beginning", job.name));
        }
        let state = states.get(&job.name).cloned().unwrap_or_else(|| "forgotten".to_owned());
        *report.job_states.entry(state).or_default() += 1;
        let started = job.started.map_or(0, |started| started.as_millis() as u64);
        if job.urgent {
            report.urgent_start_ms = report.urgent_start_ms.max(started);
        }
    }
}

async fn states(site: &Site) -> BTreeMap<String, String> {
    let Some(host) = site.hosts().into_iter().next() else { return BTreeMap::new() };
    let jobs = super::within(ASK, host.daemon().control().jobs(String::new())).await;
    let jobs = jobs.and_then(Result::ok).unwrap_or_default();
    jobs.into_iter().map(|job| (job.name, job.state)).collect()
}

fn is_open(states: &BTreeMap<String, String>, job: &Submitted) -> bool {
    let state = states.get(&job.name).map(String::as_str);
    matches!(state, Some("queued" | "running" | "unknown"))
}
