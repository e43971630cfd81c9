//! Handles ends of runs, which complete or fail tasks and jobs.

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::instance;
use crate::instance::End;
use crate::instance::Exit;
use crate::job::Evidence;
use crate::job::Id;
use crate::job::Phase;
use crate::job::State;
use crate::job::TaskKey;

impl Core {
    /// Applies the end of a run that an instance reports.
    pub(super) fn apply_end(&mut self, now: Time, instance_key: instance::Key, end: &End) {
        let Some(job) = self.jobs.get(&end.task.job) else { return };
        let Some(index) = job.task_index(end.task) else { return };
        self.record_begun(now, end.task.job, Evidence::End);
        let job = &self.jobs[&end.task.job];
        let key = job.task_key(index);
        let task = &job.tasks[index as usize];
        let current = task.run == end.run && task.phase.instance() == Some(instance_key);
        let newest = task.run == end.run;
        info!(
            event = "end",
            task = %end.task,
            run = end.run,
            runner = self.instances[u32::from(instance_key) as usize].report.id,
            how = %end.exit,
            number = end.number,
            current,
            ran_ms = now.since(task.since).as_millis(),
        );
        if !current {
            self.apply_unrecorded_end(now, index, end);
        }
        if newest && self.instances[u32::from(instance_key) as usize].superseded.contains(&key) {
            self.book(key, instance_key, false);
            return;
        }
        let Some(job) = self.jobs.get_mut(&end.task.job) else { return };
        let long_running = job.step(index).long_running;
        let task = &mut job.tasks[index as usize];
        if current && !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        if current && long_running && matches!(end.exit, Exit::Done | Exit::Failed) {
            task.restart.record_end(now, task.since);
        }
        if current && matches!(end.exit, Exit::Done | Exit::Failed) {
            self.clear_suspicion(instance_key, key);
        }
        match end.exit {
            Exit::Done => self.task_done(now, instance_key, key, current),
            Exit::Failed if current => self.task_failed(now, instance_key, key),
            Exit::Stopped
            | Exit::Expired
            | Exit::GangBroken
            | Exit::GangIncomplete
            | Exit::Failed => {
                if current {
                    self.unassign(now, key);
                }
            }
        }
    }

    /// Handles a run that has done its work. `current` tells whether it is the newest run of its
    /// task and the task is still assigned to the instance.
    fn task_done(&mut self, now: Time, instance_key: instance::Key, key: TaskKey, current: bool) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        if job.step(key.index).long_running {
            if current {
                self.unassign(now, key);
            }
            return;
        }
        let phase = job.tasks[key.index as usize].phase;
        if current && let Phase::Running(_) = phase {
            let duration = now.since(job.tasks[key.index as usize].since);
            let (queue, estimate_ms) = (job.queue.clone(), job.step(key.index).estimate_ms);
            let ran_from_start = job.tasks[key.index as usize].checkpoint.is_empty();
            if ran_from_start {
                self.learn_interference(now, instance_key, key, duration);
                self.record_duration(&queue, estimate_ms, duration);
            }
        }
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.ran_at = now;
        }
        self.record_success(now, instance_key);
        self.complete_task(now, key, current.then_some(instance_key));
        self.advance_job(now, key.job);
        self.finish_if_done(now, key.job);
    }

    /// Marks a task as done and frees its booking; with a gang, all its members. `completed_by` is
    /// the instance of the newest run if that run has done the task. If an older run has done it,
    /// the newest run stays booked until it has ended, too.
    fn complete_task(&mut self, now: Time, key: TaskKey, completed_by: Option<instance::Key>) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let gang = job.step(key.index).gang;
        let name = job.task_name(key.index);
        let members = if gang {
            job.members(name.occurrence, name.step as usize)
        } else {
            key.index as usize..key.index as usize + 1
        };
        for index in members {
            let index = index as u32;
            let Some(job) = self.jobs.get_mut(&key.job) else { return };
            let phase = job.tasks[index as usize].phase;
            let finished = job.finish(index, now);
            let member = job.task_key(index);
            let Some(instance) = phase.instance().filter(|_| finished) else { continue };
            if phase.is_sent() && completed_by.is_none() {
                self.instance_mut(instance).superseded.insert(member);
            } else {
                self.book(member, instance, false);
            }
        }
        self.dirty.insert(key.job);
    }

    /// Handles the failure of the newest run of a task.
    fn task_failed(&mut self, now: Time, instance_key: instance::Key, key: TaskKey) {
        self.blame(now, instance_key, key);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let long_running = job.step(key.index).long_running;
        let max_attempts = job.terms(&self.config).max_attempts;
        let gang = job.step(key.index).gang;
        let name = job.task_name(key.index);
        let task = &mut job.tasks[key.index as usize];
        task.failures += 1;
        let mut failed = task.failures;
        if gang {
            // The failed attempts of all members count together.
            let members = job.members(name.occurrence, name.step as usize);
            failed = job.tasks[members].iter().map(|task| task.failures).sum();
        }
        self.unassign(now, key);
        let is_active = self.jobs[&key.job].state == State::Active;
        if !long_running && failed >= max_attempts && is_active {
            info!(event = "job", job = %key.job, state = "failed", task = %name, failed);
            self.end_job(now, key.job, State::Failed);
        }
    }

    /// Makes a job's tasks ready whose occurrence is due and whose step depends on completed steps
    /// only.
    pub(super) fn advance_job(&mut self, now: Time, id: Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if let Some(next) = job.advance(now) {
            self.occurrences.insert((next, id));
        }
        if job.state == State::Active {
            self.schedulable.insert(id);
        }
    }

    /// Completes a job whose tasks are all done.
    pub(super) fn finish_if_done(&mut self, now: Time, id: Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state != State::Active || !job.is_done() {
            return;
        }
        job.state = State::Completed;
        job.ended = Some(now);
        self.record_completion(now, id);
        let Some(job) = self.jobs.get(&id) else { return };
        let late_ms = now.since(job.deadline).as_millis();
        let took_ms = now.since(job.submitted).as_millis();
        info!(event = "job", job = %id, state = "completed", queue = job.queue, took_ms, late_ms);
        self.untrack_begun(id);
        self.active.remove(&id);
        self.schedulable.remove(&id);
        self.dirty.insert(id);
    }
}
