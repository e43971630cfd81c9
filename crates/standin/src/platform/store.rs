//! The state of the table, the object store and the instance list.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use platform::instance::Listed;
use platform::table::Change;
use platform::table::Changes;
use platform::table::Commit;
use platform::table::Condition;
use platform::table::Operation;
use platform::table::Position;
use platform::table::Row;
use platform::table::Transaction;
use platform::table::Version;
use platform::table::Write;

/// The state of the table, the object store and the instance list.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    rows: BTreeMap<String, Row>,
    log: Vec<Change>,
    position: Position,
    /// Changes up to here are forgotten.
    floor: Position,
    /// How often each operation took effect.
    effects: BTreeMap<Operation, u32>,
    objects: BTreeMap<String, Vec<u8>>,
    pub(crate) instances: Vec<Listed>,
    /// Restarts asked for and not carried out yet, by operation.
    restarts: BTreeMap<Operation, String>,
    /// Operations of all restarts asked for so far.
    restarted: BTreeSet<Operation>,
}

impl Store {
    pub(crate) fn get(&self, key: &str) -> Option<Row> {
        self.rows.get(key).cloned()
    }

    pub(crate) fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let start = prefix.max(after);
        let rows = self.rows.range(start.to_owned()..);
        let wanted = rows.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        wanted.take(limit).map(|(_, row)| row.clone()).collect()
    }

    pub(crate) fn commit(&mut self, transaction: &Transaction) -> Commit {
        for condition in &transaction.conditions {
            if let Some(refusal) = self.check(condition) {
                return refusal;
            }
        }
        self.position.0 += 1;
        *self.effects.entry(transaction.operation.clone()).or_default() += 1;
        for write in &transaction.writes {
            self.write(transaction, write);
        }
        Commit::Done(self.position)
    }

    fn check(&self, condition: &Condition) -> Option<Commit> {
        let Some(row) = self.rows.get(&condition.key) else {
            let absent = condition.version == Version::ABSENT;
            return (!absent).then(|| Commit::Missing(condition.key.clone()));
        };
        (row.version != condition.version).then(|| Commit::Conflict(row.clone()))
    }

    fn write(&mut self, transaction: &Transaction, write: &Write) {
        let row = write.value.as_ref().map(|value| Row {
            key: write.key.clone(),
            version: Version(self.position.0),
            operation: transaction.operation.clone(),
            value: value.clone(),
        });
        match &row {
            Some(row) => self.rows.insert(write.key.clone(), row.clone()),
            None => self.rows.remove(&write.key),
        };
        self.log.push(Change { position: self.position, key: write.key.clone(), row });
    }

    /// Changes of whole transactions: the last one may go over `limit`.
    pub(crate) fn changes(&self, prefix: &str, position: Position, limit: usize) -> Changes {
        if position < self.floor {
            return Changes { changes: Vec::new(), position: self.position, truncated: true };
        }
        let mut changes: Vec<Change> = Vec::new();
        let start = self.log.partition_point(|change| change.position <= position);
        for change in &self.log[start..] {
            let reached = changes.last().map(|last| last.position);
            let whole = reached.is_some_and(|reached| reached < change.position);
            if changes.len() >= limit && whole {
                let position = Position(change.position.0 - 1);
                return Changes { changes, position, truncated: false };
            }
            if change.key.starts_with(prefix) {
                changes.push(change.clone());
            }
        }
        Changes { changes, position: self.position, truncated: false }
    }

    /// Forgets changes up to the present position.
    pub(crate) fn forget_changes(&mut self) {
        self.floor = self.position;
        self.log.clear();
    }

    pub(crate) fn effects(&self, operation: &Operation) -> u32 {
        self.effects.get(operation).copied().unwrap_or_default()
    }

    pub(crate) fn position(&self) -> Position {
        self.position
    }

    pub(crate) fn restart(&mut self, name: &str, operation: &Operation) {
        if self.restarted.insert(operation.clone()) {
            self.restarts.insert(operation.clone(), name.to_owned());
        }
    }

    /// Takes the restarts that are to be carried out, as names of instances.
    pub(crate) fn take_restarts(&mut self) -> Vec<String> {
        std::mem::take(&mut self.restarts).into_values().collect()
    }

    pub(crate) fn put_object(&mut self, name: &str, body: &[u8]) {
        self.objects.insert(name.to_owned(), body.to_vec());
    }

    pub(crate) fn remove_object(&mut self, name: &str) {
        self.objects.remove(name);
    }

    pub(crate) fn object(&self, name: &str) -> Option<Vec<u8>> {
        self.objects.get(name).cloned()
    }

    pub(crate) fn object_names(&self, prefix: &str) -> Vec<String> {
        let names = self.objects.keys().filter(|name| name.starts_with(prefix));
        names.cloned().collect()
    }
}
