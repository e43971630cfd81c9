//! Carries out the call of a caller: asks the leader, and the store where no leader answers.

use std::time::Duration;

use adapter::job;
use http::Response;
use scheduler::job::Id;
use scheduler::job::Invalid;
use scheduler::job::MAX_BYTES;
use scheduler::job::Progress;

use super::handle::Counted;
use crate::Node;
use crate::rows;
use crate::rpc::Answer;
use crate::rpc::message::Caller;
use crate::rpc::message::Request;
use crate::rpc::message::Submit;

/// Maximum number of states that are read from the store at once for want of a leader: each takes a connection.
const MAX_STORE_READS: usize = 64;

/// A call to a queue.
pub(super) struct Call<'node> {
    /// The node that was called.
    pub(super) node: &'node Node,
    /// Who calls; none if the site has no tenants.
    pub(super) caller: Option<Caller>,
    /// Time for which the caller waits.
    pub(super) timeout: Duration,
}

impl Call<'_> {
    /// Asks this node's own term while it is the leader, otherwise the leader over rpc.
    async fn ask_leader(&self, request: Request) -> Answer {
        if let Some(term) = self.node.term() {
            return match self.node.admit(self.caller.as_ref()) {
                Ok(tenant) => term.answer(request, tenant.as_deref(), self.timeout).await,
                Err(refusal) => refusal.into(),
            };
        }
        match self.node.leader() {
            Some(leader) => leader.call(request, self.caller.clone(), self.timeout).await,
            None => Answer::no_leader(),
        }
    }

    /// Asks for the number of waiting jobs of a queue.
    pub(super) async fn count(&self, queue: &str) -> Response {
        respond(&self.ask_leader(Request::Count(queue.to_owned())).await)
    }

    /// Submits a job to a queue.
    pub(super) async fn submit(&self, queue: &str, id: &str, body: &[u8]) -> Response {
        if id.parse::<Id>().is_err() {
            return job::refused(400, "a job's name is 16 hexadecimal digits", None);
        }
        let spec = match job::decode(body) {
            Ok(spec) => spec,
            Err(error) => return job::refused(400, &format!("malformed job: {error}"), None),
        };
        if let Err(invalid) = spec.validate() {
            return job::refused(400, &invalid.to_string(), None);
        }
        let spec = serde_json::to_vec(&spec).unwrap_or_default();
        if spec.len() > MAX_BYTES {
            return job::refused(400, &Invalid::Length.to_string(), None);
        }
        let tenant = self.caller.as_ref().map_or_else(String::new, |it| it.tenant.clone());
        let submit = Submit { job: id.to_owned(), queue: queue.to_owned(), spec, tenant };
        respond(&self.ask_leader(Request::Submit(submit)).await)
    }

    /// Cancels a job.
    pub(super) async fn cancel(&self, id: &str) -> Response {
        if id.parse::<Id>().is_err() {
            return job::refused(410, "no such job", None);
        }
        respond(&self.ask_leader(Request::Cancel(id.to_owned())).await)
    }

    /// Answers with the state of a job: the leader's, or the stored one if no leader answers.
    pub(super) async fn state(&self, id: &str) -> Response {
        if id.parse::<Id>().is_err() {
            return job::refused(410, "no such job", None);
        }
        let answer = self.ask_leader(Request::State(id.to_owned())).await;
        let answered = match &answer {
            Answer::Refused { status, .. } => *status == 401,
            Answer::Unknown => false,
            _ => true,
        };
        let certain = self.caller.as_ref().is_none_or(|caller| caller.certain);
        if answered || !certain {
            return respond(&answer);
        }
        if self.node.store_reads.get() >= MAX_STORE_READS {
            return respond(&answer);
        }
        let _reading = Counted::add(&self.node.store_reads);
        match self.node.store.row(rows::PROGRESS, rows::PARTITION, id).await {
            Ok(Some(row)) => match serde_json::from_slice::<Progress>(&row.value) {
                Ok(progress) if self.may_access(&progress) => {
                    job::state(progress.state, progress.has_begun())
                }
                Ok(_) => job::refused(410, "no such job", None),
                Err(error) => job::refused(500, &format!("progress of the job: {error}"), None),
            },
            Ok(None) => job::refused(410, "no such job", None),
            Err(_) => respond(&answer),
        }
    }

    /// Whether the caller may see a job, by its row.
    fn may_access(&self, progress: &Progress) -> bool {
        let name = |tenant: &str| (!tenant.is_empty()).then(|| tenant.to_owned());
        let caller = self.caller.as_ref().and_then(|caller| name(&caller.tenant));
        let owner = name(&progress.tenant);
        self.node.config().may_access(caller.as_deref(), owner.as_deref(), &progress.queue)
    }
}

/// The answer to a caller.
pub(super) fn respond(answer: &Answer) -> Response {
    match answer {
        Answer::Accepted => job::accepted(),
        Answer::Refused { status, reason, retry } => job::refused(*status, reason, *retry),
        Answer::Unknown => job::refused(504, "it is not known what became of it", None),
        Answer::State { state, begun } => job::state(*state, *begun),
        Answer::Missing => job::refused(410, "no such job", None),
        Answer::Count(count) => job::count(*count),
    }
}
