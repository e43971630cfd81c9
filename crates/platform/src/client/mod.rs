//! The platform over HTTP and JSON, as docs/PLATFORM.md has it.
//!
//! * [`Client`]: implements the traits of [`table`](crate::table), [`object`](crate::object) and
//!   [`instance`](crate::instance).
//! * [`Settings`]: what it is told at its start.
//! * [`Counters`]: what it sent, shed and waited for.

mod answer;
mod call;
mod counters;
mod pool;
mod settings;
mod traits;

pub use counters::Counters;
pub use settings::Concurrency;
pub use settings::Deadlines;
pub use settings::Settings;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::budget::Budget;
use crate::clock::Clock;
use crate::outage::Class;
use crate::outage::Outage;
use crate::outage::State;
use crate::table::Position;
use counters::Cells;
use pool::Pool;

/// The platform over HTTP and JSON. Clones share connections, budget and outage state.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<Shared>,
    class: Class,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    clock: Clock,
    pool: Pool,
    cells: Cells,
    state: Mutex<Policy>,
}

/// What decides whether a call is sent.
#[derive(Debug)]
struct Policy {
    outage: Outage,
    budget: Budget,
    under_way: [usize; 3],
    random: ChaCha8Rng,
    /// The highest position that any answer reflected.
    known: Position,
}

impl Client {
    /// Gets ready; connections are opened as calls need them. Its calls are of
    /// [`Class::Control`].
    pub fn open(settings: Settings) -> Self {
        let policy = Policy {
            outage: Outage::default(),
            budget: Budget::new(settings.site, settings.entries),
            under_way: [0; 3],
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            known: Position::default(),
        };
        let pool = Pool::new(settings.addresses.clone(), settings.idle);
        let shared = Shared {
            settings,
            clock: Clock::open(),
            pool,
            cells: Cells::default(),
            state: Mutex::new(policy),
        };
        Self { shared: Arc::new(shared), class: Class::Control }
    }

    /// The same client, its calls being of another class. Writes of [`Class::Control`] count as
    /// [`Class::Duty`].
    pub fn of_class(&self, class: Class) -> Self {
        Self { shared: Arc::clone(&self.shared), class }
    }

    /// Shares the site's budget among so many entries from now on, and never among fewer than
    /// [`Settings::entries`]: an entry that sees few others may be cut off from them, or new.
    pub fn share(&self, entries: u32) {
        let entries = entries.max(self.shared.settings.entries);
        let now = self.shared.clock.now();
        self.shared.lock().budget.share(now, entries);
    }

    /// Whether the platform answers, as far as this entry can tell.
    pub fn state(&self) -> State {
        self.shared.lock().outage.state()
    }

    /// What it sent, shed and waited for so far.
    pub fn counters(&self) -> Counters {
        self.shared.cells.read()
    }

    /// The highest position that any answer reflected.
    pub fn known(&self) -> Position {
        self.shared.lock().known
    }

    /// Takes note of a position that others know of: older answers are refused from now on.
    pub fn learn(&self, position: Position) {
        let mut policy = self.shared.lock();
        policy.known = policy.known.max(position);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Policy> {
        self.state.lock().expect("no holder panics")
    }
}
