//! Keeps tasks apart that slow each other down, where there is room elsewhere.

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::instance;
use crate::instance::Instance;
use crate::interference::Evidence;
use crate::interference::Key;
use crate::interference::Verdict;
use crate::job::Job;
use crate::job::Step;
use crate::job::TaskKey;

/// Share of a run's duration for which another task must have been beside it.
const MIN_OVERLAP: f64 = 0.5;

impl Core {
    /// What the runs of all images show of each other.
    pub const fn interference(&self) -> &Evidence {
        &self.interference
    }

    /// Learns from a run that is done: how long it took, and beside which others. Those that have ended in its time are
    /// left out.
    pub(super) fn learn_interference(
        &mut self,
        now: Time,
        instance: instance::Key,
        done: TaskKey,
        duration: Duration,
    ) {
        if !self.tuning.separate_images {
            return;
        }
        let job = &self.jobs[&done.job];
        let step = job.step(done.index);
        let (queue, image) = (job.queue.clone(), step.image.clone());
        let expected = self.task_duration(job, step);
        let since = now - duration.mul_f64(MIN_OVERLAP);
        let others = self.instance(instance).tasks.iter().filter(|&&task| task != done);
        let beside: BTreeSet<Key> = others.filter_map(|&task| self.image_of(task, since)).collect();
        let Some(slowed) = self.interference.intern(now, &queue, &image) else { return };
        let ratio = duration.div_duration_f64(expected);
        let beside: Vec<Key> = beside.into_iter().collect();
        if let Some(verdict) = self.interference.observe(now, slowed, ratio, &beside) {
            self.log_verdict(verdict);
        }
    }

    /// The image of a task that has been where it is since `since`, if it is known.
    fn image_of(&self, task: TaskKey, since: Time) -> Option<Key> {
        let job = self.jobs.get(&task.job)?;
        let there = job.tasks[task.index as usize].since <= since;
        there.then(|| self.interference.key(&job.queue, &job.step(task.index).image)).flatten()
    }

    /// Ends verdicts whose time is over.
    pub(super) fn lapse_verdicts(&mut self, now: Time) {
        for verdict in self.interference.lapse(now) {
            self.log_verdict(verdict);
        }
    }

    /// Number of images on an instance from which a task of a step is to be kept apart.
    pub(super) fn conflicts(
        &self,
        now: Time,
        instance: &Instance,
        job: &Job,
        step: &Step,
    ) -> usize {
        let Some(own) = self.interference.key(&job.queue, &step.image) else { return 0 };
        let images = instance.tasks.iter().filter_map(|&task| self.image_of(task, now));
        let images: BTreeSet<Key> = images.collect();
        images.into_iter().filter(|&other| self.interference.conflict(now, own, other)).count()
    }

    fn log_verdict(&self, verdict: Verdict) {
        let (pair, state) = match verdict {
            Verdict::Found { pair, .. } => (pair, "found"),
            Verdict::Lapsed(pair) => (pair, "lapsed"),
        };
        let (queue, image) = self.interference.name(pair.slowed);
        let (beside_queue, beside_image) = self.interference.name(pair.beside);
        let (slowdown, runs) = match verdict {
            Verdict::Found { slowdown, runs, .. } => (slowdown, runs),
            Verdict::Lapsed(_) => (1.0, 0.0),
        };
        info!(
            event = "interference",
            state,
            queue,
            image,
            beside_queue,
            beside_image,
            slowdown = format_args!("{slowdown:.2}"),
            runs = runs as u64,
        );
    }
}
