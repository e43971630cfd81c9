//! One duty and three entries: pauses, crashes, lost replies, delayed writes.

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

/// How long nothing happens at a time: two such pauses are longer than a lease.
const PAUSE: Duration = Duration::from_millis(1_400);

/// The rows of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Table {
    position: u64,
    members: [Option<(Version, member::Row)>; 3],
    duty: Option<(Version, duty::Row)>,
    /// Writes that rested on the duty and took effect: by whom, at which epoch, and the duty's row
    /// at that moment.
    effects: Vec<(usize, u64, u64, duty::Row)>,
}

/// A write on its way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Write {
    Duty(Transfer),
    /// A write that rests on the duty: by whom, and the duty's row as the sender knows it.
    Effect {
        by: usize,
        incarnation: u64,
        version: Version,
        epoch: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Node {
    lease: Leases,
    watch: Watch,
    sent: Option<Write>,
    beats: u8,
    effects: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    now: Time,
    table: Shared<Table>,
    nodes: [Shared<Node>; 3],
    /// Writes of processes that are gone.
    late: Vec<Write>,
    pauses: u8,
    crashes: u8,
    /// Replies that may yet be lost.
    losses: u8,
}

/// The protocol, or a variant of it with a rule left out.
struct Protocol {
    /// Whether writes that rest on the duty have its row as a condition.
    fenced: bool,
    /// How often nothing happens for a while.
    pauses: u8,
    /// How often the holder's process is replaced.
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
            let mut node = fresh(index, 1);
            node.beats = u8::from(index > 0 && self.pauses > 0);
            node.effects = u8::from(index < 2);
            read(&mut node, &table, now);
            self.nodes.share(node)
        });
        State {
            now,
            table: self.tables.share(table),
            nodes,
            late: Vec::new(),
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
        for index in 0..state.late.len() {
            let mut next = state.clone();
            let write = next.late.remove(index);
            self.arrive(&mut next, &write);
            steps.push(("a late write arrives".to_owned(), next));
        }
        for index in 0..NAMES.len() {
            self.steps_of(state, index, &mut steps);
        }
        steps
    }

    fn fault(&self, state: &State) -> Option<String> {
        let effects = &state.table.effects;
        for (by, incarnation, epoch, row) in effects {
            let holds = row.holder == NAMES[*by] && row.incarnation == *incarnation;
            if !holds || row.epoch != *epoch {
                return Some(format!("{} wrote at epoch {epoch} while {row:?}", NAMES[*by]));
            }
        }
        let shared = effects.iter().any(|(one, _, epoch, _)| {
            effects.iter().any(|(other, _, found, _)| found == epoch && other != one)
        });
        if shared {
            return Some(format!("two wrote at the same epoch: {effects:?}"));
        }
        let epochs: Vec<u64> = effects.iter().map(|(_, _, epoch, _)| *epoch).collect();
        (!epochs.is_sorted()).then(|| format!("epochs went back: {epochs:?}"))
    }

    fn is_telling(&self, state: &State) -> bool {
        let believers = state.nodes.iter().filter(|node| node.lease.held(&DUTY).is_some());
        let holder = state.table.duty.as_ref().map(|(_, row)| row.epoch);
        let outdated = |write: &Write| match write {
            Write::Effect { epoch, .. } => Some(*epoch) < holder,
            Write::Duty(_) => false,
        };
        believers.count() > 1 || state.late.iter().any(outdated)
    }
}

const DUTY: Duty = Duty::Snapshots;

impl Protocol {
    fn new(fenced: bool, pauses: u8, crashes: u8) -> Self {
        let (tables, nodes) = Default::default();
        Self { fenced, pauses, crashes, tables, nodes }
    }

    fn steps_of(&self, state: &State, index: usize, steps: &mut Vec<(String, State)>) {
        let name = NAMES[index];
        let node = &state.nodes[index];
        let mut push = |word: &str, change: &dyn Fn(&mut State, &mut Node)| {
            let mut next = state.clone();
            let mut node = (*next.nodes[index]).clone();
            change(&mut next, &mut node);
            next.nodes[index] = self.nodes.share(node);
            steps.push((format!("{name} {word}"), next));
        };
        push("wakes", &|state, node| {
            read(node, &state.table, state.now);
            if node.sent.is_none() {
                let steps = node.lease.plan(&node.watch, state.now);
                node.sent = steps.into_iter().next().map(Write::Duty);
            }
        });
        if node.beats > 0 && state.pauses < self.pauses {
            push("beats", &|state, node| {
                node.beats -= 1;
                self.beat(state, index, node.lease.incarnation());
            });
        }
        if let Some(write) = &node.sent {
            push("is answered", &|state, node| {
                node.sent = None;
                if self.arrive(state, write) {
                    read_duty(node, &state.table);
                }
            });
            if state.losses > 0 {
                push("gets no answer", &|state, node| {
                    state.losses -= 1;
                    node.sent = None;
                    self.arrive(state, write);
                });
            }
        } else {
            if let Some(held) = node.lease.held(&DUTY).filter(|_| node.effects > 0) {
                push("decides", &|_, node| {
                    node.effects -= 1;
                    let (version, epoch) = (held.version, held.row.epoch);
                    let incarnation = node.lease.incarnation();
                    node.sent = Some(Write::Effect { by: index, incarnation, version, epoch });
                });
            }
        }
        if state.crashes > 0 && index == 0 {
            push("crashes", &|state, node| {
                state.crashes -= 1;
                state.late.extend(node.sent.take());
                let incarnation = node.lease.incarnation() + 1;
                *node = fresh(index, incarnation);
                self.beat(state, index, incarnation);
            });
        }
    }

    /// Writes an entry's row.
    fn beat(&self, state: &mut State, index: usize, incarnation: u64) {
        let mut table = (*state.table).clone();
        table.position += 1;
        let row = member::Row { incarnation, candidate: true, ..member::Row::default() };
        table.members[index] = Some((Version(table.position), row));
        state.table = self.tables.share(table);
    }

    /// A write reaches the table. Returns whether it took effect.
    fn arrive(&self, state: &mut State, write: &Write) -> bool {
        let mut table = (*state.table).clone();
        let version = table.duty.as_ref().map_or(Version::ABSENT, |(version, _)| *version);
        let done = match write {
            Write::Duty(step) if step.expected_version == version => {
                table.position += 1;
                table.duty = Some((Version(table.position), step.row.clone()));
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

fn fresh(index: usize, incarnation: u64) -> Node {
    let mut lease = Leases::new(NAMES[index], incarnation);
    lease.set_duties(BTreeSet::from([DUTY]));
    Node {
        lease,
        watch: Watch::default(),
        sent: None,
        beats: u8::from(index > 0),
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
        node.lease.apply(DUTY, *version, Some(row.clone()));
    }
}

cases::cases! {
    no_two_holders_write_at_once;
    no_two_holders_write_at_once_through_pauses: (2, 0),
    no_two_holders_write_at_once_through_replacements: (0, 2),
}

fn no_two_holders_write_at_once((pauses, crashes): (u8, u8)) {
    let name = format!("lease, {pauses} pauses, {crashes} crashes");
    let seen = explore(&name, &Protocol::new(true, pauses, crashes));
    assert!(seen.fault.is_none(), "{:#?}", seen.fault);
    assert!(seen.states > 100, "{seen:?}");
    assert!(seen.telling > 0, "no two ever believed to hold the duty: {seen:?}");
}

#[test]
fn without_the_fence_a_late_write_is_found() {
    let seen = explore("lease, unfenced", &Protocol::new(false, 1, 1));
    assert!(seen.fault.is_some(), "{seen:?}");
}
