//! Conditional writes of several keys in one transaction.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use platform::table::Commit;
use platform::table::Condition;
use platform::table::Operation;
use platform::table::Row;
use platform::table::Transaction;
use platform::table::Version;
use platform::table::Write;

/// Most keys in one transaction.
const MAX_KEYS: usize = 64;

/// Most bytes of values in one transaction.
const MAX_BYTES: usize = 256 << 10;

/// A conditional write of one row, with something that its sender needs when it is settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item<T> {
    /// The row's key.
    pub key: String,
    /// The version that it must have.
    pub version: Version,
    /// Its new value, or nothing to delete it.
    pub value: Option<String>,
    /// What its sender needs.
    pub tag: T,
}

/// How a write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The row is written and has this version.
    Done(Version),
    /// The row is another.
    Conflict(Row),
    /// The row is not there.
    Missing,
}

/// Writes that go into one transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch<T> {
    items: Vec<Item<T>>,
}

impl<T> Batch<T> {
    /// Takes from `waiting` what fits into one transaction. Writes to one row keep their order.
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

    /// Whether nothing is left in it.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// A key whose row tells whether the transaction took effect: all are written, or none.
    /// Nothing where it only deletes.
    pub fn probe_key(&self) -> Option<&str> {
        self.items.iter().find(|item| item.value.is_some()).map(|item| item.key.as_str())
    }

    /// The transaction.
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

    /// Takes out what a commit has settled. What is left was not written and goes again.
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

    /// Takes out all that is left.
    pub fn drain(&mut self) -> impl Iterator<Item = Item<T>> {
        self.items.drain(..)
    }

    fn take_one(&mut self, key: &str, settled: Settled) -> Vec<(Item<T>, Settled)> {
        let found = self.items.iter().position(|item| item.key == key);
        found.map(|index| (self.items.remove(index), settled)).into_iter().collect()
    }
}
