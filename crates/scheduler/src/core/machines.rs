//! Handles the platform's list of machines.

use std::collections::BTreeMap;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::instance;
use crate::instance::Instance;
use crate::machine::Machine;
use crate::machine::State;

impl Core {
    /// Applies the platform's list of machines, which was requested at `requested_at`.
    pub fn apply_machines(&mut self, now: Time, requested_at: Time, machines: Vec<Machine>) {
        let machines =
            machines.into_iter().map(|machine| (machine.host.clone(), machine)).collect();
        let previous = std::mem::replace(&mut self.machines, machines);
        self.log_machines(&previous);
        self.operations.listed_at = Some(now);
        self.operations.list_requested_at = Some(requested_at);
        self.operations.host_by_instance = self
            .machines
            .values()
            .filter(|machine| !machine.instance.is_empty())
            .map(|machine| (machine.instance.clone(), machine.host.clone()))
            .collect();
        self.add_hosted(now);
        self.record_hosts(now);
        self.attribute_ends(now);
        self.unassign_vanished(now, requested_at);
        self.remove_finished_operations(now);
        self.complete_waves(now);
    }

    /// Adds the instances that only the list of machines names, while they may run tasks which the
    /// previous leader has not recorded.
    fn add_hosted(&mut self, now: Time) {
        if !self.unrecorded_starts || now >= self.inherited_until() {
            return;
        }
        let hosted = self.operations.host_by_instance.keys();
        let unknown = hosted.filter(|id| !self.keys.contains_key(*id)).cloned();
        for id in unknown.collect::<Vec<_>>() {
            self.add_unlisted(now, &id);
        }
    }

    /// Unassigns the tasks of unresponsive instances that no machine carries any more.
    ///
    /// Handles instances that crash while the platform can report it: their tasks need not wait
    /// until the leases expire.
    fn unassign_vanished(&mut self, now: Time, requested_at: Time) {
        let hosts = &self.operations.host_by_instance;
        let vanished = |instance: &Instance| {
            let unresponsive =
                instance.unresponsive_since.is_some_and(|since| since < requested_at);
            unresponsive
                && instance.answered_at < requested_at
                && !hosts.contains_key(&instance.report.id)
        };
        let vanished: Vec<instance::Key> = self
            .instances()
            .filter(|(_, instance)| !instance.tasks.is_empty() && vanished(instance))
            .map(|(key, _)| key)
            .collect();
        for key in vanished {
            let instance = self.instance_mut(key);
            instance.synced = false;
            info!(
                event = "runner",
                state = "over",
                runner = instance.report.id,
                silent_ms = now.since(instance.answered_at).as_millis(),
                tasks = instance.tasks.len(),
            );
            let sighting = self.sighting(now, key);
            let victims = self.victims(key, sighting, None);
            self.record_crash(now, key, sighting, &victims);
            self.presume_ends(key);
            self.unassign_all(now, key, |_| true);
        }
    }

    /// Whether unresponsive instances hold tasks, or a job is about to fail for a crash, so that the
    /// machine list should be read soon.
    pub fn has_tasks_on_unresponsive(&self) -> bool {
        self.awaits_attribution()
            || self.instances().any(|(_, instance)| {
                instance.unresponsive_since.is_some() && !instance.tasks.is_empty()
            })
    }

    /// Logs machines that have changed or are gone.
    fn log_machines(&self, previous: &BTreeMap<String, Machine>) {
        if previous.is_empty() {
            return;
        }
        for (host, machine) in &self.machines {
            if previous.get(host) != Some(machine) {
                let (state, pool, instance) = (machine.state, &machine.pool, &machine.instance);
                info!(event = "machine", host, state = ?state, pool, runner = instance);
            }
        }
        for host in previous.keys().filter(|host| !self.machines.contains_key(*host)) {
            info!(event = "machine", host, state = "gone");
        }
    }

    /// Updates since when each machine has been without tasks.
    pub(super) fn update_idle(&mut self, now: Time) {
        let machines = &self.machines;
        self.operations.idle_since.retain(|host, _| machines.contains_key(host));
        for (host, machine) in &self.machines {
            let key = self.keys.get(&machine.instance).copied();
            let busy = key.is_none_or(|key| {
                let instance = self.instance(key);
                !instance.tasks.is_empty() || !instance.has_address()
            });
            if busy || machine.state != State::Up {
                self.operations.idle_since.remove(host);
            } else {
                self.operations.idle_since.entry(host.clone()).or_insert(now);
            }
        }
    }
}
