//! Answers requests that callers have sent to the frontend of any node.

use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use scheduler::core::Cancellation;
use scheduler::core::Rejection;
use scheduler::core::Submission;
use scheduler::core::Verdict;
use scheduler::core::unix_to_local;
use scheduler::job::Id;
use scheduler::job::Invalid;
use scheduler::job::MAX_BYTES;
use scheduler::job::Spec;
use tracing::info;

use super::Term;
use crate::clock;
use crate::election::ELECTION_TIMEOUT;
use crate::rpc::Answer;
use crate::rpc::NO_LEADER_RETRY;
use crate::rpc::message::Request;
use crate::rpc::message::Submit;

/// Interval at which a new job is checked and withdrawn if the store is unavailable: several times
/// the usual latency of a write.
const WITHDRAW_INTERVAL: Duration = Duration::from_millis(60);

/// Interval at which a leader checks whether it has proven its leadership.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time after which a caller is told to try again while the store is unavailable.
const MAX_STORE_RETRY: Duration = Duration::from_secs(3);

/// Bytes of a job's row besides its specification: the names of its queue and its service among others.
const BODY_BYTES: usize = 1 << 10;

/// Time by which a caller is answered before its own deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);

/// A caller that waits until the store holds the present state of a job.
#[derive(Debug)]
pub struct Waiter {
    job: Id,
    /// Receives a message once the store does; closed without one at the end of the term.
    stored: Receiver<()>,
}

/// Ends a term when it is dropped by a panic, which may have left the scheduler's state half changed.
struct EndOnPanic<'term>(&'term Term);

impl Drop for EndOnPanic<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.0.end("a decision panicked");
        }
    }
}

/// What the leader makes of a request at once.
#[derive(Debug)]
pub enum Decision {
    /// The answer.
    Answered(Answer),
    /// The answer depends on whether the store holds the present state of a job in time.
    Storing(Waiter),
    /// This leader lacks the job, and may have to prove its leadership before it can say so.
    Unconfirmed,
}

impl Term {
    /// Decides on a request of a caller that is admitted, on behalf of a tenant if it has one. If that panics, the term
    /// ends: the next one begins with what the store holds.
    pub fn decide(&self, request: Request, tenant: Option<&str>) -> Decision {
        let _unwinding = EndOnPanic(self);
        if !self.is_restored() {
            return Decision::Answered(Answer::no_leader());
        }
        match request {
            Request::Submit(submit) => {
                let tenant = tenant.unwrap_or_default().to_owned();
                self.submit(Submit { tenant, ..submit })
            }
            Request::Cancel(job) => match job.parse() {
                Ok(id) if !self.may_access(id, tenant) => Decision::Unconfirmed,
                Ok(id) => self.cancel(id),
                Err(()) => Decision::Answered(Answer::Missing),
            },
            Request::State(job) => match job.parse() {
                Ok(id) if !self.may_access(id, tenant) => Decision::Unconfirmed,
                Ok(id) => self.state(id),
                Err(()) => Decision::Answered(Answer::Missing),
            },
            Request::Count(queue) => {
                Decision::Answered(Answer::Count(self.core.borrow().waiting_jobs(&queue) as u64))
            }
            Request::Ping(_) => Decision::Answered(Answer::Unknown),
        }
    }

    /// Answers a request of an admitted caller that waits for `timeout`.
    pub async fn answer(
        &self,
        request: Request,
        tenant: Option<&str>,
        timeout: Duration,
    ) -> Answer {
        let decision = self.decide(request, tenant);
        self.carry_out(decision, timeout).await
    }

    /// Waits for the answer to a request of a caller that waits for `timeout`.
    pub async fn carry_out(&self, decision: Decision, timeout: Duration) -> Answer {
        match decision {
            Decision::Answered(answer) => answer,
            Decision::Storing(waiter) => self.wait_until_saved(waiter, timeout).await,
            Decision::Unconfirmed => self.confirm_missing().await,
        }
    }

    /// Whether a caller may see and cancel a job; true if the leader lacks it. A job of another tenant is answered like
    /// one that the leader lacks.
    fn may_access(&self, id: Id, tenant: Option<&str>) -> bool {
        self.core.borrow().may_access(id, tenant)
    }

    fn state(&self, id: Id) -> Decision {
        let core = self.core.borrow();
        let Some(state) = core.state(id) else { return Decision::Unconfirmed };
        // Like an end, it counts only once the store holds it: the next leader says the same.
        let begun = core.job(id).is_some_and(|job| job.begun.is_stored());
        Decision::Answered(Answer::State { state, begun })
    }

    /// Says that a job which this leader lacks is not there, unless another leader may have accepted it.
    async fn confirm_missing(&self) -> Answer {
        let asked = clock::now();
        while !self.is_over() && clock::now().since(asked) < ELECTION_TIMEOUT {
            if self.is_only_leader(clock::now()) {
                return Answer::Missing;
            }
            Timer::after(CONFIRM_INTERVAL).await;
        }
        Answer::no_leader()
    }

