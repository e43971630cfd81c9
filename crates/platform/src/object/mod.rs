//! The object store: whole objects by name.

use std::future::Future;

use crate::Error;

/// The object store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Writes a whole object.
    fn put(&self, name: &str, body: &[u8]) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads a whole object.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Vec<u8>>, Error>> + Send;

    /// Names that start with `prefix`, in order.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>, Error>> + Send;

    /// Removes an object; one that is not there is no error.
    fn remove(&self, name: &str) -> impl Future<Output = Result<(), Error>> + Send;
}
