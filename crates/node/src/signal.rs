//! Signals of the platform: stop, and read the settings again.

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

/// Time between two looks at the settings file, which may change without a signal.
const REREAD: Duration = Duration::from_secs(2);

/// Time that is left of the grace when the process ends whatever is under way.
const MARGIN: Duration = Duration::from_millis(500);

/// Time for which a stopping node still takes what is on its way to it.
const LINGER: Duration = Duration::from_millis(1_500);

/// Time between two looks at what is still under way.
const LOOK: Duration = Duration::from_millis(50);

/// Waits until the process is to stop; reads the settings again meanwhile.
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
        let late = async {
            Timer::after(REREAD).await;
            None
        };
        let signal = async { signals.next().await.and_then(Result::ok) };
        match signal.or(late).await {
            Some(Signal::Term | Signal::Int) => return,
            Some(_) => reread(node, path, "signal"),
            None => reread(node, path, "file changed"),
        }
    }
}

fn reread(node: &Node, path: &Path, reason: &'static str) {
    match Settings::read(path) {
        Ok(settings) if settings != *node.settings() => {
            info!(event = "reload", reason, node = settings.node);
            node.store.relocate(settings.store);
            *node.settings.borrow_mut() = Rc::new(settings);
        }
        Ok(_) if reason == "signal" => info!(event = "reload", reason, state = "unchanged"),
        Ok(_) => {}
        Err(error) => warn!(event = "reload", reason, %error, state = "kept the old ones"),
    }
}

/// Stops: leaves the office, answers what was asked, and ends within the platform's grace.
pub async fn stop(node: &Rc<Node>) {
    let began = clock::now();
    let grace = node.settings().bounds.grace.saturating_sub(MARGIN);
    info!(event = "stop", state = "begin", requests = node.requests.get());
    node.stop();
    if let Some(reign) = node.term() {
        reign.step_down(node).await;
    }
    loop {
        let passed = clock::now().since(began);
        let quiet = node.requests.get() == 0 && node.connections.get() == 0 && passed >= LINGER;
        if quiet || passed >= grace {
            break;
        }
        Timer::after(LOOK).await;
    }
    info!(event = "stop", state = "end", requests = node.requests.get());
}
