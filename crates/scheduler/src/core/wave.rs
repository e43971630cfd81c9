//! Maintenance waves: decides when each machine is maintained.

use std::collections::BTreeSet;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::machine::Operation;
use crate::machine::Progress;
use crate::machine::State;
use crate::machine::Wave;

/// Cost of ending a long-running task; ending a short one costs 1.
const LONG_RUNNING_COST: u64 = 100;

impl Core {
    /// Adds the maintenance waves that the operator requests; those already known stay unchanged.
    pub fn set_waves(&mut self, now: Time, waves: Vec<Wave>) {
        for wave in waves {
            if self.waves.contains_key(&wave.number) {
                continue;
            }
            info!(
                event = "wave",
                wave = wave.number,
                state = "new",
                machines = wave.hosts.len(),
                cap = wave.max_down,
                duration_ms = wave.duration.as_millis(),
            );
            let deadline = now + wave.duration;
            let progress = Progress {
                wave,
                deadline,
                begun: BTreeSet::new(),
                completed: false,
                reported: false,
            };
            self.waves.insert(progress.wave.number, progress);
        }
    }

    /// Restores the progress of a wave as a previous leader recorded it.
    pub fn restore_wave(&mut self, number: u64, begun: BTreeSet<String>, completed: bool) {
        if let Some(progress) = self.waves.get_mut(&number) {
            progress.begun.extend(begun);
            progress.completed |= completed;
        }
    }

    /// All maintenance waves with their progress, completed ones included.
    pub fn waves(&self) -> impl Iterator<Item = &Progress> {
        self.waves.values()
    }

    /// Records that the current state of a wave has been reported to the operator.
    pub fn wave_reported(&mut self, number: u64) {
        if let Some(progress) = self.waves.get_mut(&number) {
            progress.reported = true;
        }
    }

    /// Whether the store lacks progress of waves. The caller has to write it: the flag is cleared.
    pub fn take_waves_dirty(&mut self) -> bool {
        std::mem::take(&mut self.operations.waves_dirty)
    }

    /// Whether the machine beneath an instance is still to be maintained.
    pub(super) fn awaits_maintenance(&self, instance: &str) -> bool {
        let Some(host) = self.operations.host_by_instance.get(instance) else { return false };
        self.waves.values().any(|progress| {
            !progress.completed
                && progress.wave.hosts.contains(host)
                && !progress.begun.contains(host)
        })
    }

    /// Records that the maintenance of a machine has begun.
    pub(super) fn record_maintenance(&mut self, wave: u64, host: &str) {
        if let Some(progress) = self.waves.get_mut(&wave) {
            progress.begun.insert(host.to_owned());
            self.operations.waves_dirty = true;
        }
    }

    /// Completes waves in which maintenance of every remaining machine has begun.
    pub(super) fn complete_waves(&mut self, _now: Time) {
        for progress in self.waves.values_mut() {
            let machines = &self.machines;
            let mut remaining =
                progress.wave.hosts.iter().filter(|host| machines.contains_key(*host));
            let done = remaining.all(|host| progress.begun.contains(host));
            if done && !progress.completed {
                info!(event = "wave", wave = progress.wave.number, state = "completed");
                progress.completed = true;
                progress.reported = false;
                self.operations.waves_dirty = true;
            }
        }
    }

    /// Plans maintenance for each wave within its cap, the machine with the lowest cost first.
    pub(super) fn plan_maintenance(&mut self, now: Time) {
        let numbers: Vec<u64> = self.waves.keys().copied().collect();
        for number in numbers {
            let progress = &self.waves[&number];
            if progress.completed {
                continue;
            }
            let under_way = self.operations.pending.values().filter(
                |pending| matches!(&pending.operation, Operation::Maintain { wave, .. } if *wave == number),
            );
            let maintained_without_call = progress.wave.hosts.iter().filter(|host| {
                let machine = self.machines.get(*host);
                machine.is_some_and(|machine| machine.state == State::Upkeep)
                    && !self.operations.pending.contains_key(*host)
            });
            // A previous leader may have sent calls for these machines, which may still take
            // effect.
            let maybe_called = progress.wave.hosts.iter().filter(|host| {
                let listed = self.machines.get(*host);
                self.is_held(now, host)
                    && !self.operations.pending.contains_key(*host)
                    && listed.is_some_and(|machine| machine.state != State::Upkeep)
            });
            let down = under_way.count() + maintained_without_call.count() + maybe_called.count();
            let mut free_slots = progress.wave.max_down.saturating_sub(down);
            let mut candidates: Vec<(u64, String)> = progress
                .wave
                .hosts
                .iter()
                .filter(|host| !progress.begun.contains(*host))
                .filter(|host| !self.operations.pending.contains_key(*host))
                .filter_map(|host| Some((self.maintenance_cost(now, host)?, host.clone())))
                .collect();
            candidates.sort();
            for (_, host) in candidates {
                if free_slots == 0 {
                    break;
                }
                free_slots -= 1;
                self.plan_operation(now, Operation::Maintain { host, wave: number });
            }
        }
    }

    /// Cost of the tasks that the maintenance of a machine would end now; None if the machine can't
    /// be maintained now.
    pub(super) fn maintenance_cost(&self, now: Time, host: &str) -> Option<u64> {
        let machine = self.machines.get(host)?;
        if machine.state != State::Up {
            return None;
        }
        let Some(key) = self.instance_on(host) else { return Some(0) };
        let instance = self.instance(key);
        if instance.held_for.is_some() {
            return None;
        }
        let mut cost = 0;
        for &task in &instance.tasks {
            let long_running = self.jobs[&task.job].step(task.index).long_running;
            if long_running && !self.may_evict(now, task) {
                return None;
            }
            cost += if long_running { LONG_RUNNING_COST } else { 1 };
        }
        Some(cost)
    }
}
