//! Records in the store when the leases of unresponsive instances expire.
//!
//! Handles an instance that becomes unresponsive shortly before the leader changes: without the
//! record, the next leader would have to wait for every lease that the previous one might have
//! granted since. An instance counts that runs tasks, or that may run some which no leader has
//! recorded.

use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::instance;
use crate::instance::Expiry;
use crate::instance::Instance;

/// Time without answer before a record is written: shorter outages usually end by themselves.
const MIN_UNRESPONSIVE: Duration = Duration::from_millis(800);

/// Added to the recorded time, for the difference between the scheduler's clock and the store's.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);

/// A change of the stored record that tells when the leases of an instance expire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiryChange {
    /// Name of the instance.
    pub instance: String,
    /// When its leases have expired, on the store's clock in milliseconds; None to delete the
    /// record.
    pub expires_ms: Option<u64>,
}

impl Core {
    /// Whether any record has to be written or deleted.
    pub(super) fn has_expiry_changes(&self, now: Time) -> bool {
        debug_assert!(self.tracks_expiries(now), "an instance is not tracked");
        self.expiries.iter().any(|&key| {
            let instance = self.instance(key);
            match instance.expiry {
                Expiry::None => self.needs_expiry(now, instance),
                Expiry::Set => instance.unresponsive_since.is_none(),
                Expiry::Setting | Expiry::Clearing => false,
            }
        })
    }

    /// Whether all instances are tracked that have a record or need one. Most instances of a term have
    /// neither: each move or restart of a machine adds one that is gone for good.
    fn tracks_expiries(&self, now: Time) -> bool {
        self.instances().all(|(key, instance)| {
            let idle = instance.expiry == Expiry::None && !self.needs_expiry(now, instance);
            idle || self.expiries.contains(&key)
        })
    }

    /// Whether the store lacks the time at which the leases of an instance expire, and the next
    /// leader would have to know it.
    fn needs_expiry(&self, now: Time, instance: &Instance) -> bool {
        let unresponsive =
            instance.unresponsive_since.is_some_and(|at| now.since(at) >= MIN_UNRESPONSIVE);
        unresponsive
            && (!instance.tasks.is_empty()
                || self.may_run_unrecorded(now, instance)
                || self.is_awaited(now, instance))
            && now < instance.leases_expire_at(&self.tuning)
    }

    /// Whether an instance that the instance list lacks may run tasks which the previous leader has not
    /// recorded: its machine is listed, so tasks wait until its leases have expired.
    fn is_awaited(&self, now: Time, instance: &Instance) -> bool {
        self.unrecorded_starts
            && !instance.synced
            && now < self.inherited_until()
            && self.operations.host_by_instance.contains_key(&instance.report.id)
    }

    /// Takes at most `max` changes of records for the next write. `store_ms` is the store's clock
    /// in milliseconds.
    pub fn take_expiry_changes(
        &mut self,
        now: Time,
        store_ms: u64,
        max: usize,
    ) -> Vec<ExpiryChange> {
        let tuning = self.tuning;
        let mut changes = Vec::new();
        let keys: Vec<instance::Key> = self.expiries.iter().copied().collect();
        for key in keys {
            if changes.len() >= max {
                break;
            }
            let needed = self.needs_expiry(now, self.instance(key));
            let instance = self.instance_mut(key);
            let id = &instance.report.id;
            match instance.expiry {
                Expiry::None if !needed => {
                    // Nothing prolongs the leases of an instance while it is unresponsive.
                    let settled = instance.unresponsive_since.is_none()
                        || now >= instance.leases_expire_at(&tuning);
                    if settled {
                        self.expiries.remove(&key);
                    }
                }
                Expiry::None => {
                    let expires_at = instance.leases_expire_at(&tuning);
                    instance.expiry = Expiry::Setting;
                    let remaining = expires_at.since(now) + CLOCK_MARGIN;
                    let expires_ms = Some(store_ms.saturating_add(remaining.as_millis() as u64));
                    changes.push(ExpiryChange { instance: id.clone(), expires_ms });
                }
                Expiry::Set if instance.unresponsive_since.is_none() => {
                    instance.expiry = Expiry::Clearing;
                    changes.push(ExpiryChange { instance: id.clone(), expires_ms: None });
                }
                Expiry::Set | Expiry::Setting | Expiry::Clearing => {}
            }
        }
        changes
    }

    pub(super) fn finish_expiry_write(&mut self) {
        for &key in &self.expiries {
            let instance = &mut self.instances[u32::from(key) as usize];
            instance.expiry = match instance.expiry {
                Expiry::Setting => Expiry::Set,
                Expiry::Clearing => Expiry::None,
                other => other,
            };
        }
    }

    pub(super) fn abort_expiry_write(&mut self) {
        for &key in &self.expiries {
            let instance = &mut self.instances[u32::from(key) as usize];
            instance.expiry = match instance.expiry {
                Expiry::Setting => Expiry::None,
                Expiry::Clearing => Expiry::Set,
                other => other,
            };
        }
    }

    /// Restores a record that a previous leader wrote: the leases of the instance expire at `at`.
    pub fn restore_expiry(&mut self, now: Time, id: &str, at: Time) {
        let key = match self.keys.get(id) {
            Some(key) => *key,
            None => self.add_unlisted(now, id),
        };
        info!(event = "silence", runner = id, left_ms = at.since(now).as_millis());
        let instance = self.instance_mut(key);
        instance.inherited_until = at;
        instance.expiry = Expiry::Set;
        // The record must not be deleted before the instance has answered this leader.
        instance.unresponsive_since = Some(now);
        self.expiries.insert(key);
    }
}