    fn submit(&self, submit: Submit) -> Decision {
        let Ok(id) = submit.job.parse::<Id>() else { return malformed("job name") };
        let max_row_bytes = self.core.borrow().tuning().max_row_bytes;
        if submit.spec.len() > MAX_BYTES.min(max_row_bytes.saturating_sub(BODY_BYTES)) {
            return refused(400, &Invalid::Length.to_string(), None);
        }
        let Ok(spec) = serde_json::from_slice::<Spec>(&submit.spec) else {
            return malformed("job");
        };
        if !self.may_access(id, Some(submit.tenant.as_str()).filter(|tenant| !tenant.is_empty())) {
            return refused(400, "the name is taken", None);
        }
        let now = clock::now();
        if let Some(outage) = self.store_outage(now)
            && self.core.borrow().job(id).is_none()
        {
            info!(event = "refuse", job = %id, reason = "store", for_ms = outage.as_millis());
            return Decision::Answered(store_unavailable(outage));
        }
        let first_start = unix_to_local(now, clock::unix(), Duration::from_millis(spec.first_ms));
        let store_ms = self.store_clock.get().earliest_ms(now);
        let (queue, tenant) = (submit.queue.as_str(), submit.tenant.as_str());
        let submission = Submission { id, queue, tenant, spec, first: first_start };
        let verdict = self.core.borrow_mut().submit(now, store_ms, submission);
        match verdict {
            Verdict::Known if self.core.borrow().is_saved(id) => {
                Decision::Answered(Answer::Accepted)
            }
            Verdict::Store | Verdict::Storing | Verdict::Known => self.storing(id),
            Verdict::Rejected(Rejection::Busy { retry }) => {
                refused(503, "more work than can be done in time", Some(retry))
            }
            Verdict::Rejected(Rejection::Invalid(invalid)) => {
                refused(400, &invalid.to_string(), None)
            }
            Verdict::Rejected(Rejection::NoQueue) => {
                refused(503, "the queue is not known yet", Some(NO_LEADER_RETRY))
            }
        }
    }

    fn cancel(&self, id: Id) -> Decision {
        let cancelled = self.core.borrow_mut().cancel(clock::now(), id);
        self.planner.notify();
        match cancelled {
            Cancellation::Unknown => Decision::Unconfirmed,
            Cancellation::Ended => Decision::Answered(Answer::Accepted),
            Cancellation::Store => self.storing(id),
        }
    }

    /// Has the present state of a job stored.
    fn storing(&self, job: Id) -> Decision {
        let (sender, stored) = async_channel::bounded(1);
        self.save_waiters.borrow_mut().entry(job).or_default().push(sender);
        self.writer.notify();
        Decision::Storing(Waiter { job, stored })
    }

    /// Waits until the store holds the present state of a job. Withdraws a new job if the store
    /// becomes unavailable meanwhile.
    async fn wait_until_saved(&self, waiter: Waiter, timeout: Duration) -> Answer {
        let Waiter { job: id, stored } = waiter;
        let stored = async { stored.recv().await.map_or(Wait::Unknown, |()| Wait::Stored) };
        let expired = async {
            Timer::after(timeout.saturating_sub(DEADLINE_MARGIN)).await;
            Wait::Unknown
        };
        let withdrawn = async {
            loop {
                Timer::after(WITHDRAW_INTERVAL).await;
                let outage = self.store_outage(clock::now()).is_some();
                let _unwinding = EndOnPanic(self);
                let mut core = self.core.borrow_mut();
                // The store may have refused it.
                let missing = !self.is_over() && core.job(id).is_none();
                if missing || (outage && core.withdraw(id)) {
                    return Wait::Withdrawn;
                }
            }
        };
        match stored.or(expired).or(withdrawn).await {
            Wait::Stored => Answer::Accepted,
            Wait::Withdrawn => {
                info!(event = "refuse", job = %id, reason = "store", withdrawn = true);
                self.save_waiters.borrow_mut().remove(&id);
                store_unavailable(self.store_outage(clock::now()).unwrap_or_default())
            }
            // Another caller that waited for the same job may have withdrawn it.
            Wait::Unknown if self.core.borrow().job(id).is_none() && !self.is_over() => {
                store_unavailable(self.store_outage(clock::now()).unwrap_or_default())
            }
            Wait::Unknown => {
                info!(event = "unsaved", job = %id, reason = "deadline or change of office");
                Answer::Unknown
            }
        }
    }
}

/// How the wait for a job to be stored ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    Stored,
    Withdrawn,
    Unknown,
}

fn refusal(status: u16, reason: &str, retry: Option<Duration>) -> Answer {
    Answer::Refused { status, reason: reason.to_owned(), retry }
}

fn refused(status: u16, reason: &str, retry: Option<Duration>) -> Decision {
    Decision::Answered(refusal(status, reason, retry))
}

/// Refuses a request because the store has been unavailable for `outage`. Tells the caller to try
/// again after the same time, between [`NO_LEADER_RETRY`] and [`MAX_STORE_RETRY`]: an outage tends
/// to last that long again, and callers make few attempts.
fn store_unavailable(outage: Duration) -> Answer {
    let retry = outage.clamp(NO_LEADER_RETRY, MAX_STORE_RETRY);
    refusal(503, "the store does not answer", Some(retry))
}

fn malformed(what: &str) -> Decision {
    refused(400, &format!("malformed {what}"), None)
}
