//! Plans and commits the decisions of the held duties.

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

/// Transactions committed in one step.
const MAX_TRANSACTIONS: usize = 8;

/// Decisions in one transaction.
pub(super) const MAX_BATCH: usize = 32;

/// A decision to commit under a duty.
#[derive(Clone, Debug)]
pub(super) struct Proposal {
    /// The duty whose lease the transaction is conditional on.
    pub(super) duty: Duty,
    pub(super) decision: Decision,
    /// Name of the instance whose report called for the decision, if one did.
    pub(super) report: Option<String>,
}

/// The result of one decide step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// Number of decisions committed.
    pub executed: usize,
    /// Names of the instances to [instruct](Engine::instruct), and whether to renew the leases of
    /// their attempts.
    pub instruct: BTreeMap<String, bool>,
}

impl<E: Environment> Engine<E> {
    /// Plans the decisions of the held duties and commits them in batches.
    ///
    /// Decides nothing while this entry does not keep up with the table's changes, and drops the
    /// facts and reports collected so far.
    pub async fn decide(&self, now: Time) -> Round {
        let (proposals, mut reports) = {
            let mut state = self.state();
            if !state.may_decide(now) {
                state.facts.clear();
                state.reports.take_pending();
                return Round::default();
            }
            state.proposals(now, self.row_time(now))
        };
        let mut round = Round::default();
        let mut queue = VecDeque::from(proposals);
        for _ in 0..MAX_TRANSACTIONS {
            let Some(first) = queue.front() else { break };
            let duty = first.duty.clone();
            let Batch { decisions, outcome, refused } =
                self.execute_batch(&duty, &mut queue, now).await;
            for proposal in &decisions {
                log(&self.state(), proposal, &outcome);
            }
            drop_reports(&mut reports, &refused);
            if outcome == Outcome::Done {
                round.executed += decisions.len();
                let instances = decisions
                    .iter()
                    .filter_map(|proposal| self.state().instance_to_instruct(proposal));
                round.instruct.extend(instances.map(|name| (name, false)));
            } else {
                drop_reports(&mut reports, &decisions);
            }
            if matches!(outcome, Outcome::Unavailable(_) | Outcome::Unknown(_)) {
                break;
            }
        }
        drop_reports(&mut reports, queue.make_contiguous());
        let mut state = self.state();
        for (name, report) in reports {
            state.reports.mark_processed(&name, report);
            round.instruct.insert(name, true);
        }
        round
    }
}

impl State {
    /// Returns the instance to instruct about a committed decision, if any. Tracks the start if the
    /// decision starts an attempt.
    fn instance_to_instruct(&mut self, proposal: &Proposal) -> Option<String> {
        let Decision::Job(decision) = &proposal.decision else { return None };
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

    /// The pool whose duty covers a decision about a job.
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

/// Drops the reports that called for one of the `failed` proposals: a lease may be renewed only if
/// everything that the report called for is committed.
fn drop_reports(reports: &mut BTreeMap<String, Received>, failed: &[Proposal]) {
    let names: BTreeSet<_> =
        failed.iter().filter_map(|proposal| proposal.report.as_ref()).collect();
    reports.retain(|name, _| !names.contains(name));
}

fn log(state: &State, proposal: &Proposal, outcome: &Outcome) {
    let Proposal { duty, decision, .. } = proposal;
    let what = decision::line(&state.world, decision);
    tracing::info!(event = "decision", %duty, what, ?outcome);
}
