//! Waves: which machines are maintained when.

use std::collections::BTreeSet;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::machine::Operation;
use crate::machine::Progress;
use crate::machine::State;
use crate::machine::Wave;

/// What ending a lasting task weighs against ending short ones.
const LONG_RUNNING_COST: u64 = 100;

impl Core {
    /// Takes in what the operator asks of waves.
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
            let due = now + wave.duration;
            let progress = Progress {
                wave,
                deadline: due,
                begun: BTreeSet::new(),
                completed: false,
                reported: false,
            };
            self.waves.insert(progress.wave.number, progress);
        }
    }

    /// Takes over what an earlier scheduler knew of a wave.
    pub fn restore_wave(&mut self, number: u64, begun: BTreeSet<String>, completed: bool) {
        if let Some(wave) = self.waves.get_mut(&number) {
            wave.begun.extend(begun);
            wave.completed |= completed;
        }
    }

    /// Waves under way.
    pub fn waves(&self) -> impl Iterator<Item = &Progress> {
        self.waves.values()
    }

    /// Notes that the operator has been told how a wave stands.
    pub fn wave_reported(&mut self, number: u64) {
        if let Some(wave) = self.waves.get_mut(&number) {
            wave.reported = true;
        }
    }

    /// Whether the store lacks what is known of waves; noted as being written.
    pub fn take_waves_dirty(&mut self) -> bool {
        std::mem::take(&mut self.operations.waves_dirty)
    }

    /// Whether a machine's maintenance is still to come.
    pub(super) fn awaits_maintenance(&self, runner: &str) -> bool {
        let Some(host) = self.operations.host_by_instance.get(runner) else { return false };
        self.waves.values().any(|wave| {
            !wave.completed && wave.wave.hosts.contains(host) && !wave.begun.contains(host)
        })
    }

    pub(super) fn record_maintenance(&mut self, wave: u64, host: &str) {
        if let Some(wave) = self.waves.get_mut(&wave) {
            wave.begun.insert(host.to_owned());
            self.operations.waves_dirty = true;
        }
    }

    /// Completes waves of which every machine that stays has begun.
    pub(super) fn complete_waves(&mut self, _now: Time) {
        for wave in self.waves.values_mut() {
            let machines = &self.machines;
            let mut staying = wave.wave.hosts.iter().filter(|host| machines.contains_key(*host));
            let done = staying.all(|host| wave.begun.contains(host));
            if done && !wave.completed {
                info!(event = "wave", wave = wave.wave.number, state = "completed");
                wave.completed = true;
                wave.reported = false;
                self.operations.waves_dirty = true;
            }
        }
    }

    /// Answers waves: machines go one after the other, empty ones first, never more than allowed.
    pub(super) fn plan_maintenance(&mut self, now: Time) {
        let numbers: Vec<u64> = self.waves.keys().copied().collect();
        for number in numbers {
            let wave = &self.waves[&number];
            if wave.completed {
                continue;
            }
            let under_way = self.operations.pending.values().filter(
                |errand| matches!(&errand.operation, Operation::Maintain { wave, .. } if *wave == number),
            );
            let begun_elsewhere = wave.wave.hosts.iter().filter(|host| {
                let machine = self.machines.get(*host);
                machine.is_some_and(|machine| machine.state == State::Upkeep)
                    && !self.operations.pending.contains_key(*host)
            });
            // A predecessor may have called these, and its calls may be carried out yet.
            let called = wave.wave.hosts.iter().filter(|host| {
                let listed = self.machines.get(*host);
                self.is_held(now, host)
                    && !self.operations.pending.contains_key(*host)
                    && listed.is_some_and(|machine| machine.state != State::Upkeep)
            });
            let down = under_way.count() + begun_elsewhere.count() + called.count();
            let mut room = wave.wave.max_down.saturating_sub(down);
            let mut waiting: Vec<(u64, String)> = wave
                .wave
                .hosts
                .iter()
                .filter(|host| !wave.begun.contains(*host))
                .filter(|host| !self.operations.pending.contains_key(*host))
                .filter_map(|host| Some((self.maintenance_cost(host)?, host.clone())))
                .collect();
            waiting.sort();
            for (_, host) in waiting {
                if room == 0 {
                    break;
                }
                room -= 1;
                self.plan_operation(now, Operation::Maintain { host, wave: number });
            }
        }
    }

    /// What it takes to maintain a machine now; nothing where it can't be.
    pub(super) fn maintenance_cost(&self, host: &str) -> Option<u64> {
        let machine = self.machines.get(host)?;
        if machine.state != State::Up {
            return None;
        }
        let Some(key) = self.instance_on(host) else { return Some(0) };
        let runner = self.instance(key);
        let mut cost = 0;
        for &task in &runner.tasks {
            let lasts = self.jobs[&task.job].step(task.index).long_running;
            if lasts && !self.may_evict(task) {
                return None;
            }
            cost += if lasts { LONG_RUNNING_COST } else { 1 };
        }
        Some(cost)
    }
}
