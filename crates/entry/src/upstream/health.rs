//! Passive health checks: outlier detection among the upstreams of a service by their responses.
//!
//! An upstream that fails far more often than its peers is ejected for some time, then gets one
//! request at a time on probation. Only a percentage of a pool, but at least one upstream, may be
//! ejected at a time: if many upstreams look unhealthy, the signal is more likely to be wrong than
//! they are. An upstream that refuses connections is not ejected but skipped for a short time,
//! unless no other upstream is open. Any number may be skipped, since no request could run there.

use std::time::Duration;

use fleet::time::Time;

/// Minimum sum of the points ([`FAILURE_POINTS`], [`FAST_FAILURE_POINTS`]) of consecutive failures
/// that can make an upstream an outlier.
const MIN_STREAK: u32 = 3;

/// Points of a failure.
const FAILURE_POINTS: u32 = 1;

/// Points of a failure that came far sooner than responses usually do. It counts more because an
/// upstream that fails fast looks idle and attracts requests.
const FAST_FAILURE_POINTS: u32 = 2;

/// Consecutive failures make an upstream an outlier if their probability, at the failure rate of
/// its peers, is below this.
const MAX_STREAK_PROBABILITY: f64 = 0.001;

/// For this long after a failure, other upstreams with headroom are preferred.
const RECENT_FAILURE: Duration = Duration::from_secs(1);

/// Minimum number of responses, weighted by age, for a failure rate to be significant.
const MIN_RESPONSES: f64 = 10.0;

/// An outlier's failure rate exceeds that of its peers by more than this.
const MIN_EXCESS_RATE: f64 = 0.25;

/// Time after which a response counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Maximum percentage of a pool that may be ejected at once; one upstream always may.
const MAX_EJECTED_PERCENT: usize = 20;

/// Duration of the first ejection; it doubles with each further one up to [`MAX_EJECTION`].
const MIN_EJECTION: Duration = Duration::from_secs(1);

/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// An unreachable upstream is tried again after this time.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// Successes that end a probation.
const PROBATION_SUCCESSES: u32 = 3;

/// After this time without an ejection, the next one lasts [`MIN_EJECTION`] again.
const EJECTION_RESET: Duration = Duration::from_secs(120);

/// How a request to an upstream ended, as far as health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A complete response that is not a server error.
    Success,
    /// A server error, a broken response, or a timeout.
    Failure,
    /// A failure that came far sooner than responses usually do.
    FastFailure,
    /// No connection could be opened.
    Unreachable,
}

/// Change of an upstream's health by an [`Event`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// No change.
    Unchanged,
    /// The upstream was ejected for this long.
    Ejected(Duration),
    /// The upstream is an outlier, but was not ejected because the limit of the pool is reached.
    LimitReached,
    /// The upstream has passed its probation.
    Readmitted,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    /// It gets requests as usual.
    #[default]
    Serving,
    /// It gets none until this time.
    Ejected(Time),
    /// It gets one at a time, and has answered this many without a failure.
    Probation(u32),
}

/// Health of an upstream by its recent responses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    state: State,
    unreachable_until: Time,
    recent_failure_until: Time,
    /// Points of consecutive failures.
    streak: u32,
    /// Successes and failures, weighted by their age at `updated`.
    successes: f64,
    failures: f64,
    updated: Time,
    /// Ejections since the last reset.
    ejections: u32,
    last_ejection: Time,
}

impl Health {
    /// Whether it is ejected.
    pub fn is_ejected(&self, now: Time) -> bool {
        matches!(self.state, State::Ejected(until) if now < until)
    }

    /// Whether a connection to it failed recently.
    pub fn is_unreachable(&self, now: Time) -> bool {
        now < self.unreachable_until
    }

    /// Whether it failed recently, so that others are preferred.
    pub fn has_recent_failure(&self, now: Time) -> bool {
        now < self.recent_failure_until
    }

