//! One attempt to send a request to one upstream.

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

use super::inbound::Inbound;
use super::slot::Slot;
use crate::answer;
use crate::caller;
use crate::claim::Claim;
use crate::connection::Generation;
use crate::core::Core;
use crate::core::Outcome;
use crate::upstream::Transition;

/// Timeout for opening a connection.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of one attempt.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// A complete response to this request.
    Answer(Response),
    /// The upstream refused it without running it.
    Full,
    /// Not sent: no connection could be opened or written to.
    Unreachable,
    /// Not sent: the upstream began to leave or was removed in the meantime.
    Withdrawn,
    /// It may have run; this error describes the failure.
    Unknown(Kind),
}

/// A connection checked out for one request.
struct Checkout {
    connection: Connection<Stream>,
    generation: Generation,
    /// Whether it has carried another request before.
    used_before: bool,
}

/// Makes one attempt to send a request. If a reused connection turns out to be closed before
/// anything was written to it, the attempt goes on with a new connection.
pub(crate) async fn once<T: Table>(
    core: &Core<T>,
    inbound: &mut Inbound,
    slot: &mut Slot<T>,
    claim: &mut Option<Claim>,
    deadline: Time,
) -> Attempt {
    let Some(address) = core.address(slot.picked.upstream) else { return Attempt::Withdrawn };
    let limits = Limits { body: inbound.max_body, ..Limits::default() };
    let mut fresh = false;
    loop {
        let checkout =
            if fresh { None } else { checkout_idle(core, address, inbound.is_repeatable()).await };
        let checkout = match checkout {
            Some(checkout) => checkout,
            None => match dial(core, address, limits, deadline).await {
                Ok(checkout) => checkout,
                Err(error) => {
                    tracing::info!(event = "dial-failed", %address, %error);
                    slot.outcome = Outcome::Unreachable;
                    return Attempt::Unreachable;
                }
            },
        };
        core.refresh_if_stale().await;
        core.sync();
        if !core.state().may_send(slot.picked.upstream) {
            core.put_idle(address, checkout.connection, checkout.generation);
            return Attempt::Withdrawn;
        }
        core.log_route(&inbound.id, inbound.route, &slot.picked);
        if let Some(claim) = claim {
            claim.mark_sent();
        }
        let used_before = checkout.used_before;
        let attempt = exchange(core, inbound, slot, checkout, address, limits, deadline).await;
        if let Some(claim) = claim
            && matches!(attempt, Attempt::Unreachable | Attempt::Full)
        {
            claim.mark_not_run();
        }
        // A reused connection may have been closed while idle. If nothing could be written to it,
        // that is no sign of an unhealthy upstream.
        if matches!(attempt, Attempt::Unreachable) && used_before {
            fresh = true;
            continue;
        }
        return attempt;
    }
}

/// Sends the request on a connection and checks the response.
async fn exchange<T: Table>(
    core: &Core<T>,
    inbound: &mut Inbound,
    slot: &mut Slot<T>,
    mut checkout: Checkout,
    address: SocketAddr,
    limits: Limits,
    deadline: Time,
) -> Attempt {
    let started = core.now();
    inbound.set_deadline(deadline.since(started));
    checkout.connection.set_limits(limits);
    let result = checkout.connection.send_by(&inbound.request, core.instant(deadline)).await;
    let response = match result {
        Ok(response) => response,
        Err(error) => {
            core.invalidate(address);
            slot.outcome = Outcome::Failed(core.now().since(started));
            tracing::info!(event = "upstream-failed", request = inbound.id, %address, %error);
            return classify(&error, slot);
        }
    };
    let echo = check_echo(&response, &inbound.id);
    if echo == Echo::Other || (echo == Echo::Missing && core.echoes_id(slot.picked.upstream)) {
        core.invalidate(address);
        slot.outcome = Outcome::Failed(core.now().since(started));
        tracing::warn!(event = "crossed-answer", request = inbound.id, %address);
        return Attempt::Unknown(Kind::UpstreamBroken);
    }
    if echo == Echo::Own {
        core.put_idle(address, checkout.connection, checkout.generation);
        core.set_echoes_id(slot.picked.upstream);
    }
    if response.status == 503 && response.headers.get(answer::OUTCOME) == Some(contract::NOT_RUN) {
        slot.outcome = Outcome::Full;
        return Attempt::Full;
    }
    let took = core.now().since(started);
    slot.outcome =
        if response.status >= 500 { Outcome::Failed(took) } else { Outcome::Succeeded(took) };
    Attempt::Answer(response)
}

/// The result of an attempt that failed with `error`.
fn classify<T: Table>(error: &Error, slot: &mut Slot<T>) -> Attempt {
    match error {
        Error::NotSent(_) => {
            slot.outcome = Outcome::Unreachable;
            Attempt::Unreachable
        }
        Error::Timeout => Attempt::Unknown(Kind::UpstreamTimeout),
        _ => Attempt::Unknown(Kind::UpstreamBroken),
    }
}

/// Which request a response belongs to, by the id that it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Echo {
    /// The id of this request.
    Own,
    /// Another id, or several.
    Other,
    /// No id.
    Missing,
}

/// Compares the id that a response carries with that of the request. A response with another id
/// belongs to another request, even if it is complete. One without an id can be matched to its
/// request only by the connection, which is therefore not reused.
fn check_echo(response: &Response, id: &str) -> Echo {
    let mut ids = response.headers.iter().filter(|(name, _)| *name == caller::REQUEST_ID);
    match (ids.next(), ids.next()) {
        (None, _) => Echo::Missing,
        (Some((_, value)), None) if value == id => Echo::Own,
        _ => Echo::Other,
    }
}

/// Takes an idle connection that is still open and has no unread data.
async fn checkout_idle<T: Table>(
    core: &Core<T>,
    address: SocketAddr,
    repeatable: bool,
) -> Option<Checkout> {
    while let Some((mut connection, generation)) = core.take_idle(address, repeatable) {
        if connection.is_sound().await {
            return Some(Checkout { connection, generation, used_before: true });
        }
    }
    None
}

/// Opens a new connection.
async fn dial<T: Table>(
    core: &Core<T>,
    address: SocketAddr,
    limits: Limits,
    deadline: Time,
) -> Result<Checkout, Error> {
    let generation = core.generation(address);
    let by = deadline.min(core.now() + DIAL_TIMEOUT);
    let connection = Connection::open_by(address, limits, core.instant(by)).await?;
    Ok(Checkout { connection, generation, used_before: false })
}

/// Logs a change of an upstream's health.
pub(crate) fn log_transition(instance: &str, transition: Transition) {
    match transition {
        Transition::Unchanged => {}
        Transition::Ejected(time) => {
            tracing::warn!(event = "eject", instance, ms = time.as_millis() as u64);
        }
        Transition::LimitReached => tracing::warn!(event = "eject-spared", instance),
        Transition::Readmitted => tracing::info!(event = "readmit", instance),
    }
}
