//! The figures of one replay.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::measure::Rollout;

/// The figures of one replay.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Seconds that were replayed.
    pub secs: f64,
    /// Buffer cost: instances up and held ready beyond what is promised, over time.
    pub buffer: f64,
    /// The least buffer that survives the largest rack and what a wave takes.
    pub buffer_bound: f64,
    /// Instances that were taken from one pool for another.
    pub moves: u32,
    /// The fewest moves that any schedule would have needed.
    pub moves_bound: u32,
    /// Spare instances that were put to sleep.
    pub parked: u32,
    /// Runs of waves that ended.
    pub rollouts: Vec<Rollout>,
    /// Planned stops that left fewer ready than promised.
    pub budget_breaches: u64,
    /// Planned stops that the next rack's failure would have turned into a breach.
    pub rack_breaches: u64,
    /// Times that an instance was open for work in two pools at once.
    pub two_pools: u64,
    /// Times that a pool's counts were not those of its members.
    pub miscounts: u64,
    /// Seconds that pools had fewer ready than promised, by failures.
    pub below_promise_secs: f64,
    /// Median wait of a request for a slot, milliseconds.
    pub request_wait_p50_ms: u64,
    /// Wait that one request in a hundred exceeds, milliseconds.
    pub request_wait_p99_ms: u64,
    /// Longest wait of a request that was served, milliseconds.
    pub request_wait_max_ms: u64,
    /// Requests that were served.
    pub requests_served: f64,
    /// Requests refused as not run.
    pub requests_refused: f64,
    /// Decisions that were recorded.
    pub decisions: u64,
    /// Decisions that may not be carried out.
    pub refused: u64,
    /// Decisions that lost a race for a row.
    pub conflicts: u64,
    /// Acts of operators that were refused.
    pub refused_acts: u64,
    /// Jobs refused when they were submitted.
    pub jobs_refused: u64,
    /// Jobs taken in and not cancelled.
    pub jobs_runnable: u64,
    /// Jobs that ended well.
    pub jobs_done: u64,
    /// Attempts that were checkpointed, to make room or to correct.
    pub jobs_moved: u64,
    /// Wait for the first start that one urgent job in a hundred exceeds, milliseconds.
    pub urgent_start_p99_ms: u64,
    /// The same of normal jobs.
    pub normal_start_p99_ms: u64,
    /// The same of batch jobs.
    pub batch_start_p99_ms: u64,
    /// Jobs that ran twice although they may not, and moments at which one ran in two places.
    pub double_runs: u64,
    /// Attempts that a worker failed which fails everything.
    pub burnt_attempts: u64,
    /// Starts of jobs that were known to be cancelled.
    pub started_after_cancel: u64,
    /// Accelerators in use while jobs wait for some, on average.
    pub accelerators_used: f64,
    /// What an offline packing of the same jobs uses at the same moments.
    pub accelerators_packed: f64,
}

impl Report {
    /// Whether nothing happened that must never happen.
    pub const fn is_sound(&self) -> bool {
        let breaches = self.budget_breaches + self.rack_breaches;
        breaches + self.two_pools + self.miscounts + self.double_runs == 0
    }

    /// Seconds that all runs of waves took.
    pub fn rollout_secs(&self) -> f64 {
        self.rollouts.iter().map(|rollout| rollout.secs).sum()
    }

    /// The fewest seconds that they could have taken.
    pub fn rollout_bound_secs(&self) -> f64 {
        self.rollouts.iter().map(|rollout| rollout.bound_secs).sum()
    }
}

impl Report {
    /// The lines on jobs, where there were any.
    fn jobs(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.jobs_runnable + self.jobs_refused == 0 {
            return Ok(());
        }
        write!(f, "\njobs                 {} of {}", self.jobs_done, self.jobs_runnable)?;
        writeln!(f, " done, {} refused, {} moved", self.jobs_refused, self.jobs_moved)?;
        let waits = [self.urgent_start_p99_ms, self.normal_start_p99_ms, self.batch_start_p99_ms];
        let [urgent, normal, batch] = waits;
        writeln!(f, "start p99            urgent {urgent}, normal {normal}, batch {batch} ms")?;
        writeln!(f, "double runs          {}", self.double_runs)?;
        writeln!(f, "burnt attempts       {}", self.burnt_attempts)?;
        writeln!(f, "started when over    {}", self.started_after_cancel)?;
        let (used, packed) = (self.accelerators_used, self.accelerators_packed);
        write!(f, "accelerators         {used:.1} in use, {packed:.1} packed offline")
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "replayed             {:.0} s, {} decisions", self.secs, self.decisions)?;
        writeln!(f, "buffer cost          {:.2} instances", self.buffer)?;
        writeln!(f, "  lower bound        {:.2}", self.buffer_bound)?;
        for rollout in &self.rollouts {
            let end = if rollout.done { "done" } else { "not done" };
            writeln!(f, "roll-out             {:.0} s, {end} ({})", rollout.secs, rollout.wave)?;
            writeln!(f, "  lower bound        {:.0} s", rollout.bound_secs)?;
            writeln!(f, "  lost instances     {}", rollout.lost)?;
            writeln!(f, "  estimate at half   off by {:.0}%", rollout.estimate_error * 100.0)?;
        }
        writeln!(f, "moves                {}", self.moves)?;
        writeln!(f, "  lower bound        {}", self.moves_bound)?;
        writeln!(f, "put to sleep         {}", self.parked)?;
        writeln!(f, "budget breaches      {}", self.budget_breaches)?;
        writeln!(f, "rack breaches        {}", self.rack_breaches)?;
        writeln!(f, "in two pools         {}", self.two_pools)?;
        writeln!(f, "miscounts            {}", self.miscounts)?;
        writeln!(f, "below promise        {:.0} pool-seconds", self.below_promise_secs)?;
        writeln!(
            f,
            "request wait         p50 {} ms, p99 {} ms, most {} ms",
            self.request_wait_p50_ms, self.request_wait_p99_ms, self.request_wait_max_ms
        )?;
        writeln!(f, "requests served      {:.0}", self.requests_served)?;
        writeln!(f, "requests refused     {:.0}", self.requests_refused)?;
        writeln!(f, "lost races           {}", self.conflicts)?;
        write!(f, "refused acts         {}", self.refused_acts)?;
        self.jobs(f)
    }
}