    /// Whether it is ejected, or on probation with only one request at a time.
    pub fn is_restricted(&self) -> bool {
        !matches!(self.state, State::Serving)
    }

    /// Whether a request may be sent to it while `in_flight` others are in flight.
    pub fn allows(&self, now: Time, in_flight: u32) -> bool {
        let is_out = self.is_ejected(now) || self.is_unreachable(now);
        !is_out && (!self.is_restricted() || in_flight == 0)
    }

    /// Failure rate of its recent responses (0 to 1), and their number, weighted by age.
    pub fn failure_rate(&self) -> (f64, f64) {
        let responses = self.successes + self.failures;
        if responses == 0.0 { (0.0, 0.0) } else { (self.failures / responses, responses) }
    }

    /// Records a success of an upstream that is serving, which cannot become an outlier by it.
    pub fn record_success(&mut self, now: Time) {
        self.count(now, Event::Success);
    }

    /// Counts an event, without a change of state.
    fn count(&mut self, now: Time, event: Event) {
        let age = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let decay = 0.5_f64.powf(age);
        self.successes *= decay;
        self.failures *= decay;
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
                self.recent_failure_until = now + RECENT_FAILURE;
            }
            Event::Unreachable => self.unreachable_until = now + RECONNECT_DELAY,
        }
    }

    /// Whether it is an outlier among peers with this failure rate (0 to 1).
    fn is_outlier(&self, peers_rate: f64) -> bool {
        let (rate, responses) = self.failure_rate();
        let improbable_streak = self.streak >= MIN_STREAK
            && peers_rate.powf(self.streak.into()) < MAX_STREAK_PROBABILITY;
        improbable_streak || (responses >= MIN_RESPONSES && rate > peers_rate + MIN_EXCESS_RATE)
    }

    /// Ejects it and returns for how long.
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

/// Records an event of `pool[index]` and returns how its health changed.
///
/// `pool` holds the health of all upstreams of the same service.
pub fn record_event(pool: &mut [&mut Health], index: usize, now: Time, event: Event) -> Transition {
    let Some(health) = pool.get_mut(index) else { return Transition::Unchanged };
    health.count(now, event);
    if let State::Ejected(until) = health.state {
        if now < until {
            // Requests in flight at the ejection give no new information.
            return Transition::Unchanged;
        }
        health.state = State::Probation(0);
    }
    if let State::Probation(successes) = health.state {
        match event {
            Event::Success if successes + 1 >= PROBATION_SUCCESSES => {
                health.state = State::Serving;
                return Transition::Readmitted;
            }
            Event::Success => health.state = State::Probation(successes + 1),
            // The limit is not checked: this upstream has counted towards it since it was ejected.
            Event::Failure | Event::FastFailure => return Transition::Ejected(health.eject(now)),
            Event::Unreachable => {}
        }
        return Transition::Unchanged;
    }
    let failed = matches!(event, Event::Failure | Event::FastFailure);
    if !failed || !is_outlier(pool, index) {
        return Transition::Unchanged;
    }
    let out = pool.iter().filter(|health| health.is_restricted()).count();
    if out >= max_ejected(pool.len()) {
        return Transition::LimitReached;
    }
    Transition::Ejected(pool[index].eject(now))
}

/// Maximum number of ejected upstreams in a pool of `size`.
fn max_ejected(size: usize) -> usize {
    (size * MAX_EJECTED_PERCENT / 100).max(1)
}

/// Whether `pool[index]` is an outlier among the others. False if there are none.
fn is_outlier(pool: &[&mut Health], index: usize) -> bool {
    if pool.len() < 2 {
        return false;
    }
    let peers = pool.iter().enumerate().filter(|(other, _)| *other != index);
    let (failed, responses) = peers.fold((0.0, 0.0), |(failed, responses), (_, health)| {
        (failed + health.failures, responses + health.successes + health.failures)
    });
    let rate = if responses == 0.0 { 0.0 } else { failed / responses };
    pool[index].is_outlier(rate)
}
