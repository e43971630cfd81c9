//! What one holder of duties knows of the tables, and how it records what it decides.

use std::collections::BTreeMap;

use fleet::config::Config;
use fleet::decision;
use fleet::decision::Decision;
use fleet::decision::Refusal;
use fleet::job::Index;
use fleet::row;
use fleet::time::Time;
use fleet::world::Change;
use fleet::world::World;

use crate::fake::Commit;
use crate::fake::Store;

/// What became of a decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
    /// It is recorded, with these changes.
    Recorded(Vec<Change>),
    /// It may not be carried out.
    Refused(Refusal),
    /// Its rows had changed; it is weighed again when they are known.
    Conflict,
    /// The table service answered nothing.
    StoreDown,
}

/// One holder's copy of the tables.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    /// Its tables.
    pub world: World,
    /// What keeps the job systems from looking at every job.
    pub index: Index,
    seen: BTreeMap<String, u64>,
    position: usize,
}

impl Replica {
    /// A holder that knows nothing but the configuration and the rows.
    pub fn open(config: &Config, store: &Store) -> Self {
        let mut replica = Self::default();
        replica.world.configure(config);
        replica.index = Index::build(&replica.world);
        replica.catch_up(store, Time::from_micros(u64::MAX));
        replica
    }

    /// How much of the table's log it has taken in.
    pub const fn position(&self) -> usize {
        self.position
    }

    /// Takes in what was committed up to `until`.
    pub fn catch_up(&mut self, store: &Store, until: Time) {
        for logged in store.since(self.position) {
            if logged.at > until {
                return;
            }
            self.position += 1;
            let key = &logged.entry.key;
            if self.seen.get(key).is_some_and(|&seen| seen >= logged.version) {
                continue;
            }
            self.seen.insert(key.clone(), logged.version);
            let read = row::read(&mut self.world, key, logged.entry.value.as_deref());
            if let Ok(Some(change)) = read {
                self.absorb(change);
            }
        }
    }

    fn absorb(&mut self, change: Change) {
        self.world.apply(change.clone());
        self.index.apply(&self.world, &change);
    }

    /// Carries a decision out: its effect is committed if nothing it rests on has changed, and only
    /// then taken in.
    pub fn carry_out(&mut self, store: &mut Store, decision: &Decision, now: Time) -> Fate {
        let changes = match decision::effect(&self.world, decision, now) {
            Ok(changes) => changes,
            Err(refusal) => return Fate::Refused(refusal),
        };
        match self.commit(store, &changes, now) {
            Commit::Done => Fate::Recorded(changes),
            Commit::Conflict => Fate::Conflict,
            Commit::Down => Fate::StoreDown,
        }
    }

    /// Commits changes and takes them in.
    pub fn commit(&mut self, store: &mut Store, changes: &[Change], now: Time) -> Commit {
        let entries: Vec<_> =
            changes.iter().map(|change| row::write(&self.world, change)).collect();
        let commit = store.commit(&entries, &self.seen, now);
        if commit != Commit::Done {
            return commit;
        }
        for entry in entries {
            *self.seen.entry(entry.key).or_insert(0) += 1;
        }
        for change in changes {
            self.absorb(change.clone());
        }
        commit
    }
}
