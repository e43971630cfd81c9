//! Answers what is asked of the loop.

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

/// Time between two looks at where a revision is in force.
const WAIT_TICK: Duration = Duration::from_millis(50);

/// Answers requests, each on its own, until a stop is asked for. Dropping `end` ends the loop.
pub(super) async fn serve<P: Environment>(
    run: Driver<P>,
    requests: Receiver<Request>,
    end: Sender<()>,
) {
    while let Ok(request) = requests.recv().await {
        if let Request::Stop(reply) = request {
            requests.close();
            run.engine.shut_down(run.now()).await;
            drop(end);
            let _ = reply.try_send(Ok(()));
            return;
        }
        let run = run.clone();
        run.executor.clone().spawn(async move { run.answer(request).await }).detach();
    }
}

impl<P: Environment> Driver<P> {
    /// Answers one request. An asker that is gone is no matter.
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
            Request::CommandWave(stamp, organisation, wave, order, reply) => {
                let ordered = engine.command_wave(&stamp, &organisation, &wave, order, now);
                send(&reply, ordered.await);
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

    async fn wait(&self, revision: Revision, limit: Duration) -> Rollout {
        let started = self.now();
        loop {
            let now = self.now();
            let settings = self.engine.settings();
            let reach = self.engine.state().rollout(settings, revision, now);
            if reach.is_complete() || now.since(started) >= limit {
                return reach;
            }
            Timer::after(WAIT_TICK).await;
        }
    }
}

fn send<R>(reply: &Sender<Result<R, Error>>, answer: Result<R, Error>) {
    let _ = reply.try_send(answer);
}
