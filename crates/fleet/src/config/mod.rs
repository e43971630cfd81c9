//! The active configuration: the rendered items of every organisation at one revision.
//!
//! Operators don't write these types by hand. They fill in a [`template`](crate::template); the
//! result is rendered, [checked](crate::template) and given a [`Revision`].

mod item;

pub use item::Action;
pub use item::Job;
pub use item::Organisation;
pub use item::Pool;
pub use item::Priority;
pub use item::Repeat;
pub use item::Service;
pub use item::Size;
pub use item::Team;
pub use item::Wave;
pub use item::Weights;

use std::collections::BTreeMap;

use derive_more::Display;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// The number of a configuration. A process only adopts a configuration with a higher revision
/// than the one it has.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    JsonSchema
)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision that follows this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The configuration of all organisations at one [`Revision`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Config {
    /// The revision.
    pub revision: Revision,
    /// Organisations by name.
    pub organisations: BTreeMap<String, Organisation>,
}
