//! Pauses that share one timer.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use fleet::time::Time;

use super::notify::Notify;
use crate::clock;

/// Time by which a pause may be longer than asked for.
const GRANULARITY: Duration = Duration::from_millis(10);

/// Pauses that share one timer.
///
/// Handles a large site, where each instance has a pause between two heartbeats: a timer of its own
/// for each would wake up the reactor thousands of times a second.
#[derive(Debug, Default)]
pub(super) struct Pacer {
    /// Pauses by their end, and by a number that tells pauses with the same end apart.
    pauses: RefCell<BTreeMap<(Time, u64), Sender<()>>>,
    /// Wakes [`Self::run`] at the first pause.
    first: Notify,
}

impl Pacer {
    /// Pauses for `duration`.
    pub(super) async fn pause(&self, duration: Duration) {
        let receiver = self.add(clock::now() + duration);
        // Ends early if the pauses are cleared.
        let _ = receiver.recv().await;
    }

    /// Adds a pause until `end`. The receiver gets a message, or is closed, when it is over.
    fn add(&self, end: Time) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut pauses = self.pauses.borrow_mut();
        if pauses.is_empty() {
            self.first.notify();
        }
        let last = pauses.range(..=(end, u64::MAX)).next_back();
        let number = last.map_or(0, |((at, number), _)| if *at == end { number + 1 } else { 0 });
        pauses.insert((end, number), sender);
        receiver
    }

    /// Ends pauses that are over, for as long as it is polled.
    pub(super) async fn run(&self) {
        loop {
            if self.pauses.borrow().is_empty() {
                self.first.wait().await;
            }
            Timer::after(GRANULARITY).await;
            self.end(clock::now());
        }
    }

    /// Ends all pauses that are over at `now`.
    fn end(&self, now: Time) {
        let mut pauses = self.pauses.borrow_mut();
        while let Some(entry) = pauses.first_entry() {
            if entry.key().0 > now {
                return;
            }
            // Fails only if the pausing task has been dropped.
            let _ = entry.remove().try_send(());
        }
    }

    /// Ends all pauses now.
    pub(super) fn clear(&self) {
        self.pauses.borrow_mut().clear();
    }
}
