//! The configuration documents in force in this process.

use fleet::config::Config;
use fleet::config::Revision;
use fleet::template::Problem;
use fleet::template::Set;

/// Result of [`Adoption::offer`].
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The documents are in force now.
    Adopted,
    /// The same revision or a later one is already in force.
    Known,
    /// The documents cannot be rendered; the previous ones stay in force.
    Invalid(Vec<Problem>),
}

/// The documents in force in this process: the latest valid ones. The revision never decreases,
/// whichever source documents come from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Adoption {
    set: Set,
    config: Config,
}

impl Adoption {
    /// Adopts documents from the store, from a snapshot or from peers if they are newer and valid.
    pub fn offer(&mut self, set: Set) -> Verdict {
        if set.revision <= self.set.revision {
            return Verdict::Known;
        }
        match set.render() {
            Ok(config) => {
                self.config = config;
                self.set = set;
                Verdict::Adopted
            }
            Err(problems) => Verdict::Invalid(problems),
        }
    }

    /// The revision in force; 0 before the first one.
    pub fn revision(&self) -> Revision {
        self.set.revision
    }

    /// The documents in force.
    pub fn set(&self) -> &Set {
        &self.set
    }

    /// The configuration rendered from the documents in force.
    pub fn config(&self) -> &Config {
        &self.config
    }
}
