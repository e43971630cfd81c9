//! The control loop of one entry, split into steps.
//!
//! An [`Engine`] starts nothing by itself: each step takes the present time as an argument and does
//! a bounded amount of work. A running [`Control`](crate::Control) repeats the steps; tests call
//! them one by one, in virtual time.
//!
//! | step | what it does |
//! |---|---|
//! | [`follow`](Engine::follow) | applies the table's changes |
//! | [`gossip`](Engine::gossip) | exchanges reports with peers, updates the request path's view |
//! | [`heartbeat`](Engine::heartbeat) | writes this entry's member row |
//! | [`rebalance`](Engine::rebalance) | acquires duties and transfers them to other entries |
//! | [`discover`](Engine::discover) | reads the instance list |
//! | [`poll`](Engine::poll) | reads one instance's report and sends it its epoch |
//! | [`decide`](Engine::decide) | plans and commits the decisions of the held duties |
//! | [`instruct`](Engine::instruct) | sends an instance the commands about its attempts |
//! | [`restart`](Engine::restart) | asks the platform to restart instances stopped by a wave |
//! | [`snapshot`](Engine::snapshot) | writes a snapshot of the table |
//! | [`collect_garbage`](Engine::collect_garbage) | deletes rows that are no longer needed |

mod act;
mod apply;
mod beat;
mod client;
mod commit;
mod decide;
mod follow;
mod gossip;
mod instruct;
mod jobs;
mod poll;
mod restart;
mod rollout;
mod share;
mod snapshot;
mod state;
mod status;
mod survey;
mod tidy;

pub use client::HttpClient;
pub use client::InstanceClient;
pub use commit::Outcome;
pub use decide::Round;
pub use state::State;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use fleet::time::Time;
use peer::Spread;
use platform::instance::List;
use platform::object::Store;
use platform::table::Table;
use platform::wait::Wait;

use crate::Path;
use crate::Settings;
use crate::rows::Scoped;

/// The types of an [`Engine`]'s dependencies, so that tests can replace each with a fake.
pub trait Environment: Send + Sync + 'static {
    /// The table service.
    type Table: Table;
    /// The object store.
    type Objects: Store;
    /// The instance list.
    type List: List;
    /// Gossip with the other entries.
    type Spread: Spread;
    /// The request path.
    type Path: Path;
    /// The client for calls to instances.
    type Instances: InstanceClient;
    /// Timer for the wait between two tries.
    type Wait: Wait;
}

/// The dependencies of an [`Engine`].
#[derive(Debug)]
pub struct Dependencies<E: Environment> {
    /// The table service.
    pub table: E::Table,
    /// The object store.
    pub objects: E::Objects,
    /// The instance list.
    pub list: E::List,
    /// Gossip with the other entries.
    pub spread: E::Spread,
    /// The request path.
    pub path: E::Path,
    /// The client for calls to instances.
    pub instances: E::Instances,
    /// Timer for the wait between two tries.
    pub wait: E::Wait,
}

/// The control loop of one entry. Clones are handles to the same one.
pub struct Engine<E: Environment> {
    core: Arc<Core<E>>,
}

struct Core<E: Environment> {
    settings: Settings,
    table: Scoped<E::Table>,
    objects: E::Objects,
    list: E::List,
    spread: E::Spread,
    path: E::Path,
    instances: E::Instances,
    wait: E::Wait,
    /// Monotonic time zero as time since 1970: added to monotonic time, it gives
    /// [row time](Engine::row_time).
    unix_origin: Duration,
    state: Mutex<State>,
}

impl<E: Environment> Clone for Engine<E> {
    fn clone(&self) -> Self {
        Self { core: Arc::clone(&self.core) }
    }
}

impl<E: Environment> Engine<E> {
    /// Creates an engine that starts at the monotonic time `now`; `unix_origin` plus a monotonic
    /// time is the time since 1970.
    pub fn new(
        settings: Settings,
        dependencies: Dependencies<E>,
        unix_origin: Duration,
        now: Time,
    ) -> Self {
        let state = Mutex::new(State::new(&settings, now));
        let Dependencies { table, objects, list, spread, path, instances, wait } = dependencies;
        let table = Scoped(table);
        let core = Core {
            settings,
            table,
            objects,
            list,
            spread,
            path,
            instances,
            wait,
            unix_origin,
            state,
        };
        Self { core: Arc::new(core) }
    }

    /// The settings that it was started with.
    pub fn settings(&self) -> &Settings {
        &self.core.settings
    }

    /// Locks the engine's state. All steps need the lock: hold the guard briefly, and never across
    /// an `await`.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.core.state.lock().expect("no holder panics")
    }

    /// Converts monotonic time to the time used in rows, which counts from 1970.
    pub fn row_time(&self, now: Time) -> Time {
        now + self.core.unix_origin
    }
}
