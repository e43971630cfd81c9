//! One instance that is drained, three entries that send to it, one of which judges.

use std::collections::BTreeMap;
use std::time::Duration;

use control::drain::Exclusions;
use control::drain::Intake;
use control::drain::PeerDrains;
use control::drain::Readiness;
use control::drain::SenderReport;
use control::drain::Senders;
use control::member::Ack;
use fleet::time::Time;
use fleet::view::Load;

use crate::explore::Model;
use crate::explore::Pool;
use crate::explore::Shared;
use crate::explore::explore;

const NAMES: [&str; 3] = ["a", "b", "c"];
const INSTANCE: &str = "w";

/// Whom each entry hears: the second has peers only, the third the table only.
const HEARS: [&[usize]; 3] = [&[1], &[0], &[]];

/// What an entry has said of itself, by one path.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Word {
    incarnation: u64,
    drains: BTreeMap<String, Ack>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Node {
    incarnation: u64,
    /// The instance's epoch as its rows have it; from 1 on it drains.
    row: u64,
    notice: PeerDrains,
    closures: Exclusions,
    /// The view that was handed over: its serial and whether the instance is open in it.
    handed: (u64, bool),
    /// The view that every new request is sent by.
    applied: (u64, bool),
    /// Whether it serves callers.
    ready: bool,
    sends: u8,
    /// Whether a request is in flight, and whether the instance works on it.
    in_flight: bool,
    /// What peers hear.
    published: Word,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    /// The instance's epoch in the table.
    row: u64,
    /// The entries' rows.
    members: [Shared<Word>; 3],
    nodes: [Shared<Node>; 3],
    /// What the first entry, which judges, knows of all.
    census: Shared<Senders>,
    fence: Intake,
    /// Whether the instance refuses new work.
    closed: bool,
    stopped: bool,
    crashes: u8,
}

/// The protocol with what its states share.
struct Search {
    protocol: Protocol,
    words: Pool<Word>,
    nodes: Pool<Node>,
    censuses: Pool<Senders>,
}

/// The protocol, or a variant of it with a rule left out.
#[derive(Clone, Copy)]
enum Protocol {
    Whole,
    /// Entries that have not been heard of are not waited for.
    OnlyHeard,
    /// A view counts as soon as it is handed over.
    EarlyAck,
    /// A process that starts serves by an old state before it has read the table.
    EarlyStart,
    /// Requests in flight are not waited for.
    NoCount,
}

impl Model for Search {
    type State = State;

    fn start(&self) -> State {
        let mut census = Senders::new(Duration::from_secs(30));
        let known =
            if matches!(self.protocol, Protocol::OnlyHeard) { &NAMES[..2] } else { &NAMES[..] };
        for name in known {
            census.record(name, SenderReport { incarnation: 1, ..SenderReport::default() });
        }
        let word = Word { incarnation: 1, ..Word::default() };
        let node = Node {
            incarnation: 1,
            handed: (1, true),
            applied: (1, true),
            ready: true,
            sends: 1,
            published: word.clone(),
            ..Node::default()
        };
        State {
            row: 0,
            members: [0; 3].map(|_| self.words.share(word.clone())),
            nodes: [0, 1, 1].map(|sends| self.nodes.share(Node { sends, ..node.clone() })),
            census: self.censuses.share(census),
            fence: Intake::Open,
            closed: false,
            stopped: false,
            crashes: 1,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        if state.row == 0 {
            steps.push(("the drain is recorded".to_owned(), State { row: 1, ..state.clone() }));
        }
        if state.stopped {
            return steps;
        }
        for index in 0..NAMES.len() {
            self.steps_of(state, index, &mut steps);
        }
        self.steps_of_judge(state, &mut steps);
        steps
    }

    fn fault(&self, state: &State) -> Option<String> {
        let busy = NAMES.iter().zip(&state.nodes).find(|(_, node)| node.in_flight);
        let (name, _) = busy.filter(|_| state.stopped)?;
        Some(format!("stopped with a request of {name} in flight"))
    }

    fn is_telling(&self, state: &State) -> bool {
        state.stopped
    }
}

impl Search {
    fn new(protocol: Protocol) -> Self {
        let (words, nodes, censuses) = Default::default();
        Self { protocol, words, nodes, censuses }
    }

