//! How a command ends, as a process's exit code.

use std::process::ExitCode;

use control::act;
use quick_error::quick_error;

/// A promise was broken, or the command failed in a way that no other code names.
pub const FAILED: u8 = 1;
/// What was asked for can't be done as it stands: bad input, a refusal, no such thing.
pub const REFUSED: u8 = 2;
/// Another operator was first; the difference has been shown.
pub const RACED: u8 = 3;
/// It may have been recorded. The operation is named, to ask again.
pub const UNKNOWN: u8 = 4;
/// No entry, or not the platform, could be reached; nothing was changed.
pub const UNREACHABLE: u8 = 5;
/// It is recorded and in force somewhere, not everywhere yet.
pub const NOT_EVERYWHERE: u8 = 6;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// The entry refused it.
        Act(error: act::Error) {
            from()
            display("{error}")
        }
        /// A file could not be used.
        Input(what: String) {
            display("{what}")
        }
        /// No entry answered.
        Unreachable(what: String) {
            display("no entry answers: {what}")
        }
        /// The act was sent and no entry said what became of it.
        Lost(operation: String) {
            display("no answer; ask again with --operation {operation}")
        }
        /// Recorded, and not in force everywhere.
        NotEverywhere(missing: String) {
            display("not in force yet at {missing}")
        }
        /// A promise was broken.
        Broken(what: String) {
            display("{what}")
        }
    }
}

impl Error {
    /// The exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::Act(act::Error::Raced(_)) => RACED,
            Self::Act(act::Error::Unknown(_)) | Self::Lost(_) => UNKNOWN,
            Self::Act(act::Error::Unavailable(_) | act::Error::Stopping) => UNREACHABLE,
            Self::Act(_) | Self::Input(_) => REFUSED,
            Self::Unreachable(_) => UNREACHABLE,
            Self::NotEverywhere(_) => NOT_EVERYWHERE,
            Self::Broken(_) => FAILED,
        }
    }
}

/// The exit code of a command's end, after saying on standard error why it failed.
pub fn code(result: Result<(), Error>) -> ExitCode {
    let Err(error) = result else { return ExitCode::SUCCESS };
    eprintln!("knapweedsail: {error}");
    if let Error::Act(act::Error::Invalid(problems)) = &error {
        for problem in problems {
            eprintln!("  {problem}");
        }
    }
    if let Error::Act(act::Error::Raced(difference)) = &error {
        for entry in &difference.entries {
            eprintln!("  since then: {}", super::show::entry(entry));
            for line in &entry.changes {
                eprintln!("    {line}");
            }
        }
    }
    ExitCode::from(error.code())
}
