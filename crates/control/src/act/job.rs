//! Operator actions on jobs.

use fleet::config::Size;
use serde::Deserialize;
use serde::Serialize;

/// A job to submit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Its name, unique within the site.
    pub name: String,
    /// The organisation that it belongs to.
    pub organisation: String,
    /// The team whose quota it uses.
    pub team: String,
    /// The kind of job, as defined in the configuration.
    pub kind: String,
    /// The input passed to the task.
    #[serde(default)]
    pub input: String,
}

/// A job as shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Its name.
    pub name: String,
    /// The organisation that it belongs to.
    pub organisation: String,
    /// Its team.
    pub team: String,
    /// The resources that it requests.
    pub size: Size,
    /// Name of its state.
    pub state: String,
    /// The instance that its attempt is on; empty if there is none.
    pub instance: String,
    /// Number of its latest attempt; 0 before the first.
    pub attempt: u32,
}

/// Why a job is in its present state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The job.
    pub job: Job,
    /// The reasons, one line each.
    pub reasons: Vec<String>,
    /// What an operator can do about it, one line each.
    pub remedies: Vec<String>,
}

/// How an operator resolves an attempt with an unknown outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resolution {
    /// The attempt ran: the job has succeeded.
    Ran,
    /// Run the job again: the attempt did not run, or running twice is acceptable.
    RunAgain,
}
