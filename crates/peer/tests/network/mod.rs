//! Members of a region in virtual time, on links that lose, delay and cut frames.
//!
//! Every frame is sealed and opened as on a real network.

// Tests, benches and examples each use a part of it.
#![allow(dead_code, missing_docs, unreachable_pub)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use fleet::config::Revision;
use fleet::time::Time;
use peer::Member;
use peer::Status;
use peer::membership::Identity;
use peer::membership::Membership;
use peer::membership::Offered;
use peer::membership::Outgoing;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wire::Key;
use wire::MAX_DATAGRAM_BYTES;
use wire::Refusal;

/// UDP and IP headers of a datagram.
const HEADER_BYTES: u64 = 28;

pub fn key() -> Key {
    Key::new(1, *b"a key for tests only").expect("it is long enough")
}

pub fn address(number: usize) -> SocketAddr {
    let [high, low] = u16::try_from(number).expect("few members").to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

pub fn name(number: usize) -> String {
    format!("entry-{number:02}")
}

pub fn identity(number: usize, incarnation: u64) -> Identity {
    Identity {
        name: name(number),
        region: "south".to_owned(),
        data_centre: format!("dc-{}", number / 9),
        incarnation,
        address: address(number),
    }
}

/// One member and what it may do.
pub struct Node {
    pub membership: Membership,
    /// Neither ticks nor receives, as a process that is paused; what comes is lost.
    pub paused: bool,
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub refused: BTreeMap<Refusal, u64>,
}

/// A frame on its way.
type Flight = (Time, u64, SocketAddr, SocketAddr, Vec<u8>);

/// All members and the links between them.
pub struct Network {
    pub now: Time,
    pub nodes: BTreeMap<SocketAddr, Node>,
    /// Part of the frames that is lost.
    pub loss: f64,
    pub delay: Duration,
    /// Links that carry nothing, each in one direction.
    pub cuts: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Frames kept for replay, as they were sent.
    pub recorded: Vec<(SocketAddr, SocketAddr, Vec<u8>)>,
    pub record: bool,
    flights: BTreeSet<Flight>,
    count: u64,
    random: ChaCha8Rng,
}

impl Network {
    /// `members` that know the first two as seeds.
    pub fn new(members: usize, seed: u64) -> Self {
        let mut this = Self {
            now: Time::from_secs(1),
            nodes: BTreeMap::new(),
            loss: 0.0,
            delay: Duration::from_micros(1_500),
            cuts: BTreeSet::new(),
            recorded: Vec::new(),
            record: false,
            flights: BTreeSet::new(),
            count: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for number in 0..members {
            this.start(identity(number, 1_000));
        }
        this
    }

    /// Starts a member, or its next life.
    pub fn start(&mut self, identity: Identity) {
        let seeds = vec![address(0), address(1)];
        self.start_with(identity, seeds, Vec::new());
    }

    pub fn start_with(
        &mut self,
        identity: Identity,
        seeds: Vec<SocketAddr>,
        beyond: Vec<SocketAddr>,
    ) {
        let address = identity.address;
        let seed = self.random.random();
        let membership = Membership::new(identity, seeds, beyond, self.now, seed);
        let node = Node {
            membership,
            paused: false,
            sent_bytes: 0,
            received_bytes: 0,
            refused: BTreeMap::new(),
        };
        self.nodes.insert(address, node);
    }

    pub fn node(&mut self, number: usize) -> &mut Node {
        self.nodes.get_mut(&address(number)).expect("it was started")
    }

    /// Ends a member without a word.
    pub fn kill(&mut self, number: usize) {
        self.nodes.remove(&address(number));
    }

    /// Cuts the link from one member to another, one way.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((address(from), address(to)));
    }

    /// Cuts all links between two groups.
    pub fn part(&mut self, one: &[usize], other: &[usize]) {
        for from in one {
            for to in other {
                self.cut(*from, *to);
                self.cut(*to, *from);
            }
        }
    }

    pub fn members(&self, number: usize) -> Vec<Member> {
        self.nodes[&address(number)].membership.members(self.now)
    }

    /// How `number` sees `other`; nothing if not at all.
    pub fn status(&self, number: usize, other: usize) -> Option<Status> {
        let members = self.members(number);
        members.iter().find(|member| member.name == name(other)).map(|member| member.status)
    }

    /// Whether all see all others alive.
    pub fn is_whole(&self) -> bool {
        let others = self.nodes.len() - 1;
        self.nodes.values().all(|node| {
            let members = node.membership.members(self.now);
            members.iter().filter(|member| member.status == Status::Alive).count() == others
        })
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until `done`, at most so long. Returns how long it took.
    pub fn run_until(
        &mut self,
        longest: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        let end = start + longest;
        while !done(self) {
            if !self.step(end) {
                return None;
            }
        }
        Some(self.now.since(start))
    }

    /// Pulls documents over TCP at once, if a peer has higher ones and both ways are open.
    fn pull(&mut self, at: SocketAddr) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&at) else { return };
        let Some(source) = node.membership.source(now) else { return };
        let cut = |from, to| self.cuts.contains(&(from, to));
        if !cut(at, source.address) && !cut(source.address, at) {
            node.membership.offer(source.offered);
        }
    }

    pub fn offer(&mut self, number: usize, revision: u64) {
        let offered = Offered { revision: Revision(revision), digest: revision };
        self.node(number).membership.offer(offered);
    }

    pub fn revision(&self, number: usize) -> u64 {
        let offered = self.nodes[&address(number)].membership.offered();
        offered.map_or(0, |offered| offered.revision.0)
    }

    /// Puts bytes on the way as if `from` had sent them.
    pub fn inject(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        self.count += 1;
        self.flights.insert((self.now + self.delay, self.count, from, to, bytes));
    }

    /// Lets the next thing happen, if that is before `end`.
    fn step(&mut self, end: Time) -> bool {
        let running = self.nodes.iter().filter(|(_, node)| !node.paused);
        let due = running.map(|(address, node)| (node.membership.due(), *address)).min();
        let arrives = self.flights.first().map(|flight| flight.0);
        let tick_first = due.is_some_and(|(at, _)| arrives.is_none_or(|arrives| at <= arrives));
        let next = if tick_first { due.map(|(at, _)| at) } else { arrives };
        let Some(next) = next.filter(|next| *next <= end) else {
            self.now = self.now.max(end);
            return false;
        };
        self.now = self.now.max(next);
        if tick_first {
            let Some((_, address)) = due else { return false };
            self.tick(address);
        } else {
            self.arrive();
        }
        true
    }

    fn tick(&mut self, address: SocketAddr) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&address) else { return };
        let out = node.membership.tick(now);
        self.send(address, out);
        self.pull(address);
    }

    pub fn send(&mut self, from: SocketAddr, out: Vec<Outgoing>) {
        for Outgoing { to, frame } in out {
            let bytes = wire::seal(&frame, &key());
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes: {frame:?}", bytes.len());
            if let Some(node) = self.nodes.get_mut(&from) {
                node.sent_bytes += bytes.len() as u64 + HEADER_BYTES;
            }
            if self.record {
                self.recorded.push((from, to, bytes.clone()));
            }
            let lost = self.cuts.contains(&(from, to)) || self.random.random_bool(self.loss);
            if lost {
                continue;
            }
            let delay = self.delay.mul_f64(self.random.random_range(0.5..=1.5));
            self.count += 1;
            self.flights.insert((self.now + delay, self.count, from, to, bytes));
        }
    }

    fn arrive(&mut self) {
        let Some((_, _, from, to, bytes)) = self.flights.pop_first() else { return };
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&to) else { return };
        if node.paused {
            return;
        }
        node.received_bytes += bytes.len() as u64 + HEADER_BYTES;
        let refusal = match wire::open(&bytes, MAX_DATAGRAM_BYTES, &[key()]) {
            Ok(frame) => {
                let received = node.membership.receive(now, from, frame);
                let refusal = received.refusal;
                self.send(to, received.answers);
                self.pull(to);
                refusal
            }
            Err(refusal) => Some(refusal),
        };
        if let (Some(refusal), Some(node)) = (refusal, self.nodes.get_mut(&to)) {
            *node.refused.entry(refusal).or_default() += 1;
        }
    }
}
