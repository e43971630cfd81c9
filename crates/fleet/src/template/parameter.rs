//! Parameters of templates and the validation of their values.

use derive_more::Display;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// The type of a parameter.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Type {
    /// A non-negative integer.
    #[display("integer")]
    Integer,
    /// A non-negative number.
    #[display("number")]
    Number,
    /// A string.
    #[display("string")]
    String,
    /// True or false.
    #[display("boolean")]
    Boolean,
    /// A list of strings.
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
    /// A description in one line.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub about: String,
    /// The value if a use gives none. A parameter without default must be given in each use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default: Option<Value>,
    /// The minimum of a number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub min: Option<f64>,
    /// The maximum of a number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max: Option<f64>,
    /// The allowed strings. Any string is allowed if the list is empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub choices: Vec<String>,
}

impl Parameter {
    /// Creates a parameter of this type without limits and default.
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

    /// Returns a description and a remedy if `value` is invalid.
    pub fn violation(&self, value: &Value) -> Option<(String, String)> {
        if !self.has_type(value) {
            return Some((
                format!("{value} is not of type {}", self.kind),
                format!("give a value of type {}", self.kind),
            ));
        }
        self.number_violation(value).or_else(|| self.choice_violation(value))
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

    fn number_violation(&self, value: &Value) -> Option<(String, String)> {
        let number = value.as_f64()?;
        if let Some(min) = self.min.filter(|&min| number < min) {
            return Some((format!("{number} is below {min}"), format!("give {min} or more")));
        }
        let max = self.max.filter(|&max| number > max)?;
        Some((format!("{number} is above {max}"), format!("give {max} or less")))
    }

    fn choice_violation(&self, value: &Value) -> Option<(String, String)> {
        let text = value.as_str()?;
        if self.choices.is_empty() || self.choices.iter().any(|choice| choice == text) {
            return None;
        }
        Some((
            format!("\"{text}\" is not one of the choices"),
            format!("give one of {:?}", self.choices),
        ))
    }
}
