//! Handles signals of the platform: shutdown, and reload of the settings.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use adapter::Settings;
use async_io::Timer;
use async_signal::Signal;
use async_signal::Signals;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use tracing::info;
use tracing::warn;

use crate::Node;
use crate::clock;
use crate::listener;

/// Interval at which the settings file is read, since it may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Time before the end of the platform's grace period at which the process exits, even with
/// requests in flight.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Shortest time from the stop signal to the exit (unless the grace period is shorter), for
/// requests that are still on their way.
const MIN_DRAIN: Duration = Duration::from_millis(1_500);

/// Time before the exit from which on requests are refused, and those in flight answered that their
/// outcome is not known.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Interval at which a stopping node checks for requests in flight.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Waits for a signal to stop. Reloads the settings on SIGHUP and whenever their file changes.
pub async fn run(node: &Rc<Node>, path: &Path) {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let mut signals = match signals {
        Ok(signals) => signals,
        Err(error) => {
            warn!(event = "signals", %error);
            return std::future::pending().await;
        }
    };
    loop {
        let timeout = async {
            Timer::after(RELOAD_INTERVAL).await;
            None
        };
        let signal = async { signals.next().await.and_then(Result::ok) };
        match signal.or(timeout).await {
            Some(Signal::Term | Signal::Int) => return,
            Some(_) => reload(node, path, "signal"),
            None => reload(node, path, "file changed"),
        }
    }
}

fn reload(node: &Node, path: &Path, reason: &'static str) {
    match Settings::read(path) {
        Ok(settings) if settings != *node.settings() => {
            info!(event = "reload", reason, node = settings.node);
            node.store.relocate(settings.store);
            node.callers.resize(listener::callers(&settings));
            *node.settings.borrow_mut() = Rc::new(settings);
        }
        Ok(_) if reason == "signal" => info!(event = "reload", reason, state = "unchanged"),
        Ok(_) => {}
        Err(error) => warn!(event = "reload", reason, %error, state = "kept the old ones"),
    }
}

/// Shuts down within the platform's grace period: steps down, and waits until all requests are
/// answered and all callers have disconnected.
pub async fn stop(node: &Rc<Node>) {
    let stopped_at = clock::now();
    let grace = node.settings().parameters.grace.saturating_sub(GRACE_MARGIN);
    info!(event = "stop", state = "begin", requests = node.requests.get());
    node.stop(stopped_at + grace.saturating_sub(ANSWER_MARGIN));
    if let Some(term) = node.term() {
        term.step_down(node).await;
    }
    loop {
        let elapsed = clock::now().since(stopped_at);
        let drained =
            node.requests.get() == 0 && node.callers.connections() == 0 && elapsed >= MIN_DRAIN;
        if drained || elapsed >= grace {
            break;
        }
        Timer::after(DRAIN_POLL).await;
    }
    info!(event = "stop", state = "end", requests = node.requests.get());
}
