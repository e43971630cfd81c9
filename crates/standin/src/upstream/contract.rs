//! The contract with instances: a plain upstream's part of it, or the worker's at the same address.

use contract::Call;
use contract::Drain;
use contract::Health;
use contract::Moment;
use contract::Reason;
use contract::Refusal;
use contract::Report;
use contract::Serving;
use fleet::time::Time;
use http::Request;
use http::Response;

use super::Upstream;
use super::state::State;

/// Answers a call of the contract; nothing where the request is the service's.
pub(super) fn answer(upstream: &Upstream, now: Time, request: &Request) -> Option<Response> {
    let call = Call::read(request)?;
    let mut state = upstream.lock();
    let Some(worker) = upstream.worker() else {
        return Some(answer_plainly(&mut state, now, call));
    };
    worker.set_in_flight(state.busy);
    let response = worker.handle(request, now);
    state.drain(now, worker.is_draining());
    Some(response)
}

fn answer_plainly(state: &mut State, now: Time, call: Result<Call, Refusal>) -> Response {
    match call {
        Ok(Call::Health) => contract::answer(Ok(health(state, now))),
        Ok(Call::Report) => contract::answer(Ok(report(state, now))),
        Ok(Call::Drain(drain)) => contract::answer(drained(state, now, drain)),
        Ok(_) => contract::answer::<Health>(Err(no_room(state))),
        Err(refusal) => contract::answer::<Health>(Err(refusal)),
    }
}

fn drained(state: &mut State, now: Time, drain: Drain) -> Result<Health, Refusal> {
    if drain.epoch < state.epoch {
        return Err(Refusal::new(Reason::OldEpoch, state.epoch, "told more before"));
    }
    state.epoch = drain.epoch;
    state.drain(now, drain.draining);
    Ok(health(state, now))
}

fn health(state: &State, now: Time) -> Health {
    Health {
        epoch: state.epoch,
        serving: serving(state),
        now: moment(state, now),
        in_flight: state.busy,
    }
}

fn report(state: &State, now: Time) -> Report {
    Report {
        epoch: state.epoch,
        serving: serving(state),
        now: moment(state, now),
        in_flight: state.busy,
        ..Report::default()
    }
}

fn serving(state: &State) -> Serving {
    if state.draining_since.is_some() { Serving::Draining } else { Serving::Open }
}

fn moment(state: &State, now: Time) -> Moment {
    Moment { boot: state.boot, uptime_ms: now.as_millis() }
}

fn no_room(state: &State) -> Refusal {
    Refusal::new(Reason::NoRoom, state.epoch, "runs no attempts")
}
