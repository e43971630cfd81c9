//! What a run saw, and whether every promise was kept.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::cli::show::Show;

/// What a run saw.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Requests sent.
    pub requests: usize,
    /// Those that ran and were answered whole.
    pub ran: usize,
    /// Those that ran and were answered with an upstream's error.
    pub failed: usize,
    /// Those refused as not run.
    pub not_run: usize,
    /// Those whose end is unknown.
    pub unknown: usize,
    /// Those that got no answer, as when an entry is killed.
    pub no_answer: usize,
    /// The median time of those that ran, of the slowest service, milliseconds.
    pub p50_ms: u64,
    /// The 99th hundredth of the same.
    pub p99_ms: u64,
    /// Promises to callers that were broken, one line each.
    pub broken: Vec<String>,
    /// Upstreams that were sent new work more than 3 s after they began to drain.
    pub late: Vec<String>,
    /// Planned absences that began while their pool was at or below its promise.
    pub breaches: Vec<String>,
    /// Looks at which some pool had fewer serving than promised, mostly from failures.
    pub short_looks: u32,
    /// Entries that went back to an older configuration.
    pub reversals: Vec<String>,
    /// Requests cut off by planned stops.
    pub cut_off: usize,
    /// Jobs accepted.
    pub jobs: usize,
    /// How they stand, with how many.
    pub job_states: BTreeMap<String, usize>,
    /// The longest that an urgent job waited for its place, milliseconds.
    pub urgent_start_ms: u64,
    /// Instances that served beyond what is promised, in all pools, on the mean.
    pub buffer: f64,
    /// Instances that changed pools.
    pub moves: u32,
    /// Instances that waves restarted.
    pub restarts: u32,
    /// Waves, with how long they took if they are done.
    pub waves: BTreeMap<String, Option<Duration>>,
}

impl Report {
    /// Whether every promise was kept.
    pub fn kept(&self) -> bool {
        let lines = [&self.broken, &self.late, &self.breaches, &self.reversals];
        self.ran > 0 && self.cut_off == 0 && lines.iter().all(|lines| lines.is_empty())
    }

    fn promises(&self) -> [(&'static str, usize); 5] {
        [
            ("broken promises to callers", self.broken.len()),
            ("upstreams sent new work 3 s after they began to leave", self.late.len()),
            ("planned stops beyond a pool's budget", self.breaches.len()),
            ("entries that went back to an older configuration", self.reversals.len()),
            ("requests cut off by a planned stop", self.cut_off),
        ]
    }
}

impl Show for Report {
    fn show(&self) -> String {
        let mut lines = vec![
            format!("requests             {}", self.requests),
            format!("  ran                {}", self.ran),
            format!("  ran, and failed    {}", self.failed),
            format!("  not run            {}", self.not_run),
            format!("  unknown            {}", self.unknown),
            format!("  no answer          {}", self.no_answer),
            format!("latency p50, p99     {} ms, {} ms", self.p50_ms, self.p99_ms),
            format!("jobs                 {} {:?}", self.jobs, self.job_states),
            format!("urgent start, worst  {} ms", self.urgent_start_ms),
            format!("buffer               {:.1} instances beyond the promises", self.buffer),
            format!("moves                {}", self.moves),
            format!("restarts by waves    {}", self.restarts),
        ];
        for (wave, took) in &self.waves {
            let took = took.map_or_else(|| "not done yet".to_owned(), |took| format!("{took:.1?}"));
            lines.push(format!("roll-out of {wave}: {took}"));
        }
        lines.extend(self.promises().map(|(promise, count)| format!("{count:>5}  {promise}")));
        let broken = [&self.broken, &self.late, &self.breaches, &self.reversals];
        let examples = broken.into_iter().flat_map(|lines| lines.iter().take(5));
        lines.extend(examples.map(|line| format!("  {line}")));
        lines.push(if self.kept() { "every promise was kept" } else { "BROKEN" }.to_owned());
        lines.join("\n")
    }
}
