//! What the admin address tells of the request path.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use entry::Entry;

/// Readiness and metrics of a [`Daemon`](super::Daemon).
#[derive(Clone, Debug)]
pub(super) struct Probe {
    entry: Entry,
    ready: Arc<AtomicBool>,
}

impl Probe {
    pub(super) fn new(entry: Entry) -> Self {
        Self { entry, ready: Arc::default() }
    }

    /// Takes note of whether the control loop has what callers are to be served by.
    pub(super) fn note(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }
}

impl crate::admin::Probe for Probe {
    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && self.entry.is_ready()
    }

    fn metrics(&self) -> String {
        self.entry.metrics()
    }
}
