//! Places ready tasks on instances.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use super::admission::LATE_SHARE;
use super::choice::Lack;
use super::rank::Class;
use super::rank::Rank;
use super::rank::Turn;
use super::waiting::RoundEnd;
use crate::instance;
use crate::job::FirstPlaced;
use crate::job::Id;
use crate::job::Job;
use crate::job::Moved;
use crate::job::Phase;
use crate::job::TaskKey;

/// Short jobs of a pool that may fail to find room before the pool's other short jobs are skipped:
/// bounds the work of [`Core::place_tasks`] when a pool is full. As many of the skipped jobs are tried
/// after all others.
const MAX_UNPLACED_JOBS: u32 = 12;

/// Time after which a job is tried again that has been skipped since.
const SKIPPED_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time after which a job is tried again that found no place although half of its pool was free.
const UNFIT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time after which a job is tried again whose suspect waits for an instance of its own.
const TRIAL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What came of trying a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Try {
    /// All ready tasks were placed.
    Placed,
    /// Some were not, and at least one is a suspect that waits for an instance of its own.
    AwaitsTrial,
    /// Some were not.
    Unplaced,
}

/// A job that is tried in a round.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    rank: Rank,
    /// Index of its service among those of the round.
    service: usize,
    /// Copy of [`Job::retry_at`].
    retry_at: Time,
    /// Copy of [`Job::tried_at`].
    tried_at: Time,
}

/// What is known of the jobs that a round has tried.
#[derive(Debug)]
struct Round {
    /// Services of the candidates.
    services: Vec<String>,
    /// Number of short jobs that found no room, by index of their service.
    unplaced: Vec<u32>,
    /// Jobs that were skipped since others of their service found no room, and when they were last
    /// tried.
    skipped: BTreeMap<String, Vec<(Time, Rank)>>,
    /// Whether all starts by previous leaders are known, by the services of jobs.
    known_starts: BTreeMap<(String, Moved), bool>,
}

impl Core {
    /// Places ready tasks on instances.
    pub fn place_tasks(&mut self, now: Time) {
        self.round_end = None;
        let before = self.rounds.placed();
        if self.try_jobs(now) {
            self.rounds.add_round(self.rounds.placed() - before, self.round_end);
        }
        self.start_limit.end_round(now, self.round_end.is_some());
    }

    /// Tries all jobs with ready tasks in the order of their ranks, or sets [`Self::round_end`]. Returns
    /// whether there were any.
    fn try_jobs(&mut self, now: Time) -> bool {
        self.shortage.clear();
        let has_ready = |job: &Job| job.tasks.iter().any(|task| task.phase == Phase::Ready);
        if !self.schedulable_jobs().any(has_ready) {
            return false;
        }
        self.readmit_suspended(now);
        self.count_unknown_starts(now);
        let unsent = self.count_unsent();
        self.free_starts = self.start_limit.free(unsent);
        if self.free_starts == 0 {
            self.start_limit.hold_back(now);
            self.round_end = Some(RoundEnd::StartLimit(None));
            return true;
        }
        let writes_lag = self.writes_lag() && !self.starts_unrecorded(now);
        let is_short = |job: &Job| !job.spec.is_long_running();
        if writes_lag && self.schedulable_jobs().any(|job| is_short(job) && has_ready(job)) {
            self.round_end = Some(RoundEnd::Writes);
        }
        let mut services: Vec<String> = Vec::new();
        let mut candidates: Vec<Candidate> = Vec::new();
        let mut without_ready = Vec::new();
        for job in self.schedulable_jobs().filter(|job| !writes_lag || !is_short(job)) {
            let Some(rank) = self.rank(now, job) else {
                without_ready.push(job.id);
                continue;
            };
            let known = services.iter().position(|service| *service == job.service);
            let service = known.unwrap_or_else(|| {
                services.push(job.service.clone());
                services.len() - 1
            });
            let (retry_at, tried_at) = (job.retry_at, job.tried_at);
            candidates.push(Candidate { rank, service, retry_at, tried_at });
        }
        for id in without_ready {
            self.schedulable.remove(&id);
        }
        let mut round = Round {
            unplaced: vec![0; services.len()],
            services,
            skipped: BTreeMap::new(),
            known_starts: BTreeMap::new(),
        };
        let is_starved = |candidate: &Candidate| candidate.rank.turn == Turn::Starved;
        candidates.sort_unstable_by_key(|candidate| candidate.rank);
        let first_starved = candidates.partition_point(|it| it.rank.turn < Turn::Starved);
        let mut others = candidates.split_off(first_starved);
        if !self.try_in_order(now, &mut round, &candidates) {
            return true;
        }
        let mut starved = others;
        others = starved.split_off(starved.partition_point(is_starved));
        if !self.try_starved(now, &mut round, starved, &mut others)
            || !self.try_in_order(now, &mut round, &others)
        {
            return true;
        }
        self.place_skipped(now, round.skipped);
        true
    }

