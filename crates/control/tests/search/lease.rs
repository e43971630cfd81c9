//! Model of the lease on one duty, with three entries, pauses, crashes, lost replies and delayed
//! writes.

use std::collections::BTreeSet;
use std::time::Duration;

use control::duty;
use control::duty::Duty;
use control::lease::Leases;
use control::lease::Transfer;
use control::lease::Watch;
use control::member;
use fleet::time::Time;
use platform::table::Version;

use crate::explore::Model;
use crate::explore::Pool;
use crate::explore::Shared;
use crate::explore::explore;

const NAMES: [&str; 3] = ["a", "b", "c"];

/// Duration of a pause. Two pauses are longer than the lease.
const PAUSE: Duration = Duration::from_millis(1_400);

/// The rows of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Table {
    position: u64,
    members: [Option<(Version, member::Row)>; 3],
    duty: Option<(Version, duty::Row)>,
    /// Writes on behalf of the duty that took effect: index and incarnation of the writer, its
    /// epoch of the duty, and the duty's row at the time of the write.
    effects: Vec<(usize, u64, u64, duty::Row)>,
}

/// A write that has been sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Write {
    Duty(Transfer),
    /// A write on behalf of the duty: the writer, and the version and epoch of the duty's row that
    /// the writer knows.
    Effect {
        by: usize,
        incarnation: u64,
        version: Version,
        epoch: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Node {
    leases: Leases,
    watch: Watch,
    sent: Option<Write>,
    /// Number of heartbeats that it may still write.
    heartbeats: u8,
    /// Number of writes on behalf of the duty that it may still send.
    effects: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    now: Time,
    table: Shared<Table>,
    nodes: [Shared<Node>; 3],
    /// Writes in flight whose processes have ended.
    delayed: Vec<Write>,
    /// Number of pauses that may still happen.
    pauses: u8,
    /// Number of crashes that may still happen.
    crashes: u8,
    /// Number of replies that may still be lost.
    losses: u8,
}

/// The model: the complete protocol, or a variant that lacks fencing.
struct Protocol {
    /// Whether writes on behalf of the duty are conditional on the version of its row.
    fenced: bool,
    /// Maximum number of pauses.
    pauses: u8,
    /// Maximum number of replacements of the first holder's process.
    crashes: u8,
    tables: Pool<Table>,
    nodes: Pool<Node>,
}

impl Model for Protocol {
    type State = State;

    fn start(&self) -> State {
        let now = Time::from_secs(100);
        let row = |_| member::Row { incarnation: 1, candidate: true, ..member::Row::default() };
        let members = [0, 1, 2].map(|index| Some((Version(index + 1), row(index))));
        let holder = duty::Row { holder: "a".to_owned(), incarnation: 1, epoch: 1 };
        let duty = Some((Version(4), holder));
        let table = Table { position: 4, members, duty, effects: Vec::new() };
        let nodes = [0, 1, 2].map(|index| {
            let mut node = new_node(index, 1);
            node.heartbeats = u8::from(index > 0 && self.pauses > 0);
            node.effects = u8::from(index < 2);
            read(&mut node, &table, now);
            self.nodes.share(node)
        });
        State {
            now,
            table: self.tables.share(table),
            nodes,
            delayed: Vec::new(),
            pauses: self.pauses,
            crashes: self.crashes,
            losses: 1,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        if state.pauses > 0 {
            let mut next = state.clone();
            next.now = next.now + PAUSE;
            next.pauses -= 1;
            steps.push(("time passes".to_owned(), next));
        }
        for index in 0..state.delayed.len() {
            let mut next = state.clone();
            let write = next.delayed.remove(index);
            self.execute(&mut next, &write);
            steps.push(("a delayed write arrives".to_owned(), next));
        }
        for index in 0..NAMES.len() {
            self.entry_steps(state, index, &mut steps);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        let effects = &state.table.effects;
        for (by, incarnation, epoch, row) in effects {
            let holds = row.holder == NAMES[*by] && row.incarnation == *incarnation;
            if !holds || row.epoch != *epoch {
                return Some(format!(
                    "{} wrote at epoch {epoch} while the row was {row:?}",
                    NAMES[*by]
                ));
            }
        }
        let shared = effects.iter().any(|(one, _, epoch, _)| {
            effects.iter().any(|(other, _, found, _)| found == epoch && other != one)
        });
        if shared {
            return Some(format!("two entries wrote at the same epoch: {effects:?}"));
        }
        let epochs: Vec<u64> = effects.iter().map(|(_, _, epoch, _)| *epoch).collect();
        (!epochs.is_sorted()).then(|| format!("the epochs decreased: {epochs:?}"))
    }

    fn is_relevant(&self, state: &State) -> bool {
        let believers = state.nodes.iter().filter(|node| node.leases.held(&DUTY).is_some());
        let holder = state.table.duty.as_ref().map(|(_, row)| row.epoch);
        let outdated = |write: &Write| match write {
            Write::Effect { epoch, .. } => Some(*epoch) < holder,
            Write::Duty(_) => false,
        };
        believers.count() > 1 || state.delayed.iter().any(outdated)
    }
}

const DUTY: Duty = Duty::Snapshots;

impl Protocol {
    fn new(fenced: bool, pauses: u8, crashes: u8) -> Self {
        let (tables, nodes) = Default::default();
        Self { fenced, pauses, crashes, tables, nodes }
    }

    /// Adds the possible steps of an entry.
    fn entry_steps(&self, state: &State, index: usize, steps: &mut Vec<(String, State)>) {
        let name = NAMES[index];
        let node = &state.nodes[index];
        let mut push = |step: &str, change: &dyn Fn(&mut State, &mut Node)| {
            let mut next = state.clone();
            let mut node = (*next.nodes[index]).clone();
            change(&mut next, &mut node);
            next.nodes[index] = self.nodes.share(node);
            steps.push((format!("{name} {step}"), next));
        };
        push("reads the table and plans", &|state, node| {
            read(node, &state.table, state.now);
            if node.sent.is_none() {
                let transfers = node.leases.plan(&node.watch, state.now);
                node.sent = transfers.into_iter().next().map(Write::Duty);
            }
        });
        if node.heartbeats > 0 && state.pauses < self.pauses {
            push("writes a heartbeat", &|state, node| {
                node.heartbeats -= 1;
                self.heartbeat(state, index, node.leases.incarnation());
            });
        }
        if let Some(write) = &node.sent {
            push("receives the answer", &|state, node| {
                node.sent = None;
                if self.execute(state, write) {
                    read_duty(node, &state.table);
                }
            });
            if state.losses > 0 {
                push("loses the answer", &|state, node| {
                    state.losses -= 1;
                    node.sent = None;
                    self.execute(state, write);
                });
            }
        } else {
            if let Some(held) = node.leases.held(&DUTY).filter(|_| node.effects > 0) {
                push("decides", &|_, node| {
                    node.effects -= 1;
                    let (version, epoch) = (held.version, held.row.epoch);
                    let incarnation = node.leases.incarnation();
                    node.sent = Some(Write::Effect { by: index, incarnation, version, epoch });
                });
            }
        }
        if state.crashes > 0 && index == 0 {
            push("crashes", &|state, node| {
                state.crashes -= 1;
                state.delayed.extend(node.sent.take());
                let incarnation = node.leases.incarnation() + 1;
                *node = new_node(index, incarnation);
                self.heartbeat(state, index, incarnation);
            });
        }
    }

    /// Writes an entry's heartbeat row.
    fn heartbeat(&self, state: &mut State, index: usize, incarnation: u64) {
        let mut table = (*state.table).clone();
        table.position += 1;
        let row = member::Row { incarnation, candidate: true, ..member::Row::default() };
        table.members[index] = Some((Version(table.position), row));
        state.table = self.tables.share(table);
    }

    /// Executes a write that reaches the table. Returns whether it took effect.
    fn execute(&self, state: &mut State, write: &Write) -> bool {
        let mut table = (*state.table).clone();
        let version = table.duty.as_ref().map_or(Version::ABSENT, |(version, _)| *version);
        let done = match write {
            Write::Duty(transfer) if transfer.expected_version == version => {
                table.position += 1;
                table.duty = Some((Version(table.position), transfer.row.clone()));
                true
            }
            Write::Effect { by, incarnation, version: known, epoch }
                if *known == version || !self.fenced =>
            {
                let row = table.duty.clone().map(|(_, row)| row).unwrap_or_default();
                table.effects.push((*by, *incarnation, *epoch, row));
                true
            }
            _ => false,
        };
        state.table = self.tables.share(table);
        done
    }
}

/// A new process of an entry.
fn new_node(index: usize, incarnation: u64) -> Node {
    let mut leases = Leases::new(NAMES[index], incarnation);
    leases.set_duties(BTreeSet::from([DUTY]));
    Node {
        leases,
        watch: Watch::default(),
        sent: None,
        heartbeats: u8::from(index > 0),
        effects: u8::from(index < 2),
    }
}

fn read(node: &mut Node, table: &Table, now: Time) {
    node.watch.record_read(now);
    for (name, row) in NAMES.iter().zip(&table.members) {
        if let Some((version, row)) = row {
            node.watch.observe(name, *version, Some(row.clone()), now);
        }
    }
    read_duty(node, table);
}

fn read_duty(node: &mut Node, table: &Table) {
    if let Some((version, row)) = &table.duty {
        node.leases.apply(DUTY, *version, Some(row.clone()));
    }
}

cases::cases! {
    no_two_holders_write_at_once;
    no_two_holders_write_at_once_through_pauses: (2, 0),
    no_two_holders_write_at_once_through_replacements: (0, 2),
}

fn no_two_holders_write_at_once((pauses, crashes): (u8, u8)) {
    let name = format!("lease, {pauses} pauses, {crashes} crashes");
    let summary = explore(&name, &Protocol::new(true, pauses, crashes));
    assert!(summary.violation.is_none(), "{:#?}", summary.violation);
    assert!(summary.states > 100, "{summary:?}");
    assert!(
        summary.relevant > 0,
        "no two entries ever believed that they hold the duty: {summary:?}"
    );
}

#[test]
fn without_the_fence_a_late_write_is_found() {
    let summary = explore("lease, unfenced", &Protocol::new(false, 1, 1));
    assert!(summary.violation.is_some(), "{summary:?}");
}
