//! The contract in HTTP and JSON: paths, bodies and headers that client and service share.
//!
//! docs/PLATFORM.md is the same for people. Everything is a `POST` with a JSON body, but for the
//! object store's `GET` and `PUT` of whole objects.

use serde::Deserialize;
use serde::Serialize;

use crate::table::Operation;
use crate::table::Position;

/// Reads one row: a [`Get`] for a [`Row`](crate::table::Row) or `null`.
pub const TABLE_GET: &str = "/v1/table/get";
/// Reads rows in key order: a [`Scan`] for a list of [`Row`](crate::table::Row).
pub const TABLE_SCAN: &str = "/v1/table/scan";
/// Commits a [`Transaction`](crate::table::Transaction) for a [`Commit`](crate::table::Commit).
pub const TABLE_COMMIT: &str = "/v1/table/commit";
/// Reads a [`Since`] for [`Changes`](crate::table::Changes).
pub const TABLE_CHANGES: &str = "/v1/table/changes";
/// Lists objects: a [`Prefix`] for a list of names.
pub const OBJECT_LIST: &str = "/v1/object/list";
/// In front of an object's name, for `GET` and `PUT`.
pub const OBJECT: &str = "/v1/objects/";
/// Lists instances: no body, for a list of [`Listed`](crate::instance::Listed).
pub const INSTANCE_LIST: &str = "/v1/instance/list";
/// Restarts an instance: a [`Restart`], for `null`.
pub const INSTANCE_RESTART: &str = "/v1/instance/restart";

/// Names the caller, as `data-centre/instance`.
pub const CLIENT: &str = "knapweedsail-client";
/// On an answer, the lowest [`Position`] that it reflects.
pub const POSITION: &str = "knapweedsail-position";
/// On a refusal, the service's promise about its effect; see [`NOT_RUN`].
pub const OUTCOME: &str = "knapweedsail-outcome";
/// The [`OUTCOME`] of a request that certainly had no effect.
pub const NOT_RUN: &str = "not-run";

/// Most rows or changes that one answer holds.
pub const PAGE: usize = 500;
/// Most bytes of an object.
pub const OBJECT_BYTES: usize = 8 << 20;
/// Most bytes of an object's name.
pub const OBJECT_NAME_BYTES: usize = 200;

/// Whether `name` can name an object: letters, digits and `-_./`, with no empty or dotted step.
pub fn is_object_name(name: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
    let steps = name.split('/').all(|step| !step.is_empty() && step != "." && step != "..");
    name.len() <= OBJECT_NAME_BYTES && name.bytes().all(plain) && steps
}

/// Body of [`TABLE_GET`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Get {
    /// The row's key.
    pub key: String,
}

/// Body of [`TABLE_SCAN`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// How the keys start.
    pub prefix: String,
    /// Only keys after this one.
    pub after: String,
    /// Most rows wanted, at most [`PAGE`].
    pub limit: usize,
}

/// Body of [`TABLE_CHANGES`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Since {
    /// How the keys start.
    pub prefix: String,
    /// Only changes after this position.
    pub position: Position,
    /// Most changes wanted, at most [`PAGE`]; the last transaction is always whole.
    pub limit: usize,
}

/// Body of [`OBJECT_LIST`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// How the names start.
    pub prefix: String,
}

/// Body of [`INSTANCE_RESTART`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restart {
    /// The instance's name.
    pub name: String,
    /// Names the restart; the same twice is one.
    pub operation: Operation,
}
