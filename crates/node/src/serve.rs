//! Starts all parts of a node: watch, election, rpc, frontend, readiness and metrics.

use std::future::Future;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use async_executor::LocalExecutor;
use futures_lite::FutureExt;

use crate::Node;
use crate::budget;
use crate::budget::Activity;
use crate::election;
use crate::frontend;
use crate::metrics;
use crate::rpc;
use crate::watch;

/// Runs all parts of a node until one of its listeners fails. Metrics are served at the address
/// `metrics`, if given.
///
/// # Errors
///
/// An address of the settings, or `metrics`, can't be bound.
pub async fn serve(node: Rc<Node>, metrics: Option<SocketAddr>) -> io::Result<()> {
    let settings = node.settings();
    node.spawn(Activity::Other, watch::run(Rc::clone(&node)));
    node.spawn(Activity::Other, election::run(Rc::clone(&node)));
    node.spawn(Activity::Log, budget::run(Rc::clone(&node)));
    let rpc = rpc::run(Rc::clone(&node));
    let frontend = async {
        match settings.frontend {
            Some(address) => frontend::run(Rc::clone(&node), address).await,
            None => pending().await,
        }
    };
    let readiness = async {
        match settings.readiness {
            Some(address) => frontend::run_ready(Rc::clone(&node), address).await,
            None => pending().await,
        }
    };
    let metrics_server = async {
        match metrics {
            Some(address) => metrics::run(Rc::clone(&node), address).await,
            None => pending().await,
        }
    };
    rpc.or(frontend).or(readiness).or(metrics_server).await
}

/// Runs a future and all tasks of an executor until the future is done.
///
/// The future becomes a task of its own. If the executor ran it directly, each wake-up of any task
/// would poll it, and all listeners in it would try to accept a connection.
pub fn block_on<T: 'static>(
    executor: &LocalExecutor<'static>,
    future: impl Future<Output = T> + 'static,
) -> T {
    async_io::block_on(executor.run(executor.spawn(future)))
}
