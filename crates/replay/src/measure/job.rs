//! What is measured of jobs.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use fleet::config;
use fleet::config::Priority;
use fleet::config::Size;
use fleet::decision::Decision;
use fleet::instance;
use fleet::job;
use fleet::job::End;
use fleet::job::State;
use fleet::key;
use fleet::time::Time;
use fleet::world::World;

use crate::fake::Crew;
use crate::replica::Replica;

/// How often accelerators in use are compared with an offline packing.
const SAMPLE: Duration = Duration::from_secs(30);

/// What is measured of jobs.
#[derive(Clone, Debug, Default)]
pub struct Jobs {
    /// Jobs that were refused at their submission.
    pub refused: u64,
    known: BTreeMap<String, Known>,
    words: BTreeMap<&'static str, u64>,
    ends: BTreeMap<&'static str, u64>,
    failed_attempts: u64,
    oversubscribed: u64,
    next_sample: Time,
    used: u64,
    packed: u64,
}

#[derive(Clone, Debug)]
struct Known {
    submitted: Time,
    priority: Priority,
    idempotent: bool,
}

/// The figures of the jobs of one replay.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct JobFigures {
    /// Jobs that were taken in.
    pub submitted: u64,
    /// Jobs that were refused at once.
    pub refused: u64,
    /// Jobs that ended well.
    pub succeeded: u64,
    /// Jobs that are set aside at the end.
    pub parked: u64,
    /// Jobs that wait for a person to say whether they ran.
    pub unresolved: u64,
    /// Jobs that are queued, running or unknown at the end.
    pub open: u64,
    /// Jobs that may not run twice and began more than once.
    pub double_runs: u64,
    /// Times that more was booked at an instance than it has.
    pub oversubscribed: u64,
    /// Attempts that failed.
    pub failed_attempts: u64,
    /// Attempts that were checkpointed to make room, for a drain or for an overrun.
    pub checkpoints: u64,
    /// Quarantines.
    pub quarantines: u64,
    /// Wait of urgent jobs that one in a hundred exceeds, milliseconds.
    pub urgent_wait_p99_ms: u64,
    /// Median wait of other jobs, milliseconds.
    pub wait_p50_ms: u64,
    /// Longest wait of a job that began, milliseconds.
    pub wait_max_ms: u64,
    /// Jobs that never began and were not cancelled.
    pub never_began: u64,
    /// Accelerators in use while jobs are queued, as a part of what an offline first-fit-decreasing
    /// packing of all jobs at hand reaches; 1 where none was needed.
    pub accelerators: f64,
}

impl fmt::Display for JobFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "jobs                 {}, {} refused at once", self.submitted, self.refused)?;
        writeln!(f, "  succeeded          {}", self.succeeded)?;
        writeln!(f, "  parked             {}", self.parked)?;
        writeln!(f, "  unresolved         {}", self.unresolved)?;
        writeln!(f, "  open at the end    {}, {} never began", self.open, self.never_began)?;
        writeln!(f, "  double runs        {}", self.double_runs)?;
        writeln!(f, "  oversubscribed     {}", self.oversubscribed)?;
        writeln!(f, "  failed attempts    {}", self.failed_attempts)?;
        writeln!(f, "  checkpoints        {}", self.checkpoints)?;
        writeln!(f, "  quarantines        {}", self.quarantines)?;
        writeln!(
            f,
            "job wait             urgent p99 {} ms, others p50 {} ms, most {} ms",
            self.urgent_wait_p99_ms, self.wait_p50_ms, self.wait_max_ms
        )?;
        write!(f, "accelerators in use  {:.4} of an offline packing", self.accelerators)
    }
}

impl Jobs {
    /// Takes note of a job that was taken in.
    pub fn submitted(&mut self, name: &str, spec: &config::Job, now: Time) {
        let (priority, idempotent) = (spec.priority, spec.idempotent);
        let known = Known { submitted: now, priority, idempotent };
        self.known.insert(name.to_owned(), known);
    }

    /// Takes note of a decision that was recorded.
    pub fn decided(&mut self, decision: &Decision) {
        let Decision::Job(decision) = decision else { return };
        *self.words.entry(decision.word()).or_default() += 1;
        match decision {
            job::Decision::Finish { attempt, end, .. } => {
                self.failed_attempts += u64::from(has_failed(*attempt));
                *self.ends.entry(State::Done(*end).word()).or_default() += 1;
            }
            job::Decision::Park { attempt, .. } => {
                self.failed_attempts += u64::from(has_failed(*attempt));
            }
            job::Decision::Requeue { outcome, .. } => {
                self.failed_attempts += u64::from(*outcome == job::Outcome::Failed);
            }
            _ => {}
        }
    }

