//! What an entry tells its peers about itself.

use std::collections::BTreeMap;

use fleet::config::Revision;
use fleet::view::Load;

/// What an entry tells its peers about itself, whole each time it changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// The configuration revision in force there.
    pub revision: Revision,
    /// The highest drain epoch it acts on, by instance name.
    pub drains: BTreeMap<String, u64>,
    /// Its requests.
    pub load: Load,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it can reach the platform.
    pub platform: bool,
}
