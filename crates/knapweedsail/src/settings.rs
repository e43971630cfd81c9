//! What a process learns from its settings file: JSON, checked before anything starts.

use std::net::SocketAddr;
use std::path::Path;

use quick_error::quick_error;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

quick_error! {
    /// Why settings could not be read.
    #[derive(Debug)]
    pub enum Error {
        /// The file could not be read.
        Read(path: String, error: std::io::Error) {
            display("settings {path}: {error}")
        }
        /// The file is not what [`Settings`] needs.
        Parse(path: String, error: serde_json::Error) {
            display("settings {path}: {error}")
        }
    }
}

/// Settings of one entry instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Its name on the instance list.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where callers reach it, `ip:port`.
    pub callers: SocketAddr,
}

impl Settings {
    /// Reads settings from a JSON file.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::Read(name.clone(), error))?;
        serde_json::from_str(&text).map_err(|error| Error::Parse(name, error))
    }
}
