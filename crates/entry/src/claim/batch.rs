//! Conditional writes of several rows in one transaction.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use platform::table::Commit;
use platform::table::Condition;
use platform::table::Operation;
use platform::table::Row;
use platform::table::Transaction;
use platform::table::Version;
use platform::table::Write;

/// Maximum number of keys in one transaction.
const MAX_KEYS: usize = 64;

/// Maximum size of all values in one transaction, in bytes; a single larger value is allowed.
const MAX_BYTES: usize = 256 << 10;

/// A conditional write of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item<T> {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; [`Version::ABSENT`] if it must not exist.
    pub version: Version,
    /// New value, or `None` to delete the row.
    pub value: Option<String>,
    /// Data that the sender gets back once the write is settled.
    pub tag: T,
}

/// Result of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The row was written and has this version.
    Done(Version),
    /// The row has another version; this is the row.
    Conflict(Row),
    /// The row does not exist.
    Missing,
}

/// Writes of one transaction, each of a different row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch<T> {
    items: Vec<Item<T>>,
}

impl<T> Batch<T> {
    /// Removes from `waiting` the writes that fit into one transaction. Writes to one row keep
    /// their order.
    pub fn take(waiting: &mut VecDeque<Item<T>>) -> Self {
        let mut keys = BTreeSet::new();
        let mut bytes = 0;
        let mut items = Vec::new();
        let mut later = VecDeque::new();
        while let Some(item) = waiting.pop_front() {
            bytes += item.value.as_ref().map_or(0, String::len);
            let full = items.len() >= MAX_KEYS || (bytes > MAX_BYTES && !items.is_empty());
            if full {
                later.push_back(item);
                break;
            }
            if keys.insert(item.key.clone()) {
                items.push(item);
            } else {
                later.push_back(item);
            }
        }
        later.append(waiting);
        *waiting = later;
        Self { items }
    }

    /// Whether no write is left.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// A key whose row shows whether the transaction took effect, since all rows are written or
    /// none. `None` if it only deletes rows.
    pub fn probe_key(&self) -> Option<&str> {
        self.items.iter().find(|item| item.value.is_some()).map(|item| item.key.as_str())
    }

    /// Builds the transaction of the writes that are left.
    pub fn transaction(&self, operation: Operation) -> Transaction {
        let conditions = self.items.iter().map(|item| {
            let Item { key, version, .. } = item;
            Condition { key: key.clone(), version: *version }
        });
        let writes = self.items.iter().map(|item| {
            let Item { key, value, .. } = item;
            Write { key: key.clone(), value: value.clone() }
        });
        Transaction { operation, conditions: conditions.collect(), writes: writes.collect() }
    }

    /// Removes the writes that a commit settled. Those that are left were not written and have to
    /// be committed again.
    pub fn settle(&mut self, commit: Commit) -> Vec<(Item<T>, Settled)> {
        match commit {
            Commit::Done(position) => {
                let version = Version(position.0);
                self.drain().map(|item| (item, Settled::Done(version))).collect()
            }
            Commit::Conflict(row) => {
                let key = row.key.clone();
                self.take_one(&key, Settled::Conflict(row))
            }
            Commit::Missing(key) => self.take_one(&key, Settled::Missing),
        }
    }

    /// Removes all writes that are left.
    pub fn drain(&mut self) -> impl Iterator<Item = Item<T>> {
        self.items.drain(..)
    }

    fn take_one(&mut self, key: &str, settled: Settled) -> Vec<(Item<T>, Settled)> {
        let found = self.items.iter().position(|item| item.key == key);
        found.map(|index| (self.items.remove(index), settled)).into_iter().collect()
    }
}
