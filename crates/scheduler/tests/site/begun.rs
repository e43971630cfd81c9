//! Holds the jobs that the scheduler says have begun, and the lengths of queues, against what instances have started.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use fleet::time::Time;
use scheduler::job::Id;
use scheduler::job::State;

use super::Site;

/// Accepted jobs with a run in progress that the scheduler takes for waiting.
#[derive(Clone, Debug, Default)]
pub struct Overlooked {
    since: BTreeMap<Id, Time>,
    reported: BTreeSet<Id>,
    epoch: u64,
}

impl Site {
    /// Records jobs that count as begun although no instance has started a run of theirs, jobs with a run that
    /// count as waiting for longer than any call may take, and queues whose length is not that of their jobs.
    pub(super) fn observe_begun(&mut self) {
        let now = self.now;
        let Some(core) = &self.core else { return };
        let mut waiting: BTreeMap<&str, usize> = BTreeMap::new();
        let mut overlooked = BTreeSet::new();
        let mut faults = Vec::new();
        for id in self.monitor.jobs() {
            let Some(job) = core.job(id).filter(|job| job.state == State::Active) else {
                continue;
            };
            if job.begun.is_known() {
                if !self.monitor.has_begun(id) && self.overlooked.reported.insert(id) {
                    faults.push(format!("{now}: {id} counts as begun"));
                }
                continue;
            }
            *waiting.entry(&job.queue).or_default() += 1;
            if self.monitor.running(id) > 0 {
                overlooked.insert(id);
            }
        }
        let queues = self.config.queues.keys().map(String::as_str).chain(waiting.keys().copied());
        for queue in queues.collect::<BTreeSet<_>>() {
            let (told, counted) = (core.waiting_jobs(queue), waiting.get(queue).copied());
            if told != counted.unwrap_or_default() {
                faults.push(format!("{now}: {told} jobs of {queue} wait, not {counted:?}"));
            }
        }
        let disturbed = now < self.paused_until
            || self.losses.heartbeats > 0
            || self.fakes.iter().any(|fake| !fake.reachable(now) || fake.mutes_heartbeats);
        if disturbed || self.overlooked.epoch != self.epoch {
            self.overlooked.since.clear();
            self.overlooked.epoch = self.epoch;
        }
        self.overlooked.since.retain(|id, _| overlooked.contains(id));
        let bound = self.max_unseen_time();
        for id in overlooked {
            let since = *self.overlooked.since.entry(id).or_insert(now);
            if now.since(since) > bound && self.overlooked.reported.insert(id) {
                faults.push(format!("{now}: {id} counts as waiting"));
            }
        }
        self.monitor.violations.extend(faults);
    }
}
