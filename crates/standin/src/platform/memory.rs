//! The platform's services in memory.

use std::collections::BTreeMap;
use std::mem;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use fleet::time::Time;
use platform::instance::Listed;
use platform::table::Operation;
use platform::table::Position;
use platform::table::Row;
use platform::table::Transaction;

use super::Counters;
use super::Faults;
use super::fault::Switches;
use super::fault::covers;
use super::late::Late;
use super::store::Store;

/// What all clients share.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    pub(crate) store: Store,
    pub(crate) frozen: BTreeMap<String, Store>,
    pub(crate) switches: Switches,
    pub(crate) late: Vec<Late>,
    pub(crate) counters: Counters,
    pub(crate) now: Time,
    pub(crate) capacity: Option<Capacity>,
}

/// Most calls that are answered in a second; the rest are throttled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Capacity {
    pub(crate) reads: u64,
    pub(crate) writes: u64,
}

/// The platform's services in memory, as seen by one client.
///
/// Clones share the state; [`Memory::client`] gives the view of another client. Implements
/// [`Table`](platform::table::Table), [`object::Store`](platform::object::Store) and
/// [`List`](platform::instance::List) with no I/O: the futures are ready at once.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    shared: Arc<Mutex<Shared>>,
    name: Arc<str>,
}

impl Memory {
    /// Empty services.
    pub fn new() -> Self {
        Self::default()
    }

    /// The view of the client called `name`, best as `data-centre/instance`.
    pub fn client(&self, name: &str) -> Self {
        Self { shared: Arc::clone(&self.shared), name: name.into() }
    }

    /// Sets what goes wrong for `scope` until further notice: everyone (`""`), the clients of a
    /// data centre (`"porto"`), or one client (`"porto/entry-1"`).
    pub fn set(&self, scope: &str, faults: Faults) {
        let mut shared = self.lock();
        shared.switches.set(scope, faults);
        if faults.stale || faults.lagging_list {
            shared.freeze(scope);
        } else {
            shared.frozen.remove(scope);
        }
    }

    /// Lets one call of `scope` go wrong, after `calls` more calls that do not.
    pub fn plan(&self, scope: &str, calls: u64, faults: Faults) {
        let mut shared = self.lock();
        shared.switches.plan(scope, calls, faults);
        if faults.stale || faults.lagging_list {
            shared.freeze(scope);
        }
    }

    /// Lets writes that [`Faults::slow`] held back arrive, in order. Returns how many took effect.
    pub fn arrive(&self) -> usize {
        let mut shared = self.lock();
        let late = mem::take(&mut shared.late);
        late.into_iter().filter_map(|write| write.arrive(&mut shared.store).then_some(())).count()
    }

    /// Loses the writes that [`Faults::slow`] held back. Returns how many there were.
    pub fn lose(&self) -> usize {
        mem::take(&mut self.lock().late).len()
    }

    /// Tells the time, for [`Self::limit`] and the peaks of the [`Counters`].
    pub fn tick(&self, now: Time) {
        let mut shared = self.lock();
        shared.now = shared.now.max(now);
    }

    /// Answers at most this many calls a second; the rest are throttled.
    pub fn limit(&self, reads: u64, writes: u64) {
        self.lock().capacity = Some(Capacity { reads, writes });
    }

    /// What was asked so far.
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    /// Starts counting afresh.
    pub fn reset_counters(&self) {
        self.lock().counters = Counters::default();
    }

    /// Puts `listed` on the instance list, in place of one of the same name.
    pub fn list_instance(&self, listed: Listed) {
        let instances = &mut self.lock().store.instances;
        instances.retain(|known| known.name != listed.name);
        instances.push(listed);
    }

    /// Takes an instance off the list.
    pub fn unlist_instance(&self, name: &str) {
        self.lock().store.instances.retain(|known| known.name != name);
    }

    /// Takes the restarts that entries have asked for since the last call, as names of instances.
    pub fn take_restarts(&self) -> Vec<String> {
        self.lock().store.take_restarts()
    }

    /// Forgets the changes so far, so that older positions are answered as truncated.
    pub fn forget_changes(&self) {
        self.lock().store.forget_changes();
    }

    /// The last commit's position.
    pub fn position(&self) -> Position {
        self.lock().store.position()
    }

    /// The position that this client's next read reflects.
    pub fn reflected(&self) -> Position {
        let shared = self.lock();
        let stale = shared.switches.next(&self.name).stale;
        if stale { shared.stale(&self.name).position() } else { shared.store.position() }
    }

    /// All rows whose keys start with `prefix`, whatever is switched on.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.lock().store.scan(prefix, "", usize::MAX)
    }

    /// How often the transactions of this name took effect.
    pub fn effects(&self, operation: &Operation) -> u32 {
        self.lock().store.effects(operation)
    }

    /// Commits whatever is switched on, as another client would.
    pub fn force(&self, transaction: &Transaction) -> platform::table::Commit {
        self.lock().store.commit(transaction)
    }

    /// What goes wrong in this client's next call.
    pub fn faults(&self) -> Faults {
        self.lock().switches.next(&self.name)
    }

    /// This client's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("no holder panics")
    }
}

impl Shared {
    fn freeze(&mut self, scope: &str) {
        let store = self.store.clone();
        self.frozen.entry(scope.to_owned()).or_insert(store);
    }

    /// The state that a client with stale reads is answered from.
    pub(crate) fn stale(&self, client: &str) -> &Store {
        let frozen = self.frozen.iter().filter(|(scope, _)| covers(scope, client));
        let oldest = frozen.map(|(_, store)| store).min_by_key(|store| store.position());
        oldest.unwrap_or(&self.store)
    }
}