    /// Tries jobs in the given order, but for those whose tenants use up their shares meanwhile: these
    /// borrow from then on. Returns whether all could be tried.
    fn try_in_order(&mut self, now: Time, round: &mut Round, candidates: &[Candidate]) -> bool {
        let mut borrowers: Vec<Candidate> = Vec::new();
        for candidate in candidates {
            let precede = borrowers.partition_point(|it| it.rank < candidate.rank);
            let preceding: Vec<Candidate> = borrowers.drain(..precede).collect();
            if !self.try_all(now, round, &preceding) {
                return false;
            }
            let rank = self.current_rank(candidate.rank);
            if rank > candidate.rank {
                let index = borrowers.partition_point(|it| it.rank < rank);
                borrowers.insert(index, Candidate { rank, ..*candidate });
            } else if !self.try_all(now, round, std::slice::from_ref(candidate)) {
                return false;
            }
        }
        self.try_all(now, round, &borrowers)
    }

    /// Tries jobs in the given order; returns whether all could be tried.
    fn try_all(&mut self, now: Time, round: &mut Round, candidates: &[Candidate]) -> bool {
        for candidate in candidates {
            if self.free_starts == 0 {
                self.start_limit.hold_back(now);
                self.round_end = Some(RoundEnd::StartLimit(Some(candidate.rank)));
                return false;
            }
            self.try_candidate(now, round, candidate);
        }
        true
    }

    /// Tries starved jobs until they have used up their share of the starts, if `others` can be on time;
    /// adds the rest of them to `others`. Returns whether all could be tried.
    ///
    /// Handles a backlog that is late as a whole: its jobs all starve, and one task of each would make
    /// every job late that can still be on time.
    fn try_starved(
        &mut self,
        now: Time,
        round: &mut Round,
        starved: Vec<Candidate>,
        others: &mut Vec<Candidate>,
    ) -> bool {
        if !others.iter().any(|candidate| candidate.rank.class == Class::OnTime) {
            return self.try_in_order(now, round, &starved);
        }
        let mut credit = self.starved_credit + self.free_starts as f64 * LATE_SHARE;
        let mut starved = starved.into_iter();
        while credit >= 1.0
            && let Some(candidate) = starved.next()
        {
            let free_starts = self.free_starts;
            if !self.try_in_order(now, round, &[candidate]) {
                return false;
            }
            credit -= (free_starts - self.free_starts) as f64;
        }
        self.starved_credit = credit.min(1.0);
        let rest = starved.map(|it| Candidate { rank: it.rank.without_turn(), ..it });
        let count = others.len();
        others.extend(rest);
        if others.len() > count {
            others.sort_unstable_by_key(|candidate| candidate.rank);
        }
        true
    }

    /// Tries a job, unless it was tried lately or too many of its pool have found no room.
    fn try_candidate(&mut self, now: Time, round: &mut Round, candidate: &Candidate) {
        let Candidate { rank, service, retry_at, tried_at } = *candidate;
        let short = rank.class != Class::LongRunning;
        let skips = short && round.unplaced[service] >= MAX_UNPLACED_JOBS;
        if now < retry_at || (skips && now.since(tried_at) < SKIPPED_RETRY_DELAY) {
            return;
        }
        self.settle_starts(now, rank.id, &mut round.known_starts);
        if !has_placeable_task(&self.jobs[&rank.id]) {
            return;
        }
        if self.is_held_back(now, &self.jobs[&rank.id]) {
            self.hold_back(now, rank.id);
            return;
        }
        if skips {
            let service = round.services[service].clone();
            round.skipped.entry(service).or_default().push((tried_at, rank));
            return;
        }
        self.record_first_try(now, rank);
        if self.try_job(now, rank) == Try::Unplaced {
            round.unplaced[service] += u32::from(short);
        }
    }

    /// Jobs that may have ready tasks.
    fn schedulable_jobs(&self) -> impl Iterator<Item = &Job> {
        self.schedulable.iter().filter_map(|id| self.jobs.get(id))
    }

