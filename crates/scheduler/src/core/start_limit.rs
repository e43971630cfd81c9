//! Limits the number of starts under way to what the leader carries out without delay.
//!
//! Handles a burst of more starts than the leader's processor, its link or the store can carry: the
//! others stay unplaced, in the order of their urgency, and heartbeats, stops and writes are not
//! delayed behind starts. A new leader does not know yet how many that is, and may have thousands of
//! tasks to start: its limit doubles until answers take longer.

use std::collections::VecDeque;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;

/// Median time from the sending of a start command to its answer above which the leader counts as
/// overloaded: well below the time after which a command counts as unanswered.
const MAX_LATENCY: Duration = Duration::from_millis(300);

/// Shortest time between two adjustments of the limit.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which the limit is adjusted by fewer answers than [`MIN_ANSWERS`].
const MAX_INTERVAL: Duration = Duration::from_millis(500);

/// Number of answers from which their median counts.
const MIN_ANSWERS: usize = 6;

/// Lowest limit, so that answer times go on being measured.
const MIN_LIMIT: f64 = 4.0;

/// The first limit.
const FIRST_LIMIT: f64 = 32.0;

/// Highest limit.
const MAX_LIMIT: f64 = 2_048.0;

/// Factor by which the limit falls while answers take too long.
const DECREASE: f64 = 0.8;

/// Factor by which the limit rises while it is used up and answers come in time.
const INCREASE: f64 = 1.25;

/// The same while answers take less than [`SHORT_LATENCY`], and the limit was not lowered lately.
const FAST_INCREASE: f64 = 2.0;

/// Median answer time up to which the leader is far from overloaded.
const SHORT_LATENCY: Duration = Duration::from_millis(75);

/// Time for which the leader counts as overloaded after its limit was lowered or as low as it can be,
/// while it goes on holding starts back.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(5);

/// Window over which the rate of starts is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Time for which rounds of placement must have been cut short before the rate of starts tells how
/// many tasks this leader can start.
const MIN_CUT_TIME: Duration = Duration::from_secs(2);

/// Window over which the rate of starts is measured while rounds are cut short.
const CUT_WINDOW: Duration = Duration::from_secs(4);

/// Time for which rounds of placement must have been cut short before the rate of starts counts as this
/// leader's capacity.
const MIN_CAPACITY_WINDOW: Duration = Duration::from_millis(300);

/// Window over which that rate is measured at most.
const CAPACITY_WINDOW: Duration = Duration::from_millis(1_000);

/// Pause between two rounds that are cut short up to which they count as one time: writes and starts
/// end rounds in turn.
const MAX_CUT_PAUSE: Duration = Duration::from_millis(250);

/// Starts a second that a new leader counts on.
const FIRST_CAPACITY: f64 = 1_000.0;

/// Factor by which the capacity counted on grows within [`MIN_INTERVAL`] while all jobs are tried, until
/// it is first measured.
const FIRST_CAPACITY_INCREASE: f64 = 1.25;

/// The same once it has been measured.
const CAPACITY_INCREASE: f64 = 1.03;

/// Highest capacity counted on, in starts a second.
const MAX_CAPACITY: f64 = 20_000.0;

/// The limit on starts under way, and the rate of starts.
#[derive(Clone, Debug)]
pub(super) struct StartLimit {
    limit: f64,
    /// Start commands that have been handed out and not been answered.
    in_flight: usize,
    /// [`Self::in_flight`] when the interval began.
    in_flight_before: usize,
    /// Highest number of starts under way in the interval.
    most: usize,
    /// Whether the limit has held starts back in the interval.
    reached: bool,
    /// Answer times in the interval, and times after which there was no answer.
    latencies: Vec<Duration>,
    /// Answers in the interval.
    answers: usize,
    adjusted_at: Time,
    /// Median answer time of the last interval with answers.
    latency: Duration,
    /// The same of the last interval with [`MIN_ANSWERS`] or more; zero if nothing is under way.
    usual_latency: Duration,
    /// Starts that were answered within [`CUT_WINDOW`], by the end of their interval.
    answered: VecDeque<(Time, usize)>,
    /// Starts a second that were answered within [`RATE_WINDOW`] before the last adjustment.
    per_second: f64,
    /// When the limit last held starts back.
    reached_at: Option<Time>,
    /// Since when each round of placement has ended before it had tried all jobs; None if the last one
    /// tried all.
    cut_since: Option<Time>,
    /// Since when rounds of placement have been cut short with pauses of at most [`MAX_CUT_PAUSE`], and
    /// when the last one was.
    limited: Option<(Time, Time)>,
    /// Starts a second that this leader is believed to carry out.
    capacity: f64,
    /// Whether that has been measured in this term.
    measured: bool,
    /// When answers last took so long that the limit was lowered, or can't fall any further.
    overloaded_at: Option<Time>,
}

