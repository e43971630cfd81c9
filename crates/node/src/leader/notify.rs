//! Wakes a task that waits for something to do.

use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;

/// Wakes a task. Setting it many times before it is waited for wakes once.
#[derive(Debug)]
pub(super) struct Signal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Signal {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

impl Signal {
    /// Wakes the task that waits, or the next that does.
    pub(super) fn set(&self) {
        // Full means that it is set already.
        let _ = self.sender.try_send(());
    }

    /// Waits until it is set.
    pub(super) async fn wait(&self) {
        // Never closed: we hold a sender ourselves.
        let _ = self.receiver.recv().await;
    }

    /// Waits until it is set, `most` at the longest.
    pub(super) async fn wait_for(&self, most: Duration) {
        let late = async {
            Timer::after(most).await;
        };
        self.wait().or(late).await;
    }
}
