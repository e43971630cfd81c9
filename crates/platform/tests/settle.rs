//! Every interleaving of lost replies, late copies and another writer ends in the truth.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;

use cases::cases;
use futures_lite::future::block_on;
use platform::Error;
use platform::settle;
use platform::settle::Settled;
use platform::settle::Unguarded;
use platform::table::Changes;
use platform::table::Commit;
use platform::table::Condition;
use platform::table::Operation;
use platform::table::Position;
use platform::table::Row;
use platform::table::Table;
use platform::table::Transaction;
use platform::table::Version;
use platform::table::Write;
use platform::wait::Instantly;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standin::platform::Faults;
use standin::platform::Memory;

/// Calls that may go wrong, each in one of these ways.
const FAULTY_CALLS: u32 = 5;
const FAULTS: [Faults; 4] = [Faults::NONE, Faults::LOST_REPLY, Faults::SLOW, Faults::DOWN];
/// Before which calls late copies arrive or the other writer acts; the last means afterwards.
const STEPS: usize = 6;

fn condition(key: &str, version: u64) -> Condition {
    Condition { key: key.to_owned(), version: Version(version) }
}

fn set(key: &str, value: &str) -> Write {
    Write { key: key.to_owned(), value: Some(value.to_owned()) }
}

fn delete(key: &str) -> Write {
    Write { key: key.to_owned(), value: None }
}

fn transaction(name: &str, conditions: Vec<Condition>, writes: Vec<Write>) -> Transaction {
    Transaction { operation: Operation(name.to_owned()), conditions, writes }
}

/// A table with a lease at version 1 and a row at version 2.
fn table() -> Memory {
    let memory = Memory::new();
    memory.force(&transaction("take", vec![], vec![set("lease", "ours")]));
    memory.force(&transaction("create", vec![], vec![set("row", "first")]));
    memory
}

/// What another writer does in between.
#[derive(Clone, Copy, Debug)]
enum Other {
    Nothing,
    Overwrites,
    OverwritesAndForgets,
    Deletes,
    TakesLease,
    OverwritesAndTakesLease,
}

impl Other {
    const ALL: [Self; 6] = [
        Self::Nothing,
        Self::Overwrites,
        Self::OverwritesAndForgets,
        Self::Deletes,
        Self::TakesLease,
        Self::OverwritesAndTakesLease,
    ];

    fn act(self, memory: &Memory, row: &str) {
        let writes = match self {
            Self::Nothing => return,
            Self::Overwrites | Self::OverwritesAndForgets => vec![set(row, "theirs")],
            Self::Deletes => vec![delete("row")],
            Self::TakesLease => vec![set("lease", "theirs")],
            Self::OverwritesAndTakesLease => vec![set(row, "theirs"), set("lease", "theirs")],
        };
        memory.force(&transaction("other", vec![], writes));
        if matches!(self, Self::OverwritesAndForgets) {
            memory.forget_changes();
        }
    }
}

/// A table at whose calls things happen.
#[derive(Clone)]
struct Scripted {
    memory: Memory,
    row: &'static str,
    calls: Arc<AtomicUsize>,
    arrive: usize,
    act: usize,
    other: Other,
}

impl Scripted {
    fn step(&self) {
        let call = self.calls.fetch_add(1, Relaxed);
        if call == self.act {
            self.other.act(&self.memory, self.row);
        }
        if call == self.arrive {
            self.memory.arrive();
        }
    }
}

