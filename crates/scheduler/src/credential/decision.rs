//! Decides whether a call is served.

use super::Freshness;
use super::Index;
use crate::Config;
use crate::config::Queue;

/// What becomes of a call by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision<'index> {
    /// It is served, on behalf of a tenant if the queue asks for keys.
    Admitted(Option<&'index str>),
    /// It is refused: no tenant has the key.
    Unknown,
    /// A newer configuration may decide otherwise.
    Uncertain,
}

/// Decides on a call by the key that it carries. `queue`: the one that is called; None if the configuration has none of its
/// name, which may be one that was renamed, and public. `strict`: a node that nothing confirms the configuration to
/// doesn't go on by the last one.
///
/// Handles versions that add and withdraw keys while callers use them: a key that has just been added must not be refused
/// for good by a node that lacks the version, and a withdrawn one must not be served by a node that was paused meanwhile.
pub fn decide<'index>(
    config: &Config,
    index: &'index Index,
    queue: Option<&Queue>,
    key: Option<&str>,
    freshness: Freshness,
    strict: bool,
) -> Decision<'index> {
    if config.tenants.is_none() || queue.is_some_and(|queue| queue.public) {
        return Decision::Admitted(None);
    }
    let tenant = key.and_then(|key| index.tenant(key));
    match (tenant, freshness) {
        (Some(tenant), Freshness::Current) => Decision::Admitted(Some(tenant)),
        (Some(tenant), Freshness::Isolated) if !strict => Decision::Admitted(Some(tenant)),
        (None, Freshness::Current) if queue.is_some() => Decision::Unknown,
        _ => Decision::Uncertain,
    }
}
