//! Which documents are in force in this process.

use fleet::config::Config;
use fleet::config::Revision;
use fleet::template::Problem;
use fleet::template::Set;

/// What became of documents that were offered.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// They are in force now.
    Adopted,
    /// These, or later ones, are in force already.
    Known,
    /// They cannot be rendered; what was in force stays so.
    Invalid(Vec<Problem>),
}

/// The documents in force in this process: the last known good ones. Their revision only rises,
/// wherever they come from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Adoption {
    set: Set,
    config: Config,
}

impl Adoption {
    /// Takes in documents from the store, from a snapshot or from peers.
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

    /// The revision in force; nought before the first.
    pub fn revision(&self) -> Revision {
        self.set.revision
    }

    /// The documents in force.
    pub fn set(&self) -> &Set {
        &self.set
    }

    /// The documents in force, rendered.
    pub fn config(&self) -> &Config {
        &self.config
    }
}
