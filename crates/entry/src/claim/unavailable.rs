//! A stand-in for a missing table service.

use platform::Error;
use platform::table::Changes;
use platform::table::Commit;
use platform::table::Position;
use platform::table::Row;
use platform::table::Table;
use platform::table::Transaction;

/// A [`Table`] that fails every operation with [`Error::Unavailable`]. Requests that need a claim
/// are then refused as not run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unavailable;

fn unavailable<T>() -> Result<T, Error> {
    Err(Error::Unavailable("no table service".to_owned()))
}

impl Table for Unavailable {
    async fn get(&self, _: &str) -> Result<Option<Row>, Error> {
        unavailable()
    }

    async fn scan(&self, _: &str, _: &str, _: usize) -> Result<Vec<Row>, Error> {
        unavailable()
    }

    async fn commit(&self, _: &Transaction) -> Result<Commit, Error> {
        unavailable()
    }

    async fn changes(&self, _: &str, _: Position, _: usize) -> Result<Changes, Error> {
        unavailable()
    }
}
