//! Answers what doors ask.

use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use scheduler::core::Cancellation;
use scheduler::core::Rejection;
use scheduler::core::Verdict;
use scheduler::core::unix_to_local;
use scheduler::job::Id;
use scheduler::job::Spec;
use tracing::info;

use super::Term;
use crate::clock;
use crate::rpc::Answer;
use crate::rpc::NO_LEADER_RETRY;
use crate::rpc::message::Request;
use crate::rpc::message::Submit;

/// Time between two attempts to take a job back from a store in trouble: some times what a write
/// takes as a rule.
const WITHDRAW: Duration = Duration::from_millis(60);

/// Longest time for which a caller is asked to stay away while the store does not answer.
const MAX_STORE_RETRY: Duration = Duration::from_secs(3);

/// Time before a caller's own deadline by which it is answered.
const MARGIN: Duration = Duration::from_millis(50);

impl Term {
    /// Answers what a door asks on behalf of a caller that waits for `patience`.
    pub async fn answer(&self, ask: Request, patience: Duration) -> Answer {
        if !self.restored.get() {
            return Answer::no_leader();
        }
        match ask {
            Request::Submit(submit) => self.submit(submit, patience).await,
            Request::Cancel(job) => match job.parse() {
                Ok(id) => self.cancel(id, patience).await,
                Err(()) => Answer::Missing,
            },
            Request::State(job) => match job.parse() {
                Ok(id) => self.state(id),
                Err(()) => Answer::Missing,
            },
            Request::Count(queue) => Answer::Count(self.core.borrow().waiting_jobs(&queue) as u64),
            Request::Ping(_) => Answer::Unknown,
        }
    }

    fn state(&self, id: Id) -> Answer {
        let core = self.core.borrow();
        let begun = core.job(id).is_some_and(|job| job.begun);
        core.state(id).map_or(Answer::Missing, |state| Answer::State { state, begun })
    }

    async fn submit(&self, submit: Submit, patience: Duration) -> Answer {
        let Ok(id) = submit.job.parse::<Id>() else { return malformed("job name") };
        let Ok(spec) = serde_json::from_slice::<Spec>(&submit.spec) else {
            return malformed("job");
        };
        let now = clock::now();
        if let Some(trouble) = self.store_trouble(now)
            && self.core.borrow().job(id).is_none()
        {
            info!(event = "refuse", job = %id, reason = "store", for_ms = trouble.as_millis());
            return store_silent(trouble);
        }
        let first = unix_to_local(now, clock::unix(), Duration::from_millis(spec.first_ms));
        let store_ms = self.store_ms(now);
        let verdict = self.core.borrow_mut().submit(now, store_ms, id, &submit.queue, spec, first);
        match verdict {
            Verdict::Known if self.core.borrow().is_saved(id) => Answer::Accepted,
            Verdict::Store | Verdict::Storing | Verdict::Known => self.saved(id, patience).await,
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

    async fn cancel(&self, id: Id, patience: Duration) -> Answer {
        let cancelled = self.core.borrow_mut().cancel(clock::now(), id);
        self.planning.set();
        match cancelled {
            Cancellation::Unknown => Answer::Missing,
            Cancellation::Ended => Answer::Accepted,
            Cancellation::Store => self.saved(id, patience).await,
        }
    }

    /// Waits until the store holds a job as it is.
    async fn saved(&self, id: Id, patience: Duration) -> Answer {
        let (sender, receiver): (_, Receiver<()>) = async_channel::bounded(1);
        self.waiting.borrow_mut().entry(id).or_default().push(sender);
        self.writing.set();
        let stored = async {
            // Closed without a word where the reign is over.
            receiver.recv().await.map_or(End::Unknown, |()| End::Stored)
        };
        let late = async {
            Timer::after(patience.saturating_sub(MARGIN)).await;
            End::Unknown
        };
        let withdrawn = async {
            loop {
                Timer::after(WITHDRAW).await;
                let trouble = self.store_trouble(clock::now()).is_some();
                if trouble && self.core.borrow_mut().withdraw(id) {
                    return End::Withdrawn;
                }
            }
        };
        match stored.or(late).or(withdrawn).await {
            End::Stored => Answer::Accepted,
            End::Withdrawn => {
                info!(event = "refuse", job = %id, reason = "store", withdrawn = true);
                self.waiting.borrow_mut().remove(&id);
                store_silent(self.store_trouble(clock::now()).unwrap_or_default())
            }
            // Another who waited for the same job may have withdrawn it.
            End::Unknown if self.core.borrow().job(id).is_none() && !self.is_over() => {
                store_silent(self.store_trouble(clock::now()).unwrap_or_default())
            }
            End::Unknown => {
                info!(event = "unsaved", job = %id, reason = "deadline or change of office");
                Answer::Unknown
            }
        }
    }
}

/// How a wait for the store ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Stored,
    Withdrawn,
    Unknown,
}

fn refused(status: u16, reason: &str, retry: Option<Duration>) -> Answer {
    Answer::Refused { status, reason: reason.to_owned(), retry }
}

/// Answers a store that is down: it tends to stay down as long again as it has been, and callers
/// have few tries.
fn store_silent(stalled: Duration) -> Answer {
    let retry = stalled.clamp(NO_LEADER_RETRY, MAX_STORE_RETRY);
    refused(503, "the store does not answer", Some(retry))
}

fn malformed(what: &str) -> Answer {
    refused(400, &format!("malformed {what}"), None)
}
