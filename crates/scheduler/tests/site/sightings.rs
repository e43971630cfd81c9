//! Watches for runs that the scheduler takes for granted without seeing them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;
use scheduler::core::Stage;
use scheduler::job::Phase;
use scheduler::job::TaskName;

use super::CALL_TIMEOUT;
use super::HEARTBEAT_WAIT;
use super::Site;

/// Stages in which no task may stand.
const FORBIDDEN: [Stage; 2] = [Stage::Unseen, Stage::Unbooked];

/// Runs that the scheduler holds for being in progress although they are not.
#[derive(Clone, Debug, Default)]
pub struct Sightings {
    /// Since when, by task and number of the run.
    missing: BTreeMap<(TaskName, u32), Time>,
    reported: BTreeSet<(TaskName, u32)>,
    epoch: u64,
}

impl Site {
    /// Records tasks that the scheduler holds for running: those that no answer has shown for longer than a
    /// lease, and those that do not run and whose leases must have expired.
    pub(super) fn observe_sightings(&mut self) {
        let now = self.now;
        let Some(core) = &self.core else { return };
        if now < self.paused_until || self.sightings.epoch != self.epoch {
            self.sightings.missing.clear();
            self.sightings.epoch = self.epoch;
            return;
        }
        let standing = core.standing(now);
        for (stage, standing) in FORBIDDEN.iter().filter_map(|it| Some((it, standing.get(it)?))) {
            let run = core
                .job(standing.task.job)
                .map_or(0, |job| job.tasks[standing.task.index as usize].run);
            if self.sightings.reported.insert((standing.name, run)) {
                let (name, since) = (standing.name, standing.since);
                let fault = format!("{now}: {name} run {run} is {stage} since {since}");
                self.monitor.violations.push(fault);
            }
        }
        let mut missing = BTreeMap::new();
        for id in self.progress.keys() {
            let Some(job) = core.job(*id) else { continue };
            for (index, task) in job.tasks.iter().enumerate() {
                let name = job.task_name(index as u32);
                let held = matches!(task.phase, Phase::Running(_));
                if held && !self.monitor.runs(name, task.run) {
                    let key = (name, task.run);
                    let since = self.sightings.missing.get(&key).copied().unwrap_or(now);
                    missing.insert(key, since);
                }
            }
        }
        self.sightings.missing = missing;
        let bound = self.max_unseen_time();
        for (&key, &since) in &self.sightings.missing {
            if now.since(since) > bound && self.sightings.reported.insert(key) {
                let (name, run) = key;
                let fault = format!("{now}: {name} run {run} is held for running since {since}");
                self.monitor.violations.push(fault);
            }
        }
    }

    /// Longest time from the end of a run to the time at which its lease has expired, by the slowest clock,
    /// the lease having been renewed by a heartbeat that never returned.
    pub(super) fn max_unseen_time(&self) -> Duration {
        let lease = self.tuning.max_lease.div_f64(1.0 - self.tuning.clock_drift);
        lease + HEARTBEAT_WAIT + CALL_TIMEOUT
    }
}
