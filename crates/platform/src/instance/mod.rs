//! The instance list: live and leaving instances, with a lag; and restarts of instances.

use std::future::Future;

use fleet::config::Size;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::table::Operation;

/// What an instance is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It runs one of our entries.
    Entry,
    /// It runs upstreams and tasks.
    Worker,
}

/// An entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// What it is for.
    pub role: Role,
    /// Where it listens, `ip:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its rack.
    pub rack: String,
    /// The organisation and pool it was started for; the table's row, once there, decides.
    pub organisation: String,
    /// See [`Self::organisation`].
    pub pool: String,
    /// What it can hold.
    pub capacity: Size,
    /// Whether the platform is taking it away.
    pub leaving: bool,
}

/// The instance list.
pub trait List: Clone + Send + Sync + 'static {
    /// All instances, as the platform last knew.
    fn list(&self) -> impl Future<Output = Result<Vec<Listed>, Error>> + Send;

    /// Has the platform restart an instance that nothing runs on any more. The same operation
    /// twice is one restart.
    fn restart(
        &self,
        name: &str,
        operation: &Operation,
    ) -> impl Future<Output = Result<(), Error>> + Send;
}
