//! Attributes ends of instances: to an operation on their machine or to draining, else to a crash.
//!
//! The call may have been another leader's, and the list of machines that shows the operation may arrive
//! only after the instance is back. So what counts as a crash is taken back if such a list arrives, and
//! no job fails for it before a list arrives that was requested since.

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use super::crash::Sighting;
use crate::instance;
use crate::job::Suspicion;
use crate::job::TaskKey;
use crate::machine::Machine;
use crate::machine::State;

/// Time from the last report of a draining instance to its end.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time for which the tasks of a job that is about to fail wait for a list of machines.
pub(super) const MAX_LIST_WAIT: Duration = Duration::from_secs(1);

/// Time for which a list of machines may show an operation that is over.
const RETENTION: Duration = Duration::from_secs(60);

/// A crash that was counted for a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Counted {
    pub(super) task: TaskKey,
    /// Whether its run is known to have started.
    pub(super) known: bool,
    /// What crashes said of it before and after.
    pub(super) before: Suspicion,
    pub(super) after: Suspicion,
    /// Whether its job fails for this crash.
    pub(super) convicted: bool,
}

/// The end of an instance that counts as a crash, unless its machine turns out to have been moved or
/// maintained.
#[derive(Clone, Debug)]
pub(super) struct Attribution {
    key: instance::Key,
    /// When its end was noticed: it was over, or is back.
    at: Time,
    sighting: Sighting,
    pub(super) counted: Vec<Counted>,
}

impl Attribution {
    pub(super) const fn new(key: instance::Key, at: Time, sighting: Sighting) -> Self {
        Self { key, at, sighting, counted: Vec::new() }
    }
}

impl Machine {
    /// Whether an operation has ended what ran on it.
    fn is_under_operation(&self) -> bool {
        matches!(self.state, State::Moving | State::Upkeep)
    }
}

impl Core {
    /// Records on which machines instances are, and when machines were last listed as moving or under
    /// maintenance.
    pub(super) fn record_hosts(&mut self, now: Time) {
        let hosts = self.operations.host_by_instance.iter();
        self.crashes.hosts.extend(hosts.map(|(id, host)| (id.clone(), host.clone())));
        let ended = self.machines.values().filter(|machine| machine.is_under_operation());
        self.operations.seen_at.extend(ended.map(|machine| (machine.host.clone(), now)));
    }

    /// Whether an instance ended because its machine was told to move or to be maintained, by any
    /// leader, or because it drained.
    pub(super) fn has_ended_by_order(&self, key: instance::Key, sighting: Sighting) -> bool {
        let instance = self.instance(key);
        let drained = instance.drained_at.is_some_and(|at| at + DRAIN_TIME >= sighting.alive_at);
        if instance.report.draining || drained {
            return true;
        }
        let Some(host) = self.crashes.hosts.get(&instance.report.id) else {
            return self.has_unknown_operation(sighting);
        };
        let operations = &self.operations;
        let called = operations.pending.get(host).is_some_and(|pending| pending.called);
        let ends = [&operations.finished_at, &operations.seen_at, &operations.effective_until];
        let since = |&at: &Time| at >= sighting.alive_at;
        called || ends.iter().any(|ends| ends.get(host).is_some_and(since))
    }

    /// Takes crashes back that turn out to be ends by orders, and fails jobs for those that do not.
    pub(super) fn attribute_ends(&mut self, now: Time) {
        let attributions = std::mem::take(&mut self.crashes.attributions);
        for attribution in attributions {
            if self.has_ended_by_order(attribution.key, attribution.sighting) {
                self.retract(now, &attribution);
            } else if self.is_attributed(&attribution) {
                for counted in attribution.counted.iter().filter(|counted| counted.convicted) {
                    self.convict(now, counted.task, counted.after);
                }
            } else if now.since(attribution.at) < RETENTION {
                self.crashes.attributions.push(attribution);
            }
        }
    }

    /// Whether no list of machines can show any more that an operation has ended an instance.
    fn is_attributed(&self, attribution: &Attribution) -> bool {
        let operations = &self.operations;
        if self.waves.is_empty()
            && operations.pending.is_empty()
            && operations.effective_until.is_empty()
            && operations.seen_at.is_empty()
        {
            return true;
        }
        operations.list_requested_at.is_some_and(|at| at >= attribution.at)
    }

    /// Whether a machine is or may have been moved or maintained since an instance was last seen alive of
    /// which it is not known which instance was on it: lists of this term have shown none there.
    fn has_unknown_operation(&self, sighting: Sighting) -> bool {
        let known: BTreeSet<&String> = self.crashes.hosts.values().collect();
        let listed = self.machines.values().filter(|machine| machine.is_under_operation());
        let called = self.operations.effective_until.iter();
        let called = called.filter(|&(_, &until)| until >= sighting.alive_at);
        let mut hosts = listed.map(|machine| &machine.host).chain(called.map(|(host, _)| host));
        hosts.any(|host| !known.contains(host))
    }

    /// Takes back what was counted for the end of an instance.
    fn retract(&mut self, now: Time, attribution: &Attribution) {
        info!(
            event = "no-crash",
            runner = self.instance(attribution.key).report.id,
            tasks = attribution.counted.len(),
        );
        self.crashes.count = self.crashes.count.saturating_sub(1);
        self.crashes.recent.remove(&attribution.key);
        for counted in &attribution.counted {
            let Some(job) = self.jobs.get_mut(&counted.task.job) else { continue };
            if counted.convicted {
                job.retry_at = now;
            }
            let task = &mut job.tasks[counted.task.index as usize];
            if task.suspicion == counted.after {
                task.suspicion = counted.before;
            } else {
                task.suspicion.retract_crash(counted.known);
            }
            if !task.is_suspect()
                && let Some(key) = task.phase.instance()
            {
                self.instance_mut(key).trials.remove(&counted.task);
            }
            self.dirty.insert(counted.task.job);
        }
    }

    /// Whether a job has to fail unless a list of machines shows that its last crash was none.
    pub(super) fn awaits_attribution(&self) -> bool {
        let fails = |it: &Attribution| it.counted.iter().any(|counted| counted.convicted);
        self.crashes.attributions.iter().any(fails)
    }
}
