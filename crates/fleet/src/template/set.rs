//! The documents of all organisations at one revision.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use super::Document;
use super::Problem;
use crate::config::Config;
use crate::config::Revision;

/// The documents of all organisations at one revision, as stored and exchanged between entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Set {
    /// The revision.
    pub revision: Revision,
    /// Documents by name of the organisation.
    pub documents: BTreeMap<String, Document>,
}

impl Set {
    /// Returns the set of the next revision, with the document of one organisation replaced or added.
    pub fn with(&self, document: Document) -> Self {
        let mut documents = self.documents.clone();
        documents.insert(document.organisation.clone(), document);
        Self { revision: self.revision.next(), documents }
    }

    /// Renders every document. Returns the problems of all documents if there are any.
    pub fn render(&self) -> Result<Config, Vec<Problem>> {
        let mut config = Config { revision: self.revision, ..Config::default() };
        let mut problems = Vec::new();
        for (name, document) in &self.documents {
            match document.render() {
                Ok(organisation) => {
                    config.organisations.insert(name.clone(), organisation);
                }
                Err(found) => problems.extend(found),
            }
        }
        if problems.is_empty() { Ok(config) } else { Err(problems) }
    }
}
