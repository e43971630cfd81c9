//! Handles results of start commands.

use std::time::Duration;

use fleet::time::Time;
use tracing::info;
use tracing::warn;

use super::Core;
use super::Sent;
use crate::command::Command;
use crate::command::Outcome;
use crate::command::Refusal;
use crate::instance::Failure;
use crate::job::Evidence;
use crate::job::Phase;

/// Pause after an instance had less room than expected: the time that the report of an end takes.
/// Doubles each time that it still has no room.
pub(super) const NO_ROOM_PAUSE: Duration = Duration::from_millis(200);

/// Longest such pause, as a multiple of [`NO_ROOM_PAUSE`]: about the time in which an entry of the
/// instance list shows another capacity.
const MAX_PAUSE_FACTOR: u32 = 8;

impl Core {
    /// Applies the result of a start command.
    pub fn apply_start_result(
        &mut self,
        now: Time,
        command: &Command,
        sent: Sent,
        outcome: Outcome,
        clock_ms: Option<u64>,
    ) {
        let key = command.instance;
        let task = self
            .jobs
            .get(&command.task.job)
            .and_then(|job| job.tasks.get(command.task.index as usize));
        let current =
            task.is_some_and(|task| task.run == command.run && task.phase == Phase::Starting(key));
        info!(
            event = "start",
            task = %command.name,
            run = command.run,
            runner = self.instance(key).report.id,
            outcome = ?outcome,
            took_ms = now.since(sent.at).as_millis(),
            current,
        );
        match outcome {
            Outcome::Refused(Refusal::NotSent) => self.start_limit.not_sent(),
            Outcome::Unknown => self.start_limit.unanswered(now.since(sent.at)),
            _ => self.start_limit.answered(now.since(sent.at)),
        }
        match outcome {
            Outcome::Started => {
                self.record_answer(now, key, clock_ms);
                self.instance_mut(key).end_back_off(now + NO_ROOM_PAUSE);
                self.record_begun(now, command.task.job, Evidence::Start);
                if current {
                    self.set_running(now, command);
                }
            }
            Outcome::Refused(refusal) => {
                self.apply_refusal(now, command, sent, refusal, current, clock_ms)
            }
            Outcome::Unknown => {
                if current {
                    self.set_unknown(now, command);
                }
                self.deprioritize(now, command);
                self.record_failure(now, key, Failure::Silence, sent.at);
                self.mark_unresponsive(now, key, "start without answer");
            }
        }
    }

    /// Makes a job prefer other instances than the one that has not started a task of it.
    fn deprioritize(&mut self, now: Time, command: &Command) {
        if let Some(job) = self.jobs.get_mut(&command.task.job) {
            job.not_started_on.insert(command.instance, now);
        }
    }

    fn set_running(&mut self, now: Time, command: &Command) {
        let Some(job) = self.jobs.get_mut(&command.task.job) else { return };
        let ended = job.state.is_ended();
        let task = &mut job.tasks[command.task.index as usize];
        task.phase = Phase::Running(command.instance);
        task.since = now;
        task.progressed_at = now;
        task.percent = 0;
        task.throttle_percent = 100;
        if ended {
            self.stop_ended(now, command.task.job);
        }
    }

    fn set_unknown(&mut self, now: Time, command: &Command) {
        let Some(job) = self.jobs.get_mut(&command.task.job) else { return };
        let task = &mut job.tasks[command.task.index as usize];
        task.phase = Phase::Unknown(command.instance);
        task.since = now;
        let instance = self.instance_mut(command.instance);
        // With a raised fencing token the instance rejects the command if it still arrives.
        instance.token_raises += 1;
        instance.outcome_unknown = true;
    }

    /// Applies the refusal of a start command. `current` tells whether the task still waits for the
    /// answer to this command.
    fn apply_refusal(
        &mut self,
        now: Time,
        command: &Command,
        sent: Sent,
        refusal: Refusal,
        current: bool,
        clock_ms: Option<u64>,
    ) {
        let key = command.instance;
        match refusal {
            Refusal::NotSent => self.mark_unresponsive(now, key, "start not sent"),
            Refusal::Incarnation => {
                let instance = self.instance_mut(key);
                instance.synced = false;
                instance.runs_known = false;
                instance.token_raises += 1;
            }
            Refusal::Unhealthy => {
                self.record_answer(now, key, clock_ms);
                self.record_failure(now, key, Failure::Refusal, sent.at);
            }
            Refusal::Room => {
                self.record_answer(now, key, clock_ms);
                // The instance holds a run that is unknown here, or one whose end is not reported
                // yet, or has shrunk.
                let instance = self.instance_mut(key);
                if now >= instance.full_until {
                    let factor = 1 << instance.times_full.min(MAX_PAUSE_FACTOR.ilog2());
                    instance.full_until = now + NO_ROOM_PAUSE * factor;
                    instance.times_full += 1;
                }
            }
            Refusal::Fence if sent.token_raises == self.instance(key).token_raises => {
                warn!(
                    event = "fenced",
                    runner = self.instance(key).report.id,
                    bump = sent.token_raises
                );
                self.record_answer(now, key, clock_ms);
            }
            Refusal::Fence => self.record_answer(now, key, clock_ms),
            Refusal::Old => {
                self.record_answer(now, key, clock_ms);
                self.deprioritize(now, command);
                if current {
                    // A run of the task has ended there of which this leader knows nothing: the task may be
                    // done. The next heartbeat lists the end.
                    self.set_unknown(now, command);
                    self.stop_incomplete_gang(now, command.task);
                    return;
                }
            }
            Refusal::Late | Refusal::Ticket | Refusal::Malformed => {
                self.record_answer(now, key, clock_ms);
                self.deprioritize(now, command);
            }
        }
        if current {
            self.unassign(now, command.task);
            if self.jobs[&command.task.job].step(command.task.index).gang {
                // The whole gang is placed anew, elsewhere if it can be.
                self.deprioritize(now, command);
                self.stop_incomplete_gang(now, command.task);
            }
        }
    }
}
