//! Model of configuration changes: two operators change the same documents through three entries.

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

use crate::explore::ByDebug;
use crate::explore::Model;
use crate::explore::Pool;
use crate::explore::Shared;
use crate::explore::explore;

/// Maximum number of commits that are delayed at the same time.
const MAX_DELAYED: usize = 2;

/// The rows of the table: key, version, operation and value.
type Rows = Vec<(String, u64, String, String)>;

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Operator {
    /// The change as the entry that was asked last processes it.
    apply: Shared<ByDebug<Apply>>,
    /// A commit that was sent and not answered yet.
    sent: Option<Shared<ByDebug<Transaction>>>,
    /// The outcome that was returned to the operator.
    outcome: Option<ApplyOutcome>,
    /// How often the operator may still ask again through another entry.
    retries: u8,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    rows: Shared<Rows>,
    position: u64,
    /// The documents of each revision that was ever current, since reads may be stale.
    past: Vec<Shared<ByDebug<Set>>>,
    operators: [Operator; 2],
    /// Delayed commits, and commits in flight of replaced entries.
    delayed: Vec<Shared<ByDebug<Transaction>>>,
    entries: [Shared<ByDebug<Adoption>>; 3],
    /// Whether an entry's revision ever decreased.
    decreased: bool,
}

/// The model: a protocol, and the pools of values that its states share.
struct Search {
    protocol: Protocol,
    /// Whether the entries' adoption of documents is searched. If not, the operators may retry
    /// instead; their part does not depend on adoption.
    entries: bool,
    applies: Pool<ByDebug<Apply>>,
    transactions: Pool<ByDebug<Transaction>>,
    rows: Pool<Rows>,
    sets: Pool<ByDebug<Set>>,
    adoptions: Pool<ByDebug<Adoption>>,
}

/// The complete protocol, or a variant that lacks one rule.
#[derive(Clone, Copy)]
enum Protocol {
    Complete,
    /// Commits have no conditions.
    Unconditional,
    /// Entries adopt documents of any revision.
    AnyRevision,
}

impl Model for Search {
    type State = State;

