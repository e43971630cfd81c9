//! Applies changes of the documents.

use fleet::config::Revision;
use fleet::instance::State as Phase;
use fleet::template::Inventory;
use fleet::template::Item;
use fleet::template::Problem;
use fleet::template::Set;
use fleet::template::check;
use fleet::template::diff;
use fleet::time::Time;
use platform::table::Table;

use super::Engine;
use super::Environment;
use super::State;
use crate::act::Error;
use crate::act::Stamp;
use crate::configuration::Applied;
use crate::configuration::Apply;
use crate::configuration::ApplyOutcome;
use crate::configuration::Change;
use crate::configuration::Difference;
use crate::configuration::Entry;
use crate::configuration::Next;
use crate::configuration::row;
use crate::engine::act::unix_secs;

/// Steps after which a change that keeps racing is given up.
const MAX_STEPS: usize = 24;

/// Revisions listed to the one that lost a race.
const MAX_ENTRIES: usize = 50;

impl<P: Environment> Engine<P> {
    /// What a change would do, with nothing recorded.
    pub fn preview(&self, change: &Change) -> Result<Applied, Error> {
        let state = self.state();
        let set = state.adoption.set().with(change.document.clone());
        state.validate(&set)
    }

    /// Applies a change: it is recorded for certain, or the error says otherwise.
    pub async fn apply(&self, stamp: &Stamp, change: Change, now: Time) -> Result<Applied, Error> {
        let seen = change.seen;
        let entry = Entry {
            author: stamp.author.clone(),
            operation: stamp.operation.clone(),
            unix_secs: unix_secs(self.row_time(now)),
            ..Entry::default()
        };
        let mut apply = Apply::new(seen, change.document, entry);
        let mut applied = Applied { revision: apply.revision(), ..Applied::default() };
        for _ in 0..MAX_STEPS {
            match apply.next() {
                Next::Read(key) => {
                    let found = self.core.table.get(&key).await.map_err(unavailable)?;
                    apply.record_read(found.as_ref());
                }
                Next::Commit(set, transaction) => {
                    applied = self.state().validate(&set)?;
                    let commit = self.settle(&transaction).await?;
                    self.state().apply_commit(&transaction, &commit, now);
                    apply.record_commit(&commit);
                }
                Next::Done(ApplyOutcome::Recorded(revision)) => {
                    tracing::info!(event = "apply", revision = revision.0, author = stamp.author);
                    return Ok(applied);
                }
                Next::Done(ApplyOutcome::Raced) => return Err(self.raced(seen).await),
                Next::Done(decided) => return Err(refused(decided, seen)),
            }
        }
        Err(Error::Unknown("the store's answers keep changing".to_owned()))
    }

    /// Up to `limit` revisions, latest first.
    pub async fn history(&self, limit: usize) -> Result<Vec<Entry>, Error> {
        let latest = self.state().revision();
        let after = Revision(latest.0.saturating_sub(limit as u64));
        let mut entries = self.entries_after(after, limit).await?;
        entries.reverse();
        Ok(entries)
    }

    async fn entries_after(&self, after: Revision, limit: usize) -> Result<Vec<Entry>, Error> {
        let start = row::history(after);
        let rows = self.core.table.scan(row::HISTORY, &start, limit).await.map_err(unavailable)?;
        Ok(rows.iter().filter_map(|row| serde_json::from_str(&row.value).ok()).collect())
    }

    async fn raced(&self, seen: Revision) -> Error {
        let entries = match self.entries_after(seen, MAX_ENTRIES).await {
            Ok(entries) => entries,
            Err(error) => return error,
        };
        let known = self.state().revision();
        let current = entries.last().map_or(known, |entry| entry.revision.max(known));
        Error::Raced(Difference { seen, current, entries })
    }
}

impl State {
    /// What documents would change, or why they cannot be applied.
    fn validate(&self, set: &Set) -> Result<Applied, Error> {
        let config = set.render().map_err(Error::Invalid)?;
        let found = check(&config, &self.inventory());
        let (errors, warnings): (Vec<Problem>, _) = found.into_iter().partition(Problem::is_error);
        if !errors.is_empty() {
            return Err(Error::Invalid(errors));
        }
        let effect = diff(&self.adoption.config().organisations, &config.organisations);
        Ok(Applied { revision: set.revision, effect, warnings })
    }

    /// The instances, as far as a check of documents needs to know.
    pub fn inventory(&self) -> Inventory {
        let there = self.world.instances.iter().filter(|(_, value)| value.state != Phase::Gone);
        let item = |(_, value): (_, &fleet::instance::Instance)| {
            let pool = self.world.pools.get(value.pool)?;
            let organisation = self.world.organisations.get(pool.organisation)?;
            Some(Item {
                organisation: organisation.name.clone(),
                pool: pool.name.clone(),
                rack: self.world.racks.get(value.rack).cloned().unwrap_or_default(),
                capacity: value.capacity,
            })
        };
        Inventory { items: there.filter_map(item).collect() }
    }
}

fn refused(decided: ApplyOutcome, seen: Revision) -> Error {
    Error::Refused(match decided {
        ApplyOutcome::Expired => format!("what followed revision {seen} is no longer kept"),
        _ => format!("revision {seen} is not there yet"),
    })
}

pub(super) fn unavailable(error: platform::Error) -> Error {
    Error::Unavailable(error.to_string())
}
