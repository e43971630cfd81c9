//! Whether a job has begun, which only evidence can tell.

/// What shows that an instance has started a run of a job.
///
/// A placement shows nothing, nor does a start command: it may be refused, or never reach an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Evidence {
    /// An instance has confirmed a start command.
    #[display("start")]
    Start,
    /// An instance lists a run in progress.
    #[display("run")]
    Run,
    /// An instance lists a run that has ended.
    #[display("end")]
    End,
    /// The row that a previous leader left.
    #[display("row")]
    Row,
}

/// Whether a job has begun: whether an instance is known to have started one of its runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Begun {
    evidence: Option<Evidence>,
    stored: bool,
}

impl Begun {
    /// Whether the job is known to have begun.
    pub const fn is_known(self) -> bool {
        self.evidence.is_some()
    }

    /// Whether the store holds that the job has begun.
    pub const fn is_stored(self) -> bool {
        self.stored
    }

    /// Takes note of evidence; returns whether it is the first.
    pub const fn record(&mut self, evidence: Evidence) -> bool {
        let first = self.evidence.is_none();
        if first {
            self.evidence = Some(evidence);
        }
        first
    }

    /// What a row says that a previous leader left.
    pub const fn restore(has_begun: bool) -> Self {
        Self { evidence: if has_begun { Some(Evidence::Row) } else { None }, stored: has_begun }
    }

    /// Takes note that the store holds a row that was written when the job was known to have begun.
    pub const fn mark_stored(&mut self) {
        self.stored = self.is_known();
    }
}
