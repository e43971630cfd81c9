//! One organisation's templates and how it fills them in.

use std::collections::BTreeMap;

use derive_more::Display;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::Parameter;

/// What a template is for; it decides which items its body may make.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The organisation itself: weights, data centres, teams.
    #[display("organisation")]
    Organisation,
    /// Pools and the services on them.
    #[display("pool")]
    Pool,
    /// Kinds of job.
    #[display("job")]
    Job,
    /// Maintenance waves.
    #[display("wave")]
    Wave,
}

impl Kind {
    /// The items that a body of this kind may make, as fields of
    /// [`Organisation`](crate::config::Organisation).
    pub const fn fields(self) -> &'static [&'static str] {
        match self {
            Self::Organisation => &["weights", "data_centres", "teams"],
            Self::Pool => &["pools", "services"],
            Self::Job => &["jobs"],
            Self::Wave => &["waves"],
        }
    }
}

/// A body with gaps, and what may fill them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// What it is for.
    pub kind: Kind,
    /// What it is about, in a line.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub about: String,
    /// Parameters by name. `name`, the name of the use, is always there.
    #[serde(default)]
    pub parameters: BTreeMap<String, Parameter>,
    /// A part of an [`Organisation`](crate::config::Organisation) with `${parameter}` in its keys
    /// and texts. A text that is nothing but `${parameter}` takes on the parameter's type.
    pub body: Value,
}

/// A template filled in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Use {
    /// Name of the template.
    pub template: String,
    /// Values by parameter; the template's defaults stand for the rest.
    #[serde(default)]
    pub with: BTreeMap<String, Value>,
}

/// One organisation's templates and how it fills them in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the organisation.
    pub organisation: String,
    /// Templates by name.
    #[serde(default)]
    pub templates: BTreeMap<String, Template>,
    /// Uses of the templates by name.
    #[serde(default)]
    pub uses: BTreeMap<String, Use>,
}
