//! One attempt as a worker holds it.

use contract::Attempt;
use contract::Phase;
use contract::Size;
use contract::Start;
use fleet::time::Time;

use super::Faults;
use super::Settings;
use super::Task;

/// Part of its time after which a task ends at a worker that fails all.
const FAILS_AFTER: u64 = 20;

/// One attempt as a worker holds it.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) number: u32,
    pub(super) phase: Phase,
    pub(super) size: Size,
    usage: Size,
    fails: bool,
    ends_ms: u64,
    checkpoint_ms: Option<u64>,
    checkpoint: Option<String>,
}

impl Run {
    pub(super) fn new(settings: &Settings, start: &Start, faults: Faults, now: Time) -> Self {
        let task = Task::read(&start.input);
        let left = start.checkpoint.as_deref().and_then(|left| left.parse().ok());
        let whole = left.or(task.run_ms).unwrap_or(settings.run_ms);
        let runs = if faults.fails_all { whole / FAILS_AFTER } else { whole };
        Self {
            number: start.number,
            phase: Phase::Running,
            size: start.size,
            usage: task.usage.unwrap_or(start.size),
            fails: task.fails || faults.fails_all,
            ends_ms: now.as_millis() + runs,
            checkpoint_ms: None,
            checkpoint: start.checkpoint.clone(),
        }
    }

    /// Lets time pass; `lapsed` once the lease no longer holds.
    pub(super) fn advance(&mut self, now: Time, lapsed: bool) {
        let now_ms = now.as_millis();
        if self.phase.is_over() {
            return;
        }
        if lapsed {
            self.phase = Phase::Stopped;
        } else if self.ends_ms <= now_ms {
            self.phase = if self.fails { Phase::Failed } else { Phase::Succeeded };
        } else if self.checkpoint_ms.is_some_and(|at| at <= now_ms) {
            self.phase = Phase::Checkpointed;
            self.checkpoint = Some((self.ends_ms - now_ms).to_string());
        }
    }

    pub(super) fn throttle(&mut self, to: Size) {
        self.phase = Phase::Throttled;
        self.usage.milli_cores = self.usage.milli_cores.min(to.milli_cores);
    }

    pub(super) fn begin_checkpoint(&mut self, at_ms: u64) {
        self.checkpoint_ms.get_or_insert(at_ms);
        self.phase = Phase::Checkpointing;
    }

    /// How the attempt is reported.
    pub(super) fn report(&self, job: &str, faults: Faults) -> Attempt {
        Attempt {
            job: job.to_owned(),
            number: self.number,
            phase: self.phase,
            usage: self.usage(faults),
            checkpoint: self.checkpoint.clone(),
        }
    }

    fn usage(&self, faults: Faults) -> Size {
        if self.phase.is_over() {
            return Size::default();
        }
        match faults.lies_percent {
            0 => self.usage,
            percent => fleet::config::Size::from(self.usage).percent(percent).into(),
        }
    }
}
