//! Waiting, behind a trait so that tests need not.

use std::future::Future;
use std::time::Duration;

/// Waits for a while.
pub trait Wait: Clone + Send + Sync + 'static {
    /// Ends after `duration`.
    fn wait(&self, duration: Duration) -> impl Future<Output = ()> + Send;
}

/// Waits on the process's timer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timer;

impl Wait for Timer {
    async fn wait(&self, duration: Duration) {
        async_io::Timer::after(duration).await;
    }
}

/// Does not wait at all, for tests in virtual time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Instantly;

impl Wait for Instantly {
    async fn wait(&self, _duration: Duration) {}
}
