//! Which attempts a worker ran.

use std::collections::BTreeMap;

/// How often a worker began to run each attempt, by job and number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    runs: BTreeMap<(String, u32), u32>,
    afresh: BTreeMap<String, u32>,
}

impl Ledger {
    /// All attempts, with how often each was begun.
    pub fn runs(&self) -> &BTreeMap<(String, u32), u32> {
        &self.runs
    }

    /// How often a job was begun from its beginning, not from a checkpoint.
    pub fn afresh(&self, job: &str) -> u32 {
        self.afresh.get(job).copied().unwrap_or_default()
    }

    /// Jobs begun from their beginning, with how often.
    pub fn jobs(&self) -> impl Iterator<Item = (&str, u32)> {
        self.afresh.iter().map(|(job, &runs)| (job.as_str(), runs))
    }

    pub(super) fn enter(&mut self, job: &str, number: u32, afresh: bool) {
        *self.runs.entry((job.to_owned(), number)).or_default() += 1;
        if afresh {
            *self.afresh.entry(job.to_owned()).or_default() += 1;
        }
    }
}
