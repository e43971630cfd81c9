//! What a process learns from its settings file: JSON, checked before anything starts.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use fleet::template::Problem;
use quick_error::quick_error;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Fewest hex digits of a secret: 32 bytes.
const SECRET_DIGITS: usize = 64;
/// Longest wait that a setting may ask for, milliseconds: 10 minutes.
const WAIT_MS: u32 = 600_000;

quick_error! {
    /// Why settings could not be used.
    #[derive(Debug)]
    pub enum Error {
        /// The file could not be read.
        Read(path: String, error: std::io::Error) {
            display("settings {path}: {error}")
        }
        /// The file is not of the form of [`Settings`].
        Parse(path: String, field: String, error: serde_json::Error) {
            display("settings {path}, at {field}: {error}")
        }
        /// The settings mean something that can't work.
        Check(path: String, problems: Vec<Problem>) {
            display("settings {path}: {}", list(problems))
        }
    }
}

fn list(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// A key that frames between our processes are signed with.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Tells overlapping keys apart, 1 to 255.
    pub id: u8,
    /// 32 bytes or more, as hex digits.
    pub secret: String,
}

impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Key").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Key {
    /// The secret's bytes, or nothing if it is not made of hex digits.
    pub fn bytes(&self) -> Option<Vec<u8>> {
        if !self.secret.len().is_multiple_of(2) || !self.secret.is_ascii() {
            return None;
        }
        let pairs = (0..self.secret.len()).step_by(2);
        pairs.map(|at| u8::from_str_radix(&self.secret[at..at + 2], 16).ok()).collect()
    }
}

/// Settings of one entry instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Its name on the instance list.
    pub name: String,
    /// Its region: entries of one region are members of each other.
    pub region: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where callers reach it, `ip:port`.
    pub callers: SocketAddr,
    /// Where operators and the balancer's health check reach it, `ip:port`.
    pub admin: SocketAddr,
    /// Where its peers reach it, over UDP and TCP, `ip:port`.
    pub peers: SocketAddr,
    /// Peers to start from; the instance list adds more.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Peers of other regions that share the configuration.
    #[serde(default)]
    pub beyond: Vec<SocketAddr>,
    /// Keys of the frames between peers: the first signs, all are accepted.
    pub keys: Vec<Key>,
    /// Where the platform's services answer, `ip:port`.
    pub platform: SocketAddr,
    /// How long the balancer may still send callers after readiness is off, milliseconds.
    #[serde(default = "Settings::default_grace_ms")]
    pub grace_ms: u32,
    /// How long a stop waits for requests in flight, milliseconds.
    #[serde(default = "Settings::default_stop_ms")]
    pub stop_ms: u32,
}

impl Settings {
    fn default_grace_ms() -> u32 {
        2_000
    }

    fn default_stop_ms() -> u32 {
        30_000
    }

    /// Reads settings from a JSON file and checks them.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::Read(name.clone(), error))?;
        Self::parse(&name, &text)
    }

    /// Reads settings from JSON text and checks them; `name` is what errors call it.
    pub fn parse(name: &str, text: &str) -> Result<Self, Error> {
        let mut json = serde_json::Deserializer::from_str(text);
        let parsed: Result<Self, _> = serde_path_to_error::deserialize(&mut json);
        let settings = parsed.map_err(|error| {
            let field = error.path().to_string();
            Error::Parse(name.to_owned(), field, error.into_inner())
        })?;
        let problems = settings.check();
        if problems.is_empty() {
            Ok(settings)
        } else {
            Err(Error::Check(name.to_owned(), problems))
        }
    }

    /// What can't work.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let names =
            [("name", &self.name), ("region", &self.region), ("data_centre", &self.data_centre)];
        for (field, name) in names {
            if name.is_empty() {
                problems.push(Problem::error(field, "it is empty", "give the platform's name"));
            }
        }
        self.check_addresses(&mut problems);
        self.check_keys(&mut problems);
        for (field, wait) in [("grace_ms", self.grace_ms), ("stop_ms", self.stop_ms)] {
            if wait > WAIT_MS {
                let remedy = format!("give {WAIT_MS} or less");
                problems.push(Problem::error(field, format!("{wait} is too long"), remedy));
            }
        }
        problems
    }

    fn check_addresses(&self, problems: &mut Vec<Problem>) {
        let own = [("callers", self.callers), ("admin", self.admin), ("peers", self.peers)];
        for (index, (field, address)) in own.iter().enumerate() {
            let taken = own[..index].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = taken.filter(|_| address.port() != 0) {
                let what = format!("{address} is taken by {other}");
                problems.push(Problem::error(*field, what, "give each an address of its own"));
            }
        }
        if self.platform.port() == 0 {
            problems.push(Problem::error("platform", "it has no port", "give ip:port"));
        }
    }

    fn check_keys(&self, problems: &mut Vec<Problem>) {
        if self.keys.is_empty() {
            let remedy = "give one key, or two while one is rotated";
            problems.push(Problem::error("keys", "there is none", remedy));
        }
        for (index, key) in self.keys.iter().enumerate() {
            let path = format!("keys.{index}");
            if key.id == 0 || self.keys[..index].iter().any(|other| other.id == key.id) {
                let what = format!("id {} is nought or taken", key.id);
                problems.push(Problem::error(format!("{path}.id"), what, "give each its own"));
            }
            if key.secret.len() < SECRET_DIGITS || key.bytes().is_none() {
                let what = "it is no secret of 32 bytes or more in hex digits";
                let remedy = "make one with a random number generator";
                problems.push(Problem::error(format!("{path}.secret"), what, remedy));
            }
        }
    }
}
