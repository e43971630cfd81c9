//! Traces: what happened at a site, as JSON lines.
//!
//! The first line is the [`Setup`]; each further line is a [`Line`]: a time and an [`Event`].
//! `docs/design/replay.md` shows an example of each.

mod error;
mod event;
mod setup;

pub use error::Error;
pub use event::Act;
pub use event::Event;
pub use event::Storm;
pub use event::What;
pub use setup::Group;
pub use setup::Lags;
pub use setup::Setup;
pub use setup::Traffic;

use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// One event and when it happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Milliseconds since the trace's start.
    pub at_ms: u64,
    /// What happened.
    pub event: Event,
}

impl Line {
    /// When it happened, since the trace's start.
    pub const fn at(&self) -> Duration {
        Duration::from_millis(self.at_ms)
    }
}

/// What happened at a site.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// The site and how it lags.
    pub setup: Setup,
    /// What happened, in the order of time.
    pub lines: Vec<Line>,
}

impl Trace {
    /// Reads a trace.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::Read(path.display().to_string(), error.to_string()))?;
        Self::parse(&text)
    }

    /// Reads a trace from its text. Empty lines are passed over.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
        let (number, first) = lines.next().ok_or(Error::Empty)?;
        let setup = serde_json::from_str(first)
            .map_err(|error| Error::Line(number + 1, error.to_string()))?;
        let mut trace = Self { setup, lines: Vec::new() };
        for (number, text) in lines {
            let line = serde_json::from_str(text)
                .map_err(|error| Error::Line(number + 1, error.to_string()))?;
            trace.lines.push(line);
        }
        trace.lines.sort_by_key(|line| line.at_ms);
        Ok(trace)
    }

    /// The trace as text, one line of JSON each.
    pub fn write(&self) -> String {
        let setup = serde_json::to_string(&self.setup);
        let lines = self.lines.iter().map(serde_json::to_string);
        let mut text = String::new();
        for line in std::iter::once(setup).chain(lines).flatten() {
            text.push_str(&line);
            text.push('\n');
        }
        text
    }
}
