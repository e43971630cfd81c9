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

/// Number of machines of a wave in one row: longer lists are spread over several.
const MACHINES_IN_ROW: usize = 200;

/// A row of the progress of a wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveRow {
    /// Number of the wave.
    pub number: u64,
    /// Index of the row among those of the wave.
    pub index: usize,
    /// Machines of its part of the wave's list whose maintenance has begun; none once all have.
    pub begun: BTreeSet<String>,
    /// Whether maintenance has begun on every machine of the wave that still exists.
    pub completed: bool,
}

impl WaveRow {
    /// The rows of a wave.
    fn all(progress: &Progress) -> Vec<Self> {
        let (number, completed) = (progress.wave.number, progress.completed);
        if completed {
            return vec![Self { number, index: 0, begun: BTreeSet::new(), completed }];
        }
        let lists = progress.wave.hosts.chunks(MACHINES_IN_ROW).enumerate();
        let rows = lists.map(|(index, hosts)| {
            let begun = hosts.iter().filter(|host| progress.begun.contains(*host)).cloned();
            Self { number, index, begun: begun.collect(), completed }
        });
        rows.collect()
    }

    /// Its key.
    pub fn key(&self) -> String {
        let Self { number, index, .. } = self;
        if *index == 0 { number.to_string() } else { format!("{number}.{index}") }
    }

    /// The number of the wave that a key names; None if it is the key of no such row.
    pub fn parse_key(key: &str) -> Option<u64> {
        let (number, index) = key.split_once('.').unwrap_or((key, "0"));
        index.parse::<usize>().ok()?;
        number.parse().ok()
    }
}

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

    /// Restores the progress of a wave as a row of a previous leader records it.
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

    /// Takes rows of waves with progress that the store lacks, for the next write: at most `max`, or those of a
    /// single wave; none if `max` is zero.
    ///
    /// Handles many waves, most of which were completed long ago: a write holds those that have changed.
    pub fn take_wave_rows(&mut self, max: usize) -> Vec<WaveRow> {
        let mut rows = Vec::new();
        for &number in &self.operations.dirty_waves {
            let more = self.wave_rows(number);
            if max == 0 || (!rows.is_empty() && rows.len() + more.len() > max) {
                break;
            }
            rows.extend(more);
            self.operations.writing_waves.insert(number);
        }
        let writing = &self.operations.writing_waves;
        self.operations.dirty_waves.retain(|number| !writing.contains(number));
        rows
    }

    /// The rows of a wave.
    pub fn wave_rows(&self, number: u64) -> Vec<WaveRow> {
        self.waves.get(&number).map(WaveRow::all).unwrap_or_default()
    }

    pub(super) fn abort_waves_write(&mut self) {
        let writing = std::mem::take(&mut self.operations.writing_waves);
        self.operations.dirty_waves.extend(writing);
    }

    pub(super) fn finish_waves_write(&mut self) {
        self.operations.writing_waves.clear();
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
            self.operations.dirty_waves.insert(wave);
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
                self.operations.dirty_waves.insert(progress.wave.number);
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
