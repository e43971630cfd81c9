//! What a template's parameter may be filled in with.

use derive_more::Display;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// The type of a parameter.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Type {
    /// A whole number, nought or more.
    #[display("integer")]
    Integer,
    /// A number, nought or more.
    #[display("number")]
    Number,
    /// A text.
    #[display("string")]
    String,
    /// True or false.
    #[display("boolean")]
    Boolean,
    /// A list of texts.
    #[display("list")]
    List,
}

/// A parameter of a [`Template`](super::Template).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Parameter {
    /// Its type.
    #[serde(rename = "type")]
    pub kind: Type,
    /// What it is for, in a line.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub about: String,
    /// Its value where a use gives none; without one, each use has to give it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default: Option<Value>,
    /// The least a number may be.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub min: Option<f64>,
    /// The most a number may be.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max: Option<f64>,
    /// The texts it may be; any where the list is empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub choices: Vec<String>,
}

impl Parameter {
    /// A parameter of this type with no bounds and no default.
    pub fn new(kind: Type) -> Self {
        Self {
            kind,
            about: String::new(),
            default: None,
            min: None,
            max: None,
            choices: Vec::new(),
        }
    }

    /// Why `value` will not do, as what is wrong and what to do about it.
    pub fn violation(&self, value: &Value) -> Option<(String, String)> {
        if !self.has_type(value) {
            return Some((format!("{value} is no {}", self.kind), format!("give a {}", self.kind)));
        }
        self.refuse_number(value).or_else(|| self.refuse_choice(value))
    }

    fn has_type(&self, value: &Value) -> bool {
        match self.kind {
            Type::Integer => value.is_u64(),
            Type::Number => value.as_f64().is_some_and(|number| number >= 0.0),
            Type::String => value.is_string(),
            Type::Boolean => value.is_boolean(),
            Type::List => {
                value.as_array().is_some_and(|values| values.iter().all(Value::is_string))
            }
        }
    }

    fn refuse_number(&self, value: &Value) -> Option<(String, String)> {
        let number = value.as_f64()?;
        if let Some(min) = self.min.filter(|&min| number < min) {
            return Some((format!("{number} is below {min}"), format!("give {min} or more")));
        }
        let max = self.max.filter(|&max| number > max)?;
        Some((format!("{number} is above {max}"), format!("give {max} or less")))
    }

    fn refuse_choice(&self, value: &Value) -> Option<(String, String)> {
        let text = value.as_str()?;
        if self.choices.is_empty() || self.choices.iter().any(|choice| choice == text) {
            return None;
        }
        Some((format!("\"{text}\" is no choice"), format!("give one of {:?}", self.choices)))
    }
}
