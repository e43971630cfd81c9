//! Operator actions on instances and waves.
//!
//! An action needs no duty. It is one transaction that is conditional on the versions of the rows
//! that it changes, like every transaction, so that the action and the holder of a duty cannot both
//! spend the same budget. The transaction also writes the row `act/<operation>`, which makes the
//! action idempotent.

use fleet::decision::Decision;
use fleet::decision::Refusal;
use fleet::pool;
use fleet::pool::Reason;
use fleet::time::Time;
use fleet::wave;
use platform::Error as Failure;
use platform::settle;
use platform::settle::Settled;
use platform::table::Commit;
use platform::table::Condition;
use platform::table::Table;
use platform::table::Transaction;
use platform::table::Version;
use platform::table::Write;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use super::Core;
use super::Engine;
use super::Environment;
use super::State;
use super::apply::unavailable;
use super::commit;
use crate::act::Error;
use crate::act::Recorded;
use crate::act::Stamp;
use crate::act::WaveCommand;

/// Prefix of the keys of [`ActRow`]s.
pub(super) const PREFIX: &str = "act/";

/// Maximum number of commits for one action, in case it keeps conflicting with other changes.
const MAX_COMMITS: usize = 8;

/// Value of the row that records an operator action.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ActRow {
    /// The operator.
    pub author: String,
    /// Description of the action, one line.
    pub what: String,
    /// Time of the action by the clock of the entry that recorded it, in seconds since 1970. Nothing
    /// but garbage collection depends on it.
    pub unix_secs: u64,
}

impl<E: Environment> Engine<E> {
    /// Drains an instance, which stays out of service until an operator returns it.
    pub async fn drain(&self, stamp: &Stamp, name: &str, now: Time) -> Result<Recorded, Error> {
        let what = format!("drain instance {name}");
        let decide = |state: &State| {
            let instance = state.instance_key(name)?;
            Ok(pool::Decision::Drain { instance, reason: Reason::Operator }.into())
        };
        self.act(stamp, what, decide, now).await
    }

    /// Returns an instance to service.
    pub async fn put_back(&self, stamp: &Stamp, name: &str, now: Time) -> Result<Recorded, Error> {
        let what = format!("return instance {name}");
        let decide = |state: &State| {
            let instance = state.instance_key(name)?;
            Ok(pool::Decision::Return { instance, reason: Reason::Operator }.into())
        };
        self.act(stamp, what, decide, now).await
    }

    /// Moves an instance to another pool of its organisation, after a drain if it is serving.
    pub async fn move_to(
        &self,
        stamp: &Stamp,
        name: &str,
        to: &str,
        now: Time,
    ) -> Result<Recorded, Error> {
        let what = format!("move instance {name} to pool {to}");
        let decide = |state: &State| {
            let instance = state.instance_key(name)?;
            let to = state.sibling_pool(instance, to)?;
            Ok(pool::Decision::Move { instance, to, reason: Reason::Operator }.into())
        };
        self.act(stamp, what, decide, now).await
    }

    /// Starts, pauses, resumes or aborts a wave.
    pub async fn command_wave(
        &self,
        stamp: &Stamp,
        organisation: &str,
        name: &str,
        command: WaveCommand,
        now: Time,
    ) -> Result<Recorded, Error> {
        let what = format!("{command} wave {organisation}/{name}");
        let decide = |state: &State| {
            let wave = state.wave_key(organisation, name)?;
            Ok(match command {
                WaveCommand::Start => wave::Decision::Start { wave },
                WaveCommand::Pause => wave::Decision::Pause { wave },
                WaveCommand::Resume => wave::Decision::Resume { wave },
                WaveCommand::Abort => wave::Decision::Abort { wave },
            }
            .into())
        };
        self.act(stamp, what, decide, now).await
    }

    /// Records an operator's decision, once per operation name. `what` describes the action in one
    /// line. A retry under the same name must have the same description.
    pub(super) async fn act(
        &self,
        stamp: &Stamp,
        what: String,
        decide: impl Fn(&State) -> Result<Decision, Error>,
        now: Time,
    ) -> Result<Recorded, Error> {
        let recorded = Recorded { operation: stamp.operation.clone(), what: what.clone() };
        for _ in 0..MAX_COMMITS {
            let prepared = self.prepare(stamp, &what, &decide, now);
            let transaction = match prepared {
                Ok(transaction) => transaction,
                Err(error) if self.is_recorded(stamp, &what).await? => {
                    tracing::debug!(event = "act-again", operation = stamp.operation, %error);
                    return Ok(recorded);
                }
                Err(error) => return Err(error),
            };
            let settled = self.settle(&transaction).await?;
            self.state().apply_commit(&transaction, &settled, now);
            if matches!(settled, Commit::Done(_)) {
                let Stamp { operation, author } = stamp;
                tracing::info!(event = "act", what, author, operation);
                return Ok(recorded);
            }
            if self.is_recorded(stamp, &what).await? {
                return Ok(recorded);
            }
        }
        Err(Error::Unavailable("too many conflicts with other changes of the same rows".to_owned()))
    }

