//! Polling of instances: when each one is polled, and its health and liveness.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::Health;
use contract::Serving;
use fleet::instance::State;
use fleet::time::Time;

use crate::drain::Intake;

/// Low bits of a fencing token that hold the epoch of the pool's duty.
const DUTY_BITS: u32 = 24;

/// The fencing token that is sent to an instance. It increases with the instance's own epoch and
/// with each change of the holder of its pool's duty, so that the instance refuses calls of earlier
/// holders.
pub const fn epoch(instance: u64, duty: u64) -> u64 {
    (instance << DUTY_BITS) | (duty & ((1 << DUTY_BITS) - 1))
}

/// The instance's own epoch in a fencing token made by [`epoch`].
pub const fn instance_epoch(token: u64) -> u64 {
    token >> DUTY_BITS
}

/// Minimum time between two polls of an instance.
pub const PERIOD: Duration = Duration::from_secs(1);

/// Minimum time between two polls of an instance whose next state change waits for its answer.
pub const CHANGING_PERIOD: Duration = Duration::from_millis(250);

/// Maximum number of polls per second and entry; with more instances each is polled less often.
pub const MAX_PER_SECOND: usize = 20;

/// Maximum number of concurrent polls.
pub const MAX_CONCURRENT: usize = 16;

/// Number of consecutive polls without an answer after which an instance is considered
/// unresponsive.
pub const MAX_MISSES: u32 = 3;

/// Result of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The instance answers, and its process knows a fencing token.
    Responsive,
    /// The instance answers with a new process that has not received a fencing token yet.
    Restarted,
    /// At least [`MAX_MISSES`] consecutive polls were not answered.
    Unresponsive,
    /// This poll was not answered.
    Missed,
}

/// Polling state of one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Poll {
    /// Earliest time of the next poll.
    next: Time,
    /// Whether a poll is in flight.
    busy: bool,
    /// Consecutive polls without an answer.
    misses: u32,
    /// The latest answer.
    health: Option<Health>,
}

/// Polling state of all instances whose pools' duties this entry holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Polls {
    known: BTreeMap<String, Poll>,
}

impl Polls {
    /// Names of the instances in `wanted` to poll now; the flag marks instances whose next state
    /// change waits for an answer. Drops the state of all other instances. Each returned name must
    /// be passed to [`record_answer`](Self::record_answer) once.
    pub fn due(&mut self, wanted: &BTreeMap<String, bool>, now: Time) -> Vec<String> {
        self.known.retain(|name, poll| poll.busy || wanted.contains_key(name));
        let usual =
            PERIOD.max(Duration::from_secs(1) * wanted.len() as u32 / MAX_PER_SECOND as u32);
        let busy = self.known.values().filter(|poll| poll.busy).count();
        let mut due = Vec::new();
        for (name, changing) in wanted {
            let poll = self.known.entry(name.clone()).or_default();
            if poll.busy || poll.next > now || busy + due.len() >= MAX_CONCURRENT {
                continue;
            }
            poll.busy = true;
            poll.next = now + if *changing { CHANGING_PERIOD } else { usual };
            due.push(name.clone());
        }
        due
    }

    /// Records an instance's answer to a poll, or `None` if there was none.
    pub fn record_answer(&mut self, name: &str, health: Option<Health>) -> Liveness {
        let poll = self.known.entry(name.to_owned()).or_default();
        poll.busy = false;
        let Some(health) = health else {
            poll.misses += 1;
            return if poll.misses >= MAX_MISSES {
                Liveness::Unresponsive
            } else {
                Liveness::Missed
            };
        };
        poll.misses = 0;
        poll.health = Some(health);
        if health.epoch == 0 { Liveness::Restarted } else { Liveness::Responsive }
    }

    /// Whether the instance accepts new work, by its latest answer; [`Intake::Open`] as long as
    /// there is none and fewer than [`MAX_MISSES`] polls have failed.
    pub fn intake(&self, name: &str) -> Intake {
        let Some(poll) = self.known.get(name) else { return Intake::Open };
        match poll.health {
            _ if poll.misses >= MAX_MISSES => Intake::Unresponsive,
            Some(Health { serving: Serving::Draining, epoch, in_flight, .. }) => {
                Intake::Closed { epoch: instance_epoch(epoch), in_flight }
            }
            _ => Intake::Open,
        }
    }

    /// Whether the instance reported in its latest answer that it is draining.
    pub fn is_draining(&self, name: &str) -> bool {
        let health = self.known.get(name).and_then(|poll| poll.health);
        health.is_some_and(|health| health.serving == Serving::Draining)
    }

    /// Number of instances with polling state.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no instance has polling state.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

/// The drain command to send to an instance in `state`, given its health; `None` if the instance
/// already complies. `epoch` is the fencing token.
///
/// Nothing is sent to an instance that is stopped for a restart, so that its new process can be
/// recognised by its lack of a fencing token. An instance in state `Checking` is told to accept
/// work already, so that it refuses no request once it serves; until then no view routes to it.
pub fn drain_command(state: State, epoch: u64, health: &Health) -> Option<contract::Drain> {
    let draining = !matches!(state, State::Serving | State::Checking);
    let is_draining = health.serving == Serving::Draining;
    let complies = health.epoch >= epoch && is_draining == draining;
    let restarting = matches!(state, State::Stopped | State::Gone);
    (!complies && !restarting).then_some(contract::Drain { epoch, draining })
}
