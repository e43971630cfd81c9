//! Handle to a running control loop, for operator requests.

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

/// Requests that may be queued for the loop before a sender has to wait.
const MAX_QUEUED_REQUESTS: usize = 64;

/// The environment of a control loop in a running entry.
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
    /// Starts a control loop on `executor` and returns a handle to it.
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
        let dependencies = Dependencies::<Production<T, O, L, P, H>> {
            table,
            objects,
            list,
            spread: peers,
            path,
            instances: HttpClient,
            wait: Timer,
        };
        let engine = Engine::new(settings, dependencies, clock.unix(), clock.now());
        run::spawn(executor, engine, clock, receiver);
        Self { requests: sender }
    }

    /// Whether this entry may serve callers: to its knowledge, its documents are at least as new as
    /// those of its peers.
    pub async fn is_ready(&self) -> Result<bool, Error> {
        self.request(Request::Ready).await
    }

    /// Releases all duties and ends the loop. Later requests fail with [`Error::Stopping`].
    pub async fn stop(&self) -> Result<(), Error> {
        self.request(Request::Stop).await
    }

    /// The configuration documents in force at this entry.
    pub async fn documents(&self) -> Result<Set, Error> {
        self.request(Request::Documents).await
    }

    /// The configuration in force at this entry.
    pub async fn config(&self) -> Result<Config, Error> {
        self.request(Request::Config).await
    }

    /// Validates `change` and returns its effect and warnings, without recording it.
    pub async fn preview(
        &self,
        change: configuration::Change,
    ) -> Result<configuration::Applied, Error> {
        self.request(|reply| Request::Preview(change, reply)).await
    }

    /// Records a change as the next revision. `Ok` means that it is recorded.
    pub async fn apply(
        &self,
        stamp: Stamp,
        change: configuration::Change,
    ) -> Result<configuration::Applied, Error> {
        self.request(|reply| Request::Apply(stamp, change, reply)).await
    }

    /// The latest revisions, `limit` at most, newest first.
    pub async fn history(&self, limit: usize) -> Result<Vec<configuration::Entry>, Error> {
        self.request(|reply| Request::History(limit, reply)).await
    }

    /// Waits until all entries have `revision` in force, for `limit` at most, and returns which
    /// entries have it.
    pub async fn wait(
        &self,
        revision: Revision,
        limit: Duration,
    ) -> Result<configuration::Rollout, Error> {
        self.request(|reply| Request::Wait(revision, limit, reply)).await
    }

    /// The status of the site: pools and their risks, activities, and alerts that need an operator.
    pub async fn status(&self) -> Result<Status, Error> {
        self.request(Request::Status).await
    }

    /// All instances.
    pub async fn instances(&self) -> Result<Vec<act::Instance>, Error> {
        self.request(Request::Instances).await
    }

    /// Drains an instance, which stays out of service until an operator returns it.
    pub async fn drain(&self, stamp: Stamp, instance: String) -> Result<act::Recorded, Error> {
        self.request(|reply| Request::Drain(stamp, instance, reply)).await
    }

    /// Returns an instance to service.
    pub async fn put_back(&self, stamp: Stamp, instance: String) -> Result<act::Recorded, Error> {
        self.request(|reply| Request::PutBack(stamp, instance, reply)).await
    }

    /// Moves an instance to another pool of its organisation.
    pub async fn move_to(
        &self,
        stamp: Stamp,
        instance: String,
        pool: String,
    ) -> Result<act::Recorded, Error> {
        self.request(|reply| Request::MoveTo(stamp, instance, pool, reply)).await
    }

    /// All waves, with their progress.
    pub async fn waves(&self) -> Result<Vec<act::Wave>, Error> {
        self.request(Request::Waves).await
    }

    /// Starts, pauses, resumes or aborts a wave.
    pub async fn command_wave(
        &self,
        stamp: Stamp,
        organisation: String,
        wave: String,
        command: act::WaveCommand,
    ) -> Result<act::Recorded, Error> {
        self.request(|reply| Request::CommandWave(stamp, organisation, wave, command, reply)).await
    }

    /// The jobs of `organisation`, or all jobs if `organisation` is empty.
    pub async fn jobs(&self, organisation: String) -> Result<Vec<act::Job>, Error> {
        self.request(|reply| Request::Jobs(organisation, reply)).await
    }

    /// Submits a job.
    pub async fn submit(&self, stamp: Stamp, job: act::Submission) -> Result<act::Job, Error> {
        self.request(|reply| Request::Submit(stamp, job, reply)).await
    }

    /// Cancels a job.
    pub async fn cancel(&self, stamp: Stamp, job: String) -> Result<act::Job, Error> {
        self.request(|reply| Request::Cancel(stamp, job, reply)).await
    }

    /// Explains why a job is in its present state.
    pub async fn explain(&self, job: String) -> Result<act::Explanation, Error> {
        self.request(|reply| Request::Explain(job, reply)).await
    }

    /// Resolves a job whose attempt has an unknown outcome.
    pub async fn resolve(
        &self,
        stamp: Stamp,
        job: String,
        resolution: act::Resolution,
    ) -> Result<act::Job, Error> {
        self.request(|reply| Request::Resolve(stamp, job, resolution, reply)).await
    }

    /// Sends a request to the loop and waits for the answer.
    async fn request<R>(
        &self,
        make_request: impl FnOnce(request::Reply<R>) -> Request,
    ) -> Result<R, Error> {
        let (reply, answer) = async_channel::bounded(1);
        self.requests.send(make_request(reply)).await.map_err(|_| Error::Stopping)?;
        answer.recv().await.map_err(|_| Error::Stopping)?
    }
}