    /// The transaction that records an action, made from the present state.
    fn prepare(
        &self,
        stamp: &Stamp,
        what: &str,
        decide: impl Fn(&State) -> Result<Decision, Error>,
        now: Time,
    ) -> Result<Transaction, Error> {
        let state = self.state();
        if !state.restored {
            return Err(Error::Unavailable("this entry has not read all rows yet".to_owned()));
        }
        if stamp.operation.is_empty() {
            return Err(Error::Refused("the operation name is empty".to_owned()));
        }
        let decision = decide(&state)?;
        let row_now = self.row_time(now);
        let updates = commit::effect(&state, &decision, row_now).map_err(refused)?;
        let operation = stamp.operation.clone();
        let act = ActRow {
            author: stamp.author.clone(),
            what: what.to_owned(),
            unix_secs: unix_secs(row_now),
        };
        let key = format!("{PREFIX}{operation}");
        let guard = Condition { key: key.clone(), version: Version::ABSENT };
        let mut transaction = commit::transaction(&state, operation, updates, vec![guard]);
        transaction.writes.push(Write { key, value: serde_json::to_string(&act).ok() });
        Ok(transaction)
    }

    /// Whether this action has been recorded under its operation name. Fails if that name was used
    /// for another action.
    async fn is_recorded(&self, stamp: &Stamp, what: &str) -> Result<bool, Error> {
        let key = format!("{PREFIX}{}", stamp.operation);
        let Some(row) = self.core.table.get(&key).await.map_err(unavailable)? else {
            return Ok(false);
        };
        let recorded: Option<ActRow> = serde_json::from_str(&row.value).ok();
        if recorded.is_some_and(|recorded| recorded.what == what) {
            return Ok(true);
        }
        Err(Error::Refused(format!("operation {} already names another action", stamp.operation)))
    }

    /// Commits a transaction that can take effect only once. Finds out its result if a reply was
    /// lost.
    pub(super) async fn settle(&self, transaction: &Transaction) -> Result<Commit, Error> {
        let seed = self.state().next_seed();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let Core { table, wait, .. } = &*self.core;
        match settle::commit(table, transaction, wait, &mut random).await {
            Ok(Settled::Done(position)) => Ok(Commit::Done(position)),
            Ok(Settled::Conflict(row)) => Ok(Commit::Conflict(row)),
            Ok(Settled::Missing(key)) => Ok(Commit::Missing(key)),
            Ok(Settled::Ambiguous) => Err(Error::Unknown(
                "the reply was lost, and the rows have changed since".to_owned(),
            )),
            Err(Failure::Unknown(reason)) => Err(Error::Unknown(reason)),
            Err(error) => Err(unavailable(error)),
        }
    }
}

impl State {
    /// The key of the instance `name`, or [`Error::NotFound`].
    pub(super) fn instance_key(&self, name: &str) -> Result<fleet::key::Instance, Error> {
        let key = self.world.names.instances.get(name).copied();
        key.ok_or_else(|| Error::NotFound(format!("instance {name}")))
    }

    /// The pool `pool` in the organisation of `instance`, or [`Error::NotFound`].
    fn sibling_pool(
        &self,
        instance: fleet::key::Instance,
        pool: &str,
    ) -> Result<fleet::key::Pool, Error> {
        let value = self.world.instances.get(instance);
        let current = value.and_then(|value| self.world.pools.get(value.pool));
        let organisation = current.map(|current| current.organisation).unwrap_or_default();
        let key = self.world.names.pools.get(&(organisation, pool.to_owned())).copied();
        key.ok_or_else(|| Error::NotFound(format!("pool {pool} in the instance's organisation")))
    }

    /// The key of an organisation's wave `name`, or [`Error::NotFound`].
    fn wave_key(&self, organisation: &str, name: &str) -> Result<fleet::key::Wave, Error> {
        let key = self.world.names.organisations.get(organisation).copied();
        let key = key.and_then(|key| self.world.names.waves.get(&(key, name.to_owned())).copied());
        key.ok_or_else(|| Error::NotFound(format!("wave {organisation}/{name}")))
    }
}

/// The error for a decision that was refused.
pub(super) fn refused(refusal: Refusal) -> Error {
    match refusal {
        Refusal::Unknown(entity) => Error::NotFound(entity.to_string()),
        refusal => Error::Refused(refusal.to_string()),
    }
}

/// Converts row time to whole seconds since 1970.
pub(super) fn unix_secs(row_now: Time) -> u64 {
    row_now.as_millis() / 1_000
}
