//! Handles a caller's request: check, claim, queue, send, answer.
//!
//! * [`inbound`]: a checked request with its routing data, and the retry loop.
//! * [`slot`]: waits for a slot at an upstream, and holds it.
//! * [`send`]: one attempt to send the request to one upstream.
//! * [`end`]: how a request ended, and the response to it.

mod end;
mod inbound;
mod send;
mod slot;

use std::rc::Rc;

use http::Request;
use http::Response;
use http::Stream;
use platform::table::Table;

use crate::caller;
use crate::core::Core;

use end::End;
use inbound::Inbound;

pub(crate) use send::log_transition;

/// Handles a caller's request and returns the response.
pub(crate) async fn run<T: Table>(
    core: &Rc<Core<T>>,
    request: Request,
    caller: &Stream,
) -> Response {
    let started = core.now();
    let id = match caller::request_id(&request.headers) {
        Some(id) => id.to_owned(),
        None => core.generate_id(),
    };
    let (route, end) = match Inbound::prepare(core, request, &id, started) {
        Ok(mut inbound) => (Some(inbound.route), inbound.run(core, caller).await),
        Err(kind) => (None, End::refused(kind)),
    };
    core.metrics().record_request(route, end.label(), core.now().since(started));
    end.answer(&id)
}
