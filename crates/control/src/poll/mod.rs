//! How the instances are, as far as they record_answer.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::Health;
use contract::Serving;
use fleet::instance::State;
use fleet::time::Time;

use crate::drain::Intake;

/// Bits of an epoch that count the changes of hands of the pool's duty.
const DUTY_BITS: u32 = 24;

/// The epoch that an instance is told: it rises with the instance's own and with each change of
/// hands of its pool's duty, so that an earlier holder can tell it nothing any more.
pub const fn epoch(instance: u64, duty: u64) -> u64 {
    (instance << DUTY_BITS) | (duty & ((1 << DUTY_BITS) - 1))
}

/// The instance's own epoch in one that it was told.
pub const fn instance_epoch(told: u64) -> u64 {
    told >> DUTY_BITS
}

/// Least time between two polls of an instance.
pub const PERIOD: Duration = Duration::from_secs(1);

/// The same for an instance whose next step waits for its answer.
pub const CHANGING_PERIOD: Duration = Duration::from_millis(250);

/// Polls a second that one entry makes at most; with more instances each is polled less often.
pub const MAX_PER_SECOND: usize = 20;

/// Polls that may be under way at once.
pub const MAX_CONCURRENT: usize = 16;

/// Polls in a row without an answer after which an instance counts as silent.
pub const MAX_MISSES: u32 = 3;

/// What a poll found out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It answers, by the process that was told its epoch.
    Responsive,
    /// It answers, by a process that was told no epoch yet.
    Restarted,
    /// It has not answered for long enough.
    Unresponsive,
    /// It did not answer this time.
    Missed,
}

/// One instance's polls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Poll {
    next: Time,
    busy: bool,
    misses: u32,
    health: Option<Health>,
}

/// The polls of all instances that this entry looks after.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Polls {
    known: BTreeMap<String, Poll>,
}

impl Polls {
    /// Which of `wanted` are to be polled now; the flag is for those whose next step waits. All others
    /// are forgotten. Each must be [answered](Self::record_answer) once.
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

    /// Notes what an instance answered, or that it did not.
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

    /// What the instance itself says about its drain.
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

    /// Whether the instance last said that it takes no new work.
    pub fn is_draining(&self, name: &str) -> bool {
        let health = self.known.get(name).and_then(|poll| poll.health);
        health.is_some_and(|health| health.serving == Serving::Draining)
    }

    /// How many instances are polled.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

/// What an instance in `state` is to be told with `epoch`, given its health.
///
/// One that is stopped for a restart is told nothing, so that its new process is known by having
/// been told no epoch. One that is being checked is open already, so that it refuses no one when it
/// serves; until then no view sends to it.
pub fn drain_command(state: State, epoch: u64, health: &Health) -> Option<contract::Drain> {
    let draining = !matches!(state, State::Serving | State::Checking);
    let is_draining = health.serving == Serving::Draining;
    let knows = health.epoch >= epoch && is_draining == draining;
    let restarting = matches!(state, State::Stopped | State::Gone);
    (!knows && !restarting).then_some(contract::Drain { epoch, draining })
}
