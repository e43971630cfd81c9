//! Faults of the network, of the store and of whole sites, and the check that all work goes on
//! afterwards.

use std::time::Duration;

use scheduler::job::State;

use super::Event;
use super::Site;

/// Time after the last fault within which all accepted work has to be done or to run: the longest
/// wait for leases of an earlier leader, and three steps.
pub const QUIET_TIME: Duration = Duration::from_secs(14);

/// Shares of messages that are lost, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Losses {
    /// Stop commands that never arrive.
    pub stops: u64,
    /// Heartbeat calls that never arrive.
    pub heartbeats: u64,
    /// Writes that fail for good.
    pub writes: u64,
}

impl Site {
    /// All leaders lose power: nothing that is under way arrives, but some writes.
    pub fn lose_power(&mut self) {
        self.crash_leader();
        let events = std::mem::take(&mut self.events);
        for (at, event) in events {
            let is_write = matches!(event, Event::WriteApplied { .. });
            if is_write && self.random(2) == 0 {
                self.events.insert(at, event);
            }
        }
    }

    /// Whether a message is lost, of which `percent` are.
    pub(super) fn loses(&mut self, percent: u64) -> bool {
        percent > 0 && self.random(100) < percent
    }

    /// An instance restarts with a clock that was set back: its incarnation is lower than before.
    pub fn restart_earlier(&mut self, index: usize, after: Duration) {
        let now = self.now;
        self.fakes[index].crash(now, after, &mut self.monitor);
        self.fakes[index].incarnation = self.fakes[index].incarnation.saturating_sub(100);
    }

    /// The process of an instance is replaced by one of another name, maybe in another pool.
    pub fn rename(&mut self, index: usize, service: &str, after: Duration) {
        let now = self.now;
        self.fakes[index].crash(now, after, &mut self.monitor);
        let id = format!("{}+", self.fakes[index].id);
        self.gone.push(std::mem::replace(&mut self.fakes[index].id, id));
        self.fakes[index].service = service.to_owned();
    }

    /// Ends all faults, waits for [`QUIET_TIME`], and returns what stands still or breaks a rule then.
    pub fn settle(&mut self) -> Vec<String> {
        self.losses = Losses::default();
        self.late_percent = 0;
        for fake in &mut self.fakes {
            fake.hangs = false;
            fake.fails = false;
            fake.ignores_starts = false;
            fake.unreachable_until = fake.unreachable_until.min(self.now);
        }
        if self.core.is_none() {
            self.change_leader(false);
        }
        self.run(QUIET_TIME);
        let mut faults = self.monitor.violations.clone();
        let jobs = self.progress.clone();
        for (id, _) in jobs.iter().filter(|(_, job)| job.state == State::Active) {
            if self.monitor.is_cancelled(*id) || self.monitor.spec(*id).repeats > 0 {
                continue;
            }
            let steps = &self.monitor.spec(*id).steps;
            let ends = !steps.iter().any(|step| step.long_running);
            let idle = self.monitor.without_run(*id);
            if ends || !idle.is_empty() {
                let now = self.now;
                let core = self.core();
                let job = core.job(*id).map(|job| {
                    let tasks = job.tasks.iter().map(|task| (task.phase, task.run, task.since));
                    (job.state, job.retry_at, tasks.collect::<Vec<_>>())
                });
                faults.push(format!("{now}: {id} has not ended, without a run: {idle:?}; {job:?}"));
            }
        }
        faults
    }

    /// [`Self::settle`], and panics if anything stands still or has broken a rule.
    pub fn settle_and_check(&mut self) {
        let faults = self.settle();
        assert!(
            faults.is_empty(),
            "{} faults: {:#?}",
            faults.len(),
            &faults[..faults.len().min(5)]
        );
    }

    /// Abandons the heartbeat call to an instance that is under way, and sends another at once.
    pub(super) fn hasten_heartbeat(&mut self, index: usize) {
        if self.heartbeat_sent.remove(&index).is_some() {
            self.pending_heartbeats.remove(&index);
            self.next_heartbeat.insert(index, self.now);
        }
    }

    /// Fails the write under way, which the store has not applied.
    pub(super) fn fail_write(&mut self) {
        self.writing = false;
        self.core().abort_write();
    }
}
