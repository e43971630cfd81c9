//! How answers look to people.

mod configuration;
mod fleet;
mod job;
mod status;
mod table;
pub mod team;

pub use configuration::entry;

/// What can be shown to people.
pub trait Show {
    /// The text, with no newline at its end.
    fn show(&self) -> String;
}

impl Show for serde_json::Value {
    fn show(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}
