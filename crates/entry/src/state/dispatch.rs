//! Assigns slots at upstreams to requests, and releases them.

use std::time::Duration;

use fleet::error::Kind;
use fleet::time::Time;
use fleet::view::Availability;

use super::Decision;
use super::Queued;
use super::State;
use crate::key;
use crate::queue::Candidate;
use crate::queue::Refusal;
use crate::queue::Ticket;
use crate::upstream::Event;
use crate::upstream::Health;
use crate::upstream::Picked;
use crate::upstream::Transition;
use crate::upstream::record_event;

/// A failure is fast if it took less than the average service time divided by this.
const FAST_FAILURE_DIVISOR: u32 = 4;

/// Result of asking for a slot.
#[derive(Debug)]
pub enum Admission {
    /// Decided at once.
    Decided(Decision),
    /// Queued; the decision follows.
    Queued(Queued),
}

/// Outcome of a request that held a slot, by which the upstream's health is updated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response after this time.
    Succeeded(Duration),
    /// A server error, a broken response or a timeout, after this time.
    Failed(Duration),
    /// No connection could be opened.
    Unreachable,
    /// The upstream refused the request because it has no free slot.
    Full,
    /// The request was not sent.
    Unused,
}

impl State {
    /// The refusal of a request that would be refused at once if it asked for a slot now, because
    /// the queue is too slow for its deadline. Other reasons for a refusal are not checked.
    pub fn predict_refusal(
        &self,
        now: Time,
        route: key::Route,
        candidate: &Candidate<'_>,
    ) -> Option<Refusal> {
        let service = self.services.get(route)?;
        if service.queue.is_empty() {
            return None;
        }
        let wait = service.queue.expected_wait(now, candidate);
        let late = now + wait + service.queue.service_time() > candidate.deadline;
        late.then_some(Refusal { retry_after: wait })
    }

    /// Asks for a slot at an upstream, other than `avoid` if another one is open and healthy.
    pub fn admit(
        &mut self,
        now: Time,
        route: key::Route,
        candidate: Candidate<'_>,
        avoid: Option<key::Upstream>,
    ) -> Admission {
        let Some(service) = self.services.get(route) else {
            return Admission::Decided(Decision::refused(Kind::NoRoute));
        };
        if now >= candidate.deadline {
            return Admission::Decided(Decision::refused(Kind::QueueTimeout));
        }
        if service.tiers.iter().next().is_none() || !self.any_open(route) {
            return Admission::Decided(Decision::refused(Kind::NoUpstream));
        }
        let nobody_waits = service.queue.is_empty();
        if nobody_waits && let Some(picked) = self.pick(now, route, avoid) {
            return Admission::Decided(Decision::Send(picked));
        }
        self.enqueue(now, route, candidate)
    }

    /// Whether any upstream of the service is open.
    fn any_open(&self, route: key::Route) -> bool {
        let Some(service) = self.services.get(route) else { return false };
        let mut upstreams = service.tiers.iter().filter_map(|key| self.upstreams.get(key));
        upstreams.any(|upstream| upstream.availability == Availability::Open)
    }

    /// Queues a request, and refuses the one that is evicted for it.
    fn enqueue(&mut self, now: Time, route: key::Route, candidate: Candidate<'_>) -> Admission {
        let Some(service) = self.services.get_mut(route) else {
            return Admission::Decided(Decision::refused(Kind::NoRoute));
        };
        let position = match service.queue.push(now, candidate) {
            Ok(position) => position,
            Err(refusal) => return Admission::Decided(queue_full(refusal.retry_after)),
        };
        if let Some(evicted) = position.evicted {
            let wait = service.queue.expected_wait(now, &candidate);
            self.notify(route, evicted, queue_full(wait));
        }
        let (sender, decision) = async_channel::bounded(1);
        self.waiting.insert((route, position.ticket), sender);
        Admission::Queued(Queued { route, ticket: position.ticket, decision })
    }

    /// Removes a queued request whose caller has disconnected. If the request has just been given a
    /// slot, releases the slot.
    pub fn abandon(&mut self, now: Time, queued: &Queued) {
        if let Some(service) = self.services.get_mut(queued.route) {
            service.queue.remove(queued.ticket);
        }
        self.waiting.remove(&(queued.route, queued.ticket));
        if let Ok(Decision::Send(picked)) = queued.decision.try_recv() {
            self.release(now, queued.route, picked.upstream, Outcome::Unused);
        }
    }

    /// Gives free slots to queued requests, and refuses those that are too late.
    pub fn dispatch(&mut self, now: Time, route: key::Route) {
        self.refuse_late(now, route);
        loop {
            let Some(service) = self.services.get(route) else { return };
            if service.queue.is_empty() {
                return;
            }
            let Some(picked) = self.pick(now, route, None) else { return };
            let popped = self.services.get_mut(route).and_then(|service| service.queue.pop(now));
            match popped {
                Some(ticket) if self.notify(route, ticket, Decision::Send(picked)) => {}
                _ => self.free_slot(route, picked.upstream),
            }
        }
    }

    /// Dispatches every queue. To be called regularly, as decisions depend on the time.
    pub fn tick(&mut self, now: Time) {
        let routes: Vec<_> = self.routes.values().copied().collect();
        for route in routes {
            self.dispatch(now, route);
        }
    }

