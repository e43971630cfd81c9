//! Data that the request thread shares with its handles.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_channel::Receiver;
use async_channel::Sender;
use fleet::view::Load;
use fleet::view::View;

use crate::metric::Metrics;

/// Phases of a shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum Phase {
    /// Accepts connections.
    Serving,
    /// Accepts connections, and closes each one after its next response.
    Leaving,
    /// Accepts no more connections, and finishes the requests in flight.
    Closing,
    /// Stopped.
    Ended,
}

/// Data that the request thread shares with its handles.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) address: SocketAddr,
    pub(crate) metrics: Metrics,
    /// Number of views received, used to detect a new one.
    pub(crate) updates: AtomicU64,
    /// Callers' requests in progress.
    pub(crate) requests: AtomicUsize,
    /// Open connections from callers.
    pub(crate) connections: AtomicUsize,
    view: Mutex<Arc<View>>,
    load: Mutex<Load>,
    phase: AtomicU8,
    /// Wakes the request thread when there is a new view.
    wake: (Sender<()>, Receiver<()>),
    /// Closed at [`Phase::Closing`].
    closing: (Sender<()>, Receiver<()>),
    /// Closed at [`Phase::Ended`].
    ended: (Sender<()>, Receiver<()>),
    /// Requests for a newer view.
    refresh: (Sender<()>, Receiver<()>),
}

impl Shared {
    pub(crate) fn new(address: SocketAddr, view: View) -> Self {
        Self {
            address,
            metrics: Metrics::new(),
            updates: AtomicU64::new(1),
            requests: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            view: Mutex::new(Arc::new(view)),
            load: Mutex::default(),
            phase: AtomicU8::new(Phase::Serving as u8),
            wake: async_channel::bounded(1),
            closing: async_channel::bounded(1),
            ended: async_channel::bounded(1),
            refresh: async_channel::bounded(1),
        }
    }

    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.lock().expect("no holder panics"))
    }

    /// Sets the newest view, unless `view` has a lower serial.
    pub(crate) fn update(&self, view: View) {
        let mut newest = self.view.lock().expect("no holder panics");
        if view.serial < newest.serial {
            return;
        }
        *newest = Arc::new(view);
        self.updates.fetch_add(1, Ordering::Release);
        drop(newest);
        let _ = self.wake.0.try_send(());
    }

    pub(crate) fn load(&self) -> Load {
        self.load.lock().expect("no holder panics").clone()
    }

    pub(crate) fn set_load(&self, load: Load) {
        *self.load.lock().expect("no holder panics") = load;
    }

    pub(crate) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Serving,
            1 => Phase::Leaving,
            2 => Phase::Closing,
            _ => Phase::Ended,
        }
    }

    /// Advances to `phase`, unless a later one has been reached.
    pub(crate) fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
        if phase >= Phase::Closing {
            self.closing.0.close();
        }
        if phase >= Phase::Ended {
            self.ended.0.close();
        }
    }

    /// Waits until a new view is set.
    pub(crate) async fn wait_for_update(&self) {
        let _ = self.wake.1.recv().await;
    }

    /// Waits until no more connections are accepted.
    pub(crate) async fn closed(&self) {
        let _ = self.closing.1.recv().await;
    }

    /// Waits until the shutdown is complete.
    pub(crate) async fn ended(&self) {
        let _ = self.ended.1.recv().await;
    }

    /// Requests a newer view from the receivers of [`Shared::refresh_requests`].
    pub(crate) fn request_refresh(&self) {
        let _ = self.refresh.0.try_send(());
    }

    pub(crate) fn refresh_requests(&self) -> Receiver<()> {
        self.refresh.1.clone()
    }
}