    fn start(&self) -> State {
        let operator = |name: &str| Operator {
            apply: self.applies.share(ByDebug::new(new_change(name))),
            sent: None,
            outcome: None,
            retries: u8::from(!self.entries),
        };
        State {
            rows: self.rows.share(Vec::new()),
            position: 0,
            past: Vec::new(),
            operators: [operator("one"), operator("two")],
            delayed: Vec::new(),
            entries: [0; 3].map(|_| self.adoptions.share(ByDebug::new(Adoption::default()))),
            decreased: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        for index in 0..2 {
            self.operator_steps(state, index, &mut steps);
        }
        for index in 0..state.delayed.len() {
            let mut next = state.clone();
            let commit = next.delayed.remove(index);
            self.execute(&mut next, &commit.value);
            steps.push(("a delayed commit arrives".to_owned(), next));
        }
        for index in 0..if self.entries { 3 } else { 0 } {
            for past in &state.past {
                let next = self.offer(state, index, &past.value);
                steps.push((format!("entry {index} reads a possibly stale revision"), next));
            }
            for peer in 0..3 {
                let next = self.offer(state, index, state.entries[peer].value.set());
                steps.push((format!("entry {index} receives the documents of entry {peer}"), next));
            }
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        if state.decreased {
            return Some("an entry's revision decreased".to_owned());
        }
        let outcomes: Vec<_> = state.operators.iter().map(|operator| operator.outcome).collect();
        if let [Some(ApplyOutcome::Recorded(one)), Some(ApplyOutcome::Recorded(two))] = outcomes[..]
            && one == two
        {
            return Some(format!("both operators were told revision {one}"));
        }
        for (operator, name) in state.operators.iter().zip(["one", "two"]) {
            let recorded = history(state).iter().filter(|found| **found == name).count();
            let expected = match operator.outcome {
                Some(ApplyOutcome::Recorded(_)) => recorded == 1,
                Some(_) => recorded == 0,
                None => recorded <= 1,
            };
            if !expected {
                return Some(format!(
                    "operator {name} was told {:?}, but the change is recorded {recorded} times",
                    operator.outcome
                ));
            }
        }
        contradiction(state)
    }

    fn is_relevant(&self, state: &State) -> bool {
        state.operators.iter().all(|operator| operator.outcome.is_some())
    }
}

impl Search {
    fn new(protocol: Protocol, entries: bool) -> Self {
        let (applies, transactions, rows, sets, adoptions) = Default::default();
        Self { protocol, entries, applies, transactions, rows, sets, adoptions }
    }

    /// Adds the possible steps of an operator.
    fn operator_steps(&self, state: &State, index: usize, steps: &mut Vec<(String, State)>) {
        let operator = &state.operators[index];
        if operator.outcome.is_some() {
            return;
        }
        let mut push = |step: &str, change: &dyn Fn(&mut State, &mut Operator)| {
            let mut next = state.clone();
            let mut operator = next.operators[index].clone();
            change(&mut next, &mut operator);
            next.operators[index] = operator;
            steps.push((format!("operator {index}: {step}"), next));
        };
        if let Some(sent) = &operator.sent {
            push("committed", &|state, operator| {
                operator.sent = None;
                let commit = self.execute(state, &sent.value);
                self.change(operator, |apply| apply.record_commit(&commit));
            });
            push("the reply is lost", &|state, operator| {
                operator.sent = None;
                self.execute(state, &sent.value);
            });
            let may_delay = state.delayed.len() < MAX_DELAYED;
            let delay = &|state: &mut State, operator: &mut Operator| {
                state.delayed.push(sent.clone());
                state.delayed.sort();
                operator.sent = None;
            };
            if may_delay {
                push("the commit is delayed", delay);
            }
        } else {
            match operator.apply.value.next() {
                Next::Read(key) => push("reads", &|state, operator| {
                    let row = find(state, &key);
                    self.change(operator, |apply| apply.record_read(row.as_ref()));
                }),
                Next::Commit(_, transaction) => push("sends the commit", &|_, operator| {
                    operator.sent =
                        Some(self.transactions.share(ByDebug::new(transaction.clone())));
                }),
                Next::Done(outcome) => push("receives the outcome", &|_, operator| {
                    operator.outcome = Some(outcome);
                }),
            }
        }
        if operator.retries > 0 && state.delayed.len() < MAX_DELAYED {
            push("its entry is replaced and it asks another one", &|state, operator| {
                operator.retries -= 1;
                state.delayed.extend(operator.sent.take());
                state.delayed.sort();
                operator.apply =
                    self.applies.share(ByDebug::new(new_change(["one", "two"][index])));
            });
        }
    }

    /// Offers documents to an entry.
    fn offer(&self, state: &State, index: usize, set: &Set) -> State {
        let mut next = state.clone();
        let mut adoption = next.entries[index].value.clone();
        let before = adoption.revision();
        if matches!(self.protocol, Protocol::AnyRevision) {
            adoption = Adoption::default();
        }
        adoption.offer(set.clone());
        next.decreased |= adoption.revision() < before;
        next.entries[index] = self.adoptions.share(ByDebug::new(adoption));
        next
    }

    fn change(&self, operator: &mut Operator, change: impl FnOnce(&mut Apply)) {
        let mut apply = operator.apply.value.clone();
        change(&mut apply);
        operator.apply = self.applies.share(ByDebug::new(apply));
    }

    /// Executes a commit that reaches the table.
    fn execute(&self, state: &mut State, transaction: &Transaction) -> Commit {
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
                state.past.push(self.sets.share(ByDebug::new(current.set)));
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

/// A change by an operator that has seen no documents yet.
fn new_change(operation: &str) -> Apply {
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

/// Operations in the history.
fn history(state: &State) -> Vec<String> {
    let rows = state.rows.iter().filter(|(key, ..)| key.starts_with("config/history/"));
    rows.map(|(_, _, operation, _)| operation.clone()).collect()
}

/// Describes whether two entries have different documents of the same revision in force.
fn contradiction(state: &State) -> Option<String> {
    let sets = state.entries.iter().map(|entry| entry.value.set());
    let sets: Vec<_> = sets.filter(|set| set.revision > Revision(0)).collect();
    let differ = |left: &&Set, right: &&Set| left.revision == right.revision && left != right;
    let found = sets.iter().any(|left| sets.iter().any(|right| differ(left, right)));
    found.then(|| "different documents of one revision are in force".to_owned())
}

#[test]
fn a_change_is_recorded_once() {
    let summary = explore("configuration, operators", &Search::new(Protocol::Complete, false));
    assert!(summary.violation.is_none(), "{:#?}", summary.violation);
    assert!(summary.states > 1_000, "{summary:?}");
    assert!(summary.relevant > 0, "no state in which both operators have an outcome: {summary:?}");
}

#[test]
fn no_entrys_revision_decreases() {
    let summary = explore("configuration, entries", &Search::new(Protocol::Complete, true));
    assert!(summary.violation.is_none(), "{:#?}", summary.violation);
    assert!(summary.states > 1_000, "{summary:?}");
    assert!(summary.relevant > 0, "no state in which both operators have an outcome: {summary:?}");
}

cases::cases! {
    a_variant_is_found_broken;
    without_conditions_a_lost_change_is_found: (Protocol::Unconditional, false),
    without_ordering_a_decreasing_revision_is_found: (Protocol::AnyRevision, true),
}

fn a_variant_is_found_broken((variant, entries): (Protocol, bool)) {
    let summary = explore("configuration, variant", &Search::new(variant, entries));
    assert!(summary.violation.is_some(), "{summary:?}");
}
