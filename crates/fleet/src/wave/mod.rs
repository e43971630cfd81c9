//! Maintenance waves: one small state machine an instance, resumable at any step.

use crate::config;
use crate::key;

/// A maintenance wave under way.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wave {
    /// Its name, within its organisation.
    pub name: String,
    /// Whose it is.
    pub organisation: key::Organisation,
    /// What is to be done.
    pub spec: config::Wave,
}

/// What the wave systems want done.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Take up the next step of an instance.
    Step {
        /// Which wave.
        wave: key::Wave,
        /// Which instance.
        instance: key::Instance,
    },
}
