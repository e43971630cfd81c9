//! Applies changes of the configuration documents.

use fleet::config::Revision;
use fleet::instance::State as Phase;
use fleet::template::Inventory;
use fleet::template::Member;
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

/// Maximum number of reads and commits for one change, in case it keeps conflicting with others.
const MAX_STEPS: usize = 24;

/// Revisions listed in an [`Error::Raced`].
const MAX_ENTRIES: usize = 50;

impl<E: Environment> Engine<E> {
    /// Validates a change and returns its effect, without recording it. Fails with
    /// [`Error::Invalid`].
    pub fn preview(&self, change: &Change) -> Result<Applied, Error> {
        let state = self.state();
        let set = state.adoption.set().with(change.document.clone());
        state.validate(&set)
    }

    /// Records a change as the next revision.
    ///
    /// `Ok` means that the change is recorded. After [`Error::Unknown`] it may be recorded;
    /// after any other error this call has not recorded it.
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
                Next::Done(outcome) => return Err(refused(outcome, seen)),
            }
        }
        Err(Error::Unknown("too many conflicts with other changes of the documents".to_owned()))
    }

    /// The latest revisions, `limit` at most, newest first.
    pub async fn history(&self, limit: usize) -> Result<Vec<Entry>, Error> {
        let latest = self.state().revision();
        let after = Revision(latest.0.saturating_sub(limit as u64));
        let mut entries = self.entries_after(after, limit).await?;
        entries.reverse();
        Ok(entries)
    }

    /// Up to `limit` revisions that follow `after`, oldest first.
    async fn entries_after(&self, after: Revision, limit: usize) -> Result<Vec<Entry>, Error> {
        let start = row::history(after);
        let rows = self.core.table.scan(row::HISTORY, &start, limit).await.map_err(unavailable)?;
        Ok(rows.iter().filter_map(|row| serde_json::from_str(&row.value).ok()).collect())
    }

    /// The error for a change made from the revision `seen`, which is no longer in force.
    async fn raced(&self, seen: Revision) -> Error {
        let entries = match self.entries_after(seen, MAX_ENTRIES).await {
            Ok(entries) => entries,
            Err(error) => return error,
        };
        let in_force = self.state().revision();
        let current = entries.last().map_or(in_force, |entry| entry.revision.max(in_force));
        Error::Raced(Difference { seen, current, entries })
    }
}

impl State {
    /// Validates documents. Returns their effect and the warnings about them, or their errors.
    fn validate(&self, set: &Set) -> Result<Applied, Error> {
        let config = set.render().map_err(Error::Invalid)?;
        let problems = check(&config, &self.inventory());
        let (errors, warnings): (Vec<Problem>, _) =
            problems.into_iter().partition(Problem::is_error);
        if !errors.is_empty() {
            return Err(Error::Invalid(errors));
        }
        let effect = diff(&self.adoption.config().organisations, &config.organisations);
        Ok(Applied { revision: set.revision, effect, warnings })
    }

    /// The present instances, with the properties that the validation of documents needs.
    pub fn inventory(&self) -> Inventory {
        let present = self.world.instances.iter().filter(|(_, value)| value.state != Phase::Gone);
        let member = |(_, value): (_, &fleet::instance::Instance)| {
            let pool = self.world.pools.get(value.pool)?;
            let organisation = self.world.organisations.get(pool.organisation)?;
            Some(Member {
                organisation: organisation.name.clone(),
                pool: pool.name.clone(),
                rack: self.world.racks.get(value.rack).cloned().unwrap_or_default(),
                capacity: value.capacity,
            })
        };
        Inventory { members: present.filter_map(member).collect() }
    }
}

fn refused(outcome: ApplyOutcome, seen: Revision) -> Error {
    Error::Refused(match outcome {
        ApplyOutcome::Expired => format!("the revision after {seen} is no longer in the history"),
        _ => format!("revision {seen} does not exist yet"),
    })
}

pub(super) fn unavailable(error: platform::Error) -> Error {
    Error::Unavailable(error.to_string())
}
