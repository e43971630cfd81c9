//! The templates of an organisation and the values of their parameters.

use std::collections::BTreeMap;

use derive_more::Display;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::Parameter;

/// The kind of a template, which determines the configuration items that its body may contain.
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
    /// The fields of [`Organisation`](crate::config::Organisation) that a body of this kind may
    /// contain.
    pub const fn fields(self) -> &'static [&'static str] {
        match self {
            Self::Organisation => &["weights", "data_centres", "teams"],
            Self::Pool => &["pools", "services"],
            Self::Job => &["jobs"],
            Self::Wave => &["waves"],
        }
    }
}

/// A configuration body with placeholders, and the parameters that replace them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Its kind.
    pub kind: Kind,
    /// A description in one line.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub about: String,
    /// Parameters by name. The parameter `name`, the name of the use, is predefined.
    #[serde(default)]
    pub parameters: BTreeMap<String, Parameter>,
    /// A part of an [`Organisation`](crate::config::Organisation) with `${parameter}` in its keys
    /// and strings. A string that consists of `${parameter}` alone is replaced by a value of the
    /// parameter's type.
    pub body: Value,
}

/// A use of a template, with values for its parameters.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Use {
    /// Name of the template.
    pub template: String,
    /// Values by parameter. Other parameters have the defaults of the template.
    #[serde(default)]
    pub with: BTreeMap<String, Value>,
}

/// The templates of one organisation and their uses.
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
