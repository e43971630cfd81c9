//! Releases the start commands of placed tasks.

use std::collections::BTreeMap;

use fleet::time::Time;
use tracing::debug;

use super::Core;
use super::availability::Cause;
use crate::command::Action;
use crate::command::Command;
use crate::instance;
use crate::instance::Usage;
use crate::job::Phase;
use crate::job::Task;
use crate::job::TaskKey;

impl Core {
    /// Number of placed tasks whose start commands are not handed out yet. Only jobs that wait for a
    /// write have such tasks.
    pub(super) fn count_unsent(&self) -> usize {
        let jobs = self.unstored_jobs().filter_map(|id| self.jobs.get(&id));
        let unsent = |task: &&Task| matches!(task.phase, Phase::Planned(_) | Phase::Recording(_));
        jobs.map(|job| job.tasks.iter().filter(unsent).count()).sum()
    }

    /// Releases the start commands of tasks that are placed on these instances, in the order of their
    /// keys. A gang starts as a whole or not at all.
    pub(super) fn release_starts(&mut self, now: Time, placed: &[(TaskKey, instance::Key)]) {
        let mut rest = placed;
        while let Some(&(first, instance)) = rest.first() {
            let job = &self.jobs[&first.job];
            if !job.step(first.index).gang {
                self.release_start(now, first, instance);
                rest = &rest[1..];
                continue;
            }
            let siblings = job.siblings(first.index);
            let members = rest.iter().take_while(|(key, _)| siblings.contains(key)).count();
            let (gang, others) = rest.split_at(members);
            rest = others;
            let usable = gang.iter().all(|&(_, instance)| self.instance(instance).is_usable());
            let outdated = gang.iter().any(|&(_, key)| self.is_outdated(now, self.instance(key)));
            let fits = self.has_room_for_gang(gang);
            let admitted = self.cap_admits_placed(now, &self.jobs[&first.job], first.index);
            for &(key, instance) in gang {
                if !usable {
                    self.unassign(now, key);
                } else if outdated {
                    self.take_back(now, key, instance, "outdated");
                } else if !fits {
                    self.take_back(now, key, instance, "room");
                } else if !admitted {
                    self.take_back(now, key, instance, "quota");
                } else {
                    self.release_start(now, key, instance);
                }
            }
        }
    }

    /// Whether the instances on which the members of a gang are placed have room for all of them.
    fn has_room_for_gang(&self, gang: &[(TaskKey, instance::Key)]) -> bool {
        let mut asked: BTreeMap<instance::Key, Usage> = BTreeMap::new();
        for &(key, instance) in gang {
            let used = asked.entry(instance).or_default();
            *used = used.with(self.jobs[&key.job].step(key.index));
        }
        asked.into_iter().all(|(instance, used)| self.has_room_to_start(instance, used))
    }

    /// Stops the other members of a gang of which one has not started: they would only wait for it.
    /// Does nothing for other tasks.
    pub(super) fn stop_incomplete_gang(&mut self, now: Time, missing: TaskKey) {
        let job = &self.jobs[&missing.job];
        if !job.step(missing.index).gang {
            return;
        }
        let siblings = job.siblings(missing.index);
        for index in siblings.start.index..siblings.end.index {
            let task = TaskKey { job: missing.job, index };
            self.log_disruption(now, Cause::Gang, task);
            self.stop(now, task);
        }
    }

    /// Releases the start command of a task. If its instance has become unusable meanwhile, or has
    /// shrunk so that the task no longer fits, unassigns the task instead.
    fn release_start(&mut self, now: Time, key: TaskKey, instance: instance::Key) {
        let target = self.instance(instance);
        if !target.is_usable() {
            debug!(event = "unplace", task = ?key, runner = target.report.id, reason = "unusable");
            self.unassign(now, key);
            return;
        }
        if self.is_outdated(now, target) {
            self.take_back(now, key, instance, "outdated");
            return;
        }
        let asked = Usage::default().with(self.jobs[&key.job].step(key.index));
        if !self.has_room_to_start(instance, asked) {
            self.take_back(now, key, instance, "room");
            return;
        }
        if !self.cap_admits_placed(now, &self.jobs[&key.job], key.index) {
            self.take_back(now, key, instance, "quota");
            return;
        }
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let name = job.task_name(key.index);
        let payload = job.payload.clone();
        let task = &mut job.tasks[key.index as usize];
        task.phase = Phase::Starting(instance);
        task.since = now;
        let action = Action::Start { payload, checkpoint: task.checkpoint.clone() };
        self.commands.push(Command { instance, task: key, name, run: task.run, action });
    }
}
