//! Repeats the engine's steps, each in a task and with a period of its own, so that a slow step
//! does not delay the others.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::Executor;
use async_io::Timer;
use fleet::time::Time;
use futures_lite::FutureExt;

use super::Request;
use super::serve;
use crate::clock::Clock;
use crate::engine::Engine;
use crate::engine::Environment;
use crate::lease::HEARTBEAT_PERIOD;

/// Period of the follow step of an entry that is no candidate for duties, and of the snapshot and
/// garbage collection steps.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// Period of the check for instances to poll.
const POLL_TICK: Duration = Duration::from_millis(100);

/// Period of the restart step.
const RESTART_TICK: Duration = Duration::from_millis(200);

/// Period of the discovery step, which reads the instance list when that is due.
const DISCOVERY_TICK: Duration = Duration::from_millis(500);

/// Pause after a failed read of the table's changes.
const READ_BACKOFF: Duration = Duration::from_secs(1);

/// Starts the tasks of a control loop. They end after a stop request, or once all handles are
/// dropped.
pub(super) fn spawn<E: Environment>(
    executor: &Arc<Executor<'static>>,
    engine: Engine<E>,
    clock: Clock,
    requests: Receiver<Request>,
) {
    let (end, ended) = async_channel::bounded(1);
    let driver = Driver { executor: Arc::clone(executor), engine, clock, ended };
    driver.start(Driver::follow);
    driver.start(Driver::gossip);
    driver.start(Driver::heartbeat);
    driver.start(Driver::rebalance);
    driver.start(Driver::discover);
    driver.start(Driver::poll);
    driver.start(Driver::decide);
    driver.start(Driver::restart);
    driver.start(Driver::maintain);
    driver.executor.spawn(serve::serve(driver.clone(), requests, end)).detach();
}

/// Repeats the steps of an engine. Each task has a clone.
pub(super) struct Driver<E: Environment> {
    pub(super) executor: Arc<Executor<'static>>,
    pub(super) engine: Engine<E>,
    clock: Clock,
    /// Closed when the tasks must end.
    ended: Receiver<()>,
}

impl<E: Environment> Clone for Driver<E> {
    fn clone(&self) -> Self {
        Self {
            executor: Arc::clone(&self.executor),
            engine: self.engine.clone(),
            clock: self.clock,
            ended: self.ended.clone(),
        }
    }
}

impl<E: Environment> Driver<E> {
    /// The present monotonic time.
    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Spawns a task that runs `repeat` until the tasks must end.
    fn start<F>(&self, repeat: impl FnOnce(Self) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let ended = self.ended.clone();
        let end = async move {
            let _ = ended.recv().await;
        };
        self.executor.spawn(repeat(self.clone()).or(end)).detach();
    }

    async fn follow(self) {
        loop {
            match self.engine.follow(self.now()).await {
                Ok(true) => {}
                Ok(false) => pause(self.follow_period()).await,
                Err(error) => {
                    tracing::debug!(event = "follow-failed", error = %error);
                    pause(READ_BACKOFF).await;
                }
            }
        }
    }

    async fn gossip(self) {
        loop {
            self.engine.gossip(self.now());
            pause(self.engine.settings().tick).await;
        }
    }

    async fn heartbeat(self) {
        loop {
            self.engine.heartbeat(self.now()).await;
            pause(HEARTBEAT_PERIOD).await;
        }
    }

    async fn rebalance(self) {
        loop {
            self.engine.rebalance(self.now()).await;
            pause(self.engine.settings().tick).await;
        }
    }

    async fn discover(self) {
        loop {
            self.engine.discover(self.now()).await;
            pause(DISCOVERY_TICK).await;
        }
    }

    async fn maintain(self) {
        loop {
            self.engine.snapshot(self.now()).await;
            self.engine.collect_garbage(self.now()).await;
            pause(IDLE_TICK).await;
        }
    }

    async fn decide(self) {
        loop {
            for (name, renew) in self.engine.decide(self.now()).await.instruct {
                let driver = self.clone();
                let instruct =
                    async move { driver.engine.instruct(&name, renew, driver.now()).await };
                self.executor.spawn(instruct).detach();
            }
            pause(self.engine.settings().tick).await;
        }
    }

    async fn restart(self) {
        loop {
            self.engine.restart(self.now()).await;
            pause(RESTART_TICK).await;
        }
    }

    async fn poll(self) {
        loop {
            for name in self.engine.due(self.now()) {
                let driver = self.clone();
                let poll = async move {
                    driver.engine.poll(&name, driver.now()).await;
                };
                self.executor.spawn(poll).detach();
            }
            pause(POLL_TICK).await;
        }
    }

    /// Period of the follow step.
    fn follow_period(&self) -> Duration {
        let tick = self.engine.settings().tick;
        if self.engine.state().candidate { tick } else { tick.max(IDLE_TICK) }
    }
}

async fn pause(duration: Duration) {
    Timer::after(duration).await;
}
