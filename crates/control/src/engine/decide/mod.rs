//! Carries out what the held duties want.

mod propose;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use fleet::decision;
use fleet::decision::Decision;
use fleet::job;
use fleet::time::Time;

use super::Engine;
use super::Environment;
use super::Outcome;
use super::State;
use super::commit::Batch;
use crate::duty::Duty;
use crate::reports::Received;

/// Transactions of one step.
const MAX_TRANSACTIONS: usize = 8;

/// Decisions that one transaction carries out at most.
pub(super) const MAX_BATCH: usize = 32;

/// One decision, the duty that it rests on and the worker's report that called for it, if one did.
#[derive(Clone, Debug)]
pub(super) struct Proposal {
    pub(super) duty: Duty,
    pub(super) decision: Decision,
    pub(super) report: Option<String>,
}

/// What one step did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// Decisions that took effect.
    pub executed: usize,
    /// Instances whose workers are to be [instructed](Engine::instruct), and whether their leases
    /// are to be renewed.
    pub instruct: BTreeMap<String, bool>,
}

impl<P: Environment> Engine<P> {
    /// Carries out what the held duties want.
    ///
    /// While the table's changes are not read, nothing new is decided.
    pub async fn decide(&self, now: Time) -> Round {
        let (wanted, mut reports) = {
            let mut state = self.state();
            if !state.may_decide(now) {
                state.facts.clear();
                state.reports.take_pending();
                return Round::default();
            }
            state.proposals(now, self.row_time(now))
        };
        let mut decided = Round::default();
        let mut queue = VecDeque::from(wanted);
        for _ in 0..MAX_TRANSACTIONS {
            let Some(first) = queue.front() else { break };
            let duty = first.duty.clone();
            let Batch { decisions, outcome, refused } =
                self.execute_batch(&duty, &mut queue, now).await;
            for wanted in &decisions {
                log(&self.state(), wanted, &outcome);
            }
            drop_reports(&mut reports, &refused);
            if outcome == Outcome::Done {
                decided.executed += decisions.len();
                let told =
                    decisions.iter().filter_map(|wanted| self.state().instance_to_instruct(wanted));
                decided.instruct.extend(told.map(|name| (name, false)));
            } else {
                drop_reports(&mut reports, &decisions);
            }
            if matches!(outcome, Outcome::Unavailable(_) | Outcome::Unknown(_)) {
                break;
            }
        }
        drop_reports(&mut reports, queue.make_contiguous());
        let mut state = self.state();
        for (name, fresh) in reports {
            state.reports.mark_processed(&name, fresh);
            decided.instruct.insert(name, true);
        }
        decided
    }
}

impl State {
    /// The instance whose worker is to be told of a decision that took effect.
    fn instance_to_instruct(&mut self, wanted: &Proposal) -> Option<String> {
        let Decision::Job(decision) = &wanted.decision else { return None };
        let job = match decision {
            job::Decision::Start { job, .. }
            | job::Decision::Throttle { job, .. }
            | job::Decision::Checkpoint { job, .. }
            | job::Decision::Stop { job, .. }
            | job::Decision::Cancel { job } => *job,
            _ => return None,
        };
        let job = self.world.jobs.get(job)?;
        let attempt = job.state.placed()?;
        if matches!(decision, job::Decision::Start { .. }) {
            self.reports.track_start(&job.name, attempt.number);
        }
        self.world.instances.get(attempt.instance).map(|instance| instance.name.clone())
    }

    /// The pool whose duty a decision about a job rests on.
    pub(super) fn pool_of_job(&self, decision: &job::Decision) -> Option<fleet::key::Pool> {
        use job::Decision as Job;
        let job = match decision {
            Job::Submit(job) => return Some(job.pool),
            Job::Quarantine { instance, .. }
            | Job::Probation { instance }
            | Job::Trust { instance } => {
                return self.world.instances.get(*instance).map(|instance| instance.pool);
            }
            Job::Start { job, .. }
            | Job::Resize { job, .. }
            | Job::Throttle { job, .. }
            | Job::Checkpoint { job, .. }
            | Job::Stop { job, .. }
            | Job::Requeue { job, .. }
            | Job::Finish { job, .. }
            | Job::Park { job, .. }
            | Job::Lost { job, .. }
            | Job::Found { job, .. }
            | Job::Ask { job, .. }
            | Job::Cancel { job }
            | Job::Resolve { job, .. }
            | Job::Forget { job } => *job,
        };
        self.world.jobs.get(job).map(|job| job.pool)
    }
}

/// A report one of whose calls is not recorded gives no right to renew a lease.
fn drop_reports(reports: &mut BTreeMap<String, Received>, failed: &[Proposal]) {
    let names: BTreeSet<_> = failed.iter().filter_map(|wanted| wanted.report.as_ref()).collect();
    reports.retain(|name, _| !names.contains(name));
}

fn log(state: &State, wanted: &Proposal, outcome: &Outcome) {
    let Proposal { duty, decision, .. } = wanted;
    let what = decision::line(&state.world, decision);
    tracing::info!(event = "decision", %duty, what, ?outcome);
}
