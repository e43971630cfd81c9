//! Takes connections.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use http::Limits;
use http::Request;
use http::Response;
use http::Stream;
use tracing::warn;

use super::handle::Caller;
use crate::Node;

/// Pause after a connection could not be taken.
const PAUSE: Duration = Duration::from_millis(50);

/// Connections of callers at once, at most: leaves descriptors for instances and peers.
const MAX_CALLERS: usize = 2_500;

/// Takes callers' connections for as long as the process runs.
pub async fn run(node: Rc<Node>, address: SocketAddr) -> io::Result<()> {
    let listener = Async::<TcpListener>::bind(address)?;
    loop {
        let Some(stream) = accept(&listener, "caller").await else { continue };
        if node.connections.get() >= MAX_CALLERS {
            warn!(event = "accept", from = "caller", reason = "too many connections");
            continue;
        }
        let serving = Caller::serve(Rc::clone(&node), stream);
        node.spawn(serving);
    }
}

/// Answers the platform's question whether new connections should come here.
pub async fn run_ready(node: Rc<Node>, address: SocketAddr) -> io::Result<()> {
    let listener = Async::<TcpListener>::bind(address)?;
    loop {
        let Some(stream) = accept(&listener, "platform").await else { continue };
        let asked = Rc::clone(&node);
        node.spawn(async move {
            let status = |_: Request| {
                let ready = asked.is_ready();
                async move { Response::new(if ready { 200 } else { 503 }) }
            };
            // A broken connection concerns only its caller.
            let _ = http::serve(stream, &Limits::default(), status).await;
        });
    }
}

async fn accept(listener: &Async<TcpListener>, from: &'static str) -> Option<Stream> {
    match listener.accept().await {
        Ok((stream, _)) => Stream::new(stream).ok(),
        Err(error) => {
            warn!(event = "accept", from, %error);
            Timer::after(PAUSE).await;
            None
        }
    }
}
