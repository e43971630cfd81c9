//! A checked request with its routing data, and the loop that sends and retries it.

use std::rc::Rc;
use std::time::Duration;

use fleet::config::Priority;
use fleet::config::Repeat;
use fleet::error::Kind;
use fleet::time::Time;
use http::Request;
use http::Stream;
use platform::table::Table;

use super::end::End;
use super::send;
use super::send::Attempt;
use super::slot;
use crate::answer;
use crate::caller;
use crate::caller::Options;
use crate::claim::Claim;
use crate::claim::Claimant;
use crate::claim::Claimed;
use crate::claim::row;
use crate::claim::row::Fingerprint;
use crate::core::Core;
use crate::key;
use crate::queue::Candidate;

/// Minimum timeout of one attempt to send an idempotent request, in average service times, if the
/// deadline allows.
const MIN_ATTEMPT_SERVICE_TIMES: u32 = 8;

/// A checked request with its routing data.
#[derive(Debug)]
pub(crate) struct Inbound {
    pub(crate) id: String,
    pub(crate) request: Request,
    pub(crate) route: key::Route,
    pub(crate) repeat: Repeat,
    /// Body limit of the service, in bytes; it also applies to the response.
    pub(crate) max_body: usize,
    /// Row key of the idempotency key.
    key: Option<String>,
    team: String,
    share: u32,
    priority: Priority,
    deadline: Time,
}

impl Inbound {
    /// Checks a request and looks up its service. Returns the kind of error if it is refused.
    pub(crate) fn prepare<T: Table>(
        core: &Core<T>,
        mut request: Request,
        id: &str,
        now: Time,
    ) -> Result<Self, Kind> {
        let route = caller::route(&request.target).ok_or(Kind::NoRoute)?;
        core.sync();
        let state = core.state();
        let key = state.route(&route).ok_or(Kind::NoRoute)?;
        let service = state.services.get(key).ok_or(Kind::NoRoute)?;
        let options = Options::parse(&request.headers, &service.spec)?;
        let max_body = service.spec.max_body as usize;
        if request.body.len() > max_body {
            return Err(Kind::BodyTooLarge);
        }
        let (team, share) = service.share(&options.team);
        answer::strip_hop_by_hop(&mut request.headers);
        request.headers.remove(caller::REQUEST_ID);
        request.headers.push(caller::REQUEST_ID, id);
        Ok(Self {
            id: id.to_owned(),
            route: key,
            repeat: service.spec.repeat,
            max_body,
            key: options.key.map(|name| row::row_key(&route, &name)),
            team: team.to_owned(),
            share,
            priority: options.priority,
            deadline: now + options.timeout,
            request,
        })
    }

    /// Whether it may be sent again although it may have run already.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.repeat == Repeat::Idempotent
    }

    /// Claims its idempotency key, if any, then sends it.
    pub(crate) async fn run<T: Table>(&mut self, core: &Rc<Core<T>>, caller: &Stream) -> End {
        let Some(row) = self.key.clone() else { return self.send(core, caller, None).await };
        if let Some(decision) = core.predict_refusal(self.route, &self.candidate()) {
            return decision.into();
        }
        let left = self.deadline.since(core.now());
        let fingerprint = Fingerprint::new(&self.request);
        let claimant = Claimant { row, request: self.id.clone(), fingerprint, timeout: left };
        match core.claim(claimant, left).await {
            Claimed::Granted(claim) => self.send(core, caller, Some(claim)).await,
            Claimed::Answered(response) => End::Replayed(response),
            Claimed::Refused(kind) => End::refused(kind),
        }
    }

    /// Sends it until there is a response, a refusal, or no deadline or retry budget left.
    async fn send<T: Table>(
        &mut self,
        core: &Rc<Core<T>>,
        caller: &Stream,
        mut claim: Option<Claim>,
    ) -> End {
        core.earn_retries(self.route);
        let mut avoid = None;
        // Once an attempt may have run, the outcome is unknown, even if later attempts do not run.
        let mut unknown: Option<Kind> = None;
        loop {
            let slot = slot::get(core, self.route, self.candidate(), avoid, caller).await;
            let mut slot = match slot {
                Ok(slot) => slot,
                Err(end) => return unknown.map_or(end, End::refused),
            };
            avoid = Some(slot.picked.upstream);
            let deadline = self.attempt_deadline(core);
            let attempt = send::once(core, self, &mut slot, &mut claim, deadline).await;
            drop(slot);
            let kind = match attempt {
                Attempt::Answer(response) => {
                    if let Some(claim) = claim {
                        claim.record_answer(&response);
                    }
                    return End::Ran(response);
                }
                Attempt::Withdrawn => continue,
                // The request asks for a slot again, without using the retry budget. The deadline
                // and the backoff of full upstreams limit the number of these attempts.
                Attempt::Full if core.now() < self.deadline => continue,
                Attempt::Full => Kind::UpstreamRefused,
                Attempt::Unreachable => Kind::NoUpstream,
                Attempt::Unknown(kind) => {
                    unknown = Some(kind);
                    kind
                }
            };
            let again = unknown.is_none() || self.is_repeatable();
            if !again || core.now() >= self.deadline || !core.spend_retry(self.route) {
                return End::refused(unknown.unwrap_or(kind));
            }
        }
    }

    fn candidate(&self) -> Candidate<'_> {
        Candidate {
            team: &self.team,
            share: self.share,
            priority: self.priority,
            deadline: self.deadline,
        }
    }

    /// Deadline of one attempt. For a repeatable request it leaves time for another attempt.
    fn attempt_deadline<T: Table>(&self, core: &Core<T>) -> Time {
        if !self.is_repeatable() {
            return self.deadline;
        }
        let now = core.now();
        let left = self.deadline.since(now);
        let min = core.service_time(self.route) * MIN_ATTEMPT_SERVICE_TIMES;
        now + left.min(min.max(left / 2))
    }

    /// Sets the deadline header for the upstream.
    pub(crate) fn set_deadline(&mut self, left: Duration) {
        self.request.headers.remove(caller::DEADLINE);
        self.request.headers.push(caller::DEADLINE, left.as_millis().to_string());
    }
}
