//! Writes this entry's row.

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

impl<P: Environment> Engine<P> {
    /// Writes this entry's row, if it takes duties or has something new to say.
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
    /// This entry's row as it should be.
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

    /// Counts on from an earlier process of this name, should its row have an incarnation that is
    /// no lower: as after a step back of the clock that incarnations are taken from.
    fn raise_incarnation(&mut self, settings: &Settings) {
        if self.written_row.is_some() {
            return;
        }
        let earlier = self.watch.row(&settings.name).map(|row| row.incarnation);
        if earlier.is_some_and(|earlier| earlier >= self.leases.incarnation()) {
            let incarnation = earlier.unwrap_or_default() + 1;
            let known: Vec<_> =
                self.leases.rows().map(|(duty, held)| (duty.clone(), held.clone())).collect();
            self.leases = Leases::new(&settings.name, incarnation);
            for (duty, held) in known {
                self.leases.apply(duty, held.version, Some(held.row));
            }
            let duties = self.duties();
            self.leases.set_duties(duties);
        }
    }

    /// Whether a later process of this entry's name has taken its place.
    pub fn is_superseded(&self, settings: &Settings) -> bool {
        let row = self.watch.row(&settings.name);
        row.is_some_and(|row| row.incarnation > self.leases.incarnation())
    }
}