    /// Tries some of the jobs of each pool that were skipped since others found no room, those first
    /// that have not been tried for longest.
    ///
    /// Handles jobs that fit nowhere for long: those behind them may need less, or other things.
    fn place_skipped(&mut self, now: Time, skipped: BTreeMap<String, Vec<(Time, Rank)>>) {
        for mut jobs in skipped.into_values() {
            jobs.sort_unstable();
            for (_, rank) in jobs.into_iter().take(MAX_UNPLACED_JOBS as usize) {
                let free_starts = self.free_starts;
                if free_starts == 0 {
                    self.start_limit.hold_back(now);
                    return;
                }
                self.try_job(now, rank);
                if self.free_starts < free_starts {
                    self.record_first_try(now, rank);
                }
            }
        }
    }

    /// Places as many ready tasks of a job as possible, and puts it off if trying it again at once is
    /// of no use.
    fn try_job(&mut self, now: Time, rank: Rank) -> Try {
        if let Some(job) = self.jobs.get_mut(&rank.id) {
            job.tried_at = now;
        }
        let free_starts = self.free_starts;
        let all_placed = self.place_job(now, rank);
        let past_deadline = self.jobs.get(&rank.id).is_some_and(|job| now > job.deadline);
        self.rounds.add_placed(rank, past_deadline, free_starts - self.free_starts);
        if all_placed {
            Try::Placed
        } else if self.awaits_trial(rank.id) {
            self.defer_trial(now, rank.id);
            Try::AwaitsTrial
        } else {
            self.defer_unfit(now, rank.id);
            Try::Unplaced
        }
    }

