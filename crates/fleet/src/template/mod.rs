//! Templates that operators fill in, and the documents made of them.
//!
//! A [`Document`] is one organisation's templates and the parameters it fills them with. It is
//! [rendered](Document::render) into a [`config::Organisation`](crate::config::Organisation).

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// One organisation's templates and how it fills them in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the organisation.
    pub organisation: String,
    /// Templates by name.
    pub templates: BTreeMap<String, serde_json::Value>,
}
