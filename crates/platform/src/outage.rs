//! Whether the platform answers, as far as this entry can tell, and which calls to let through.
//!
//! ```text
//!      ENOUGH_FAILURES in a row            a probe is answered
//!  up ------------------------> out (probes) ----------------> returning --RAMP--> up
//!                                ^-------- a failure -------------/
//! ```

use std::time::Duration;

use derive_more::Display;
use fleet::time::Time;
use rand::Rng;

use crate::backoff::Backoff;

/// Failures in a row after which the platform counts as out.
pub const ENOUGH_FAILURES: u32 = 3;
/// Upper end of the first pause between two probes; each next one is twice as long.
pub const PROBE_FIRST: Duration = Duration::from_millis(200);
/// Upper end of all pauses between two probes.
pub const PROBE_CAP: Duration = Duration::from_secs(1);
/// How long the way back to all calls takes once a probe was answered.
pub const RAMP: Duration = Duration::from_secs(4);
/// Longest wait for a probe's answer before another is sent.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(6);

/// Whether the platform answers.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers.
    #[default]
    #[display("up")]
    Up,
    /// It does not; single probes are sent.
    #[display("out")]
    Out,
    /// It answers again; calls come back little by little.
    #[display("returning")]
    Returning,
}

/// What a call is for; the first to be given up comes first.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Reads of the control loop, which can wait.
    #[default]
    #[display("control")]
    Control,
    /// A caller waits for it.
    #[display("request")]
    Request,
    /// Leases and drains rest on it.
    #[display("duty")]
    Duty,
}

/// Whether a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send it.
    Go,
    /// Send it; its outcome tells whether the platform is back.
    Probe,
    /// Fail it at once; come back after this long.
    Shed(Duration),
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered, if only by a refusal.
    Answered,
    /// It was refused as too much: the platform is there, but wants less.
    Throttled,
    /// There was no answer.
    Failed,
}

/// Follows the outcomes of calls.
#[derive(Clone, Debug)]
pub struct Outage {
    state: State,
    failures: u32,
    /// When the state was entered.
    since: Time,
    /// When the next probe may be sent.
    next_probe: Time,
    backoff: Backoff,
    /// Nothing of class [`Class::Control`] before this time.
    held: Time,
    hold: Backoff,
}

impl Default for Outage {
    fn default() -> Self {
        Self {
            state: State::default(),
            failures: 0,
            since: Time::ZERO,
            next_probe: Time::ZERO,
            backoff: Backoff::new(PROBE_FIRST, PROBE_CAP),
            held: Time::ZERO,
            hold: Backoff::default(),
        }
    }
}

impl Outage {
    /// Whether the platform answers.
    pub fn state(&self) -> State {
        self.state
    }

    /// When the present state was entered.
    pub fn since(&self) -> Time {
        self.since
    }

    /// Whether a call may be sent now.
    pub fn admit(&mut self, now: Time, class: Class, random: &mut impl Rng) -> Admission {
        if class == Class::Control && now < self.held {
            return Admission::Shed(self.held.since(now));
        }
        match self.state {
            State::Up => Admission::Go,
            State::Out if now < self.next_probe => Admission::Shed(self.next_probe.since(now)),
            State::Out => {
                self.next_probe = now + PROBE_TIMEOUT;
                Admission::Probe
            }
            State::Returning => self.admit_returning(now, class, random),
        }
    }

    /// Lets through a part of the calls that grows over [`RAMP`], of the first class last.
    fn admit_returning(&mut self, now: Time, class: Class, random: &mut impl Rng) -> Admission {
        let passed = now.since(self.since);
        if passed >= RAMP {
            self.enter(State::Up, now);
            return Admission::Go;
        }
        let part = passed.as_secs_f64() / RAMP.as_secs_f64();
        let chance = match class {
            Class::Control => part * part,
            // Claims of many callers go in one write, and the budget bounds those.
            Class::Request | Class::Duty => 1.0,
        };
        if random.random_bool(chance) {
            return Admission::Go;
        }
        Admission::Shed((RAMP - passed).mul_f64(random.random_range(0.25..=0.5)))
    }

    /// Takes note of how a call ended that was admitted so.
    pub fn report(
        &mut self,
        now: Time,
        admission: Admission,
        outcome: Outcome,
        random: &mut impl Rng,
    ) {
        match outcome {
            Outcome::Answered => self.answered(now),
            Outcome::Throttled => {
                self.answered(now);
                self.held = self.held.max(now + self.hold.next(random));
            }
            Outcome::Failed => self.failed(now, admission, random),
        }
        if outcome == Outcome::Answered && now >= self.held {
            self.hold.reset();
        }
    }

    fn answered(&mut self, now: Time) {
        self.failures = 0;
        if self.state == State::Out {
            self.enter(State::Returning, now);
        }
    }

    fn failed(&mut self, now: Time, admission: Admission, random: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        match self.state {
            State::Up if self.failures < ENOUGH_FAILURES => return,
            State::Up => self.backoff.reset(),
            State::Returning => {}
            // Calls from before the outage say nothing new.
            State::Out if admission != Admission::Probe => return,
            State::Out => {}
        }
        if self.state != State::Out {
            self.enter(State::Out, now);
        }
        self.next_probe = now + self.backoff.next(random);
    }

    fn enter(&mut self, state: State, now: Time) {
        self.state = state;
        self.since = now;
    }
}
