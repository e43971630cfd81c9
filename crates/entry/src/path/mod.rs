//! One request's way: admit, claim, queue, send, answer.
//!
//! * [`inbound`]: a request, checked, with all that its way depends on.
//! * [`slot`]: waiting for a slot, and the slot itself.
//! * [`send`]: one attempt at one upstream.

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

/// Answers a caller's request.
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
