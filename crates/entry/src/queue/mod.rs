//! Admission control and fair queueing of requests that wait for a slot.
//!
//! There is one bounded [`Queue`] for each service. Its requests are grouped into lanes, one for
//! each team and priority. Lanes are served in proportion to their weights (the weight of the
//! priority times the share of the team); within a lane the earliest deadline goes first. A request
//! that could not be answered by its deadline is refused on arrival, or as soon as that is known.
//! docs/design/admission.md gives the reasons.

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

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// A request that asks for a position in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'name> {
    /// Name of its team.
    pub team: &'name str,
    /// Relative share of its team; 0 counts as 1.
    pub share: u32,
    /// Its priority.
    pub priority: Priority,
    /// Time by which it must be answered.
    pub deadline: Time,
}

/// A request was refused a position in the queue. This is final: the caller is answered at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Time until the queue has probably become shorter.
    pub retry_after: Duration,
}

/// A position in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Identifies the queued request.
    pub ticket: Ticket,
    /// Request that was evicted to make space; it has to be refused.
    pub evicted: Option<Ticket>,
}

/// What is needed to find a queued request in its lane.
#[derive(Clone, Debug)]
struct Waiting {
    team: String,
    priority: Priority,
    deadline: Time,
}

/// The requests of one service that wait for a slot at an upstream.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    limit: usize,
    lanes: BTreeMap<String, BTreeMap<Priority, Lane>>,
    waiting: BTreeMap<Ticket, Waiting>,
    next_ticket: u64,
    /// Virtual time of the last departure; a lane that was empty starts from it.
    virtual_time: u64,
    throughput: Throughput,
    service_time: Average,
}

impl Queue {
    /// An empty queue that holds at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Sets the maximum length. Requests beyond a lower limit stay queued.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records how long an upstream took to answer a request of this service.
    pub fn record_service_time(&mut self, took: Duration) {
        self.service_time.add(took.as_secs_f64());
    }

    /// Average time that an upstream takes to answer; zero before the first sample.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_time.get().unwrap_or(0.0))
    }

    /// Queues a request. Refuses it if it could not be answered by its deadline, or if the queue is
    /// full and no lane holds more requests per unit of weight than the candidate's lane would.
    pub fn push(&mut self, now: Time, candidate: Candidate<'_>) -> Result<Position, Refusal> {
        let wait = self.expected_wait(now, &candidate);
        if now + wait + self.service_time() > candidate.deadline {
            return Err(Refusal { retry_after: wait });
        }
        let evicted = if self.len() < self.limit {
            None
        } else {
            Some(self.evict(&candidate).ok_or(Refusal { retry_after: wait })?)
        };
        Ok(Position { ticket: self.insert(now, candidate), evicted })
    }

    /// Removes the request that goes next.
    pub fn pop(&mut self, now: Time) -> Option<Ticket> {
        let lanes = self.lanes.values_mut().flat_map(BTreeMap::iter_mut);
        let nonempty = lanes.filter(|(_, lane)| lane.len() > 0);
        let (_, lane) = nonempty.min_by_key(|(priority, lane)| (lane.virtual_time, **priority))?;
        self.virtual_time = self.virtual_time.max(lane.virtual_time);
        let ticket = lane.pop()?;
        self.remove_waiting(ticket);
        self.throughput.depart(now, !self.waiting.is_empty());
        Some(ticket)
    }

    /// Removes one request that can no longer be answered by its deadline.
    pub fn pop_late(&mut self, now: Time) -> Option<Ticket> {
        let by = now + self.service_time();
        let lanes = self.lanes.values_mut().flat_map(BTreeMap::values_mut);
        let ticket = lanes.filter_map(|lane| lane.pop_due(by)).next()?;
        self.remove_waiting(ticket);
        Some(ticket)
    }

    /// Removes a request whose caller has disconnected. Returns whether it was still queued.
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

    /// Expected time in the queue: the requests of the candidate's lane that go before it leave at
    /// the lane's share of the throughput. The result is at most the time that all queued requests
    /// and the candidate take.
    pub fn expected_wait(&self, now: Time, candidate: &Candidate<'_>) -> Duration {
        let lane = self.lanes.get(candidate.team).and_then(|lanes| lanes.get(&candidate.priority));
        let ahead = lane.map_or(0, |lane| lane.ahead_of(candidate.deadline)) as f64;
        let own = (lane::weight(candidate.priority) * u64::from(candidate.share.max(1))) as f64;
        let others = self.other_lanes_weight(candidate) as f64;
        let departures = ((ahead + 1.0) * (own + others) / own).min(self.len() as f64 + 1.0);
        self.throughput.expected_wait(now, departures).unwrap_or_default()
    }

    /// Sum of the weights of all other lanes that are not empty.
    fn other_lanes_weight(&self, candidate: &Candidate<'_>) -> u64 {
        let lanes = self.lanes.iter().flat_map(|(team, lanes)| {
            lanes.iter().map(move |(priority, lane)| (team.as_str(), *priority, lane))
        });
        let others = lanes.filter(|(team, priority, _)| {
            (*team, *priority) != (candidate.team, candidate.priority)
        });
        others.filter(|(.., lane)| lane.len() > 0).map(|(.., lane)| lane.weight()).sum()
    }

    /// Adds a request to its lane.
    fn insert(&mut self, now: Time, candidate: Candidate<'_>) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.drop_idle_lanes();
        let lanes = self.lanes.entry(candidate.team.to_owned()).or_default();
        let lane = lanes.entry(candidate.priority).or_default();
        if lane.len() == 0 {
            lane.virtual_time = lane.virtual_time.max(self.virtual_time);
        }
        lane.set_weight(candidate.priority, candidate.share);
        lane.insert(candidate.deadline, ticket);
        let Candidate { team, priority, deadline, .. } = candidate;
        self.waiting.insert(ticket, Waiting { team: team.to_owned(), priority, deadline });
        self.throughput.start(now);
        ticket
    }

    /// Makes space for the candidate: removes the last request of the lane that holds most requests
    /// per unit of weight, if the candidate's lane would then hold fewer per unit of weight.
    fn evict(&mut self, candidate: &Candidate<'_>) -> Option<Ticket> {
        let lane = self.lanes.get(candidate.team).and_then(|lanes| lanes.get(&candidate.priority));
        let own_len = lane.map_or(0, Lane::len) as u64 + 1;
        let own_weight = lane::weight(candidate.priority) * u64::from(candidate.share.max(1));
        let lanes = self.lanes.values_mut().flat_map(BTreeMap::values_mut);
        let nonempty = lanes.filter(|lane| lane.len() > 0);
        // Scaled up because integer division truncates.
        let fullest =
            nonempty.max_by_key(|lane| (lane.len() as u64) * (1 << 20) / lane.weight())?;
        // Compares `len / weight` of both lanes without dividing.
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
            // In an empty queue no lane is behind another, so the virtual times may be dropped.
            self.lanes.clear();
        }
    }

    /// Drops empty lanes if there are lanes of more teams than `limit`. Otherwise they stay, to
    /// keep their virtual times.
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