    /// Takes note of one round.
    pub fn step(&mut self, watch: &Replica, now: Time) {
        let world = &watch.world;
        for (key, instance) in world.instances.iter() {
            let fits = world.booked(key).fits_in(instance.capacity.into());
            self.oversubscribed += u64::from(!fits);
        }
        if now < self.next_sample {
            return;
        }
        self.next_sample = now + SAMPLE;
        for (pool, _) in world.pools.iter().filter(|(pool, _)| watch.index.queued(*pool) > 0) {
            self.used += u64::from(in_use(world, pool));
            self.packed += u64::from(first_fit_decreasing(world, pool));
        }
    }

    /// The figures at the end.
    pub fn figures(&self, world: &World, crew: &Crew) -> JobFigures {
        let words = |word| self.words.get(word).copied().unwrap_or_default();
        let ends = |end: End| self.ends.get(State::Done(end).word()).copied().unwrap_or_default();
        let states = || world.jobs.iter().map(|(_, job)| &job.state);
        let count = |wanted: fn(&State) -> bool| states().filter(|state| wanted(state)).count();
        let mut urgent = self.waits(crew, |known| known.priority == Priority::Urgent);
        let mut other = self.waits(crew, |known| known.priority != Priority::Urgent);
        let longest = urgent.iter().chain(&other).max().copied().unwrap_or_default();
        JobFigures {
            submitted: self.known.len() as u64,
            refused: self.refused,
            succeeded: ends(End::Succeeded),
            parked: count(|state| matches!(state, State::Parked(_))) as u64,
            unresolved: count(|state| matches!(state, State::Unresolved(_))) as u64,
            open: count(|state| {
                matches!(state, State::Queued | State::Running(_) | State::Unknown(..))
            }) as u64,
            double_runs: self.double_runs(crew),
            oversubscribed: self.oversubscribed,
            failed_attempts: self.failed_attempts,
            checkpoints: words("checkpoint"),
            quarantines: words("quarantine"),
            urgent_wait_p99_ms: quantile(&mut urgent, 99),
            wait_p50_ms: quantile(&mut other, 50),
            wait_max_ms: longest,
            never_began: self.never_began(world, crew),
            accelerators: match self.packed {
                0 => 1.0,
                packed => self.used as f64 / packed as f64,
            },
        }
    }

    fn waits(&self, crew: &Crew, wanted: impl Fn(&Known) -> bool) -> Vec<u64> {
        let jobs = self.known.iter().filter(|(_, known)| wanted(known));
        let began = jobs.filter_map(|(name, known)| {
            let wait = crew.first_start.get(name)?.since(known.submitted);
            Some(wait.as_millis() as u64)
        });
        began.collect()
    }

    fn double_runs(&self, crew: &Crew) -> u64 {
        let once = self.known.iter().filter(|(_, known)| !known.idempotent);
        let runs = once.filter_map(|(name, _)| crew.fresh_runs.get(name));
        runs.filter(|runs| **runs > 1).count() as u64
    }

    fn never_began(&self, world: &World, crew: &Crew) -> u64 {
        let waits = |name: &String| {
            let job = world.names.jobs.get(name).and_then(|&key| world.jobs.get(key));
            job.is_some_and(|job| job.state == State::Queued)
        };
        let idle = self.known.keys().filter(|name| !crew.first_start.contains_key(*name));
        idle.filter(|name| waits(name)).count() as u64
    }
}

const fn has_failed(attempt: Option<(u32, job::Outcome)>) -> bool {
    matches!(attempt, Some((_, job::Outcome::Failed)))
}

fn quantile(waits: &mut [u64], percent: usize) -> u64 {
    waits.sort_unstable();
    let last = waits.len().saturating_sub(1);
    waits.get(last * percent / 100).copied().unwrap_or_default()
}

fn in_use(world: &World, pool: key::Pool) -> u32 {
    let jobs = world.jobs.iter().filter(|(_, job)| job.pool == pool);
    jobs.filter_map(|(_, job)| Some(job.state.placed()?.booked.accelerators)).sum()
}

/// Accelerators that would be in use if all jobs at hand were packed afresh, largest first.
fn first_fit_decreasing(world: &World, pool: key::Pool) -> u32 {
    let serving =
        world.members(pool).filter(|(_, member)| member.state == instance::State::Serving);
    let mut rooms: Vec<Size> = serving.map(|(_, member)| member.capacity).collect();
    let jobs = world.jobs.iter().filter(|(_, job)| job.pool == pool);
    let open = jobs.filter(|(_, job)| matches!(job.state, State::Queued | State::Running(_)));
    let mut sizes: Vec<Size> = open.map(|(_, job)| job.need).collect();
    sizes.sort_by_key(|size| {
        std::cmp::Reverse((size.accelerators, size.milli_cores, size.memory_mb))
    });
    let mut packed = 0;
    for size in sizes {
        if let Some(room) = rooms.iter_mut().find(|room| size.fits_in(**room)) {
            *room = room.less(size);
            packed += size.accelerators;
        }
    }
    packed
}
