//! Answers requests that callers have sent to the frontend of any node.

use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use scheduler::core::Cancellation;
use scheduler::core::Rejection;
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

/// Time by which a caller is answered before its own deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);

impl Term {
    /// Answers a request of a caller that waits for `timeout`.
    pub async fn answer(&self, request: Request, timeout: Duration) -> Answer {
        if !self.restored.get() {
            return Answer::no_leader();
        }
        match request {
            Request::Submit(submit) => self.submit(submit, timeout).await,
            Request::Cancel(job) => match job.parse() {
                Ok(id) => self.cancel(id, timeout).await,
                Err(()) => Answer::Missing,
            },
            Request::State(job) => match job.parse() {
                Ok(id) => self.state(id).await,
                Err(()) => Answer::Missing,
            },
            Request::Count(queue) => Answer::Count(self.core.borrow().waiting_jobs(&queue) as u64),
            Request::Ping(_) => Answer::Unknown,
        }
    }

    async fn state(&self, id: Id) -> Answer {
        let state = self.core.borrow().state(id);
        let Some(state) = state else { return self.confirm_missing().await };
        let begun = self.core.borrow().job(id).is_some_and(|job| job.begun);
        Answer::State { state, begun }
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

    async fn submit(&self, submit: Submit, timeout: Duration) -> Answer {
        let Ok(id) = submit.job.parse::<Id>() else { return malformed("job name") };
        if submit.spec.len() > MAX_BYTES {
            return refused(400, &Invalid::Length.to_string(), None);
        }
        let Ok(spec) = serde_json::from_slice::<Spec>(&submit.spec) else {
            return malformed("job");
        };
        let now = clock::now();
        if let Some(outage) = self.store_outage(now)
            && self.core.borrow().job(id).is_none()
        {
            info!(event = "refuse", job = %id, reason = "store", for_ms = outage.as_millis());
            return store_unavailable(outage);
        }
        let first_start = unix_to_local(now, clock::unix(), Duration::from_millis(spec.first_ms));
        let store_ms = self.store_ms(now);
        let verdict =
            self.core.borrow_mut().submit(now, store_ms, id, &submit.queue, spec, first_start);
        match verdict {
            Verdict::Known if self.core.borrow().is_saved(id) => Answer::Accepted,
            Verdict::Store | Verdict::Storing | Verdict::Known => {
                self.wait_until_saved(id, timeout).await
            }
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

    async fn cancel(&self, id: Id, timeout: Duration) -> Answer {
        let cancelled = self.core.borrow_mut().cancel(clock::now(), id);
        self.planner.notify();
        match cancelled {
            Cancellation::Unknown => self.confirm_missing().await,
            Cancellation::Ended => Answer::Accepted,
            Cancellation::Store => self.wait_until_saved(id, timeout).await,
        }
    }

    /// Waits until the store holds the present state of a job. Withdraws a new job if the store
    /// becomes unavailable meanwhile.
    async fn wait_until_saved(&self, id: Id, timeout: Duration) -> Answer {
        let (sender, receiver): (_, Receiver<()>) = async_channel::bounded(1);
        self.save_waiters.borrow_mut().entry(id).or_default().push(sender);
        self.writer.notify();
        let stored = async {
            // Closed without a message at the end of the term.
            receiver.recv().await.map_or(Wait::Unknown, |()| Wait::Stored)
        };
        let expired = async {
            Timer::after(timeout.saturating_sub(DEADLINE_MARGIN)).await;
            Wait::Unknown
        };
        let withdrawn = async {
            loop {
                Timer::after(WITHDRAW_INTERVAL).await;
                let outage = self.store_outage(clock::now()).is_some();
                if outage && self.core.borrow_mut().withdraw(id) {
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

fn refused(status: u16, reason: &str, retry: Option<Duration>) -> Answer {
    Answer::Refused { status, reason: reason.to_owned(), retry }
}

/// Refuses a request because the store has been unavailable for `outage`. Tells the caller to try
/// again after the same time, between [`NO_LEADER_RETRY`] and [`MAX_STORE_RETRY`]: an outage tends
/// to last that long again, and callers make few attempts.
fn store_unavailable(outage: Duration) -> Answer {
    let retry = outage.clamp(NO_LEADER_RETRY, MAX_STORE_RETRY);
    refused(503, "the store does not answer", Some(retry))
}

fn malformed(what: &str) -> Answer {
    refused(400, &format!("malformed {what}"), None)
}
