//! One entry's part in running the site, a step at a time.
//!
//! An [`Engine`] does nothing by itself: each of its steps is handed the present time and does a
//! bounded piece of work. A running [`Control`](crate::Control) repeats them; tests take them one by
//! one, in virtual time.
//!
//! | step | what it does |
//! |---|---|
//! | [`follow`](Engine::follow) | reads the table's changes |
//! | [`gossip`](Engine::gossip) | hears peers, hands a view to the request path, tells peers |
//! | [`heartbeat`](Engine::heartbeat) | writes this entry's row |
//! | [`rebalance`](Engine::rebalance) | takes up and hands over duties |
//! | [`discover`](Engine::discover) | reads the instance list |
//! | [`poll`](Engine::poll) | asks one instance how it is and tells it its epoch |
//! | [`decide`](Engine::decide) | carries out what the held duties want |
//! | [`instruct`](Engine::instruct) | tells a worker what was decided about its attempts |
//! | [`restart`](Engine::restart) | has the platform restart instances that a wave has stopped |
//! | [`snapshot`](Engine::snapshot) | writes a snapshot of the table |
//! | [`collect_garbage`](Engine::collect_garbage) | removes rows that are over and done with |

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

/// What an [`Engine`] is built from: one type each, so that fakes can stand in.
pub trait Environment: Send + Sync + 'static {
    /// The table service.
    type Table: Table;
    /// The object store.
    type Objects: Store;
    /// The instance list.
    type List: List;
    /// The other entries.
    type Spread: Spread;
    /// The request path.
    type Path: Path;
    /// The instances.
    type Instances: InstanceClient;
    /// How to wait.
    type Wait: Wait;
}

/// The parts themselves.
#[derive(Debug)]
pub struct Dependencies<P: Environment> {
    /// The table service.
    pub table: P::Table,
    /// The object store.
    pub objects: P::Objects,
    /// The instance list.
    pub list: P::List,
    /// The other entries.
    pub spread: P::Spread,
    /// The request path.
    pub path: P::Path,
    /// The instances.
    pub instances: P::Instances,
    /// How to wait between two tries.
    pub wait: P::Wait,
}

/// One entry's part in running the site. Clones are handles to the same one.
pub struct Engine<P: Environment> {
    core: Arc<Core<P>>,
}

struct Core<P: Environment> {
    settings: Settings,
    table: Scoped<P::Table>,
    objects: P::Objects,
    list: P::List,
    spread: P::Spread,
    path: P::Path,
    instances: P::Instances,
    wait: P::Wait,
    /// What is to be added to monotonic time to get the time that rows carry.
    epoch: Duration,
    state: Mutex<State>,
}

impl<P: Environment> Clone for Engine<P> {
    fn clone(&self) -> Self {
        Self { core: Arc::clone(&self.core) }
    }
}

impl<P: Environment> Engine<P> {
    /// An engine that starts at `now`; `epoch` is what to add to that to get the time since 1970.
    pub fn new(settings: Settings, kit: Dependencies<P>, epoch: Duration, now: Time) -> Self {
        let state = Mutex::new(State::new(&settings, now));
        let Dependencies { table, objects, list, spread, path, instances, wait } = kit;
        let table = Scoped(table);
        let core =
            Core { settings, table, objects, list, spread, path, instances, wait, epoch, state };
        Self { core: Arc::new(core) }
    }

    /// What it was told at its start.
    pub fn settings(&self) -> &Settings {
        &self.core.settings
    }

    /// What it knows. Not to be held for longer than it takes to look.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.core.state.lock().expect("no holder panics")
    }

    /// The time that rows carry.
    pub fn row_time(&self, now: Time) -> Time {
        now + self.core.epoch
    }
}
