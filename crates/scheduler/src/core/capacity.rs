//! Keeps instances within their capacity, which may shrink and grow while they run.
//!
//! Tasks are placed by the capacity that the instance list shows, and start some time later. What runs
//! on an instance that has shrunk goes on; what has not started there yet may no longer fit.

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::Command;
use crate::instance;
use crate::instance::Instance;
use crate::instance::Usage;
use crate::job::Phase;
use crate::job::TaskKey;

impl Core {
    /// Whether an instance may have shrunk without this leader knowing, and would start more than it
    /// has room for.
    ///
    /// Handles a leader that is cut off from the store but not from the instances.
    pub(super) fn is_outdated(&self, now: Time, instance: &Instance) -> bool {
        if now.since(self.list_requested_at) <= self.tuning.max_list_age {
            return false;
        }
        let service = self.config.services.get(&instance.report.service);
        service.is_some_and(|service| !service.admission_check)
    }

    /// Whether placed tasks that ask for this much fit on an instance beside those that may have
    /// started there.
    pub(super) fn has_room_to_start(&self, key: instance::Key, asked: Usage) -> bool {
        let instance = self.instance(key);
        let capacity = &instance.report.capacity;
        instance.used.fits_in(capacity) || (self.released(instance) + asked).fits_in(capacity)
    }

    /// Whether a start command that has waited to be sent may be sent now: not if its task is no longer
    /// assigned to the instance, or has another run. If its instance has shrunk meanwhile, or may have,
    /// so that the task no longer fits, or if the cap of its tenant no longer admits it, takes the task
    /// back instead.
    pub fn confirm_start(&mut self, now: Time, command: &Command) -> bool {
        let (key, task) = (command.instance, command.task);
        let state = self.jobs.get(&task.job).and_then(|job| job.tasks.get(task.index as usize));
        let current =
            state.is_some_and(|it| it.run == command.run && it.phase == Phase::Starting(key));
        if !current {
            self.start_limit.not_sent();
            return false;
        }
        let instance = self.instance(key);
        let capacity = &instance.report.capacity;
        let fits = instance.used.fits_in(capacity) || self.released(instance).fits_in(capacity);
        let outdated = self.is_outdated(now, instance);
        let admitted = self.cap_admits_placed(now, &self.jobs[&task.job], task.index);
        let reason = match (outdated, fits, admitted) {
            (true, ..) => "outdated",
            (_, false, _) => "room",
            (.., false) => "quota",
            (false, true, true) => return true,
        };
        self.start_limit.not_sent();
        self.take_back(now, task, key, reason);
        self.stop_incomplete_gang(now, task);
        false
    }

    /// Unassigns a task that no longer fits where it is placed, since its instance has shrunk, or may have, or that
    /// the cap of its tenant no longer admits.
    pub(super) fn take_back(
        &mut self,
        now: Time,
        key: TaskKey,
        instance: instance::Key,
        reason: &str,
    ) {
        let job = &self.jobs[&key.job];
        info!(
            event = "unplace",
            task = %job.task_name(key.index),
            run = job.tasks[key.index as usize].run,
            runner = self.instance(instance).report.id,
            reason,
        );
        self.taken_back += 1;
        self.unassign(now, key);
    }

    /// Number of tasks that were taken back because their instances had shrunk, or might have.
    pub const fn taken_back(&self) -> u64 {
        self.taken_back
    }

    /// Resources of the tasks on an instance whose start commands have been released.
    fn released(&self, instance: &Instance) -> Usage {
        let mut used = instance.used;
        for task in &instance.tasks {
            let job = &self.jobs[&task.job];
            let phase = job.tasks[task.index as usize].phase;
            if phase.instance().is_some() && !phase.is_sent() {
                used = used.without(job.step(task.index));
            }
        }
        used
    }
}
