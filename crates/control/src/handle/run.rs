//! Repeats the engine's steps, each at its own pace, so that a slow one holds up no other.

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

/// Time between two ticks of an entry that takes no duties.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// Time between two looks at which instances are to be polled.
const POLL_TICK: Duration = Duration::from_millis(100);

/// Time between two looks at which instances are to be restarted.
const RESTART_TICK: Duration = Duration::from_millis(200);

/// Time between two looks at whether the instance list is to be read.
const DISCOVERY_TICK: Duration = Duration::from_millis(500);

/// Longest pause after a read that failed.
const READ_BACKOFF: Duration = Duration::from_secs(1);

/// Starts all that repeats. It ends when the handles are gone or a stop was asked for.
pub(super) fn spawn<P: Environment>(
    executor: &Arc<Executor<'static>>,
    engine: Engine<P>,
    clock: Clock,
    requests: Receiver<Request>,
) {
    let (end, ended) = async_channel::bounded(1);
    let run = Driver { executor: Arc::clone(executor), engine, clock, ended };
    run.start(Driver::follow);
    run.start(Driver::gossip);
    run.start(Driver::beat);
    run.start(Driver::share);
    run.start(Driver::survey);
    run.start(Driver::poll);
    run.start(Driver::decide);
    run.start(Driver::restart);
    run.start(Driver::snapshot);
    run.executor.spawn(serve::serve(run.clone(), requests, end)).detach();
}

/// What each of the repeated steps needs.
pub(super) struct Driver<P: Environment> {
    pub(super) executor: Arc<Executor<'static>>,
    pub(super) engine: Engine<P>,
    clock: Clock,
    /// Closed once all is to end.
    ended: Receiver<()>,
}

impl<P: Environment> Clone for Driver<P> {
    fn clone(&self) -> Self {
        Self {
            executor: Arc::clone(&self.executor),
            engine: self.engine.clone(),
            clock: self.clock,
            ended: self.ended.clone(),
        }
    }
}

impl<P: Environment> Driver<P> {
    /// The present time.
    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

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
                Ok(false) => pause(self.tick()).await,
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

    async fn beat(self) {
        loop {
            self.engine.heartbeat(self.now()).await;
            pause(HEARTBEAT_PERIOD).await;
        }
    }

    async fn share(self) {
        loop {
            self.engine.rebalance(self.now()).await;
            pause(self.engine.settings().tick).await;
        }
    }

    async fn survey(self) {
        loop {
            self.engine.discover(self.now()).await;
            pause(DISCOVERY_TICK).await;
        }
    }

    async fn snapshot(self) {
        loop {
            self.engine.snapshot(self.now()).await;
            self.engine.collect_garbage(self.now()).await;
            pause(IDLE_TICK).await;
        }
    }

    async fn decide(self) {
        loop {
            for (name, renew) in self.engine.decide(self.now()).await.instruct {
                let run = self.clone();
                let instruct = async move { run.engine.instruct(&name, renew, run.now()).await };
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
                let run = self.clone();
                let poll = async move {
                    run.engine.poll(&name, run.now()).await;
                };
                self.executor.spawn(poll).detach();
            }
            pause(POLL_TICK).await;
        }
    }

    fn tick(&self) -> Duration {
        let tick = self.engine.settings().tick;
        if self.engine.state().candidate { tick } else { tick.max(IDLE_TICK) }
    }
}

async fn pause(duration: Duration) {
    Timer::after(duration).await;
}
