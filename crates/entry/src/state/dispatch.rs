//! Gives slots to requests and takes them back.

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

/// A failure is fast if it takes less than this part of the usual time.
const FAST_FAILURE_DIVISOR: u32 = 4;

/// What a request gets when it asks for a slot.
#[derive(Debug)]
pub enum Admission {
    /// The answer is there at once.
    Decided(Decision),
    /// It has to wait.
    Queued(Queued),
}

/// What became of a request at an upstream, as far as health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer after this long.
    Succeeded(Duration),
    /// A server error, a broken answer or none in time, after this long.
    Failed(Duration),
    /// It could not be connected to.
    Unreachable,
    /// It said that it has no slot free.
    Full,
    /// It was never tried.
    Unused,
}

impl State {
    /// Whether a request would be refused at once if it asked for a slot now.
    pub fn predict_refusal(
        &self,
        now: Time,
        route: key::Route,
        asking: &Candidate<'_>,
    ) -> Option<Refusal> {
        let service = self.services.get(route)?;
        if service.queue.is_empty() {
            return None;
        }
        let wait = service.queue.expected_wait(now, asking);
        let late = now + wait + service.queue.service_time() > asking.deadline;
        late.then_some(Refusal { retry_after: wait })
    }

    /// Asks for a slot at an upstream, other than `avoid` if there is another.
    pub fn admit(
        &mut self,
        now: Time,
        route: key::Route,
        asking: Candidate<'_>,
        avoid: Option<key::Upstream>,
    ) -> Admission {
        let Some(service) = self.services.get(route) else {
            return Admission::Decided(Decision::refused(Kind::NoRoute));
        };
        if now >= asking.deadline {
            return Admission::Decided(Decision::refused(Kind::QueueTimeout));
        }
        if service.tiers.iter().next().is_none() || !self.any_open(route) {
            return Admission::Decided(Decision::refused(Kind::NoUpstream));
        }
        let nobody_waits = service.queue.is_empty();
        if nobody_waits && let Some(picked) = self.pick(now, route, avoid) {
            return Admission::Decided(Decision::Send(picked));
        }
        self.enqueue(now, route, asking)
    }

    fn any_open(&self, route: key::Route) -> bool {
        let Some(service) = self.services.get(route) else { return false };
        let mut upstreams = service.tiers.iter().filter_map(|key| self.upstreams.get(key));
        upstreams.any(|upstream| upstream.availability == Availability::Open)
    }

    fn enqueue(&mut self, now: Time, route: key::Route, asking: Candidate<'_>) -> Admission {
        let Some(service) = self.services.get_mut(route) else {
            return Admission::Decided(Decision::refused(Kind::NoRoute));
        };
        let place = match service.queue.push(now, asking) {
            Ok(place) => place,
            Err(refusal) => return Admission::Decided(queue_full(refusal.retry_after)),
        };
        if let Some(evicted) = place.evicted {
            let wait = service.queue.expected_wait(now, &asking);
            self.notify(route, evicted, queue_full(wait));
        }
        let (sender, grant) = async_channel::bounded(1);
        self.waiting.insert((route, place.ticket), sender);
        Admission::Queued(Queued { route, ticket: place.ticket, decision: grant })
    }

    /// The caller of a waiting request has gone. A slot that it has just been given is freed.
    pub fn abandon(&mut self, now: Time, ticketed: &Queued) {
        if let Some(service) = self.services.get_mut(ticketed.route) {
            service.queue.remove(ticketed.ticket);
        }
        self.waiting.remove(&(ticketed.route, ticketed.ticket));
        if let Ok(Decision::Send(picked)) = ticketed.decision.try_recv() {
            self.release(now, ticketed.route, picked.upstream, Outcome::Unused);
        }
    }

    /// Gives slots to those who wait, and final refusals to those who wait in vain.
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

    /// Dispatches every queue: time has passed.
    pub fn tick(&mut self, now: Time) {
        let routes: Vec<_> = self.routes.values().copied().collect();
        for route in routes {
            self.dispatch(now, route);
        }
    }

    /// Frees a slot and takes note of what the upstream's answer says about it.
    pub fn release(
        &mut self,
        now: Time,
        route: key::Route,
        upstream: key::Upstream,
        ended: Outcome,
    ) -> Transition {
        self.free_slot(route, upstream);
        let verdict = self.record_outcome(now, route, upstream, ended);
        if self.has_waiting() {
            let users = self.routes_by_upstream.get(&upstream).cloned().unwrap_or_default();
            for user in users {
                self.dispatch(now, user);
            }
        }
        self.drop_idle_upstream(upstream);
        self.drop_idle_service(route);
        verdict
    }

    /// Whether a slot that was given earlier may still be used.
    pub fn may_send(&self, upstream: key::Upstream) -> bool {
        self.upstreams.get(upstream).is_some_and(|it| it.availability == Availability::Open)
    }

    pub(super) fn refuse_all(&mut self, now: Time, route: key::Route) {
        while let Some(ticket) =
            self.services.get_mut(route).and_then(|service| service.queue.pop(now))
        {
            self.notify(route, ticket, Decision::refused(Kind::NoRoute));
        }
    }

    fn refuse_late(&mut self, now: Time, route: key::Route) {
        while let Some(ticket) =
            self.services.get_mut(route).and_then(|service| service.queue.pop_late(now))
        {
            self.notify(route, ticket, Decision::refused(Kind::QueueTimeout));
        }
    }

    /// Chooses an upstream and takes a slot there.
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

    fn record_outcome(
        &mut self,
        now: Time,
        route: key::Route,
        key: key::Upstream,
        ended: Outcome,
    ) -> Transition {
        let Some(upstream) = self.upstreams.get_mut(key) else { return Transition::Unchanged };
        let event = match ended {
            Outcome::Unused => return Transition::Unchanged,
            Outcome::Succeeded(took) if !upstream.health.is_on_probation() => {
                // The usual case: one good answer changes nothing about how it compares.
                upstream.accepted();
                upstream.health.record_success(now);
                if let Some(service) = self.services.get_mut(route) {
                    service.queue.record_service_time(took);
                }
                return Transition::Unchanged;
            }
            Outcome::Full => {
                upstream.refused(now);
                return Transition::Unchanged;
            }
            Outcome::Succeeded(took) => {
                upstream.accepted();
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

    fn failure_event(&self, route: key::Route, took: Duration) -> Event {
        let usual = self.services.get(route).map(|service| service.queue.service_time());
        let fast = usual.is_some_and(|usual| took * FAST_FAILURE_DIVISOR < usual);
        if fast { Event::FastFailure } else { Event::Failure }
    }

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
            .map(|peer| self.upstreams.get(*peer).map_or_else(Health::default, |it| it.health))
            .collect();
        let verdict = record_event(&mut pool.iter_mut().collect::<Vec<_>>(), index, now, event);
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.health = pool[index];
            if verdict == Transition::Readmitted {
                upstream.begin_slow_start(now);
            }
        }
        verdict
    }

    /// Tells a waiting request; not so if its caller has gone.
    fn notify(&mut self, route: key::Route, ticket: Ticket, grant: Decision) -> bool {
        let sender = self.waiting.remove(&(route, ticket));
        sender.is_some_and(|sender| sender.try_send(grant).is_ok())
    }
}

fn queue_full(retry_after: Duration) -> Decision {
    Refusal { retry_after }.into()
}
