//! Contains panics to the connection whose messages caused them.
//!
//! What one connection sends must not end the process for all others. Elsewhere a panic leaves state behind that
//! nothing can trust, and the process aborts, to be started anew.

use std::cell::Cell;
use std::future::Future;
use std::future::poll_fn;
use std::panic::AssertUnwindSafe;
use std::panic::PanicHookInfo;
use std::panic::catch_unwind;
use std::pin::pin;
use std::task::Poll;

use tracing::error;

thread_local! {
    /// Whether a contained future is being polled.
    static CONTAINED: Cell<bool> = const { Cell::new(false) };
}

/// The future panicked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display("panicked")]
pub struct Panic;

/// Runs a future until it ends or panics. What it shares with other tasks must stay usable when it panics.
///
/// # Errors
///
/// The future panicked; it is not polled again.
pub async fn contain<F: Future>(future: F) -> Result<F::Output, Panic> {
    let mut future = pin!(future);
    poll_fn(|context| {
        let outer = CONTAINED.replace(true);
        let polled = catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(context)));
        CONTAINED.set(outer);
        match polled {
            Ok(poll) => poll.map(Ok),
            Err(_) => Poll::Ready(Err(Panic)),
        }
    })
    .await
}

/// Logs panics, and aborts the process at one that is not contained. The executor would drop the panicked task and go
/// on without it.
pub fn hook(panic: &PanicHookInfo<'_>) {
    let contained = CONTAINED.get();
    error!(event = "panic", contained, %panic);
    if !contained {
        crate::log::flush();
        std::process::abort();
    }
}
