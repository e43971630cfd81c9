//! Acts on jobs.

use fleet::config::Size;
use serde::Deserialize;
use serde::Serialize;

/// A job to be run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Its name, unique in the site.
    pub name: String,
    /// The organisation that wants it.
    pub organisation: String,
    /// The team it counts against.
    pub team: String,
    /// The kind of job, one that the configuration names.
    pub kind: String,
    /// What the task is handed.
    #[serde(default)]
    pub input: String,
}

/// A job, as an operator sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Its name.
    pub name: String,
    /// The organisation that wants it.
    pub organisation: String,
    /// Its team.
    pub team: String,
    /// What it needs.
    pub size: Size,
    /// How it stands, in a word.
    pub state: String,
    /// Where it runs; empty if nowhere.
    pub instance: String,
    /// Number of its latest attempt; nought before the first.
    pub attempt: u32,
}

/// Why a job stands as it does.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The job.
    pub job: Job,
    /// The reasons, one a line.
    pub reasons: Vec<String>,
    /// What an operator can do about it, one a line.
    pub remedies: Vec<String>,
}

/// What an operator says about an attempt whose end is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resolution {
    /// It ran: do not run it again.
    Ran,
    /// It did not run, or may run twice: run it again.
    RunAgain,
}
