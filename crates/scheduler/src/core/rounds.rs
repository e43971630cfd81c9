//! Counts what rounds of placement do, for one log line a second.

use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use super::rank::Class;
use super::rank::Rank;
use super::rank::Turn;
use super::waiting::RoundEnd;

/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Numbers of rounds of placement, and of the tasks that they have placed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    /// Rounds in which some task was ready.
    rounds: usize,
    /// Rounds that have placed nothing.
    empty: usize,
    /// Rounds that the limit on starts ended.
    start_limit: usize,
    /// Rounds in which no short job was tried, since more jobs had changed than one write holds.
    writes: usize,
    long_running: usize,
    on_time: usize,
    late: usize,
    beyond_rate: usize,
    overdue: usize,
    /// Tasks of jobs that precede others since nothing of them has run for long.
    starved: usize,
    /// Tasks of short jobs whose deadline has passed.
    past_deadline: usize,
}

impl Tally {
    /// Adds a round in which some task was ready.
    pub(super) fn add_round(&mut self, placed: usize, end: Option<RoundEnd>) {
        self.rounds += 1;
        self.empty += usize::from(placed == 0);
        match end {
            Some(RoundEnd::StartLimit(_)) => self.start_limit += 1,
            Some(RoundEnd::Writes) => self.writes += 1,
            None => {}
        }
    }

    /// Adds tasks of a job that were placed.
    pub(super) fn add_placed(&mut self, rank: Rank, past_deadline: bool, count: usize) {
        let counter = match (rank.turn, rank.class) {
            (Turn::Starved, _) => &mut self.starved,
            (_, Class::LongRunning) => &mut self.long_running,
            (_, Class::OnTime) => &mut self.on_time,
            (_, Class::Late) => &mut self.late,
            (_, Class::BeyondRate | Class::LateBeyondRate) => &mut self.beyond_rate,
            (_, Class::Overdue) => &mut self.overdue,
        };
        *counter += count;
        if past_deadline && rank.class != Class::LongRunning {
            self.past_deadline += count;
        }
    }

    /// Number of tasks that were placed.
    pub(super) const fn placed(&self) -> usize {
        self.long_running
            + self.on_time
            + self.late
            + self.beyond_rate
            + self.overdue
            + self.starved
    }
}

impl Core {
    /// Logs what the rounds of placement since the last line have done, if there were any.
    pub(super) fn log_rounds(&mut self, now: Time) {
        let over = now.since(self.rounds_logged_at);
        if over < LOG_INTERVAL {
            return;
        }
        self.rounds_logged_at = now;
        let tally = std::mem::take(&mut self.rounds);
        if tally.rounds == 0 {
            return;
        }
        info!(
            event = "rounds",
            over_ms = over.as_millis(),
            rounds = tally.rounds,
            empty = tally.empty,
            start_limit = tally.start_limit,
            writes = tally.writes,
            long_running = tally.long_running,
            on_time = tally.on_time,
            late = tally.late,
            beyond_rate = tally.beyond_rate,
            overdue = tally.overdue,
            starved = tally.starved,
            past_deadline = tally.past_deadline,
            unplaced = self.unstarted,
            unwritten = self.dirty.len(),
            write_ms = self.write_interval.as_millis(),
        );
    }
}
