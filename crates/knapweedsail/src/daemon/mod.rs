//! One entry instance, whole: request path, peers, control loop and the operators' address.

mod path;
mod probe;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use control::Control;
use entry::Entry;
use entry::Stopped;
use fleet::view::View;
use peer::Peer;
use peer::Spread;
use platform::client::Client;
use platform::outage::Class;
use platform::table::Table;
use quick_error::quick_error;

use crate::admin::Admin;
use crate::settings::Settings;
use path::Path;
use probe::Probe;

/// How often it is looked at whether callers may be served.
const READINESS_PAUSE: Duration = Duration::from_millis(200);
/// How often the platform's budget is shared anew among the entries that are alive.
const SHARE_PAUSE: Duration = Duration::from_secs(5);
/// How long after a pause of the process the control loop has for a newer view.
const REFRESH_PAUSE: Duration = Duration::from_millis(300);
/// Longest wait for duties to be handed over at a stop.
const HAND_OVER: Duration = Duration::from_secs(5);

quick_error! {
    /// Why an entry could not start.
    #[derive(Debug)]
    pub enum Error {
        /// An address could not be bound.
        Bind(what: &'static str, address: SocketAddr, error: io::Error) {
            display("{what} at {address}: {error}")
        }
        /// A key is not what it should be.
        Key(id: u8) {
            display("key {id} is no secret")
        }
    }
}

/// A running entry instance.
#[derive(Clone, Debug)]
pub struct Daemon {
    settings: Arc<Settings>,
    entry: Entry,
    peer: Peer,
    control: Control,
    client: Client,
    admin: Admin<Probe>,
    probe: Probe,
}

impl Daemon {
    /// Binds all addresses of the settings and starts serving on `executor`, but for callers'
    /// requests, which have a thread of their own.
    pub fn open(executor: &Arc<Executor<'static>>, settings: Settings) -> Result<Self, Error> {
        let client = open_client(&settings);
        let table = client.of_class(Class::Request);
        Self::open_with(executor, settings, client, table)
    }

    /// The same with another way to the table for the request path.
    pub fn open_with<T: Table>(
        executor: &Arc<Executor<'static>>,
        settings: Settings,
        client: Client,
        table: T,
    ) -> Result<Self, Error> {
        let origin = control::clock::instant();
        let peer = Peer::bind(executor, peer_settings(&settings, origin)?)
            .map_err(|error| Error::Bind("peers", settings.peers, error))?;
        let incarnation = peer.incarnation();
        let entry = Entry::bind(entry_settings(&settings, incarnation), table, View::default())
            .map_err(|error| Error::Bind("callers", settings.callers, error))?;
        let path = Path::new(entry.clone());
        let control = Control::spawn(
            executor,
            control::Settings {
                name: settings.name.clone(),
                data_centre: settings.data_centre.clone(),
                incarnation,
                origin,
                ..control::Settings::default()
            },
            client.clone(),
            client.clone(),
            client.clone(),
            peer.clone(),
            path.clone(),
        );
        let probe = Probe::new(entry.clone(), peer.clone(), client.clone());
        let admin = Admin::bind(executor, settings.admin, control.clone(), probe.clone())
            .map_err(|error| Error::Bind("admin", settings.admin, error))?;
        let settings = Arc::new(settings);
        let this = Self { settings, entry, peer, control, client, admin, probe };
        executor.spawn(this.clone().watch_readiness()).detach();
        executor.spawn(this.clone().share_budget(origin)).detach();
        executor.spawn(refresh(this.entry.clone(), path)).detach();
        Ok(this)
    }

    /// Where callers reach it.
    pub fn callers(&self) -> SocketAddr {
        self.entry.address()
    }

    /// Where operators reach it.
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Whether the balancer may send callers.
    pub fn is_ready(&self) -> bool {
        crate::admin::Probe::is_ready(&self.probe)
    }

    /// The control loop, to be asked.
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// The request path.
    pub fn entry(&self) -> &Entry {
        &self.entry
    }

    /// The peers.
    pub fn peer(&self) -> &Peer {
        &self.peer
    }

    /// The platform.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Stops without cutting off a request: readiness off, callers finished, duties handed over,
    /// peers told.
    pub async fn stop(&self) -> Stopped {
        let grace = Duration::from_millis(self.settings.grace_ms.into());
        let limit = Duration::from_millis(self.settings.stop_ms.into());
        tracing::info!(event = "stopping", entry = self.settings.name);
        let stopped = self.entry.stop(grace, limit).await;
        let hand_over = async {
            let _ = self.control.stop().await;
        };
        let late = async {
            Timer::after(HAND_OVER).await;
        };
        futures_lite::future::or(hand_over, late).await;
        self.peer.leave();
        tracing::info!(
            event = "stopped",
            entry = self.settings.name,
            cut_off = stopped.cut_off as u64
        );
        stopped
    }

    async fn watch_readiness(self) {
        while let Ok(ready) = self.control.is_ready().await {
            self.probe.note(ready);
            Timer::after(READINESS_PAUSE).await;
        }
        self.probe.note(false);
    }

    async fn share_budget(self, origin: std::time::Instant) {
        let clock = control::clock::Clock::new(origin);
        loop {
            let members = self.peer.members(clock.now());
            let alive = members.iter().filter(|member| member.status == peer::Status::Alive);
            self.client.share(alive.count() as u32 + 1);
            Timer::after(SHARE_PAUSE).await;
        }
    }
}

/// Answers the request path's wish for a newer view after a pause of the process.
async fn refresh(entry: Entry, path: Path) {
    let wishes = entry.refresh_requests();
    while wishes.recv().await.is_ok() {
        Timer::after(REFRESH_PAUSE).await;
        path.repeat();
    }
}

fn open_client(settings: &Settings) -> Client {
    Client::open(platform::client::Settings {
        addresses: vec![settings.platform],
        name: format!("{}/{}", settings.data_centre, settings.name),
        entries: settings.seeds.len() as u32 + 1,
        seed: u64::from(settings.peers.port()) ^ u64::from(std::process::id()),
        ..platform::client::Settings::default()
    })
}

fn entry_settings(settings: &Settings, seed: u64) -> entry::Settings {
    entry::Settings {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        callers: settings.callers,
        seed,
        ..entry::Settings::default()
    }
}

fn peer_settings(settings: &Settings, origin: std::time::Instant) -> Result<peer::Settings, Error> {
    let mut keys = Vec::new();
    for key in &settings.keys {
        let secret = key.bytes().ok_or(Error::Key(key.id))?;
        keys.push(wire::Key::new(key.id.into(), secret).ok_or(Error::Key(key.id))?);
    }
    Ok(peer::Settings {
        name: settings.name.clone(),
        region: settings.region.clone(),
        data_centre: settings.data_centre.clone(),
        bind: settings.peers,
        seeds: settings.seeds.clone(),
        beyond: settings.beyond.clone(),
        keys,
        origin,
    })
}