impl Table for Scripted {
    async fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        self.step();
        Table::get(&self.memory, key).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Error> {
        self.step();
        self.memory.scan(prefix, after, limit).await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, Error> {
        self.step();
        self.memory.commit(transaction).await
    }

    async fn changes(
        &self,
        prefix: &str,
        position: Position,
        limit: usize,
    ) -> Result<Changes, Error> {
        self.step();
        self.memory.changes(prefix, position, limit).await
    }
}

struct Shape {
    transaction: Transaction,
    row: &'static str,
}

cases! {
    every_interleaving_ends_in_the_truth;
    update: Shape {
        transaction: transaction("ours", vec![condition("row", 2)], vec![set("row", "ours")]),
        row: "row",
    },
    update_under_lease: Shape {
        transaction: transaction(
            "ours",
            vec![condition("lease", 1), condition("row", 2)],
            vec![set("row", "ours")],
        ),
        row: "row",
    },
    create: Shape {
        transaction: transaction("ours", vec![condition("new", 0)], vec![set("new", "ours")]),
        row: "new",
    },
    create_under_lease: Shape {
        transaction: transaction(
            "ours",
            vec![condition("lease", 1), condition("new", 0)],
            vec![set("new", "ours")],
        ),
        row: "new",
    },
    move_between_rows: Shape {
        transaction: transaction(
            "ours",
            vec![condition("row", 2), condition("new", 0)],
            vec![delete("row"), set("new", "ours")],
        ),
        row: "new",
    },
}
fn every_interleaving_ends_in_the_truth(shape: Shape) {
    let mut ends = [0_u32; 5];
    for pattern in 0..FAULTS.len().pow(FAULTY_CALLS) {
        for arrive in 0..STEPS {
            for act in 0..STEPS {
                for other in Other::ALL {
                    let run = Run { pattern, arrive, act, other };
                    ends[run.check(&shape)] += 1;
                }
            }
        }
    }
    // Done, refused, unavailable and unknown each come up, or the search was none.
    assert!(ends[..2].iter().chain(&ends[3..]).all(|count| *count > 0), "{ends:?}");
}

#[derive(Debug)]
struct Run {
    pattern: usize,
    arrive: usize,
    act: usize,
    other: Other,
}

impl Run {
    /// Runs and compares with what really happened. Returns which end it was.
    fn check(&self, shape: &Shape) -> usize {
        let memory = table();
        let mut pattern = self.pattern;
        for call in 0..u64::from(FAULTY_CALLS) {
            memory.plan("", call, FAULTS[pattern % FAULTS.len()]);
            pattern /= FAULTS.len();
        }
        let scripted = Scripted {
            memory: memory.clone(),
            row: shape.row,
            calls: Arc::default(),
            arrive: self.arrive,
            act: self.act,
            other: self.other,
        };
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let commit = settle::commit(&scripted, &shape.transaction, &Instantly, &mut random);
        let end = block_on(commit);
        let effects = || memory.effects(&shape.transaction.operation);
        let at_end = effects();
        memory.arrive();
        let finally = effects();
        let truthful = match &end {
            Ok(Settled::Done(_)) => at_end == 1 && finally == 1,
            Ok(Settled::Conflict(_) | Settled::Missing(_)) => at_end == 0 && finally == 0,
            Ok(Settled::Ambiguous) => finally == at_end && finally <= 1,
            Err(Error::Unknown(_)) => finally <= 1,
            Err(Error::Unavailable(_)) => finally == 0,
            Err(Error::Malformed(_)) => false,
        };
        assert!(truthful, "{self:?}: {end:?} but took effect {at_end}, then {finally} times");
        match end {
            Ok(Settled::Done(_)) => 0,
            Ok(Settled::Conflict(_) | Settled::Missing(_)) => 1,
            Ok(Settled::Ambiguous) => 2,
            Err(Error::Unknown(_)) => 3,
            Err(_) => 4,
        }
    }
}

/// Settles an update of the row, another acting before the second call.
fn settle_overwritten(memory: &Memory, other: Other) -> Result<Settled, Error> {
    let scripted = Scripted {
        memory: memory.clone(),
        row: "row",
        calls: Arc::default(),
        arrive: usize::MAX,
        act: 1,
        other,
    };
    let ours = transaction("ours", vec![condition("row", 2)], vec![set("row", "ours")]);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    block_on(settle::commit(&scripted, &ours, &Instantly, &mut random))
}

#[test]
fn an_overwritten_row_with_its_changes_forgotten_is_ambiguous() {
    let memory = table();
    memory.plan("", 0, Faults::LOST_REPLY);
    let end = settle_overwritten(&memory, Other::OverwritesAndForgets);
    assert_eq!(end, Ok(Settled::Ambiguous));
}

#[test]
fn stale_changes_are_no_proof() {
    let memory = table();
    memory.plan("", 0, Faults::LOST_REPLY);
    memory.plan("", 3, Faults::STALE);
    let end = settle_overwritten(&memory, Other::Overwrites);
    assert_eq!(end, Ok(Settled::Done(Position(3))));
}

cases! {
    a_transaction_that_could_run_twice_is_refused;
    nameless: (
        transaction("", vec![condition("row", 2)], vec![set("row", "")]),
        Unguarded::Nameless,
    ),
    unconditional: (
        transaction("ours", vec![], vec![set("row", "")]),
        Unguarded::Unconditional,
    ),
    condition_elsewhere: (
        transaction("ours", vec![condition("lease", 1)], vec![set("row", "")]),
        Unguarded::Unconditional,
    ),
    deletion_alone: (
        transaction("ours", vec![condition("row", 2)], vec![delete("row")]),
        Unguarded::Unconditional,
    ),
}
fn a_transaction_that_could_run_twice_is_refused((refused, reason): (Transaction, Unguarded)) {
    assert_eq!(settle::check(&refused), Err(reason));
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let end = block_on(settle::commit(&table(), &refused, &Instantly, &mut random));
    assert_eq!(end, Err(Error::Malformed(reason.to_string())));
}
