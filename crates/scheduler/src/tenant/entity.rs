//! What the scheduler knows of tenants.

use std::collections::BTreeMap;

use super::Usage;
use crate::Config;
use crate::config::Cap;
use crate::job::Step;

/// Index of a tenant in the scheduler's arena; valid for one term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::From, derive_more::Into)]
pub struct Key(u32);

/// A tenant, as the configuration in force or the row of a job names it.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share when all is full; None if the configuration in force does not name the tenant.
    pub weight: Option<f64>,
    /// What its tasks may use at once. The last one known, if the configuration does not name the tenant any more.
    pub cap: Cap,
    /// What its tasks may be using: all that is booked on instances for them.
    pub used: Usage,
    /// When the job was submitted from whose row its cap is known, by the store's clock in milliseconds; zero if
    /// a configuration has named the tenant.
    cap_from_ms: u64,
}

/// All tenants of a term.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    entries: Vec<Tenant>,
    keys: BTreeMap<String, Key>,
}

impl Tenants {
    /// The key of a named tenant, which is added if it is not known.
    pub fn intern(&mut self, name: &str) -> Key {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = Key(self.entries.len() as u32);
        self.entries.push(Tenant { name: name.to_owned(), ..Tenant::default() });
        self.keys.insert(name.to_owned(), key);
        key
    }

    /// The key of the tenant that the row of a job names, which was submitted at `submitted_ms` on the store's
    /// clock. Where no configuration of this term has named the tenant, the cap in the newest such row counts.
    pub(crate) fn restore(&mut self, name: &str, cap: Cap, submitted_ms: u64) -> Key {
        let known = self.keys.contains_key(name);
        let key = self.intern(name);
        let tenant = &mut self.entries[key.0 as usize];
        let is_newer = tenant.cap_from_ms > 0 && submitted_ms > tenant.cap_from_ms;
        if !known || is_newer {
            tenant.cap = cap;
            tenant.cap_from_ms = submitted_ms.max(1);
        }
        key
    }

    /// The tenant with a key.
    pub fn get(&self, key: Key) -> &Tenant {
        &self.entries[key.0 as usize]
    }

    /// What the tasks of a tenant may be using: all that is booked on instances for them.
    pub fn usage(&self, key: Key) -> Usage {
        self.get(key).used
    }

    /// Counts a task of `step` as one that the tenant may have running if `booked`, else as one that it has not.
    pub(crate) fn book(&mut self, key: Key, step: &Step, booked: bool) {
        let used = &mut self.entries[key.0 as usize].used;
        let task = Usage::of(step, 1);
        *used = if booked { used.plus(task) } else { used.minus(task) };
    }

    /// All tenants.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Tenant)> {
        self.entries.iter().enumerate().map(|(index, tenant)| (Key(index as u32), tenant))
    }

    /// Applies a configuration. Tenants that it does not name stay, since jobs may still run on their behalf.
    pub fn configure(&mut self, config: &Config) {
        for tenant in &mut self.entries {
            tenant.weight = None;
        }
        for (name, configured) in config.tenants.iter().flatten() {
            let key = self.intern(name);
            let tenant = &mut self.entries[key.0 as usize];
            tenant.weight = Some(configured.weight);
            tenant.cap = configured.cap;
            tenant.cap_from_ms = 0;
        }
    }
}