    fn steps_of(&self, state: &State, index: usize, steps: &mut Vec<(String, State)>) {
        let name = NAMES[index];
        let node = &state.nodes[index];
        let mut push = |word: &str, change: &dyn Fn(&mut State, &mut Node)| {
            let mut next = state.clone();
            let mut node = (*next.nodes[index]).clone();
            change(&mut next, &mut node);
            next.nodes[index] = self.nodes.share(node);
            if next != *state {
                steps.push((format!("{name} {word}"), next));
            }
        };
        let by_table = index != 1;
        let read = &|state: &mut State, node: &mut Node| {
            node.row = state.row;
            if index == 0 {
                for (name, word) in NAMES.iter().zip(state.members.clone()) {
                    self.hear(state, name, (*word).clone());
                }
            }
            if !node.ready {
                // Its row is written before it serves anyone.
                let word = Word { incarnation: node.incarnation, ..Word::default() };
                state.members[index] = self.words.share(word);
                node.ready = true;
            }
            show(node);
        };
        if by_table {
            push("reads", read);
        }
        push("sends by its new view", &|_, node| node.applied = node.handed);
        push("writes its row", &|state, node| {
            if node.ready && by_table {
                state.members[index] = self.words.share(self.word(node));
            }
        });
        for &other in HEARS[index] {
            let word = state.nodes[other].published.clone();
            push(&format!("gossips, hearing {}", NAMES[other]), &|state, node| {
                let drains = word.drains.iter().map(|(name, ack)| (name.clone(), ack.epoch));
                node.notice.record(NAMES[other], word.incarnation, &drains.collect());
                if index == 0 {
                    self.hear(state, NAMES[other], word.clone());
                }
                let before = self.word(node);
                show(node);
                let early = matches!(self.protocol, Protocol::EarlyAck);
                node.published = if early { self.word(node) } else { before };
            });
        }
        if node.ready && node.applied.1 && !node.in_flight && node.sends > 0 {
            push("sends a request", &|state, node| {
                node.sends -= 1;
                node.in_flight = !state.closed;
            });
        }
        if node.in_flight {
            push("gets its answer", &|_, node| node.in_flight = false);
        }
        if state.crashes > 0 && index == 2 {
            push("crashes", &|state, node| {
                state.crashes -= 1;
                // It comes back with an old state, and serves once it has read the table.
                let early = matches!(self.protocol, Protocol::EarlyStart);
                *node = Node {
                    incarnation: node.incarnation + 1,
                    handed: (1, true),
                    applied: (1, true),
                    ready: early,
                    sends: 1,
                    published: node.published.clone(),
                    ..Node::default()
                };
            });
        }
    }

    fn steps_of_judge(&self, state: &State, steps: &mut Vec<(String, State)>) {
        let judge = &state.nodes[0];
        if judge.row == 0 {
            return;
        }
        let mut told = state.clone();
        told.closed = true;
        let working = told.nodes.iter().filter(|node| node.in_flight).count() as u32;
        // What an instance says of itself is left out where the entries' own word is on trial.
        let in_flight = if matches!(self.protocol, Protocol::Whole) { working } else { 0 };
        told.fence = Intake::Closed { epoch: 1, in_flight };
        if !matches!(self.protocol, Protocol::Whole) {
            told.closed = false;
        }
        steps.push(("the instance is told and answers".to_owned(), told));
        let verdict = state.census.readiness(INSTANCE, 1, state.fence, Time::ZERO);
        if verdict == Readiness::Quiesced {
            steps.push(("it is stopped".to_owned(), State { stopped: true, ..state.clone() }));
        }
    }

    /// The judge hears what an entry says of itself.
    fn hear(&self, state: &mut State, name: &str, word: Word) {
        let mut census = (*state.census).clone();
        let Word { incarnation, drains } = word;
        census.record(name, SenderReport { incarnation, drains, ..SenderReport::default() });
        state.census = self.censuses.share(census);
    }

    /// What an entry says of itself now.
    fn word(&self, node: &Node) -> Word {
        let early = matches!(self.protocol, Protocol::EarlyAck);
        let serial = if early { node.handed.0 } else { node.applied.0 };
        let counts = node.in_flight && !matches!(self.protocol, Protocol::NoCount);
        let in_flight =
            if counts { BTreeMap::from([(INSTANCE.to_owned(), 1)]) } else { BTreeMap::new() };
        let load = Load { serial, in_flight, ..Load::default() };
        Word { incarnation: node.incarnation, drains: node.closures.acknowledge(&load) }
    }
}

/// Builds a view as the engine does.
fn show(node: &mut Node) {
    let heard = node.notice.newer_epoch(INSTANCE, node.row);
    let open = node.row == 0 && heard.is_none();
    let epoch = heard.unwrap_or(node.row);
    if open != node.handed.1 {
        node.handed = (node.handed.0 + 1, open);
    }
    let closed = BTreeMap::from([(INSTANCE.to_owned(), epoch)]);
    let none = BTreeMap::new();
    node.closures.record_view(node.handed.0, if open { &none } else { &closed });
}

#[test]
fn nothing_is_stopped_with_a_request_in_flight() {
    let seen = explore("drain", &Search::new(Protocol::Whole));
    assert!(seen.fault.is_none(), "{:#?}", seen.fault);
    assert!(seen.states > 10_000, "{seen:?}");
    assert!(seen.telling > 0, "nothing was ever stopped: {seen:?}");
}

cases::cases! {
    a_variant_is_found_broken;
    without_waiting_for_those_not_heard_of_a_cut_off_request_is_found: Protocol::OnlyHeard,
    with_an_early_acknowledgement_a_cut_off_request_is_found: Protocol::EarlyAck,
    with_an_early_start_a_cut_off_request_is_found: Protocol::EarlyStart,
    without_counting_requests_a_cut_off_request_is_found: Protocol::NoCount,
}

fn a_variant_is_found_broken(variant: Protocol) {
    let seen = explore("drain, variant", &Search::new(variant));
    assert!(seen.fault.is_some(), "{seen:?}");
}
