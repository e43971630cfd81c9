//! A timer that costs nothing while messages come in on time.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use async_io::Timer;

use crate::clock;

/// A timer for deadlines that keep moving on.
///
/// Setting a timer of the reactor costs a system call. This one is set once and left alone while
/// the deadline moves away from it; when it goes off too early it is set again for what is left.
#[derive(Debug, Default)]
pub(crate) struct Alarm {
    set: Option<(Instant, Timer)>,
}

impl Alarm {
    /// Ready once `deadline` has passed.
    pub(crate) fn poll(&mut self, context: &mut Context<'_>, deadline: Instant) -> Poll<()> {
        loop {
            let (at, timer) = match &mut self.set {
                Some((at, timer)) if *at <= deadline => (*at, timer),
                set => {
                    let fresh = set.insert((deadline, Timer::at(deadline)));
                    (fresh.0, &mut fresh.1)
                }
            };
            if Pin::new(timer).poll(context).is_pending() {
                return Poll::Pending;
            }
            self.set = None;
            if at >= deadline || clock::now() >= deadline {
                return Poll::Ready(());
            }
        }
    }
}
