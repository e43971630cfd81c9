//! Accepts connections of callers and of the platform's readiness probe.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use http::Budget;
use http::Plain;
use http::Request;
use http::Response;

use super::handle::Connection;
use crate::Node;
use crate::budget::Activity;
use crate::listener;
use crate::listener::Listener;

/// Accepts callers' connections for as long as the process runs.
///
/// # Errors
///
/// `address` can't be bound.
pub async fn run(node: Rc<Node>, address: SocketAddr) -> io::Result<()> {
    let listener = Listener::bind(address, node.callers.clone(), "caller")?.bounded();
    loop {
        let (stream, member) = listener.accept().await;
        let serving = Connection::serve(Rc::clone(&node), stream, member);
        node.spawn_contained(Activity::Frontend, serving);
    }
}

/// Answers the platform's readiness probes: 200 if new connections of callers should be directed to
/// this node, 503 if not.
///
/// # Errors
///
/// `address` can't be bound.
pub async fn run_ready(node: Rc<Node>, address: SocketAddr) -> io::Result<()> {
    let budget = Budget::open(listener::PROBES);
    let listener = Listener::bind(address, budget, "platform")?.bounded();
    loop {
        let (stream, member) = listener.accept().await;
        let probed = Rc::clone(&node);
        node.spawn_contained(Activity::Frontend, async move {
            let mut status = Plain(|_: Request| {
                let ready = probed.is_ready();
                async move { Response::new(if ready { 200 } else { 503 }) }
            });
            let limits = &listener::PROBE_LIMITS;
            // A broken connection affects only its own client.
            let _ = http::serve_budgeted(stream, member, limits, &mut status).await;
        });
    }
}
