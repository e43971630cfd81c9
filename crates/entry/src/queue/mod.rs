//! Admission: who waits for a slot, who goes next, and who is told at once that it won't work.
//!
//! One [`Queue`] for each service. It is bounded; teams share it by weight, priorities by more
//! weight, and within one team and priority the earliest deadline goes first. A request that
//! could not be answered in time is refused when it comes, or as soon as that is known.
//! docs/design/admission.md says why.

mod average;
mod lane;
mod throughput;

pub use throughput::Throughput;

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::config::Priority;
use fleet::time::Time;

use average::Average;
use lane::Lane;

/// Names a waiting request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// A request that wants a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'asked> {
    /// Its team's name.
    pub team: &'asked str,
    /// Its team's share.
    pub share: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// When its answer is due.
    pub deadline: Time,
}

/// Why a request got no place. It is final: the caller is told at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// After how long a repeat would find the queue shorter.
    pub retry_after: Duration,
}

/// A place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The request's own ticket.
    pub ticket: Ticket,
    /// Another that had to make room; it is refused in turn.
    pub evicted: Option<Ticket>,
}

#[derive(Clone, Debug)]
struct Waiting {
    team: String,
    priority: Priority,
    deadline: Time,
}

/// The requests of one service that wait for a slot.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    limit: usize,
    lanes: BTreeMap<String, BTreeMap<Priority, Lane>>,
    waiting: BTreeMap<Ticket, Waiting>,
    next_ticket: u64,
    virtual_time: u64,
    throughput: Throughput,
    service_time: Average,
}

impl Queue {
    /// A queue with this many places.
    pub fn new(limit: usize) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Sets the number of places. Those who wait keep theirs.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// An upstream took so long to answer a request of this service.
    pub fn record_service_time(&mut self, took: Duration) {
        self.service_time.add(took.as_secs_f64());
    }

    /// How long an upstream takes as a rule; nought while that is not known.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_time.get().unwrap_or(0.0))
    }

    /// Gives a request a place, unless it could not be answered in time or others have more right
    /// to it.
    pub fn push(&mut self, now: Time, asking: Candidate<'_>) -> Result<Position, Refusal> {
        let wait = self.expected_wait(now, &asking);
        if now + wait + self.service_time() > asking.deadline {
            return Err(Refusal { retry_after: wait });
        }
        let evicted = if self.len() < self.limit {
            None
        } else {
            Some(self.evict(&asking).ok_or(Refusal { retry_after: wait })?)
        };
        Ok(Position { ticket: self.insert(now, asking), evicted })
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self, now: Time) -> Option<Ticket> {
        let lanes = self.lanes.values_mut().flat_map(BTreeMap::iter_mut);
        let busy = lanes.filter(|(_, lane)| lane.len() > 0);
        let (_, lane) = busy.min_by_key(|(priority, lane)| (lane.virtual_time, **priority))?;
        self.virtual_time = self.virtual_time.max(lane.virtual_time);
        let ticket = lane.pop()?;
        self.remove_waiting(ticket);
        self.throughput.depart(now, !self.waiting.is_empty());
        Some(ticket)
    }

    /// Takes one request that can no longer be answered in time.
    pub fn pop_late(&mut self, now: Time) -> Option<Ticket> {
        let before = now + self.service_time();
        let lanes = self.lanes.values_mut().flat_map(BTreeMap::values_mut);
        let ticket = lanes.filter_map(|lane| lane.pop_due(before)).next()?;
        self.remove_waiting(ticket);
        Some(ticket)
    }

    /// Takes a request whose caller has gone. Returns whether it was still waiting.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(Waiting { team, priority, deadline }) = self.waiting.get(&ticket).cloned() else {
            return false;
        };
        if let Some(lane) = self.lanes.get_mut(&team).and_then(|lanes| lanes.get_mut(&priority)) {
            lane.remove(deadline, ticket);
        }
        self.remove_waiting(ticket);
        true
    }

    /// How long a request would wait: behind those of its lane that go first, at its lane's share
    /// of the pace, and never longer than behind everyone.
    pub fn expected_wait(&self, now: Time, asking: &Candidate<'_>) -> Duration {
        let lane = self.lanes.get(asking.team).and_then(|lanes| lanes.get(&asking.priority));
        let ahead = lane.map_or(0, |lane| lane.ahead_of(asking.deadline)) as f64;
        let own = (lane::weight(asking.priority) * u64::from(asking.share.max(1))) as f64;
        let others = self.other_lanes_weight(asking) as f64;
        let turns = ((ahead + 1.0) * (own + others) / own).min(self.len() as f64 + 1.0);
        self.throughput.expected_wait(now, turns).unwrap_or_default()
    }

    fn other_lanes_weight(&self, asking: &Candidate<'_>) -> u64 {
        let lanes = self.lanes.iter().flat_map(|(team, lanes)| {
            lanes.iter().map(move |(priority, lane)| (team.as_str(), *priority, lane))
        });
        let others = lanes
            .filter(|(team, priority, _)| (*team, *priority) != (asking.team, asking.priority));
        others.filter(|(.., lane)| lane.len() > 0).map(|(.., lane)| lane.weight()).sum()
    }

    fn insert(&mut self, now: Time, asking: Candidate<'_>) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.drop_idle_lanes();
        let lanes = self.lanes.entry(asking.team.to_owned()).or_default();
        let lane = lanes.entry(asking.priority).or_default();
        if lane.len() == 0 {
            lane.virtual_time = lane.virtual_time.max(self.virtual_time);
        }
        lane.set_weight(asking.priority, asking.share);
        lane.insert(asking.deadline, ticket);
        let Candidate { team, priority, deadline, .. } = asking;
        self.waiting.insert(ticket, Waiting { team: team.to_owned(), priority, deadline });
        self.throughput.start(now);
        ticket
    }

    /// Makes room by taking the last of the lane that holds most for its weight, if that is more
    /// than the asking one would hold for its own.
    fn evict(&mut self, asking: &Candidate<'_>) -> Option<Ticket> {
        let lane = self.lanes.get(asking.team).and_then(|lanes| lanes.get(&asking.priority));
        let own_len = lane.map_or(0, Lane::len) as u64 + 1;
        let own_weight = lane::weight(asking.priority) * u64::from(asking.share.max(1));
        let lanes = self.lanes.values_mut().flat_map(BTreeMap::values_mut);
        let busy = lanes.filter(|lane| lane.len() > 0);
        let fullest = busy.max_by_key(|lane| (lane.len() as u64) * (1 << 20) / lane.weight())?;
        // Compared as fractions: len / weight.
        if (fullest.len() as u64) * own_weight <= own_len * fullest.weight() {
            return None;
        }
        let ticket = fullest.pop_last()?;
        self.remove_waiting(ticket);
        Some(ticket)
    }

    fn remove_waiting(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
        if self.waiting.is_empty() {
            // With nobody else waiting, nobody is owed a turn.
            self.lanes.clear();
        }
    }

    /// Empty lanes are kept for their turn, but not more of them than there are places.
    fn drop_idle_lanes(&mut self) {
        if self.lanes.len() <= self.limit {
            return;
        }
        for lanes in self.lanes.values_mut() {
            lanes.retain(|_, lane| lane.len() > 0);
        }
        self.lanes.retain(|_, lanes| !lanes.is_empty());
    }
}
