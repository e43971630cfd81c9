//! Finds the tenant of a key.

use std::collections::BTreeMap;
use std::fmt;
use std::hash::BuildHasher;
use std::hash::RandomState;
use std::hint::black_box;

use crate::Config;

/// The keys of a configuration.
///
/// Keys are ordered by a digest that differs between processes, and those of the same digest are compared in
/// constant time: how long a lookup takes tells a caller nothing about the keys that there are.
#[derive(Clone, Default)]
pub struct Index {
    hasher: RandomState,
    entries: BTreeMap<u64, Vec<Entry>>,
}

/// A key and its tenant.
#[derive(Clone)]
struct Entry {
    key: Box<str>,
    tenant: Box<str>,
}

impl Index {
    /// The tenant of a key. Of a key that two tenants have, the first one in the order of their names.
    pub fn tenant(&self, key: &str) -> Option<&str> {
        let candidates = self.entries.get(&self.hasher.hash_one(key))?;
        let found = candidates.iter().find(|entry| is_equal(&entry.key, key))?;
        Some(&found.tenant)
    }
}

impl From<&Config> for Index {
    fn from(config: &Config) -> Self {
        let mut index = Self::default();
        for (name, tenant) in config.tenants.iter().flatten() {
            // Nobody can present an empty key.
            for key in tenant.keys.iter().filter(|key| !key.is_empty()) {
                let entry = Entry { key: key.as_str().into(), tenant: name.as_str().into() };
                let digest = index.hasher.hash_one(key.as_str());
                index.entries.entry(digest).or_default().push(entry);
            }
        }
        index
    }
}

/// Shows no key.
impl fmt::Debug for Index {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Index").field("digests", &self.entries.len()).finish()
    }
}

/// Compares in a time that depends on the lengths only.
fn is_equal(one: &str, other: &str) -> bool {
    let differences =
        one.bytes().zip(other.bytes()).fold(0, |all, (a, b)| black_box(all | (a ^ b)));
    one.len() == other.len() && differences == 0
}
