//! The baseline: a plain pass-through proxy of `async-h1` over `async-io`, on one thread.
//!
//! It forwards the requests of each connection over one connection to an upstream. It has no
//! checks, metrics, limits or logs.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::io;
use http::Stream;

use super::LOOPBACK;
use super::child;

/// Runs the baseline in a child process.
pub(crate) fn run(upstreams: Vec<SocketAddr>) {
    let listener = Async::<TcpListener>::bind(LOOPBACK).expect("a loopback address can be bound");
    let address = listener.get_ref().local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        async_io::block_on(executor.run(accept(Rc::clone(&executor), listener, upstreams)));
    });
    child::announce(address);
}

async fn accept(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    upstreams: Vec<SocketAddr>,
) {
    let mut next = 0;
    while let Ok((stream, _)) = listener.accept().await {
        let stream = Stream::new(stream).expect("the connection is open");
        next += 1;
        executor.spawn(serve(stream, upstreams[next % upstreams.len()])).detach();
    }
}

async fn serve(stream: Stream, upstream: SocketAddr) {
    let Ok(upstream) = Stream::open(upstream).await else { return };
    while let Ok(Some((request, _))) = async_h1::server::decode(stream.clone()).await {
        let method = request.method();
        let Ok(answer) = async_h1::connect(upstream.clone(), request).await else { return };
        let encoder = async_h1::server::Encoder::new(answer, method);
        if io::copy(encoder, &mut stream.clone()).await.is_err() {
            return;
        }
    }
}
