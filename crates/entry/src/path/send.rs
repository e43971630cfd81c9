//! One attempt at one upstream.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::error::Kind;
use fleet::time::Time;
use http::Connection;
use http::Error;
use http::Limits;
use http::Response;
use http::Stream;
use platform::table::Table;

use super::inbound::Errand;
use super::slot::Slot;
use crate::answer;
use crate::caller;
use crate::claim::Claim;
use crate::connection::Generation;
use crate::core::Core;
use crate::core::Outcome;
use crate::upstream::Transition;

/// Longest wait for a connection.
const DIAL: Duration = Duration::from_secs(1);

/// What came of one attempt.
#[derive(Debug)]
pub(crate) enum Sent {
    /// A whole answer to this request.
    Answer(Response),
    /// The upstream says that it did not run it.
    Full,
    /// Nothing was sent: no connection could be had.
    Unreachable,
    /// Nothing was sent: the upstream has begun to leave in the meantime.
    Withdrawn,
    /// It may have run.
    Unknown(Kind),
}

/// A connection and where it came from.
struct Line {
    connection: Connection<Stream>,
    generation: Generation,
    used_before: bool,
}

/// Sends a request once.
pub(crate) async fn once<T: Table>(
    core: &Core<T>,
    errand: &mut Errand,
    slot: &mut Slot<T>,
    claim: &mut Option<Claim>,
    deadline: Time,
) -> Sent {
    let Some(address) = core.address(slot.picked.upstream) else { return Sent::Withdrawn };
    let limits = Limits { body: errand.max_body, ..Limits::default() };
    let mut fresh = false;
    loop {
        let line = if fresh { None } else { idle(core, address, errand.is_repeatable()).await };
        let line = match line {
            Some(line) => line,
            None => match dial(core, address, limits, deadline).await {
                Ok(line) => line,
                Err(error) => {
                    tracing::info!(event = "dial-failed", %address, %error);
                    slot.ended = Outcome::Unreachable;
                    return Sent::Unreachable;
                }
            },
        };
        core.be_fresh().await;
        core.sync();
        if !core.state().may_send(slot.picked.upstream) {
            core.keep(address, line.connection, line.generation);
            return Sent::Withdrawn;
        }
        core.log_route(&errand.id, errand.route, &slot.picked);
        if let Some(claim) = claim {
            claim.sent();
        }
        let used_before = line.used_before;
        let sent = exchange(core, errand, slot, line, address, limits, deadline).await;
        if let Some(claim) = claim
            && matches!(sent, Sent::Unreachable | Sent::Full)
        {
            claim.not_run();
        }
        // An old connection that takes not one byte says nothing about the upstream.
        if matches!(sent, Sent::Unreachable) && used_before {
            fresh = true;
            continue;
        }
        return sent;
    }
}

async fn exchange<T: Table>(
    core: &Core<T>,
    errand: &mut Errand,
    slot: &mut Slot<T>,
    mut line: Line,
    address: SocketAddr,
    limits: Limits,
    deadline: Time,
) -> Sent {
    let started = core.now();
    errand.set_deadline(deadline.since(started));
    line.connection.set_limits(limits);
    let result = line.connection.send_by(&errand.request, core.instant(deadline)).await;
    let response = match result {
        Ok(response) => response,
        Err(error) => {
            core.suspect(address);
            slot.ended = Outcome::Failed(core.now().since(started));
            tracing::info!(event = "upstream-failed", request = errand.id, %address, %error);
            return failed(&error, slot);
        }
    };
    let named = named(&response, &errand.id);
    if named == Named::Other || (named == Named::Nobody && core.echoes(slot.picked.upstream)) {
        core.suspect(address);
        slot.ended = Outcome::Failed(core.now().since(started));
        tracing::warn!(event = "crossed-answer", request = errand.id, %address);
        return Sent::Unknown(Kind::UpstreamBroken);
    }
    if named == Named::Own {
        core.keep(address, line.connection, line.generation);
        core.set_echoes(slot.picked.upstream);
    }
    if response.status == 503 && response.headers.get(answer::OUTCOME) == Some(contract::NOT_RUN) {
        slot.ended = Outcome::Full;
        return Sent::Full;
    }
    let took = core.now().since(started);
    slot.ended =
        if response.status >= 500 { Outcome::Failed(took) } else { Outcome::Succeeded(took) };
    Sent::Answer(response)
}

fn failed<T: Table>(error: &Error, slot: &mut Slot<T>) -> Sent {
    match error {
        Error::NotSent(_) => {
            slot.ended = Outcome::Unreachable;
            Sent::Unreachable
        }
        Error::Timeout => Sent::Unknown(Kind::UpstreamTimeout),
        _ => Sent::Unknown(Kind::UpstreamBroken),
    }
}

/// Which request an answer says it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Named {
    Own,
    Other,
    Nobody,
}

/// An answer that names another request is not ours, however whole it is. One that names none can
/// only be told to be ours by its connection, which therefore carries no second request.
fn named(response: &Response, id: &str) -> Named {
    let mut named = response.headers.iter().filter(|(name, _)| *name == caller::REQUEST_ID);
    match (named.next(), named.next()) {
        (None, _) => Named::Nobody,
        (Some((_, value)), None) if value == id => Named::Own,
        _ => Named::Other,
    }
}

/// An idle connection that still looks sound.
async fn idle<T: Table>(core: &Core<T>, address: SocketAddr, repeatable: bool) -> Option<Line> {
    while let Some((mut connection, generation)) = core.take_idle(address, repeatable) {
        if connection.is_sound().await {
            return Some(Line { connection, generation, used_before: true });
        }
    }
    None
}

async fn dial<T: Table>(
    core: &Core<T>,
    address: SocketAddr,
    limits: Limits,
    deadline: Time,
) -> Result<Line, Error> {
    let generation = core.generation(address);
    let by = deadline.min(core.now() + DIAL);
    let connection = Connection::open_by(address, limits, core.instant(by)).await?;
    Ok(Line { connection, generation, used_before: false })
}

/// Logs what an upstream's answer changed about its health.
pub(crate) fn log_verdict(instance: &str, verdict: Transition) {
    match verdict {
        Transition::Unchanged => {}
        Transition::Ejected(time) => {
            tracing::warn!(event = "eject", instance, ms = time.as_millis() as u64);
        }
        Transition::Spared => tracing::warn!(event = "eject-spared", instance),
        Transition::Readmitted => tracing::info!(event = "readmit", instance),
    }
}
