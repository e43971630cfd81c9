//! What is promised of a trace, and whether the figures keep it.
//!
//! An outcome stands in a file beside its trace. It names runs of the trace under several policies,
//! and promises on their figures, each with its reason.

mod metric;

pub use metric::Metric;

use std::collections::BTreeMap;
use std::path::Path;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::policy::Policy;
use crate::report::Report;
use crate::run;
use crate::trace::Error;
use crate::trace::Trace;

/// What is promised of a trace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// The runs, by name.
    pub runs: BTreeMap<String, Policy>,
    /// What is promised of their figures.
    pub promises: Vec<Promise>,
}

/// One promise on a figure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Promise {
    /// Why it is promised.
    pub why: String,
    /// Name of the run.
    pub run: String,
    /// Which figure.
    pub metric: Metric,
    /// The most that it may be.
    #[serde(default)]
    pub at_most: Option<f64>,
    /// The least that it may be.
    #[serde(default)]
    pub at_least: Option<f64>,
    /// Of what those are multiples; of one where there is none.
    #[serde(default)]
    pub of: Option<Figure>,
}

/// A figure of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Figure {
    /// Name of the run.
    pub run: String,
    /// Which figure.
    pub metric: Metric,
}

/// A promise that was not kept.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{run}: {metric} is {value:.3}, promised {bound}: {why}")]
pub struct Broken {
    /// Name of the run.
    pub run: String,
    /// Which figure.
    pub metric: Metric,
    /// What it is.
    pub value: f64,
    /// What it should be.
    pub bound: String,
    /// Why that was promised.
    pub why: String,
}

impl Outcome {
    /// Reads an outcome.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let named = |reason: String| Error::Read(path.display().to_string(), reason);
        let text = std::fs::read_to_string(path).map_err(|error| named(error.to_string()))?;
        serde_json::from_str(&text).map_err(|error| named(error.to_string()))
    }

    /// Replays `trace` for each of the runs.
    pub fn replay(&self, trace: &Trace, seed: u64) -> BTreeMap<String, Report> {
        let runs = self.runs.iter();
        runs.map(|(name, policy)| (name.clone(), run(trace, *policy, seed))).collect()
    }

    /// The promises that these reports don't keep. A promise on a run that there is none of is
    /// broken too.
    pub fn check(&self, reports: &BTreeMap<String, Report>) -> Vec<Broken> {
        self.promises.iter().filter_map(|promise| promise.check(reports)).collect()
    }
}

impl Promise {
    fn check(&self, reports: &BTreeMap<String, Report>) -> Option<Broken> {
        let value = figure(reports, &self.run, self.metric);
        let unit = match &self.of {
            Some(of) => figure(reports, &of.run, of.metric),
            None => 1.0,
        };
        let most = self.at_most.map(|factor| factor * unit);
        let least = self.at_least.map(|factor| factor * unit);
        let kept =
            most.is_none_or(|most| value <= most) && least.is_none_or(|least| value >= least);
        let stated = most.is_some() || least.is_some();
        if kept && stated {
            return None;
        }
        let bound = match (least, most) {
            (Some(least), Some(most)) => format!("{least:.3} to {most:.3}"),
            (Some(least), None) => format!("at least {least:.3}"),
            (None, Some(most)) => format!("at most {most:.3}"),
            (None, None) => "nothing".to_owned(),
        };
        let (run, why) = (self.run.clone(), self.why.clone());
        Some(Broken { run, metric: self.metric, value, bound, why })
    }
}

/// A run's figure; not a number where there is no such run, so that every comparison fails.
fn figure(reports: &BTreeMap<String, Report>, run: &str, metric: Metric) -> f64 {
    reports.get(run).map_or(f64::NAN, |report| metric.of(report))
}
