//! What is wrong with a document, where, and what to do about it.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Whether a problem stands in the way.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// It cannot be applied.
    #[display("error")]
    Error,
    /// It can, but someone should know.
    #[display("warning")]
    Warning,
}

/// One thing that is wrong with a document.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{severity} at {path}: {what}; {remedy}")]
pub struct Problem {
    /// Whether it stands in the way.
    pub severity: Severity,
    /// Where, as dotted names from the document's top.
    pub path: String,
    /// What is wrong.
    pub what: String,
    /// What to do about it.
    pub remedy: String,
}

impl Problem {
    /// A problem that stands in the way.
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

    /// A problem that does not.
    pub fn warning(
        path: impl Into<String>,
        what: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self { severity: Severity::Warning, ..Self::error(path, what, remedy) }
    }

    /// Whether it stands in the way.
    pub fn is_error(&self) -> bool {
        self.severity == Severity::Error
    }
}