    /// Releases a slot, updates the upstream's health by the outcome, and dispatches the queues
    /// that the slot may serve.
    pub fn release(
        &mut self,
        now: Time,
        route: key::Route,
        upstream: key::Upstream,
        outcome: Outcome,
    ) -> Transition {
        self.free_slot(route, upstream);
        let transition = self.record_outcome(now, route, upstream, outcome);
        if self.has_waiting() {
            let routes = self.routes_by_upstream.get(&upstream).cloned().unwrap_or_default();
            for route in routes {
                self.dispatch(now, route);
            }
        }
        self.drop_idle_upstream(upstream);
        self.drop_idle_service(route);
        transition
    }

    /// Whether a request that holds a slot at this upstream may still be sent.
    pub fn may_send(&self, upstream: key::Upstream) -> bool {
        self.upstreams
            .get(upstream)
            .is_some_and(|upstream| upstream.availability == Availability::Open)
    }

    /// Refuses all queued requests of a route that has been removed.
    pub(super) fn refuse_all(&mut self, now: Time, route: key::Route) {
        while let Some(ticket) =
            self.services.get_mut(route).and_then(|service| service.queue.pop(now))
        {
            self.notify(route, ticket, Decision::refused(Kind::NoRoute));
        }
    }

    /// Refuses queued requests that can no longer be answered by their deadlines.
    fn refuse_late(&mut self, now: Time, route: key::Route) {
        while let Some(ticket) =
            self.services.get_mut(route).and_then(|service| service.queue.pop_late(now))
        {
            self.notify(route, ticket, Decision::refused(Kind::QueueTimeout));
        }
    }

    /// Picks an upstream and takes a slot there.
    fn pick(
        &mut self,
        now: Time,
        route: key::Route,
        avoid: Option<key::Upstream>,
    ) -> Option<Picked> {
        let service = self.services.get_mut(route)?;
        let picked =
            self.policy.pick(&self.upstreams, &service.tiers, now, avoid, &mut self.random)?;
        service.in_flight += 1;
        self.upstreams.get_mut(picked.upstream)?.in_flight += 1;
        Some(picked)
    }

    fn free_slot(&mut self, route: key::Route, upstream: key::Upstream) {
        if let Some(service) = self.services.get_mut(route) {
            service.in_flight = service.in_flight.saturating_sub(1);
        }
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
    }

    /// Updates an upstream's backoff and health, and the average service time, by an outcome.
    fn record_outcome(
        &mut self,
        now: Time,
        route: key::Route,
        key: key::Upstream,
        outcome: Outcome,
    ) -> Transition {
        let Some(upstream) = self.upstreams.get_mut(key) else { return Transition::Unchanged };
        let event = match outcome {
            Outcome::Unused => return Transition::Unchanged,
            Outcome::Succeeded(took) if !upstream.health.is_restricted() => {
                // The usual case, without comparing peers: a success cannot make it an outlier.
                upstream.record_accepted();
                upstream.health.record_success(now);
                if let Some(service) = self.services.get_mut(route) {
                    service.queue.record_service_time(took);
                }
                return Transition::Unchanged;
            }
            Outcome::Full => {
                upstream.record_refused(now);
                return Transition::Unchanged;
            }
            Outcome::Succeeded(took) => {
                upstream.record_accepted();
                if let Some(service) = self.services.get_mut(route) {
                    service.queue.record_service_time(took);
                }
                Event::Success
            }
            Outcome::Failed(took) => self.failure_event(route, took),
            Outcome::Unreachable => Event::Unreachable,
        };
        self.update_health(now, route, key, event)
    }

    /// The event of a failure after `took`: a fast failure or another.
    fn failure_event(&self, route: key::Route, took: Duration) -> Event {
        let average = self.services.get(route).map(|service| service.queue.service_time());
        let fast = average.is_some_and(|average| took * FAST_FAILURE_DIVISOR < average);
        if fast { Event::FastFailure } else { Event::Failure }
    }

    /// Records an event of an upstream, compared with the other upstreams of the service.
    fn update_health(
        &mut self,
        now: Time,
        route: key::Route,
        key: key::Upstream,
        event: Event,
    ) -> Transition {
        let Some(service) = self.services.get(route) else { return Transition::Unchanged };
        let peers: Vec<_> = service.tiers.iter().collect();
        let Some(index) = peers.iter().position(|peer| *peer == key) else {
            return Transition::Unchanged;
        };
        let mut pool: Vec<Health> = peers
            .iter()
            .map(|peer| self.upstreams.get(*peer).map_or_else(Health::default, |peer| peer.health))
            .collect();
        let transition = record_event(&mut pool.iter_mut().collect::<Vec<_>>(), index, now, event);
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.health = pool[index];
            if transition == Transition::Readmitted {
                upstream.begin_slow_start(now);
            }
        }
        transition
    }

    /// Sends the decision to a queued request. Returns false if its caller has disconnected.
    fn notify(&mut self, route: key::Route, ticket: Ticket, decision: Decision) -> bool {
        let sender = self.waiting.remove(&(route, ticket));
        sender.is_some_and(|sender| sender.try_send(decision).is_ok())
    }
}

/// A refusal with [`Kind::QueueFull`].
fn queue_full(retry_after: Duration) -> Decision {
    Refusal { retry_after }.into()
}
