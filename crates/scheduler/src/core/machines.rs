//! What the list of machines tells.

use std::collections::BTreeMap;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::instance;
use crate::instance::Instance;
use crate::machine::Machine;
use crate::machine::State;

impl Core {
    /// Takes in the machines of the site, as asked for at `asked`.
    pub fn apply_machines(&mut self, now: Time, asked: Time, machines: Vec<Machine>) {
        let machines = machines.into_iter().map(|row| (row.host.clone(), row)).collect();
        let before = std::mem::replace(&mut self.machines, machines);
        self.log_machines(&before);
        self.operations.listed_at = Some(now);
        self.operations.list_requested_at = Some(asked);
        self.operations.host_by_instance = self
            .machines
            .values()
            .filter(|machine| !machine.instance.is_empty())
            .map(|machine| (machine.instance.clone(), machine.host.clone()))
            .collect();
        self.unassign_vanished(now, asked);
        self.remove_finished_operations(now);
        self.complete_waves(now);
    }

    /// Gives up what ran on silent instances that no machine carries any more.
    ///
    /// Answers instances that crash while their platform can tell: their work need not wait until
    /// its leases have lapsed.
    fn unassign_vanished(&mut self, now: Time, asked: Time) {
        let hosts = &self.operations.host_by_instance;
        let over = |runner: &Instance| {
            let silent = runner.unresponsive_since.is_some_and(|since| since < asked);
            silent && runner.answered_at < asked && !hosts.contains_key(&runner.report.id)
        };
        let over: Vec<instance::Key> = self
            .instances()
            .filter(|(_, runner)| !runner.tasks.is_empty() && over(runner))
            .map(|(key, _)| key)
            .collect();
        for key in over {
            let runner = self.instance_mut(key);
            runner.synced = false;
            info!(
                event = "runner",
                state = "over",
                runner = runner.report.id,
                silent_ms = now.since(runner.answered_at).as_millis(),
                tasks = runner.tasks.len(),
            );
            self.unassign_all(now, key, |_| true);
        }
    }

    /// Whether work hangs on instances that do not answer, so that the list should be read soon.
    pub fn has_tasks_on_unresponsive(&self) -> bool {
        self.instances()
            .any(|(_, runner)| runner.unresponsive_since.is_some() && !runner.tasks.is_empty())
    }

    /// Logs what has changed among machines.
    fn log_machines(&self, before: &BTreeMap<String, Machine>) {
        if before.is_empty() {
            return;
        }
        for (host, machine) in &self.machines {
            if before.get(host) != Some(machine) {
                let (state, pool, runner) = (machine.state, &machine.pool, &machine.instance);
                info!(event = "machine", host, state = ?state, pool, runner);
            }
        }
        for host in before.keys().filter(|host| !self.machines.contains_key(*host)) {
            info!(event = "machine", host, state = "gone");
        }
    }

    pub(super) fn update_idle(&mut self, now: Time) {
        let machines = &self.machines;
        self.operations.idle_since.retain(|host, _| machines.contains_key(host));
        for (host, machine) in &self.machines {
            let key = self.keys.get(&machine.instance).copied();
            let busy = key.is_none_or(|key| !self.instance(key).tasks.is_empty());
            if busy || machine.state != State::Up {
                self.operations.idle_since.remove(host);
            } else {
                self.operations.idle_since.entry(host.clone()).or_insert(now);
            }
        }
    }
}