impl StartLimit {
    /// The limit of a leader whose term starts at `now`.
    pub(super) const fn open(now: Time) -> Self {
        Self {
            limit: FIRST_LIMIT,
            in_flight: 0,
            in_flight_before: 0,
            most: 0,
            reached: false,
            latencies: Vec::new(),
            answers: 0,
            adjusted_at: now,
            latency: Duration::ZERO,
            usual_latency: Duration::ZERO,
            answered: VecDeque::new(),
            per_second: 0.0,
            reached_at: None,
            cut_since: None,
            limited: None,
            capacity: FIRST_CAPACITY,
            measured: false,
            overloaded_at: None,
        }
    }

    /// Number of further starts that may be placed while `unsent` placed ones wait for a write.
    pub(super) fn free(&mut self, unsent: usize) -> usize {
        let under_way = self.in_flight + unsent;
        self.most = self.most.max(under_way);
        (self.limit as usize).saturating_sub(under_way)
    }

    /// Records that the limit has held starts back.
    pub(super) fn hold_back(&mut self, now: Time) {
        self.reached = true;
        self.reached_at = Some(now);
    }

    /// Records whether a round of placement has ended before it had tried all jobs, for whatever reason.
    pub(super) fn end_round(&mut self, now: Time, cut: bool) {
        self.cut_since = if cut { self.cut_since.or(Some(now)) } else { None };
        if cut {
            let since = self.limited.map_or(now, |(since, _)| since);
            self.limited = Some((since, now));
        } else {
            self.limited = self.limited.filter(|(_, last)| now.since(*last) <= MAX_CUT_PAUSE);
        }
    }

    /// Records start commands that were handed out to be sent.
    pub(super) fn sent(&mut self, count: usize) {
        self.in_flight += count;
    }

    /// Records the answer to a start command, `took` after it was sent.
    pub(super) fn answered(&mut self, took: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.latencies.push(took);
        self.answers += 1;
    }

    /// Records that a start command got no answer within `took`.
    pub(super) fn unanswered(&mut self, took: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.latencies.push(took);
    }

