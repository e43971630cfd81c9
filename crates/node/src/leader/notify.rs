//! Wake-up notifications between tasks.

use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;

/// Wakes one waiting task. Notifications that come before the task waits are merged into one.
#[derive(Debug)]
pub(super) struct Notify {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Notify {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

impl Notify {
    /// Wakes the waiting task, or the next one that waits.
    pub(super) fn notify(&self) {
        // A full channel holds a notification already.
        let _ = self.sender.try_send(());
    }

    /// Waits for a notification.
    pub(super) async fn wait(&self) {
        // Never closed: `self` holds a sender.
        let _ = self.receiver.recv().await;
    }

    /// Waits for a notification, for at most `timeout`.
    pub(super) async fn wait_timeout(&self, timeout: Duration) {
        let expired = async {
            Timer::after(timeout).await;
        };
        self.wait().or(expired).await;
    }
}
