//! What each pool places and what it holds back, to tell when a new job would start.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use fleet::time::Time;

use super::Core;
use super::placement::MAX_STARVED_SHARE;
use super::rank::Class;
use super::rank::Rank;
use super::rank::Turn;
use crate::job::Job;
use crate::job::Phase;
use crate::job::State;

/// Window over which placements are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Time for which a pool without room has to hold work back, round after round, before new jobs are
/// judged by it: room comes when tasks end.
const MIN_HELD_BY_ROOM: Duration = Duration::from_millis(500);

/// The same while starts or writes are limited, which go on all the time.
const MIN_HELD_BY_GATE: Duration = Duration::from_millis(250);

/// Short tasks that a pool places and holds back.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlog {
    /// Since when each round has left ready tasks; None if the last one has left none.
    held_since: Option<Time>,
    /// Tasks placed in rounds within [`WINDOW`].
    placed: VecDeque<(Time, usize)>,
    /// Ready tasks that the last round left, and those of jobs that are being stored, by the rank of
    /// their job.
    left: Vec<(Rank, usize)>,
}

impl Backlog {
    /// Time until a job of this rank is placed, `gated` if starts or writes hold it back. None if the
    /// pool holds nothing back, or has not done so for long enough to tell.
    fn wait(&self, now: Time, rank: &Rank, gated: bool) -> Option<Duration> {
        let held = now.since(self.held_since?);
        let (least, window) = match gated {
            true => (MIN_HELD_BY_GATE, held.min(WINDOW)),
            // What filled the pool counts: as much ends in the time that a task takes.
            false => (MIN_HELD_BY_ROOM, WINDOW),
        };
        if held < least {
            return None;
        }
        let placed = self.placed_since(now, window);
        if placed == 0 {
            // What has lasted for some time tends to last that long again.
            return Some(held);
        }
        let precedes = |(other, _): &&(Rank, usize)| other.turn != Turn::Starved && other < rank;
        let ahead: usize = self.left.iter().filter(precedes).map(|(_, tasks)| tasks).sum();
        let starved = self.left.iter().any(|(other, _)| other.turn == Turn::Starved);
        let share = if starved { 1.0 - MAX_STARVED_SHARE } else { 1.0 };
        Some(window.mul_f64(ahead as f64 / (placed as f64 * share)))
    }

    /// Time for which the pool has held work back; zero if it does not.
    pub(super) fn held(&self, now: Time) -> Duration {
        self.held_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Number of tasks placed within [`WINDOW`].
    pub(super) fn placed(&self, now: Time) -> usize {
        self.placed_since(now, WINDOW)
    }

    fn placed_since(&self, now: Time, window: Duration) -> usize {
        let recent = self.placed.iter().filter(|(at, _)| now.since(*at) <= window);
        recent.map(|(_, tasks)| tasks).sum()
    }
}

impl Core {
    /// Records what a round of placement has placed and left. `ranks` are those of all jobs that had
    /// ready tasks.
    pub(super) fn record_round(&mut self, now: Time, ranks: &[Rank]) {
        for backlog in self.backlogs.values_mut() {
            backlog.left.clear();
            while backlog.placed.front().is_some_and(|(at, _)| now.since(*at) > WINDOW) {
                backlog.placed.pop_front();
            }
        }
        let mut held: BTreeMap<String, Vec<(Rank, usize)>> = BTreeMap::new();
        for &rank in ranks {
            if rank.class == Class::LongRunning {
                continue;
            }
            let job = &self.jobs[&rank.id];
            let left = self.held_tasks(now, job, rank);
            if left == 0 {
                continue;
            }
            match held.get_mut(&job.service) {
                Some(ranks) => ranks.push((rank, left)),
                None => drop(held.insert(job.service.clone(), vec![(rank, left)])),
            }
        }
        for (service, backlog) in &mut self.backlogs {
            if !held.contains_key(service) {
                backlog.held_since = None;
            }
        }
        if held.is_empty() {
            return;
        }
        for entry in self.dirty.iter().chain(self.writing.iter().copied()) {
            let Some(job) = self.jobs.get(&entry.id) else { continue };
            if job.state == State::Storing
                && let Some(ranks) = held.get_mut(&job.service)
            {
                ranks.push((self.arrival_rank(now, job), first_tasks(job)));
            }
        }
        for (service, left) in held {
            let backlog = self.backlogs.entry(service).or_default();
            backlog.held_since.get_or_insert(now);
            backlog.left = left;
        }
    }

    /// Number of ready tasks of a job that the round has left since its pool has no room for them, or
    /// since it ended before them; zero if the job itself is what keeps them from being placed.
    fn held_tasks(&self, now: Time, job: &Job, rank: Rank) -> usize {
        let untried = self.round_end.as_ref().is_some_and(|(first, _)| rank >= *first);
        if !untried && now < job.retry_at {
            return 0;
        }
        let ready = job.tasks.iter().enumerate().filter(|(_, task)| task.phase == Phase::Ready);
        let held = ready.filter(|(index, _)| {
            untried || self.shortage.covers(&job.service, job.step(*index as u32))
        });
        held.count()
    }

    /// Records that tasks of a pool have been placed.
    pub(super) fn record_placed(&mut self, now: Time, service: &str, tasks: usize) {
        let backlog = match self.backlogs.get_mut(service) {
            Some(backlog) => backlog,
            None => self.backlogs.entry(service.to_owned()).or_default(),
        };
        match backlog.placed.back_mut() {
            Some((at, placed)) if *at == now => *placed += tasks,
            _ => backlog.placed.push_back((now, tasks)),
        }
    }

    /// Time until a task of a job that is submitted now is placed; None unless its pool holds such
    /// work back.
    pub(super) fn start_wait(&self, now: Time, job: &Job) -> Option<Duration> {
        let backlog = self.backlogs.get(&job.service)?;
        let rank = self.arrival_rank(now, job);
        let untried = self.round_end.as_ref().is_some_and(|(first, _)| rank >= *first);
        let mut first_steps = job.spec.steps.iter().filter(|step| step.after.is_empty());
        if !untried && !first_steps.any(|step| self.shortage.covers(&job.service, step)) {
            return None;
        }
        backlog.wait(now, &rank, untried)
    }
}

/// Number of tasks of a job that are ready as soon as it is accepted.
pub(super) fn first_tasks(job: &Job) -> usize {
    let first = job.spec.steps.iter().filter(|step| step.after.is_empty());
    first.map(|step| step.count as usize).sum()
}
