//! Heartbeats: writes this entry's member row.

use fleet::time::Time;
use platform::table::Condition;
use platform::table::Operation;
use platform::table::Transaction;
use platform::table::Write;

use super::Engine;
use super::Environment;
use super::Outcome;
use super::State;
use crate::Path;
use crate::Settings;
use crate::lease::Leases;
use crate::member;

impl<E: Environment> Engine<E> {
    /// Writes this entry's member row. An entry that is no candidate for duties writes it only when
    /// its content has changed.
    pub async fn heartbeat(&self, now: Time) {
        let load = self.core.path.load();
        let (row, transaction) = {
            let mut state = self.state();
            if !state.restored {
                return;
            }
            let settings = self.settings();
            state.raise_incarnation(settings);
            if state.is_superseded(settings) {
                tracing::error!(event = "superseded", name = settings.name);
                return;
            }
            let row = state.own_row(settings, &load);
            if !row.candidate && state.written_row.as_ref() == Some(&row) {
                return;
            }
            let operation = state.next_operation(&settings.name);
            let key = member::key(&settings.name);
            let version = state.versions.version(&key);
            let value = serde_json::to_string(&row).ok();
            let transaction = Transaction {
                operation: Operation(operation),
                conditions: vec![Condition { key: key.clone(), version }],
                writes: vec![Write { key, value }],
            };
            (row, transaction)
        };
        let outcome = self.commit(&transaction, now).await;
        if outcome == Outcome::Done {
            self.state().written_row = Some(row);
        }
    }
}

impl State {
    /// The member row of this entry as of now.
    fn own_row(&self, settings: &Settings, load: &fleet::view::Load) -> member::Row {
        member::Row {
            incarnation: self.leases.incarnation(),
            data_centre: settings.data_centre.clone(),
            candidate: self.candidate && !self.stopping,
            ended: self.stopping,
            revision: self.revision(),
            drains: self.exclusions.acknowledge(load),
        }
    }

    /// Raises this process's incarnation above that of a previous process of the same name.
    ///
    /// Incarnations are taken from the clock: after the clock has stepped back, the previous
    /// process's row has an incarnation that is the same or higher.
    fn raise_incarnation(&mut self, settings: &Settings) {
        if self.written_row.is_some() {
            return;
        }
        let previous = self.watch.row(&settings.name).map(|row| row.incarnation);
        if previous.is_some_and(|previous| previous >= self.leases.incarnation()) {
            let incarnation = previous.unwrap_or_default() + 1;
            let leases: Vec<_> =
                self.leases.rows().map(|(duty, lease)| (duty.clone(), lease.clone())).collect();
            self.leases = Leases::new(&settings.name, incarnation);
            for (duty, lease) in leases {
                self.leases.apply(duty, lease.version, Some(lease.row));
            }
            let duties = self.duties();
            self.leases.set_duties(duties);
        }
    }

    /// Whether a newer process of the same name has written its member row.
    pub fn is_superseded(&self, settings: &Settings) -> bool {
        let row = self.watch.row(&settings.name);
        row.is_some_and(|row| row.incarnation > self.leases.incarnation())
    }
}
