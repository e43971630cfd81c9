//! Two operators that change the same documents through three entries.

use control::configuration::Adoption;
use control::configuration::Apply;
use control::configuration::ApplyOutcome;
use control::configuration::Current;
use control::configuration::Entry;
use control::configuration::Next;
use fleet::config::Revision;
use fleet::template::Document;
use fleet::template::Set;
use platform::table::Commit;
use platform::table::Position;
use platform::table::Row;
use platform::table::Transaction;
use platform::table::Version;

use crate::explore::Model;
use crate::explore::Pool;
use crate::explore::Shared;
use crate::explore::Shown;
use crate::explore::explore;

/// Commits that are held up at the same time.
const MAX_LATE: usize = 2;

/// Every state that the table has been in, the latest last: reads may be stale.
type Rows = Vec<(String, u64, String, String)>;

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Operator {
    /// The change on its way, at whichever entry it was asked.
    apply: Shared<Shown<Apply>>,
    /// A commit that was sent and not answered yet.
    sent: Option<Shared<Shown<Transaction>>>,
    /// How it ended, as the operator was told.
    told: Option<ApplyOutcome>,
    /// How often it may be asked again, as through another entry.
    again: u8,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    rows: Shared<Rows>,
    position: u64,
    /// Documents of each revision that was ever current.
    past: Vec<Shared<Shown<Set>>>,
    operators: [Operator; 2],
    /// Commits of entries that are gone.
    late: Vec<Shared<Shown<Transaction>>>,
    entries: [Shared<Shown<Adoption>>; 3],
    /// Whether an entry's revision ever fell.
    fell: bool,
}

/// The protocol with what its states share.
struct Search {
    protocol: Protocol,
    /// Whether the entries' part is searched; the operators' part does not depend on it.
    entries: bool,
    applies: Pool<Shown<Apply>>,
    transactions: Pool<Shown<Transaction>>,
    rows: Pool<Rows>,
    sets: Pool<Shown<Set>>,
    adoptions: Pool<Shown<Adoption>>,
}

/// The protocol, or a variant of it with a rule left out.
#[derive(Clone, Copy)]
enum Protocol {
    Whole,
    /// Commits have no conditions.
    Unconditional,
    /// Entries adopt whatever they are offered.
    AnyRevision,
}

impl Model for Search {
    type State = State;

    fn start(&self) -> State {
        let operator = |name: &str| Operator {
            apply: self.applies.share(Shown::new(ask(name))),
            sent: None,
            told: None,
            again: u8::from(!self.entries),
        };
        State {
            rows: self.rows.share(Vec::new()),
            position: 0,
            past: Vec::new(),
            operators: [operator("one"), operator("two")],
            late: Vec::new(),
            entries: [0; 3].map(|_| self.adoptions.share(Shown::new(Adoption::default()))),
            fell: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        for index in 0..2 {
            self.steps_of_operator(state, index, &mut steps);
        }
        for index in 0..state.late.len() {
            let mut next = state.clone();
            let late = next.late.remove(index);
            self.arrive(&mut next, &late.value);
            steps.push(("a late commit arrives".to_owned(), next));
        }
        for index in 0..if self.entries { 3 } else { 0 } {
            for past in &state.past {
                let next = self.offer(state, index, &past.value);
                steps.push((format!("entry {index} reads, maybe an old state"), next));
            }
            for peer in 0..3 {
                let next = self.offer(state, index, state.entries[peer].value.set());
                steps.push((format!("entry {index} hears entry {peer}"), next));
            }
        }
        steps
    }

    fn fault(&self, state: &State) -> Option<String> {
        if state.fell {
            return Some("a revision fell".to_owned());
        }
        let told: Vec<_> = state.operators.iter().map(|operator| operator.told).collect();
        if let [Some(ApplyOutcome::Recorded(one)), Some(ApplyOutcome::Recorded(two))] = told[..]
            && one == two
        {
            return Some(format!("both were told revision {one}"));
        }
        for (operator, name) in state.operators.iter().zip(["one", "two"]) {
            let recorded = history(state).iter().filter(|found| **found == name).count();
            let expected = match operator.told {
                Some(ApplyOutcome::Recorded(_)) => recorded == 1,
                Some(_) => recorded == 0,
                None => recorded <= 1,
            };
            if !expected {
                return Some(format!("{name} was told {:?}: {recorded} times", operator.told));
            }
        }
        contradiction(state)
    }

    fn is_telling(&self, state: &State) -> bool {
        state.operators.iter().all(|operator| operator.told.is_some())
    }
}

impl Search {
    fn new(protocol: Protocol, entries: bool) -> Self {
        let (applies, transactions, rows, sets, adoptions) = Default::default();
        Self { protocol, entries, applies, transactions, rows, sets, adoptions }
    }

