//! A running site: the stage and its entries.

use std::collections::BTreeMap;
use std::io;
use std::ops::Deref;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use control::act::Stamp;
use control::configuration::Change;
use fleet::config::Revision;
use platform::client::Client;
use standin::caller::Balancer;

use super::Plan;
use super::Stage;
use super::host::Host;
use super::monitor::Seen;
use crate::settings::Settings;

/// Longest wait for entries to be ready and a configuration to be in force.
const START: Duration = Duration::from_secs(30);
/// Time between two looks while waiting.
const PAUSE: Duration = Duration::from_millis(50);

/// A running site. Clones are handles to the same one.
#[derive(Clone, Debug)]
pub struct Site {
    stage: Stage,
    balancer: Balancer,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    hosts: BTreeMap<String, Host>,
    seen: Seen,
    /// Requests cut off by planned stops of entries.
    cut_off: usize,
    /// Whether an entry was killed or paused: its callers may be told nothing in time.
    silenced: bool,
    /// Entries started so far.
    started: u64,
}

impl Deref for Site {
    type Target = Stage;

    fn deref(&self) -> &Stage {
        &self.stage
    }
}

impl Site {
    /// Starts the stage and the entries, applies the documents and waits until they are in force.
    pub(super) async fn open(executor: &Arc<Executor<'static>>, plan: &Plan) -> io::Result<Self> {
        let stage = Stage::open(executor, plan)?;
        let site = Self { stage, balancer: Balancer::default(), state: Arc::default() };
        for settings in site.entries() {
            site.start_host(settings)?;
        }
        executor.spawn(site.clone().balance()).detach();
        site.apply_documents().await?;
        site.wait_until_ready().await?;
        Ok(site)
    }

    pub(super) fn balancer(&self) -> &Balancer {
        &self.balancer
    }

    /// The entries that run, in order of their names.
    pub(super) fn hosts(&self) -> Vec<Host> {
        self.lock().hosts.values().cloned().collect()
    }

    pub(super) fn seen(&self) -> Seen {
        self.lock().seen.clone()
    }

    pub(super) fn note(&self, note: impl FnOnce(&mut Seen)) {
        note(&mut self.lock().seen);
    }

    pub(super) fn cut_off(&self) -> usize {
        self.lock().cut_off
    }

    pub(super) fn was_silenced(&self) -> bool {
        self.lock().silenced
    }

    /// Ends an entry with no warning, and starts another.
    pub(super) async fn kill(&self, host: &Host) -> io::Result<()> {
        self.lock().silenced = true;
        self.lock().hosts.remove(&host.settings().name);
        host.kill().await;
        self.memory().unlist_instance(&host.settings().name);
        self.start_host(self.replacement(host.settings()))
    }

    /// Lets none of an entry's threads run for a while.
    pub(super) fn pause(&self, host: &Host, length: Duration) {
        self.lock().silenced = true;
        host.pause(length);
    }

    /// Starts another entry, then stops this one in order.
    pub(super) async fn stop(&self, host: &Host) -> io::Result<()> {
        self.start_host(self.replacement(host.settings()))?;
        // No other fault is to hit it from here on: one that is killed never ends its stop.
        if self.lock().hosts.remove(&host.settings().name).is_none() {
            return Ok(());
        }
        let cut_off = host.stop().await;
        self.lock().cut_off += cut_off;
        self.memory().unlist_instance(&host.settings().name);
        Ok(())
    }

    /// Stops everything in order.
    pub(super) async fn close(&self) {
        let stop = |host: Host| self.executor().spawn(async move { host.stop().await });
        let stops: Vec<_> = self.hosts().into_iter().map(stop).collect();
        for stop in stops {
            stop.await;
        }
    }

    fn start_host(&self, settings: Settings) -> io::Result<()> {
        let seed = {
            let mut state = self.lock();
            state.started += 1;
            state.started
        };
        let client = Client::open(platform::client::Settings {
            addresses: vec![settings.platform],
            name: format!("{}/{}", settings.data_centre, settings.name),
            entries: self.plan().entries(),
            seed,
            ..platform::client::Settings::default()
        });
        let name = settings.name.clone();
        let host = Host::spawn(settings, client)?;
        self.lock().hosts.insert(name, host);
        Ok(())
    }

    /// The platform's balancer: new connections go to the entries that are ready.
    async fn balance(self) {
        loop {
            let ready = self.hosts().into_iter().filter(|host| host.daemon().is_ready());
            self.balancer.set(ready.map(|host| host.daemon().callers()));
            Timer::after(PAUSE).await;
        }
    }

    async fn apply_documents(&self) -> io::Result<()> {
        let hosts = self.hosts();
        let control = hosts.first().ok_or_else(|| io::Error::other("a site needs an entry"))?;
        let control = control.daemon().control().clone();
        let start = control::clock::instant();
        for (index, document) in self.plan().documents.iter().enumerate() {
            let seen = Revision(index as u64);
            let change = Change { seen, document: document.clone() };
            let operation = format!("site-{}", document.organisation);
            let stamp = Stamp { operation, author: "demo".to_owned() };
            while let Err(error) = control.apply(stamp.clone(), change.clone()).await {
                if start.elapsed() > START {
                    return Err(io::Error::other(format!("apply: {error}")));
                }
                Timer::after(PAUSE).await;
            }
        }
        Ok(())
    }

    async fn wait_until_ready(&self) -> io::Result<()> {
        let start = control::clock::instant();
        let serving = self.instances().len();
        loop {
            let ready = self.hosts().iter().all(|host| host.daemon().is_ready());
            let rows = self.rows("instance/");
            let there = rows.iter().filter(|row| row.value.contains("\"serving\"")).count();
            if ready && there >= serving {
                return Ok(());
            }
            if start.elapsed() > START {
                let what = format!("not ready: {there} of {serving} instances serve");
                return Err(io::Error::other(what));
            }
            Timer::after(PAUSE).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}
