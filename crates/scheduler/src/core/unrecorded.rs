//! Tasks that start although the store does not know their places yet.
//!
//! Answers a store that is away while jobs wait that it holds: they are worked off meanwhile, so
//! that neither they nor those who come when it is back are late. What that costs falls on a
//! successor that takes over without a word: it must know of all instances of a pool, what they
//! run and what has ended there, before it places anything of what it took over.
//!
//! A scheduler without proof of its office may have a successor already, which has renewed the
//! leases of all instances that it reaches. So what ran on an instance that fell silent is not
//! started anew without a write, however long ago its lease should have run out.

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::instance;
use crate::instance::End;
use crate::instance::Exit;
use crate::instance::Instance;
use crate::instance::Run;
use crate::job::Job;
use crate::job::Phase;
use crate::job::State;
use crate::machine;

impl Core {
    /// Notes that the predecessor may have started tasks that the store does not tell of. Comes
    /// before [`Core::restore`].
    pub fn expect_unrecorded_starts(&mut self) {
        self.unrecorded_starts = true;
    }

    /// Lets out the orders of tasks that have places, whether the store knows these or not; how
    /// many.
    pub fn release_unrecorded(&mut self, now: Time) -> usize {
        let mut placed = Vec::new();
        for id in &self.active {
            let job = &self.jobs[id];
            for (index, task) in job.tasks.iter().enumerate() {
                let place = match task.phase {
                    Phase::Planned(key) | Phase::Recording(key) if !task.end_presumed => Some(key),
                    _ => None,
                };
                if let Some(key) = place {
                    placed.push((job.task_key(index as u32), key));
                }
            }
        }
        for &(key, runner) in &placed {
            self.release_start(now, key, runner);
            // What the write under way says of it is not new any more.
            self.dirty.insert(key.job);
        }
        if !placed.is_empty() {
            info!(event = "unlogged", tasks = placed.len(), dirty = self.dirty.len());
        }
        placed.len()
    }

    /// Whether the store lacks starts that have gone out.
    pub fn has_unrecorded(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Whether all is known of what a predecessor may have started of a job.
    pub(super) fn knows_all_starts(&self, now: Time, job: &Job) -> bool {
        if !job.maybe_unrecorded || now >= self.inherited_until() {
            return true;
        }
        let Some(asked) = self.operations.list_requested_at else { return false };
        if asked < self.since {
            return false;
        }
        // A queue that has changed its service may have had others in between.
        let any = job.service != job.submitted_service;
        let carries =
            |row: &&machine::Machine| (any || row.pool == job.service) && !row.instance.is_empty();
        self.machines.values().filter(carries).all(|row| {
            let known = self.keys.get(&row.instance).map(|&key| self.instance(key));
            known
                .is_some_and(|runner| runner.synced || now >= runner.leases_expire_at(&self.tuning))
        })
    }

    /// Whether an instance may run what a predecessor started, and the store does not tell of.
    pub(super) fn may_run_unrecorded(&self, now: Time, runner: &Instance) -> bool {
        self.unrecorded_starts && runner.listed && !runner.synced && now < self.inherited_until()
    }

    /// Takes over a run that the store does not tell of; whether it is one.
    pub(super) fn adopt_run(
        &mut self,
        now: Time,
        key: instance::Key,
        index: u32,
        run: &Run,
    ) -> bool {
        let Some(job) = self.jobs.get(&run.task.job) else { return false };
        let task = &job.tasks[index as usize];
        let open = matches!(task.phase, Phase::Waiting | Phase::Ready | Phase::Inherited(_));
        if !job.maybe_unrecorded || job.state != State::Active || !open || run.run <= task.run {
            return false;
        }
        let task_key = job.task_key(index);
        let step = job.step(index).clone();
        info!(
            event = "adopt",
            task = %run.task,
            run = run.run,
            known = task.run,
            runner = self.instance(key).report.id,
        );
        if let Phase::Inherited(former) = task.phase {
            self.instance_mut(former).book(task_key, &step, false);
        }
        let born = self.instance(key).incarnation;
        self.instance_mut(key).book(task_key, &step, true);
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return false };
        job.begun = true;
        let task = &mut job.tasks[index as usize];
        task.run = run.run;
        task.incarnation = born;
        task.phase = Phase::Inherited(key);
        task.since = now;
        self.dirty.insert(run.task.job);
        true
    }

    /// Notes the end of a run that the store does not tell of.
    pub(super) fn apply_unrecorded_end(&mut self, now: Time, index: u32, end: &End) {
        let Some(job) = self.jobs.get_mut(&end.task.job) else { return };
        let lasting = job.step(index).long_running;
        let task = &mut job.tasks[index as usize];
        if !job.maybe_unrecorded || end.run <= task.last_recorded_end {
            return;
        }
        let newer = end.run > task.run;
        let idle = matches!(task.phase, Phase::Waiting | Phase::Ready);
        if newer && idle {
            task.run = end.run;
            if !end.checkpoint.is_empty() {
                task.checkpoint.clone_from(&end.checkpoint);
            }
        }
        if end.exit == Exit::Failed {
            task.failures += 1;
            let failed = task.failures;
            let most =
                self.config.queues.get(&job.queue).map_or(u32::MAX, |queue| queue.max_attempts);
            let active = job.state == State::Active;
            self.dirty.insert(end.task.job);
            if !lasting && failed >= most && active {
                info!(event = "job", job = %end.task.job, state = "failed", task = %end.task, failed);
                self.end_job(now, end.task.job, State::Failed);
            }
        }
    }

    /// Clears the doubt about a job as soon as all is known; whether it still stands.
    pub(super) fn may_miss_starts(&mut self, now: Time, id: crate::job::Id) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        if !job.maybe_unrecorded {
            return false;
        }
        if !self.knows_all_starts(now, job) {
            return true;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.maybe_unrecorded = false;
        }
        false
    }
}
