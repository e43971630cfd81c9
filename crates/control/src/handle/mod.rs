//! A running control loop, and what operators can ask of it.

pub mod request;
mod run;
mod serve;

pub use request::Request;

use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::Executor;
use fleet::config::Config;
use fleet::config::Revision;
use fleet::template::Set;
use peer::Spread;
use platform::instance::List;
use platform::object::Store;
use platform::table::Table;
use platform::wait::Timer;

use crate::Engine;
use crate::Path;
use crate::Settings;
use crate::act;
use crate::act::Error;
use crate::act::Stamp;
use crate::clock::Clock;
use crate::configuration;
use crate::engine::Dependencies;
use crate::engine::Environment;
use crate::engine::HttpClient;
use crate::status::Status;

/// Requests that may wait for the loop.
const MAX_QUEUED_REQUESTS: usize = 64;

/// The parts of a control loop in a running entry.
#[derive(Debug)]
struct Production<T, O, L, P, H>(PhantomData<(T, O, L, P, H)>);

impl<T: Table, O: Store, L: List, P: Spread, H: Path> Environment for Production<T, O, L, P, H> {
    type Table = T;
    type Objects = O;
    type List = L;
    type Spread = P;
    type Path = H;
    type Instances = HttpClient;
    type Wait = Timer;
}

/// A running control loop. Clones are handles to the same one.
#[derive(Clone, Debug)]
pub struct Control {
    requests: Sender<Request>,
}

impl Control {
    /// Starts a control loop on `executor`.
    pub fn spawn<T, O, L, P, H>(
        executor: &Arc<Executor<'static>>,
        settings: Settings,
        table: T,
        objects: O,
        list: L,
        peers: P,
        path: H,
    ) -> Self
    where
        T: Table,
        O: Store,
        L: List,
        P: Spread,
        H: Path,
    {
        let (sender, receiver) = async_channel::bounded(MAX_QUEUED_REQUESTS);
        let clock = Clock::new(settings.origin);
        let kit = Dependencies::<Production<T, O, L, P, H>> {
            table,
            objects,
            list,
            spread: peers,
            path,
            instances: HttpClient,
            wait: Timer,
        };
        let engine = Engine::new(settings, kit, clock.unix(), clock.now());
        run::spawn(executor, engine, clock, receiver);
        Self { requests: sender }
    }

    /// Whether callers may be served: what is in force here is no older than what the neighbours
    /// have, as far as could be found out.
    pub async fn is_ready(&self) -> Result<bool, Error> {
        self.ask(Request::Ready).await
    }

    /// Gives the duties up and ends. New requests are refused from here on.
    pub async fn stop(&self) -> Result<(), Error> {
        self.ask(Request::Stop).await
    }

    /// The documents in force here.
    pub async fn documents(&self) -> Result<Set, Error> {
        self.ask(Request::Documents).await
    }

    /// The configuration in force here.
    pub async fn config(&self) -> Result<Config, Error> {
        self.ask(Request::Config).await
    }

    /// What `change` would do: its effect and warnings, with nothing recorded.
    pub async fn preview(
        &self,
        change: configuration::Change,
    ) -> Result<configuration::Applied, Error> {
        self.ask(|reply| Request::Preview(change, reply)).await
    }

    /// Applies a change. Good only once it is known to be recorded.
    pub async fn apply(
        &self,
        stamp: Stamp,
        change: configuration::Change,
    ) -> Result<configuration::Applied, Error> {
        self.ask(|reply| Request::Apply(stamp, change, reply)).await
    }

    /// Up to `limit` revisions, latest first.
    pub async fn history(&self, limit: usize) -> Result<Vec<configuration::Entry>, Error> {
        self.ask(|reply| Request::History(limit, reply)).await
    }

    /// Waits until `revision` is in force everywhere, for `limit` at most, and says where it is.
    pub async fn wait(
        &self,
        revision: Revision,
        limit: Duration,
    ) -> Result<configuration::Rollout, Error> {
        self.ask(|reply| Request::Wait(revision, limit, reply)).await
    }

    /// What is promised, at risk, going on, and waits for a person.
    pub async fn status(&self) -> Result<Status, Error> {
        self.ask(Request::Status).await
    }

    /// All instances.
    pub async fn instances(&self) -> Result<Vec<act::Instance>, Error> {
        self.ask(Request::Instances).await
    }

    /// Asks for an instance to be taken out of service.
    pub async fn drain(&self, stamp: Stamp, instance: String) -> Result<act::Recorded, Error> {
        self.ask(|reply| Request::Drain(stamp, instance, reply)).await
    }

    /// Asks for an instance to be put back to service.
    pub async fn put_back(&self, stamp: Stamp, instance: String) -> Result<act::Recorded, Error> {
        self.ask(|reply| Request::PutBack(stamp, instance, reply)).await
    }

    /// Asks for an instance to be handed to another pool of its organisation.
    pub async fn move_to(
        &self,
        stamp: Stamp,
        instance: String,
        pool: String,
    ) -> Result<act::Recorded, Error> {
        self.ask(|reply| Request::MoveTo(stamp, instance, pool, reply)).await
    }

    /// All waves, with their progress.
    pub async fn waves(&self) -> Result<Vec<act::Wave>, Error> {
        self.ask(Request::Waves).await
    }

    /// Starts, pauses, resumes or aborts a wave.
    pub async fn command_wave(
        &self,
        stamp: Stamp,
        organisation: String,
        wave: String,
        command: act::WaveCommand,
    ) -> Result<act::Recorded, Error> {
        self.ask(|reply| Request::CommandWave(stamp, organisation, wave, command, reply)).await
    }

    /// All jobs of an organisation, or of all if it is empty.
    pub async fn jobs(&self, organisation: String) -> Result<Vec<act::Job>, Error> {
        self.ask(|reply| Request::Jobs(organisation, reply)).await
    }

    /// Submits a job.
    pub async fn submit(&self, stamp: Stamp, job: act::Submission) -> Result<act::Job, Error> {
        self.ask(|reply| Request::Submit(stamp, job, reply)).await
    }

    /// Cancels a job.
    pub async fn cancel(&self, stamp: Stamp, job: String) -> Result<act::Job, Error> {
        self.ask(|reply| Request::Cancel(stamp, job, reply)).await
    }

    /// Why a job stands as it does.
    pub async fn explain(&self, job: String) -> Result<act::Explanation, Error> {
        self.ask(|reply| Request::Explain(job, reply)).await
    }

    /// Says what became of a job whose end is unknown.
    pub async fn resolve(
        &self,
        stamp: Stamp,
        job: String,
        resolution: act::Resolution,
    ) -> Result<act::Job, Error> {
        self.ask(|reply| Request::Resolve(stamp, job, resolution, reply)).await
    }

    async fn ask<R>(&self, request: impl FnOnce(request::Reply<R>) -> Request) -> Result<R, Error> {
        let (reply, answer) = async_channel::bounded(1);
        self.requests.send(request(reply)).await.map_err(|_| Error::Stopping)?;
        answer.recv().await.map_err(|_| Error::Stopping)?
    }
}
