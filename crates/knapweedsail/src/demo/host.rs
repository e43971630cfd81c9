//! An entry on threads of its own, that can be killed, paused and stopped.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_channel::Sender;
use async_executor::Executor;
use platform::client::Client;
use platform::outage::Class;

use super::freeze::Freeze;
use super::freeze::Frozen;
use crate::daemon::Daemon;
use crate::settings::Settings;

/// A running entry. Clones are handles to the same one.
#[derive(Clone, Debug)]
pub(super) struct Host {
    settings: Settings,
    daemon: Daemon,
    executor: Arc<Executor<'static>>,
    freeze: Freeze,
    end: Sender<()>,
}

impl Host {
    /// Starts an entry whose control loop runs on a thread of its own.
    pub(super) fn spawn(settings: Settings, client: Client) -> io::Result<Self> {
        let executor = Arc::new(Executor::new());
        let freeze = Freeze::default();
        let table = Frozen { table: client.of_class(Class::Request), freeze: freeze.clone() };
        let daemon = Daemon::open_with(&executor, settings.clone(), client, table);
        let daemon = daemon.map_err(|error| io::Error::other(error.to_string()))?;
        let (end, ended) = async_channel::bounded::<()>(1);
        let run = Arc::clone(&executor);
        let work = move || {
            let _ = async_io::block_on(run.run(ended.recv()));
        };
        thread::Builder::new().name(format!("control-{}", settings.name)).spawn(work)?;
        Ok(Self { settings, daemon, executor, freeze, end })
    }

    /// Its settings.
    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The entry itself.
    pub(super) fn daemon(&self) -> &Daemon {
        &self.daemon
    }

    /// Ends it with no warning to anyone.
    pub(super) async fn kill(&self) {
        self.end.close();
        self.daemon.entry().stop(Duration::ZERO, Duration::ZERO).await;
    }

    /// Stops it in order. Returns how many requests were cut off.
    pub(super) async fn stop(&self) -> usize {
        let daemon = self.daemon.clone();
        let stopped = self.executor.spawn(async move { daemon.stop().await }).await;
        self.end.close();
        stopped.cut_off
    }

    /// Lets none of its threads run for a while.
    pub(super) fn pause(&self, length: Duration) {
        self.freeze.begin(length);
        let freeze = self.freeze.clone();
        self.executor.spawn(async move { freeze.wait() }).detach();
    }
}