    /// Puts a job off whose suspect waits for an instance of its own: it must not keep the pool's
    /// other jobs from being tried.
    fn defer_trial(&mut self, now: Time, id: Id) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.retry_at = now + TRIAL_RETRY_DELAY;
        }
    }

    /// Puts a job off that found no place although half of its pool is free.
    ///
    /// Handles jobs that fit on no instance, whatever is free: they must not keep the pool's other
    /// jobs from being tried.
    fn defer_unfit(&mut self, now: Time, id: Id) {
        if self.free_starts == 0 {
            return;
        }
        let pool = self.pools.get(&self.jobs[&id].service).into_iter().flatten();
        let open = pool.map(|&key| self.instance(key)).filter(|it| it.accepts_tasks(now));
        let (used, total) = open.fold((0, 0), |(used, total), instance| {
            (used + instance.used.cpu, total + instance.report.capacity.cpu)
        });
        if used * 2 < total
            && let Some(job) = self.jobs.get_mut(&id)
        {
            job.retry_at = now + UNFIT_RETRY_DELAY;
        }
    }

    /// Records that a job is tried for the first time.
    fn record_first_try(&mut self, now: Time, rank: Rank) {
        let id = rank.id;
        if let Some(job) = self.jobs.get(&id)
            && job.first_placed.is_none()
        {
            let critical_path = self.critical_path(job);
            let on_time = rank.class == Class::OnTime;
            if let Some(job) = self.jobs.get_mut(&id) {
                job.first_placed = Some(FirstPlaced { at: now, critical_path, on_time });
            }
        }
    }

    /// Places as many ready tasks of a job as possible; returns whether all were placed, but for those that the
    /// cap of its tenant holds back.
    fn place_job(&mut self, now: Time, rank: Rank) -> bool {
        let id = rank.id;
        let job = &self.jobs[&id];
        let mut ready: Vec<u32> = (0..job.tasks.len() as u32)
            .filter(|&index| {
                let task = &job.tasks[index as usize];
                is_placeable(job, index) && task.restart.is_due(now)
            })
            .collect();
        if rank.class == Class::LongRunning {
            // Where starts are scarce, each task gets its turn.
            let order = |&index: &u32| {
                let name = job.task_name(index);
                (name.occurrence, name.step, job.tasks[index as usize].since)
            };
            ready.sort_by_key(order);
        }
        let mut all_placed = true;
        let mut next = 0;
        while next < ready.len() {
            if rank.turn == Turn::Starved && next > 0 {
                break;
            }
            let name = self.jobs[&id].task_name(ready[next]);
            let job = &self.jobs[&id];
            let members = job.members(name.occurrence, name.step as usize);
            let same_step = ready[next..].iter().take_while(|&&i| members.contains(&(i as usize)));
            let mut group: Vec<u32> = same_step.copied().collect();
            if rank.turn == Turn::Starved && !job.step(group[0]).gang {
                group.truncate(1);
            }
            next += group.len();
            all_placed &= self.place_group(now, id, &group);
        }
        all_placed
    }

    /// Places ready tasks of one step; returns whether all were placed, but for those that the cap of the job's
    /// tenant holds back: these must not keep the pool's other jobs from being tried.
    fn place_group(&mut self, now: Time, id: Id, group: &[u32]) -> bool {
        let job = &self.jobs[&id];
        let step = job.step(group[0]);
        if step.gang {
            return self.place_gang(now, id, group);
        }
        let mut all_placed = true;
        for &index in group {
            if self.free_starts == 0 {
                return false;
            }
            let job = &self.jobs[&id];
            if !self.cap_admits(now, job, job.step(index), 1) {
                self.hold_back(now, id);
                return all_placed;
            }
            if self.shortage.covers(&job.service, job.step(index)) && !self.has_hold(job, index) {
                return false;
            }
            match self.pick_instance(now, id, index) {
                Ok(key) => self.assign(now, TaskKey { job: id, index }, key, None),
                Err(Lack::Room) => {
                    let job = &self.jobs[&id];
                    self.shortage.record(&job.service, job.step(index));
                    return false;
                }
                // Another task may have waited long enough to run where the job has failed.
                Err(Lack::Other) if !self.jobs[&id].failed_on.is_empty() => all_placed = false,
                // Tasks that are no suspects need not wait with those that are.
                Err(_) if self.jobs[&id].tasks[index as usize].is_suspect() => all_placed = false,
                Err(Lack::Other) => return false,
            }
        }
        all_placed
    }

    /// Places a gang as a whole or not at all, once all its members are ready. Members share the
    /// run number and resume from the same checkpoint.
    fn place_gang(&mut self, now: Time, id: Id, group: &[u32]) -> bool {
        let job = &self.jobs[&id];
        let name = job.task_name(group[0]);
        let members = job.members(name.occurrence, name.step as usize);
        if group.len() < members.len() {
            return false;
        }
        if !self.cap_admits(now, job, job.step(group[0]), group.len() as u64) {
            self.hold_back(now, id);
            return true;
        }
        let run = members.clone().map(|index| job.tasks[index].run).max().unwrap_or(0) + 1;
        let best_checkpoint =
            members.clone().map(|index| &job.tasks[index].checkpoint).max().cloned();
        let mut placed = Vec::new();
        for &index in group {
            let Ok(instance) = self.pick_instance(now, id, index) else {
                placed.into_iter().for_each(|(key, at)| self.book(key, at, false));
                return false;
            };
            // The next members are placed beside it.
            let key = TaskKey { job: id, index };
            self.book(key, instance, true);
            placed.push((key, instance));
        }
        for (key, instance) in placed {
            self.assign(now, key, instance, Some(run));
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            for index in members {
                job.tasks[index].checkpoint = best_checkpoint.clone().unwrap_or_default();
            }
        }
        true
    }

    /// Assigns a task to an instance as run number `run`, by default the one after its last.
    fn assign(&mut self, now: Time, key: TaskKey, instance: instance::Key, run: Option<u32>) {
        let incarnation = self.instance(instance).incarnation;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let name = job.task_name(key.index);
        let task = &mut job.tasks[key.index as usize];
        self.free_starts = self.free_starts.saturating_sub(1);
        let waited = now.since(task.since);
        task.run = run.unwrap_or(task.run.saturating_add(1));
        task.newest_run_known = true;
        task.phase = Phase::Planned(instance);
        task.since = now;
        task.placed_at = now;
        task.incarnation = incarnation;
        self.book(key, instance, true);
        let job = &self.jobs[&key.job];
        let step = &job.spec.steps[name.step as usize];
        if let Some(tenant) = job.tenant.filter(|_| !step.long_running) {
            self.shares.place(&job.service, tenant, step.booked_cpu());
        }
        let target = &mut self.instances[u32::from(instance) as usize];
        if !target.is_seen(now) {
            self.unseen.insert(instance);
        }
        if job.tasks[key.index as usize].is_suspect() {
            target.trials.insert(key);
        }
        info!(
            event = "place",
            task = %name,
            run = job.tasks[key.index as usize].run,
            runner = target.report.id,
            waited_ms = waited.as_millis(),
            slack_ms = job.deadline.since(now).as_millis(),
            used_cpu = target.used.cpu,
            looked_ms_ago = now.since(target.answered_at).as_millis(),
        );
        self.dirty.insert(key.job);
    }
}

/// Whether a task is ready, and no previous leader can have started it since its newest run.
fn is_placeable(job: &Job, index: u32) -> bool {
    job.tasks[index as usize].phase == Phase::Ready && job.knows_starts(index)
}

fn has_placeable_task(job: &Job) -> bool {
    !job.maybe_unrecorded || (0..job.tasks.len() as u32).any(|index| is_placeable(job, index))
}
