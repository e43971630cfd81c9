//! Model of a drain: one draining instance and three entries that send to it. The first entry, the
//! coordinator, decides when the instance is stopped.

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

/// The peers that each entry receives gossip from. The second entry has no connection to the table,
/// the third none to the peers.
const GOSSIP_SOURCES: [&[usize]; 3] = [&[1], &[0], &[]];

/// An entry's report about itself, in its row or in its gossip.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Report {
    incarnation: u64,
    drains: BTreeMap<String, Ack>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Node {
    incarnation: u64,
    /// The instance's epoch in the entry's copy of the table; the instance drains from epoch 1 on.
    row: u64,
    peer_drains: PeerDrains,
    exclusions: Exclusions,
    /// The latest view passed to the request path: its serial, and whether the instance is open in
    /// it.
    latest_view: (u64, bool),
    /// The view that all new requests are routed by.
    active_view: (u64, bool),
    /// Whether the entry serves callers.
    ready: bool,
    /// Number of requests that the entry may still send.
    sends: u8,
    /// Whether a request of this entry is in flight at the instance.
    in_flight: bool,
    /// The report that peers receive.
    published: Report,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    /// The instance's epoch in the table.
    row: u64,
    /// The entries' reports in their rows.
    members: [Shared<Report>; 3],
    nodes: [Shared<Node>; 3],
    /// The coordinator's knowledge of all entries.
    senders: Shared<Senders>,
    /// The coordinator's latest answer from the instance.
    intake: Intake,
    /// Whether the instance refuses new work.
    closed: bool,
    stopped: bool,
    /// Number of crashes that may still happen.
    crashes: u8,
}

/// The model: a protocol, and the pools of values that its states share.
struct Search {
    protocol: Protocol,
    reports: Pool<Report>,
    nodes: Pool<Node>,
    sender_sets: Pool<Senders>,
}

/// The complete protocol, or a variant that lacks one rule.
#[derive(Clone, Copy)]
enum Protocol {
    Complete,
    /// The stop does not wait for entries that have sent no report.
    OnlyReporting,
    /// A view is acknowledged as soon as it is passed to the request path, before it is in use.
    EarlyAck,
    /// A starting process serves with an old state before it has read the table.
    EarlyStart,
    /// The stop does not wait for requests in flight.
    IgnoreInFlight,
}

impl Model for Search {
    type State = State;

    fn start(&self) -> State {
        let mut senders = Senders::new(Duration::from_secs(30));
        let known =
            if matches!(self.protocol, Protocol::OnlyReporting) { &NAMES[..2] } else { &NAMES[..] };
        for name in known {
            senders.record(name, SenderReport { incarnation: 1, ..SenderReport::default() });
        }
        let report = Report { incarnation: 1, ..Report::default() };
        let node = Node {
            incarnation: 1,
            latest_view: (1, true),
            active_view: (1, true),
            ready: true,
            sends: 1,
            published: report.clone(),
            ..Node::default()
        };
        State {
            row: 0,
            members: [0; 3].map(|_| self.reports.share(report.clone())),
            nodes: [0, 1, 1].map(|sends| self.nodes.share(Node { sends, ..node.clone() })),
            senders: self.sender_sets.share(senders),
            intake: Intake::Open,
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
            self.entry_steps(state, index, &mut steps);
        }
        self.coordinator_steps(state, &mut steps);
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        let busy = NAMES.iter().zip(&state.nodes).find(|(_, node)| node.in_flight);
        let (name, _) = busy.filter(|_| state.stopped)?;
        Some(format!("stopped with a request of {name} in flight"))
    }

    fn is_relevant(&self, state: &State) -> bool {
        state.stopped
    }
}

