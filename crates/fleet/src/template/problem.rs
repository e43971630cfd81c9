//! Errors and warnings about a document, with their location and a remedy.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Whether a problem prevents the document from being applied.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The document can't be applied.
    #[display("error")]
    Error,
    /// The document can be applied, but should be reviewed.
    #[display("warning")]
    Warning,
}

/// An error or warning about a document.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{severity} at {path}: {what}; {remedy}")]
pub struct Problem {
    /// Whether it prevents the document from being applied.
    pub severity: Severity,
    /// Its location, as dot-separated names from the root of the document or of the configuration.
    pub path: String,
    /// Description of the problem.
    pub what: String,
    /// How to solve it.
    pub remedy: String,
}

impl Problem {
    /// Creates a problem that prevents the document from being applied.
    pub fn error(
        path: impl Into<String>,
        what: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            severity: Severity::Error,
            path: path.into(),
            what: what.into(),
            remedy: remedy.into(),
        }
    }

    /// Creates a problem that doesn't prevent the document from being applied.
    pub fn warning(
        path: impl Into<String>,
        what: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self { severity: Severity::Warning, ..Self::error(path, what, remedy) }
    }

    /// Whether it prevents the document from being applied.
    pub fn is_error(&self) -> bool {
        self.severity == Severity::Error
    }
}
