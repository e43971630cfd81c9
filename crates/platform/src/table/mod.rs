//! The table service: rows under ordered keys, changed by conditional transactions.

use std::future::Future;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;

/// A row's version; it rises with each write. Nought stands for "no such row".
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
    Deserialize
)]
pub struct Version(pub u64);

impl Version {
    /// The version of a row that is not there.
    pub const ABSENT: Self = Self(0);
}

/// A place in the table's order of commits.
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
    Deserialize
)]
pub struct Position(pub u64);

/// Names one write, so that a lost reply can be settled by reading back.
#[derive(Clone, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Operation(pub String);

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its version.
    pub version: Version,
    /// The operation that last wrote it.
    pub operation: Operation,
    /// Its value: JSON text.
    pub value: String,
}

/// What must hold for a transaction to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// A row's key.
    pub key: String,
    /// The version it must have; [`Version::ABSENT`] where it must not exist.
    pub version: Version,
}

/// One row's new value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// Its new value, or nothing to delete it.
    pub value: Option<String>,
}

/// Conditions and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Names it.
    pub operation: Operation,
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// What is written then.
    pub writes: Vec<Write>,
}

/// How a transaction ended, known for certain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Commit {
    /// It took effect at this position; the written rows have it as their version.
    Done(Position),
    /// A condition did not hold; nothing was written. Names the first row that differed.
    Conflict(Row),
    /// A condition named a version of a row that is not there.
    Missing(String),
}

/// One committed change of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Where in the order of commits.
    pub position: Position,
    /// The row's key.
    pub key: String,
    /// The row, or nothing if it was deleted.
    pub row: Option<Row>,
}

/// Changes since a position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// In order of commits.
    pub changes: Vec<Change>,
    /// Where to read on from; the table's present position if `truncated`.
    pub position: Position,
    /// Whether the position asked for is too old to read on from; start from a scan.
    pub truncated: bool,
}

/// The table service.
pub trait Table: Clone + Send + Sync + 'static {
    /// The row under `key`.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, Error>> + Send;

    /// Up to `limit` rows whose keys start with `prefix` and come after `after`, in key order.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;

    /// Commits a transaction. On [`Error::Unknown`] it may have taken effect.
    fn commit(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<Commit, Error>> + Send;

    /// Up to `limit` changes after `position` of rows whose keys start with `prefix`.
    fn changes(
        &self,
        prefix: &str,
        position: Position,
        limit: usize,
    ) -> impl Future<Output = Result<Changes, Error>> + Send;
}
