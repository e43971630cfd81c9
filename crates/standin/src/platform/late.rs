//! Writes that are still on their way when their caller has given up.

use platform::table::Commit;
use platform::table::Operation;
use platform::table::Transaction;

use super::store::Store;

/// A write whose caller no longer waits.
#[derive(Clone, Debug)]
pub(crate) enum Late {
    Commit(Transaction),
    Put(String, Vec<u8>),
    Remove(String),
    Restart(String, Operation),
}

impl Late {
    /// Takes effect now, where its conditions still hold. Returns whether it did.
    pub(crate) fn arrive(self, store: &mut Store) -> bool {
        match self {
            Self::Commit(transaction) => matches!(store.commit(&transaction), Commit::Done(_)),
            Self::Put(name, body) => {
                store.put_object(&name, &body);
                true
            }
            Self::Remove(name) => {
                store.remove_object(&name);
                true
            }
            Self::Restart(name, operation) => {
                store.restart(&name, &operation);
                true
            }
        }
    }
}