    fn steps_of_operator(&self, state: &State, index: usize, steps: &mut Vec<(String, State)>) {
        let operator = &state.operators[index];
        if operator.told.is_some() {
            return;
        }
        let mut push = |word: &str, change: &dyn Fn(&mut State, &mut Operator)| {
            let mut next = state.clone();
            let mut operator = next.operators[index].clone();
            change(&mut next, &mut operator);
            next.operators[index] = operator;
            steps.push((format!("operator {index}: {word}"), next));
        };
        if let Some(sent) = &operator.sent {
            push("committed", &|state, operator| {
                operator.sent = None;
                let commit = self.arrive(state, &sent.value);
                self.change(operator, |apply| apply.record_commit(&commit));
            });
            push("the reply is lost", &|state, operator| {
                operator.sent = None;
                self.arrive(state, &sent.value);
            });
            let may_wait = state.late.len() < MAX_LATE;
            let hold = &|state: &mut State, operator: &mut Operator| {
                state.late.push(sent.clone());
                state.late.sort();
                operator.sent = None;
            };
            if may_wait {
                push("the commit is held up", hold);
            }
        } else {
            match operator.apply.value.next() {
                Next::Read(key) => push("reads", &|state, operator| {
                    let row = find(state, &key);
                    self.change(operator, |apply| apply.record_read(row.as_ref()));
                }),
                Next::Commit(_, transaction) => push("sends the commit", &|_, operator| {
                    operator.sent = Some(self.transactions.share(Shown::new(transaction.clone())));
                }),
                Next::Done(decided) => push("is told", &|_, operator| {
                    operator.told = Some(decided);
                }),
            }
        }
        if operator.again > 0 && state.late.len() < MAX_LATE {
            push("its entry is replaced, it asks elsewhere", &|state, operator| {
                operator.again -= 1;
                state.late.extend(operator.sent.take());
                state.late.sort();
                operator.apply = self.applies.share(Shown::new(ask(["one", "two"][index])));
            });
        }
    }

    fn offer(&self, state: &State, index: usize, set: &Set) -> State {
        let mut next = state.clone();
        let mut adoption = next.entries[index].value.clone();
        let before = adoption.revision();
        if matches!(self.protocol, Protocol::AnyRevision) {
            adoption = Adoption::default();
        }
        adoption.offer(set.clone());
        next.fell |= adoption.revision() < before;
        next.entries[index] = self.adoptions.share(Shown::new(adoption));
        next
    }

    fn change(&self, operator: &mut Operator, change: impl FnOnce(&mut Apply)) {
        let mut apply = operator.apply.value.clone();
        change(&mut apply);
        operator.apply = self.applies.share(Shown::new(apply));
    }

    /// A commit reaches the table.
    fn arrive(&self, state: &mut State, transaction: &Transaction) -> Commit {
        for condition in &transaction.conditions {
            let row = find(state, &condition.key);
            let version = row.as_ref().map_or(Version::ABSENT, |row| row.version);
            if version != condition.version && !matches!(self.protocol, Protocol::Unconditional) {
                return row.map_or_else(|| Commit::Missing(String::new()), Commit::Conflict);
            }
        }
        state.position += 1;
        let mut rows = (*state.rows).clone();
        for write in &transaction.writes {
            let value = write.value.clone().unwrap_or_default();
            if let Ok(current) = serde_json::from_str::<Current>(&value) {
                state.past.push(self.sets.share(Shown::new(current.set)));
            }
            rows.retain(|(key, ..)| *key != write.key);
            let operation = transaction.operation.0.clone();
            rows.push((write.key.clone(), state.position, operation, value));
            rows.sort();
        }
        state.rows = self.rows.share(rows);
        Commit::Done(Position(state.position))
    }
}

/// A change by an operator who saw no documents yet.
fn ask(operation: &str) -> Apply {
    let entry = Entry { operation: operation.to_owned(), ..Entry::default() };
    let document = Document { organisation: operation.to_owned(), ..Document::default() };
    Apply::new(Revision(0), document, entry)
}

fn find(state: &State, key: &str) -> Option<Row> {
    let found = state.rows.iter().find(|(known, ..)| known == key);
    found.map(|(key, version, operation, value)| Row {
        key: key.clone(),
        version: Version(*version),
        operation: platform::table::Operation(operation.clone()),
        value: value.clone(),
    })
}

/// Operations that the history has.
fn history(state: &State) -> Vec<String> {
    let rows = state.rows.iter().filter(|(key, ..)| key.starts_with("config/history/"));
    rows.map(|(_, _, operation, _)| operation.clone()).collect()
}

/// Two different sets of documents of the same revision in force.
fn contradiction(state: &State) -> Option<String> {
    let sets = state.entries.iter().map(|entry| entry.value.set());
    let sets: Vec<_> = sets.filter(|set| set.revision > Revision(0)).collect();
    let differ = |left: &&Set, right: &&Set| left.revision == right.revision && left != right;
    let found = sets.iter().any(|left| sets.iter().any(|right| differ(left, right)));
    found.then(|| "two documents of one revision are in force".to_owned())
}

#[test]
fn a_change_is_recorded_once() {
    let seen = explore("configuration, operators", &Search::new(Protocol::Whole, false));
    assert!(seen.fault.is_none(), "{:#?}", seen.fault);
    assert!(seen.states > 1_000, "{seen:?}");
    assert!(seen.telling > 0, "no two operators were ever told: {seen:?}");
}

#[test]
fn no_entrys_revision_decreases() {
    let seen = explore("configuration, entries", &Search::new(Protocol::Whole, true));
    assert!(seen.fault.is_none(), "{:#?}", seen.fault);
    assert!(seen.states > 1_000, "{seen:?}");
    assert!(seen.telling > 0, "no two operators were ever told: {seen:?}");
}

cases::cases! {
    a_variant_is_found_broken;
    without_conditions_a_lost_change_is_found: (Protocol::Unconditional, false),
    without_ordering_a_decreasing_revision_is_found: (Protocol::AnyRevision, true),
}

fn a_variant_is_found_broken((variant, entries): (Protocol, bool)) {
    let seen = explore("configuration, variant", &Search::new(variant, entries));
    assert!(seen.fault.is_some(), "{seen:?}");
}