    /// Records that a start command was not sent.
    pub(super) fn not_sent(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Adjusts the limit by the answer times since the last adjustment.
    pub(super) fn adjust(&mut self, now: Time) {
        let elapsed = now.since(self.adjusted_at);
        let enough = self.latencies.len() >= MIN_ANSWERS && elapsed >= MIN_INTERVAL;
        if !enough && elapsed < MAX_INTERVAL {
            return;
        }
        self.adjusted_at = now;
        let before = self.limit;
        self.answered.push_back((now, std::mem::take(&mut self.answers)));
        while self.answered.front().is_some_and(|(at, _)| now.since(*at) >= CUT_WINDOW) {
            self.answered.pop_front();
        }
        self.per_second = self.answered_since(now, RATE_WINDOW) as f64 / RATE_WINDOW.as_secs_f64();
        self.adjust_capacity(now, elapsed);
        // As many as are answered within the latency that is aimed at.
        let carried = self.per_second * MAX_LATENCY.as_secs_f64();
        if self.latencies.is_empty() && self.in_flight == 0 {
            self.latency = Duration::ZERO;
            self.usual_latency = Duration::ZERO;
        }
        // What was sent late in the interval can't have been answered yet.
        let overdue = self.in_flight.min(self.in_flight_before);
        let unanswered = self.latencies.is_empty() && overdue >= MIN_ANSWERS;
        if unanswered {
            self.limit = carried.clamp(MIN_LIMIT, MAX_LIMIT);
            self.latency = self.latency.max(elapsed);
        } else if !self.latencies.is_empty() {
            let middle = self.latencies.len() / 2;
            self.latency = *self.latencies.select_nth_unstable(middle).1;
            if self.latencies.len() >= MIN_ANSWERS {
                self.usual_latency = self.latency;
            }
            if self.latency > MAX_LATENCY {
                let used = self.limit.min(self.most as f64);
                let factor = if self.latency > MAX_LATENCY * 2 { 0.0 } else { DECREASE };
                self.limit = (used * factor).max(carried).clamp(MIN_LIMIT, MAX_LIMIT);
            } else if self.reached {
                let fast = self.latency <= SHORT_LATENCY && !self.was_overloaded(now);
                let factor = if fast { FAST_INCREASE } else { INCREASE };
                self.limit = (self.limit * factor).min(MAX_LIMIT);
            }
        } else if self.reached {
            self.limit = (self.limit * INCREASE).min(MAX_LIMIT);
        }
        let lowest = self.limit <= MIN_LIMIT && self.latency > MAX_LATENCY;
        if self.limit < before || lowest {
            self.overloaded_at = Some(now);
        }
        if self.limit as usize != before as usize {
            info!(
                event = "limit",
                starts = self.limit as usize,
                was = before as usize,
                under_way = self.most,
                answers = self.latencies.len(),
                latency_ms = self.latency.as_millis(),
            );
        }
        self.latencies.clear();
        self.in_flight_before = self.in_flight;
        self.most = 0;
        self.reached = false;
    }

    /// Adjusts the capacity after an interval: to what was started while rounds have been cut short, or
    /// upwards while this leader keeps up.
    fn adjust_capacity(&mut self, now: Time, interval: Duration) {
        let limited = self.limited.map_or(Duration::ZERO, |(since, _)| now.since(since));
        let is_limited = limited >= MIN_CAPACITY_WINDOW;
        let window = if is_limited { limited.min(CAPACITY_WINDOW) } else { CAPACITY_WINDOW };
        let started = self.answered_since(now, window) as f64 / window.as_secs_f64();
        let capacity = if is_limited {
            self.measured = true;
            started
        } else {
            let increase = if self.measured { CAPACITY_INCREASE } else { FIRST_CAPACITY_INCREASE };
            let intervals = interval.min(MAX_INTERVAL).div_duration_f64(MIN_INTERVAL);
            started.max(self.capacity * increase.powf(intervals))
        };
        self.capacity = capacity.clamp(MIN_LIMIT, MAX_CAPACITY);
    }

    /// Starts a second that this leader is believed to carry out, whatever limits it.
    pub(super) const fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Usual time from the sending of a start command to its answer: one without an answer says nothing
    /// about others.
    pub(super) const fn usual_latency(&self) -> Duration {
        self.usual_latency
    }

    /// Whether the limit has held starts back lately.
    pub(super) fn holds_back(&self, now: Time) -> bool {
        self.reached_at.is_some_and(|at| now.since(at) < RATE_WINDOW)
    }

    /// Whether the limit was lowered, or could not fall any further, lately.
    fn was_overloaded(&self, now: Time) -> bool {
        self.overloaded_at.is_some_and(|at| now.since(at) < OVERLOAD_WINDOW)
    }

    /// Starts a second, while the limit holds starts back; None while the leader keeps up.
    pub(super) fn rate(&self, now: Time) -> Option<f64> {
        let reached = self.holds_back(now);
        (reached && self.was_overloaded(now)).then(|| self.per_second.max(MIN_LIMIT))
    }

    /// Number of starts that were answered within a window before `now`.
    fn answered_since(&self, now: Time, window: Duration) -> usize {
        let recent = self.answered.iter().filter(|(at, _)| now.since(*at) < window);
        recent.map(|(_, count)| count).sum()
    }

    /// Time that this leader takes to start a number of tasks at its present rate, whatever limits it;
    /// zero while it tries all jobs in its rounds, and until it is known how many it starts.
    pub(super) fn cut_time(&self, now: Time, tasks: usize) -> Duration {
        let cut = self.cut_since.map_or(Duration::ZERO, |since| now.since(since));
        if cut < MIN_CUT_TIME {
            return Duration::ZERO;
        }
        let window = cut.min(CUT_WINDOW);
        let rate = self.answered_since(now, window) as f64 / window.as_secs_f64();
        Duration::from_secs_f64((tasks as f64 / rate.max(MIN_LIMIT)).min(3_600.0))
    }

    /// Time that this leader takes to start as many tasks as `count` returns, one after the other; zero
    /// while it keeps up.
    pub(super) fn start_time(&self, now: Time, count: impl FnOnce() -> usize) -> Duration {
        self.rate(now).map_or(Duration::ZERO, |rate| {
            self.latency + Duration::from_secs_f64(count() as f64 / rate)
        })
    }

    /// Whether this leader keeps up with the starts, and so with the ends.
    pub(super) fn keeps_up(&self, now: Time) -> bool {
        self.latency <= MAX_LATENCY && !self.holds_back(now) && !self.was_overloaded(now)
    }

    /// How many times longer answers take than they should; 1 while the leader keeps up.
    pub(super) fn pressure(&self) -> f64 {
        self.latency.div_duration_f64(MAX_LATENCY).max(1.0)
    }
}
