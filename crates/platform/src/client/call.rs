//! One call: admitted, sent, judged.

use std::time::Duration;

use async_io::Timer;
use fleet::time::Time;
use futures_lite::FutureExt;
use http::Request;
use http::Response;

use crate::Error;
use crate::outage::Admission;
use crate::outage::Class;
use crate::outage::Outcome;
use crate::rest;
use crate::table::Position;

use super::Client;
use super::Shared;
use super::answer;
use super::answer::Effect;
use super::counters::count;
use super::pool::Lease;

/// One of the calls that may be under way at once; gives its place back at its end.
struct Place<'a> {
    shared: &'a Shared,
    class: Class,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.shared.lock().under_way[self.class as usize] -= 1;
    }
}

impl Client {
    /// Sends a request and gives back its whole answer, whatever its status.
    pub(super) async fn call(&self, request: Request, effect: Effect) -> Result<Response, Error> {
        let class = self.class_of(effect);
        let shared = &*self.shared;
        let end = shared.clock.now() + shared.settings.deadlines.of(class);
        let _place = shared.place(class)?;
        shared.spend(effect, end).await?;
        let (admission, known) = shared.admit(class)?;
        count(if effect == Effect::None { &shared.cells.reads } else { &shared.cells.writes });
        let request = request.with_header(rest::CLIENT, &*shared.settings.name);
        let exchange = shared.exchange(&request, effect, end).await;
        shared.report(admission, answer::outcome(&exchange));
        let response = exchange.map_err(|error| match error {
            http::Error::NotSent(reason) => Error::Unavailable(reason),
            error => effect.unsettled(error.to_string()),
        })?;
        shared.check_position(&response, effect, known)?;
        Ok(response)
    }

    fn class_of(&self, effect: Effect) -> Class {
        match (self.class, effect) {
            (Class::Control, Effect::Write) => Class::Duty,
            (class, _) => class,
        }
    }
}

impl Shared {
    /// Takes a place among the calls under way.
    fn place(&self, class: Class) -> Result<Place<'_>, Error> {
        let mut policy = self.lock();
        let under_way = &mut policy.under_way[class as usize];
        if *under_way >= self.settings.concurrency.of(class) {
            count(&self.cells.shed_full);
            return Err(Error::Unavailable(format!("too many {class} calls under way")));
        }
        *under_way += 1;
        Ok(Place { shared: self, class })
    }

    /// Takes a call out of the budget, waiting for it until `end`.
    async fn spend(&self, effect: Effect, end: Time) -> Result<(), Error> {
        loop {
            let now = self.clock.now();
            let taken = {
                let mut policy = self.lock();
                match effect {
                    Effect::None => policy.budget.read(now),
                    Effect::Write => policy.budget.write(now),
                }
            };
            let Err(wait) = taken else { return Ok(()) };
            if now + wait > end {
                count(&self.cells.shed_budget);
                return Err(Error::Unavailable("this entry's budget is spent".to_owned()));
            }
            Timer::after(wait).await;
        }
    }

    /// Lets a call through, with the position that its answer must reflect.
    fn admit(&self, class: Class) -> Result<(Admission, Position), Error> {
        let now = self.clock.now();
        let mut policy = self.lock();
        let policy = &mut *policy;
        let admission = policy.outage.admit(now, class, &mut policy.random);
        let Admission::Shed(wait) = admission else { return Ok((admission, policy.known)) };
        count(&self.cells.shed_outage);
        let state = policy.outage.state();
        Err(Error::Unavailable(format!("platform {state}; again in {} ms", wait.as_millis())))
    }

    fn report(&self, admission: Admission, outcome: Outcome) {
        if outcome == Outcome::Failed {
            count(&self.cells.failed);
        }
        let now = self.clock.now();
        let mut policy = self.lock();
        let policy = &mut *policy;
        let before = policy.outage.state();
        policy.outage.report(now, admission, outcome, &mut policy.random);
        let after = policy.outage.state();
        if before != after {
            tracing::info!(event = "platform", state = %after, was = %before);
        }
    }

    /// Sends on a connection used before where there is one. Only a read is sent again when that
    /// turns out to be closed; a write's effect would be unknown.
    async fn exchange(
        &self,
        request: &Request,
        effect: Effect,
        end: Time,
    ) -> Result<Response, http::Error> {
        let lease = match self.pool.take(self.clock.now()) {
            Some(lease) => lease,
            None => self.connect(end).await?,
        };
        let used = lease.used;
        let first = self.send(lease, request, end).await;
        let closed = matches!(first, Err(http::Error::Broken(_) | http::Error::Malformed(_)));
        if !used || !closed || effect == Effect::Write {
            return first;
        }
        count(&self.cells.again);
        let lease = self.connect(end).await?;
        self.send(lease, request, end).await
    }

    async fn connect(&self, end: Time) -> Result<Lease, http::Error> {
        let late = async {
            Timer::after(self.left(end)).await;
            self.pool.turn();
            Err(http::Error::NotSent("no connection within the deadline".to_owned()))
        };
        self.pool.open().or(late).await
    }

    async fn send(
        &self,
        mut lease: Lease,
        request: &Request,
        end: Time,
    ) -> Result<Response, http::Error> {
        let late = async {
            Timer::after(self.left(end)).await;
            self.pool.turn();
            Err(http::Error::Timeout)
        };
        let response = lease.connection.send(request).or(late).await?;
        self.pool.give_back(self.clock.now(), lease);
        Ok(response)
    }

    fn left(&self, end: Time) -> Duration {
        end.since(self.clock.now())
    }

    /// Refuses a read's answer that is older than what was `known` when it was sent.
    fn check_position(
        &self,
        response: &Response,
        effect: Effect,
        known: Position,
    ) -> Result<(), Error> {
        let Some(position) = answer::position(response) else { return Ok(()) };
        if position < known && effect == Effect::None {
            count(&self.cells.stale);
            return Err(Error::Unavailable(format!("stale answer: at {position}, known {known}")));
        }
        let mut policy = self.lock();
        policy.known = policy.known.max(position);
        Ok(())
    }
}