impl Search {
    fn new(protocol: Protocol) -> Self {
        let (reports, nodes, sender_sets) = Default::default();
        Self { protocol, reports, nodes, sender_sets }
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
            if next != *state {
                steps.push((format!("{name} {step}"), next));
            }
        };
        let by_table = index != 1;
        let read = &|state: &mut State, node: &mut Node| {
            node.row = state.row;
            if index == 0 {
                for (name, report) in NAMES.iter().zip(state.members.clone()) {
                    self.receive(state, name, (*report).clone());
                }
            }
            if !node.ready {
                // The entry writes its row before it serves callers.
                let report = Report { incarnation: node.incarnation, ..Report::default() };
                state.members[index] = self.reports.share(report);
                node.ready = true;
            }
            rebuild_view(node);
        };
        if by_table {
            push("reads", read);
        }
        push("routes by its new view", &|_, node| node.active_view = node.latest_view);
        push("writes its row", &|state, node| {
            if node.ready && by_table {
                state.members[index] = self.reports.share(self.report(node));
            }
        });
        for &other in GOSSIP_SOURCES[index] {
            let report = state.nodes[other].published.clone();
            push(&format!("receives the gossip of {}", NAMES[other]), &|state, node| {
                let drains = report.drains.iter().map(|(name, ack)| (name.clone(), ack.epoch));
                node.peer_drains.record(NAMES[other], report.incarnation, &drains.collect());
                if index == 0 {
                    self.receive(state, NAMES[other], report.clone());
                }
                let before = self.report(node);
                rebuild_view(node);
                let early = matches!(self.protocol, Protocol::EarlyAck);
                node.published = if early { self.report(node) } else { before };
            });
        }
        if node.ready && node.active_view.1 && !node.in_flight && node.sends > 0 {
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
                // The new process has an old state, and serves once it has read the table.
                let early = matches!(self.protocol, Protocol::EarlyStart);
                *node = Node {
                    incarnation: node.incarnation + 1,
                    latest_view: (1, true),
                    active_view: (1, true),
                    ready: early,
                    sends: 1,
                    published: node.published.clone(),
                    ..Node::default()
                };
            });
        }
    }

    /// Adds the possible steps of the coordinator and the instance.
    fn coordinator_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        let coordinator = &state.nodes[0];
        if coordinator.row == 0 {
            return;
        }
        let mut answered = state.clone();
        answered.closed = true;
        let working = answered.nodes.iter().filter(|node| node.in_flight).count() as u32;
        // The variants test the entries' acknowledgements alone, so the instance's own count and
        // refusal are left out.
        let in_flight = if matches!(self.protocol, Protocol::Complete) { working } else { 0 };
        answered.intake = Intake::Closed { epoch: 1, in_flight };
        if !matches!(self.protocol, Protocol::Complete) {
            answered.closed = false;
        }
        steps.push(("the instance is told to drain and answers".to_owned(), answered));
        let readiness = state.senders.readiness(INSTANCE, 1, state.intake, Time::ZERO);
        if readiness == Readiness::Quiesced {
            steps.push((
                "the instance is stopped".to_owned(),
                State { stopped: true, ..state.clone() },
            ));
        }
    }

    /// The coordinator receives an entry's report.
    fn receive(&self, state: &mut State, name: &str, report: Report) {
        let mut senders = (*state.senders).clone();
        let Report { incarnation, drains } = report;
        senders.record(name, SenderReport { incarnation, drains, ..SenderReport::default() });
        state.senders = self.sender_sets.share(senders);
    }

    /// The entry's current report about itself.
    fn report(&self, node: &Node) -> Report {
        let early = matches!(self.protocol, Protocol::EarlyAck);
        let serial = if early { node.latest_view.0 } else { node.active_view.0 };
        let counts_in_flight = node.in_flight && !matches!(self.protocol, Protocol::IgnoreInFlight);
        let in_flight = if counts_in_flight {
            BTreeMap::from([(INSTANCE.to_owned(), 1)])
        } else {
            BTreeMap::new()
        };
        let load = Load { serial, in_flight, ..Load::default() };
        Report { incarnation: node.incarnation, drains: node.exclusions.acknowledge(&load) }
    }
}

/// Builds a view as the engine does.
fn rebuild_view(node: &mut Node) {
    let reported = node.peer_drains.newer_epoch(INSTANCE, node.row);
    let open = node.row == 0 && reported.is_none();
    let epoch = reported.unwrap_or(node.row);
    if open != node.latest_view.1 {
        node.latest_view = (node.latest_view.0 + 1, open);
    }
    let closed = BTreeMap::from([(INSTANCE.to_owned(), epoch)]);
    let none = BTreeMap::new();
    node.exclusions.record_view(node.latest_view.0, if open { &none } else { &closed });
}

#[test]
fn nothing_is_stopped_with_a_request_in_flight() {
    let summary = explore("drain", &Search::new(Protocol::Complete));
    assert!(summary.violation.is_none(), "{:#?}", summary.violation);
    assert!(summary.states > 10_000, "{summary:?}");
    assert!(summary.relevant > 0, "the instance was never stopped: {summary:?}");
}

cases::cases! {
    a_variant_is_found_broken;
    without_waiting_for_those_not_heard_of_a_cut_off_request_is_found: Protocol::OnlyReporting,
    with_an_early_acknowledgement_a_cut_off_request_is_found: Protocol::EarlyAck,
    with_an_early_start_a_cut_off_request_is_found: Protocol::EarlyStart,
    without_counting_requests_a_cut_off_request_is_found: Protocol::IgnoreInFlight,
}

fn a_variant_is_found_broken(variant: Protocol) {
    let summary = explore("drain, variant", &Search::new(variant));
    assert!(summary.violation.is_some(), "{summary:?}");
}
