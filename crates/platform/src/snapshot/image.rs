//! The table's rows at one position.

use std::collections::BTreeMap;

use crate::table::Change;
use crate::table::Changes;
use crate::table::Position;
use crate::table::Row;

/// The table's rows at one position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Image {
    position: Position,
    rows: BTreeMap<String, Row>,
}

impl Image {
    /// Rows as they were at a position.
    pub fn new(position: Position, rows: impl IntoIterator<Item = Row>) -> Self {
        let rows = rows.into_iter().map(|row| (row.key.clone(), row));
        Self { position, rows: rows.collect() }
    }

    /// Up to where it has every change.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Its rows in key order.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// How many rows it has.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether it has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The row under `key`.
    pub fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Takes in changes that were read from its position on. Changes that it has already are passed
    /// over, and it never goes back: an answer from an older state adds nothing.
    pub fn apply(&mut self, changes: Changes) {
        let position = self.position;
        for change in changes.changes.into_iter().filter(|change| change.position > position) {
            self.apply_one(change);
        }
        self.position = self.position.max(changes.position);
    }

    /// A row of a scan may be newer than the image's position.
    fn apply_one(&mut self, change: Change) {
        let known = self.rows.get(&change.key).map(|row| Position(row.version.0));
        if known.is_some_and(|known| known >= change.position) {
            return;
        }
        match change.row {
            Some(row) => self.rows.insert(change.key, row),
            None => self.rows.remove(&change.key),
        };
    }
}
