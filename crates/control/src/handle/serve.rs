//! Answers requests to the control loop.

use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use fleet::config::Revision;

use super::Request;
use super::run::Driver;
use crate::act::Error;
use crate::configuration::Rollout;
use crate::engine::Environment;

/// Period of the check whether all entries have a revision in force.
const WAIT_TICK: Duration = Duration::from_millis(50);

/// Answers requests, each in a task of its own, until a stop is requested or all handles are
/// dropped. Dropping `end` ends the tasks of the loop.
pub(super) async fn serve<E: Environment>(
    driver: Driver<E>,
    requests: Receiver<Request>,
    end: Sender<()>,
) {
    while let Ok(request) = requests.recv().await {
        if let Request::Stop(reply) = request {
            requests.close();
            driver.engine.shut_down(driver.now()).await;
            drop(end);
            let _ = reply.try_send(Ok(()));
            return;
        }
        let driver = driver.clone();
        driver.executor.clone().spawn(async move { driver.answer(request).await }).detach();
    }
}

impl<E: Environment> Driver<E> {
    /// Answers one request.
    async fn answer(&self, request: Request) {
        let now = self.now();
        let engine = &self.engine;
        match request {
            Request::Ready(reply) => send(&reply, Ok(engine.state().startup.is_ready())),
            Request::Stop(_) => {}
            Request::Documents(reply) => send(&reply, Ok(engine.state().adoption.set().clone())),
            Request::Config(reply) => send(&reply, Ok(engine.state().adoption.config().clone())),
            Request::Preview(change, reply) => send(&reply, engine.preview(&change)),
            Request::Apply(stamp, change, reply) => {
                send(&reply, engine.apply(&stamp, change, now).await);
            }
            Request::History(limit, reply) => send(&reply, engine.history(limit).await),
            Request::Wait(revision, limit, reply) => {
                send(&reply, Ok(self.wait(revision, limit).await));
            }
            Request::Status(reply) => send(&reply, Ok(engine.status(now))),
            Request::Instances(reply) => send(&reply, Ok(engine.instances())),
            Request::Drain(stamp, name, reply) => {
                send(&reply, engine.drain(&stamp, &name, now).await);
            }
            Request::PutBack(stamp, name, reply) => {
                send(&reply, engine.put_back(&stamp, &name, now).await);
            }
            Request::MoveTo(stamp, name, pool, reply) => {
                send(&reply, engine.move_to(&stamp, &name, &pool, now).await);
            }
            Request::Waves(reply) => send(&reply, Ok(engine.waves(now))),
            Request::CommandWave(stamp, organisation, wave, command, reply) => {
                let recorded = engine.command_wave(&stamp, &organisation, &wave, command, now);
                send(&reply, recorded.await);
            }
            Request::Jobs(organisation, reply) => send(&reply, Ok(engine.jobs(&organisation))),
            Request::Submit(stamp, job, reply) => {
                send(&reply, engine.submit(&stamp, &job, now).await);
            }
            Request::Cancel(stamp, name, reply) => {
                send(&reply, engine.cancel(&stamp, &name, now).await);
            }
            Request::Explain(name, reply) => send(&reply, engine.explain(&name, now)),
            Request::Resolve(stamp, name, resolution, reply) => {
                send(&reply, engine.resolve(&stamp, &name, resolution, now).await);
            }
        }
    }

    /// Waits until all entries have `revision` in force, for `limit` at most, and returns which
    /// entries have it.
    async fn wait(&self, revision: Revision, limit: Duration) -> Rollout {
        let started = self.now();
        loop {
            let now = self.now();
            let settings = self.engine.settings();
            let rollout = self.engine.state().rollout(settings, revision, now);
            if rollout.is_complete() || now.since(started) >= limit {
                return rollout;
            }
            Timer::after(WAIT_TICK).await;
        }
    }
}

/// Sends an answer, unless the requester is gone.
fn send<R>(reply: &Sender<Result<R, Error>>, answer: Result<R, Error>) {
    let _ = reply.try_send(answer);
}
