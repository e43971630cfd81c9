//! Passive health: what an upstream's answers say about it, against those of its peers.
//!
//! An upstream whose answers fail far more often than its peers' is ejected for a while, then tried
//! with one request at a time. Only a share of a pool may be ejected, but always one: where many
//! look sick, the signal is more often wrong than they are. An upstream that cannot even be
//! connected to is another matter, since nothing sent there could run: it is passed over for a
//! moment, however many there are, until there is nobody else.

use std::time::Duration;

use fleet::time::Time;

/// Points of failures in a row that make an upstream suspect.
const MIN_STREAK: u32 = 3;

/// Points of a failure, and of one that came far sooner than answers do as a rule: an upstream that
/// fails fast looks idle and draws requests.
const FAILURE_POINTS: u32 = 1;
const FAST_FAILURE_POINTS: u32 = 2;

/// A row of failures stands out if by chance, at the peers' failure rate, it were rarer than this.
const MAX_STREAK_PROBABILITY: f64 = 0.001;

/// After a failure others are preferred for this long, if they have room.
const AVOIDANCE: Duration = Duration::from_secs(1);

/// Answers that a failure rate is believed from.
const MIN_ANSWERS: f64 = 10.0;

/// A failure rate must be this much above the peers' to stand out.
const MIN_EXCESS_RATE: f64 = 0.25;

/// Answers this old count half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Most of a pool that may be ejected at once, in percent; one may always be.
const MAX_EJECTED_PERCENT: usize = 20;

/// First time out; it doubles with each ejection up to [`MAX_EJECTION`].
const MIN_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// An upstream that cannot be connected to is tried again after this.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// Good answers that end a probation.
const PROBATION_ANSWERS: u32 = 3;

/// Time without an ejection after which the next one is short again.
const EJECTION_RESET: Duration = Duration::from_secs(120);

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A whole answer that is no server error.
    Success,
    /// A server error, a broken answer or none in time.
    Failure,
    /// The same, far sooner than answers come as a rule.
    FastFailure,
    /// It could not be connected to.
    Unreachable,
}

/// What changed by an [`Event`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// Nothing.
    Unchanged,
    /// It is out for this long.
    Ejected(Duration),
    /// It stands out, but enough of the pool are out already.
    Spared,
    /// It is back among the others.
    Readmitted,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    #[default]
    Serving,
    Ejected(Time),
    Probation(u32),
}

/// What an upstream's answers say about it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    state: State,
    unreachable_until: Time,
    avoided_until: Time,
    streak: u32,
    successes: f64,
    failures: f64,
    updated: Time,
    ejections: u32,
    last_ejection: Time,
}

impl Health {
    /// Whether it is out by comparison with its peers.
    pub fn is_ejected(&self, now: Time) -> bool {
        matches!(self.state, State::Ejected(until) if now < until)
    }

    /// Whether it could not be connected to a moment ago.
    pub fn is_unreachable(&self, now: Time) -> bool {
        now < self.unreachable_until
    }

    /// Whether others are preferred to it for a moment.
    pub fn is_avoided(&self, now: Time) -> bool {
        now < self.avoided_until
    }

    /// Whether it may have no more than one request at a time.
    pub fn is_on_probation(&self) -> bool {
        !matches!(self.state, State::Serving)
    }

    /// Whether requests may be sent to it, with so many in flight.
    pub fn allows(&self, now: Time, in_flight: u32) -> bool {
        let out = self.is_ejected(now) || self.is_unreachable(now);
        !out && (!self.is_on_probation() || in_flight == 0)
    }

    /// Share of its recent answers that failed, with how many those were.
    pub fn failure_rate(&self) -> (f64, f64) {
        let answers = self.successes + self.failures;
        if answers == 0.0 { (0.0, 0.0) } else { (self.failures / answers, answers) }
    }

    /// Takes note of a good answer of an upstream that is not out: it can't stand out by that.
    pub fn record_success(&mut self, now: Time) {
        self.count(now, Event::Success);
    }

    fn count(&mut self, now: Time, event: Event) {
        let age = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let kept = 0.5_f64.powf(age);
        self.successes *= kept;
        self.failures *= kept;
        self.updated = now;
        match event {
            Event::Success => {
                self.successes += 1.0;
                self.streak = 0;
                self.unreachable_until = Time::ZERO;
            }
            Event::Failure | Event::FastFailure => {
                self.failures += 1.0;
                self.streak +=
                    if event == Event::FastFailure { FAST_FAILURE_POINTS } else { FAILURE_POINTS };
                self.unreachable_until = Time::ZERO;
                self.avoided_until = now + AVOIDANCE;
            }
            Event::Unreachable => self.unreachable_until = now + RECONNECT_DELAY,
        }
    }

    fn stands_out(&self, peers: f64) -> bool {
        let (rate, answers) = self.failure_rate();
        let in_a_row =
            self.streak >= MIN_STREAK && peers.powf(self.streak.into()) < MAX_STREAK_PROBABILITY;
        in_a_row || (answers >= MIN_ANSWERS && rate > peers + MIN_EXCESS_RATE)
    }

    fn eject(&mut self, now: Time) -> Duration {
        if now.since(self.last_ejection) > EJECTION_RESET {
            self.ejections = 0;
        }
        let time = MIN_EJECTION.saturating_mul(1 << self.ejections.min(8)).min(MAX_EJECTION);
        self.ejections += 1;
        self.last_ejection = now;
        self.state = State::Ejected(now + time);
        self.successes = 0.0;
        self.failures = 0.0;
        self.streak = 0;
        time
    }
}

/// Takes note of an event at `pool[index]` and says whether that upstream is now out.
///
/// `pool` is the health of all upstreams that serve the same service.
pub fn record_event(pool: &mut [&mut Health], index: usize, now: Time, event: Event) -> Transition {
    let Some(health) = pool.get_mut(index) else { return Transition::Unchanged };
    health.count(now, event);
    if let State::Ejected(until) = health.state {
        if now < until {
            // What was in flight when it was ejected says nothing new.
            return Transition::Unchanged;
        }
        health.state = State::Probation(0);
    }
    if let State::Probation(answers) = health.state {
        match event {
            Event::Success if answers + 1 >= PROBATION_ANSWERS => {
                health.state = State::Serving;
                return Transition::Readmitted;
            }
            Event::Success => health.state = State::Probation(answers + 1),
            // It was out and still fails: the cap had room for it all along.
            Event::Failure | Event::FastFailure => return Transition::Ejected(health.eject(now)),
            Event::Unreachable => {}
        }
        return Transition::Unchanged;
    }
    let failed = matches!(event, Event::Failure | Event::FastFailure);
    if !failed || !stands_out(pool, index) {
        return Transition::Unchanged;
    }
    let out = pool.iter().filter(|health| health.is_on_probation()).count();
    if out >= max_ejected(pool.len()) {
        return Transition::Spared;
    }
    Transition::Ejected(pool[index].eject(now))
}

/// How many of a pool of this size may be out at once by comparison.
fn max_ejected(size: usize) -> usize {
    (size * MAX_EJECTED_PERCENT / 100).max(1)
}

fn stands_out(pool: &[&mut Health], index: usize) -> bool {
    if pool.len() < 2 {
        return false;
    }
    let peers = pool.iter().enumerate().filter(|(other, _)| *other != index);
    let (failed, answers) = peers.fold((0.0, 0.0), |(failed, answers), (_, health)| {
        (failed + health.failures, answers + health.successes + health.failures)
    });
    let rate = if answers == 0.0 { 0.0 } else { failed / answers };
    pool[index].stands_out(rate)
}
