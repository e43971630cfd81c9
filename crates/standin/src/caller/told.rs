//! How requests ended, as their callers see it.

use std::collections::BTreeMap;
use std::time::Duration;

use http::Error;
use http::Request;
use http::Response;

use crate::upstream::Ledger;

/// How a request ended, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Told {
    /// It ran; the whole answer is its own.
    Ran,
    /// It ran and its upstream answered with an error.
    Failed,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, but the answer is another's or not whole.
    Crossed,
    /// The connection was refused: the entry is not there.
    NotSent,
    /// The entry gave no whole answer.
    CutOff,
}

impl Told {
    /// Reads what became of `request`; its own answer has its body.
    pub fn read(request: &Request, result: &Result<Response, Error>) -> Self {
        let response = match result {
            Ok(response) => response,
            Err(Error::NotSent(_)) => return Self::NotSent,
            Err(_) => return Self::CutOff,
        };
        let id =
            |headers: &http::Headers| headers.get("knapweedsail-request-id").map(str::to_owned);
        let own = id(&response.headers) == id(&request.headers);
        match response.headers.get("knapweedsail-outcome") {
            _ if !own => Self::Crossed,
            Some("ran") if response.status >= 500 => Self::Failed,
            Some("ran") if response.body == request.body => Self::Ran,
            Some("ran") => Self::Crossed,
            Some("not-run") => Self::NotRun,
            Some("unknown") => Self::Unknown,
            _ => Self::CutOff,
        }
    }
}

/// What all requests of a load were told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// By request id, with how long it took.
    pub told: BTreeMap<String, (Told, Duration)>,
}

impl Report {
    /// How many were told this.
    pub fn count(&self, told: Told) -> usize {
        self.told.values().filter(|(each, _)| *each == told).count()
    }

    /// The time within which this share of those that ran were answered.
    pub fn latency(&self, share: f64) -> Duration {
        let ran = self.told.values().filter(|(told, _)| *told == Told::Ran);
        let mut times: Vec<_> = ran.map(|(_, took)| *took).collect();
        times.sort_unstable();
        let index = (times.len() as f64 * share) as usize;
        times.get(index.min(times.len().saturating_sub(1))).copied().unwrap_or_default()
    }

    /// Every promise that what the upstreams ran shows broken, one line each.
    pub fn broken_promises(&self, ledgers: &[Ledger]) -> Vec<String> {
        let mut broken = Vec::new();
        for (id, (told, _)) in &self.told {
            let runs: u32 = ledgers.iter().map(|ledger| ledger.runs(id)).sum();
            let kept = match told {
                Told::Ran | Told::Failed => runs == 1,
                Told::NotRun | Told::NotSent => runs == 0,
                Told::Unknown => runs <= 1,
                Told::Crossed | Told::CutOff => false,
            };
            if !kept {
                broken.push(format!("{id} was told {told:?} and ran {runs} times"));
            }
        }
        broken
    }
}
