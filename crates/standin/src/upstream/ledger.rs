//! What an upstream ran.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;

/// How often something ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Run {
    /// How often.
    pub runs: u32,
    /// When it ran first, since the upstream's start.
    pub first: Time,
    /// When it ran last.
    pub last: Time,
    /// Whether it ran while the upstream was draining.
    pub after_drain: bool,
}

/// What an upstream ran.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// By request id.
    pub requests: BTreeMap<String, Run>,
    /// By idempotency key.
    pub keys: BTreeMap<String, Run>,
    /// Requests that were refused as not run, by request id.
    pub refused: BTreeMap<String, u32>,
    /// How long after the start of draining the last request came in, run or refused.
    pub last_after_drain: Option<Duration>,
}

impl Ledger {
    /// How often a request ran.
    pub fn runs(&self, id: &str) -> u32 {
        self.requests.get(id).map_or(0, |run| run.runs)
    }

    /// How often a key's request ran.
    pub fn key_runs(&self, key: &str) -> u32 {
        self.keys.get(key).map_or(0, |run| run.runs)
    }

    /// How many requests ran.
    pub fn total(&self) -> u32 {
        self.requests.values().map(|run| run.runs).sum()
    }

    pub(super) fn note(&mut self, now: Time, id: &str, key: Option<&str>, draining: bool) {
        note(&mut self.requests, now, id, draining);
        if let Some(key) = key {
            note(&mut self.keys, now, key, draining);
        }
    }

    pub(super) fn refuse(&mut self, id: &str) {
        *self.refused.entry(id.to_owned()).or_insert(0) += 1;
    }
}

fn note(runs: &mut BTreeMap<String, Run>, now: Time, name: &str, draining: bool) {
    let fresh = Run { first: now, ..Run::default() };
    let run = runs.entry(name.to_owned()).or_insert(fresh);
    run.runs += 1;
    run.last = now;
    run.after_drain |= draining;
}
