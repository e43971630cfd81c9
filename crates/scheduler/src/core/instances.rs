//! What instances say: the list, looks, and answers to orders.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use fleet::time::Time;
use tracing::info;
use tracing::warn;

use super::Core;
use crate::command::Action;
use crate::command::Command;
use crate::command::Outcome;
use crate::command::Refusal;
use crate::instance;
use crate::instance::Capacity;
use crate::instance::Expiry;
use crate::instance::Heartbeat;
use crate::instance::Instance;
use crate::instance::Reading;
use crate::instance::Report;
use crate::job::Phase;
use crate::job::TaskKey;

/// What a call to an instance carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// When it went out.
    pub at: Time,
    /// Raise of the fencing token that went with it.
    pub token_raises: u32,
}

impl Core {
    /// Takes in a whole reading of the instance list.
    pub fn apply_instances(&mut self, now: Time, reports: Vec<Report>) {
        for runner in &mut self.instances {
            runner.listed = false;
        }
        for report in reports {
            self.apply_report(now, report);
        }
        self.pools.clear();
        for (place, runner) in self.instances.iter().enumerate() {
            if runner.listed {
                let pool = self.pools.entry(runner.report.service.clone()).or_default();
                pool.insert((place as u32).into());
            }
        }
    }

    fn apply_report(&mut self, now: Time, report: Report) {
        let Some(&key) = self.keys.get(&report.id) else {
            info!(
                event = "runner",
                state = "new",
                runner = report.id,
                service = report.service,
                address = %report.address,
                draining = report.draining,
            );
            self.add_instance(now, report);
            return;
        };
        let runner = self.instance_mut(key);
        let reborn = report.incarnation > 0
            && runner.incarnation > 0
            && report.incarnation > runner.incarnation;
        if runner.report.draining != report.draining {
            info!(
                event = "runner",
                state = "draining",
                runner = report.id,
                draining = report.draining
            );
        }
        runner.report = report;
        runner.listed = true;
        runner.listed_at = now;
        if reborn {
            // The next look shows what it runs.
            runner.synced = false;
        }
    }

    fn add_instance(&mut self, now: Time, report: Report) -> instance::Key {
        let key: instance::Key = (self.instances.len() as u32).into();
        self.keys.insert(report.id.clone(), key);
        let until = self.inherited_until();
        self.instances.push(Instance::new(report, now, until));
        key
    }

    /// Notes an instance that an earlier scheduler used, and that the list does not hold.
    pub(super) fn add_unlisted(&mut self, now: Time, id: &str) -> instance::Key {
        let report = Report {
            id: id.to_owned(),
            service: String::new(),
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            data_centre: String::new(),
            capacity: Capacity::default(),
            labels: Vec::new(),
            draining: false,
            remaining: None,
            incarnation: 0,
            sequence: 0,
        };
        let key = self.add_instance(now, report);
        let runner = self.instance_mut(key);
        runner.listed = false;
        runner.unresponsive_since = Some(now);
        key
    }

    /// An instance has started anew, and knows nothing of before. What it does not run is gone; an
    /// order may have reached its new life, so that what it runs decides, and not that it is new.
    fn reset_restarted(&mut self, key: instance::Key, born: u64) {
        let runner = self.instance_mut(key);
        info!(
            event = "runner",
            state = "reborn",
            runner = runner.report.id,
            was = runner.incarnation,
            born,
            tasks = runner.tasks.len(),
        );
        runner.incarnation = born;
        runner.reading = None;
        runner.leased_until_ms = 0;
        runner.synced = false;
        runner.last_end_seen = 0;
        runner.last_end_writing = 0;
        runner.last_end_stored = 0;
        runner.failures = 0;
        runner.on_probation = false;
    }

    /// Gives up the places on an instance of all tasks in certain phases.
    pub(super) fn unassign_all(
        &mut self,
        now: Time,
        key: instance::Key,
        which: impl Fn(Phase) -> bool,
    ) {
        let tasks: Vec<TaskKey> = self.instance(key).tasks.iter().copied().collect();
        for task in tasks {
            if self.instance(key).superseded.contains(&task) {
                self.free_superseded(key, task);
            } else if which(self.jobs[&task.job].tasks[task.index as usize].phase) {
                self.unassign(now, task);
            }
        }
    }

    /// A run that was no longer needed has ended.
    fn free_superseded(&mut self, key: instance::Key, task: TaskKey) {
        let step = self.jobs[&task.job].step(task.index);
        self.instances[u32::from(key) as usize].book(task, step, false);
    }

    /// Whether an instance is to be looked at.
    pub fn needs_heartbeat(&self, key: instance::Key) -> bool {
        let runner = self.instance(key);
        let reachable = runner.report.address.port() != 0;
        let unsettled =
            !runner.synced || runner.outcome_unknown || runner.unresponsive_since.is_some();
        reachable
            && (!runner.tasks.is_empty()
                || runner.last_end_seen > runner.last_end_stored
                || (runner.listed && unsettled))
    }

    /// The grant to send along at `now`, on the instance's clock; noted as given.
    ///
    /// None while the instance is silent: a call without answer may have reached it, and each
    /// grant would put off the time at which its tasks are known to have ended.
    pub fn renew_lease(&mut self, now: Time, key: instance::Key) -> Option<u64> {
        let tuning = self.tuning;
        let runner = self.instance_mut(key);
        if runner.unresponsive_since.is_some() || runner.expiry != Expiry::None {
            return None;
        }
        let grant = runner.lease_ms(now, &tuning)?;
        runner.leased_until_ms = runner.leased_until_ms.max(grant);
        Some(grant)
    }

    /// A call to an instance got no answer.
    pub fn mark_unresponsive(&mut self, now: Time, key: instance::Key, reason: &str) {
        let runner = self.instance_mut(key);
        if runner.unresponsive_since.is_none() {
            info!(
                event = "runner",
                state = "silent",
                runner = runner.report.id,
                reason,
                answered_ms_ago = now.since(runner.answered_at).as_millis(),
                tasks = runner.tasks.len(),
            );
            runner.unresponsive_since = Some(now);
        }
    }

    fn record_answer(&mut self, now: Time, key: instance::Key, clock_ms: Option<u64>) {
        let runner = self.instance_mut(key);
        runner.answered_at = now;
        if let Some(since) = runner.unresponsive_since.take() {
            let silent_ms = now.since(since).as_millis();
            info!(event = "runner", state = "answers", runner = runner.report.id, silent_ms);
        }
        if let Some(clock_ms) = clock_ms {
            runner.reading = Some(Reading { clock_ms, at: now });
        }
    }

    /// Takes in what an instance runs and what has ended there.
    pub fn heartbeat(&mut self, now: Time, key: instance::Key, sent: Sent, heartbeat: &Heartbeat) {
        let known = self.instance(key).incarnation;
        if heartbeat.incarnation > 0 && known > 0 && heartbeat.incarnation != known {
            if heartbeat.incarnation < known {
                return;
            }
            self.reset_restarted(key, heartbeat.incarnation);
        }
        self.record_answer(now, key, Some(heartbeat.clock_ms));
        let runner = self.instance_mut(key);
        runner.incarnation = runner.incarnation.max(heartbeat.incarnation);
        let first = !runner.synced;
        for end in &heartbeat.ended {
            if end.number > self.instance(key).last_end_seen {
                self.instance_mut(key).last_end_seen = end.number;
                self.apply_end(now, key, end);
            }
        }
        let stray = self.apply_running(now, key, heartbeat);
        if !heartbeat.more_ended {
            self.unassign_missing(now, key, sent, heartbeat);
        }
        self.throttle_best_effort(now, key, heartbeat);
        let grant = self.tuning.lease.div_f64(1.0 - self.tuning.clock_drift);
        let runner = self.instance_mut(key);
        if sent.token_raises == runner.token_raises && !stray {
            if !runner.synced {
                // A predecessor's grants end here: its token is too low from now on.
                runner.inherited_until = runner.inherited_until.min(now + grant);
            }
            runner.synced = true;
            runner.outcome_unknown = false;
        }
        if first {
            info!(
                event = "runner",
                state = "aligned",
                runner = runner.report.id,
                born = heartbeat.incarnation,
                running = heartbeat.running.len(),
                ended = heartbeat.ended.len(),
            );
        }
    }

    /// Takes in what runs; whether any of it should not.
    fn apply_running(&mut self, now: Time, key: instance::Key, look: &Heartbeat) -> bool {
        let mut stray = false;
        for run in &look.running {
            let index = self.jobs.get(&run.task.job).and_then(|job| job.task_index(run.task));
            let Some(index) = index else {
                self.stop_unexpected(key, run);
                stray = true;
                continue;
            };
            self.adopt_run(now, key, index, run);
            let Some(job) = self.jobs.get_mut(&run.task.job) else { continue };
            let step = job.step(index);
            let lasting = step.long_running;
            let task = &mut job.tasks[index as usize];
            let ours = task.run == run.run && task.phase.instance() == Some(key);
            if !ours {
                self.stop_unexpected(key, run);
                stray = true;
                continue;
            }
            if !matches!(task.phase, Phase::Running(_)) {
                task.phase = Phase::Running(key);
                task.since = now;
                task.progressed_at = now;
                task.percent = 0;
                task.throttle_percent = 100;
            }
            if run.percent > task.percent || (lasting && run.percent == 100) {
                task.progressed_at = now;
            }
            task.percent = run.percent;
            if run.percent == 100 && task.evicted_run.is_some_and(|ended| run.run > ended) {
                task.evicted_run = None;
            }
            if !run.checkpoint.is_empty() && run.checkpoint != task.checkpoint {
                task.checkpoint.clone_from(&run.checkpoint);
            }
        }
        stray
    }

    /// Stops a run that is not the one we know of.
    fn stop_unexpected(&mut self, key: instance::Key, run: &instance::Run) {
        info!(
            event = "stray",
            task = %run.task,
            run = run.run,
            runner = self.instance(key).report.id,
        );
        // Looked at again until it is gone.
        self.instance_mut(key).synced = false;
        let task = TaskKey { job: run.task.job, index: u32::MAX };
        let (name, run) = (run.task, run.run);
        self.commands.push(Command { instance: key, task, name, run, action: Action::Stop });
    }

    /// Draws the conclusions from what a look does not show.
    fn unassign_missing(&mut self, now: Time, key: instance::Key, sent: Sent, look: &Heartbeat) {
        let current = sent.token_raises == self.instance(key).token_raises;
        let tasks: Vec<TaskKey> = self.instance(key).tasks.iter().copied().collect();
        for task in tasks {
            let job = &self.jobs[&task.job];
            let state = &job.tasks[task.index as usize];
            let gone = match state.phase {
                // The instance refuses lower tokens now: what it does not run, it never will.
                Phase::Unknown(_) => current,
                Phase::Inherited(_) => true,
                Phase::Running(_) => state.since < sent.at,
                _ => false,
            };
            let name = job.task_name(task.index);
            if self.instance(key).superseded.contains(&task) {
                if current && !look.runs(name, state.run) {
                    self.free_superseded(key, task);
                }
                continue;
            }
            if gone && !look.runs(name, state.run) {
                let lost = matches!(state.phase, Phase::Running(_));
                info!(
                    event = "absent",
                    task = %name,
                    run = state.run,
                    runner = self.instance(key).report.id,
                    was_running = lost,
                );
                self.unassign(now, task);
            }
        }
    }

    /// Takes in what came of an order to start.
    pub fn apply_start_result(
        &mut self,
        now: Time,
        order: &Command,
        sent: Sent,
        outcome: Outcome,
        clock_ms: Option<u64>,
    ) {
        let key = order.instance;
        let task =
            self.jobs.get(&order.task.job).and_then(|job| job.tasks.get(order.task.index as usize));
        let current =
            task.is_some_and(|task| task.run == order.run && task.phase == Phase::Starting(key));
        info!(
            event = "start",
            task = %order.name,
            run = order.run,
            runner = self.instance(key).report.id,
            outcome = ?outcome,
            took_ms = now.since(sent.at).as_millis(),
            current,
        );
        match outcome {
            Outcome::Started => {
                self.record_answer(now, key, clock_ms);
                if current {
                    self.set_running(now, order);
                }
            }
            Outcome::Refused(refusal) => {
                self.apply_refusal(now, order, sent, refusal, current, clock_ms)
            }
            Outcome::Unknown => {
                if current {
                    self.set_unknown(now, order);
                }
                self.mark_unresponsive(now, key, "start without answer");
            }
        }
    }

    fn set_running(&mut self, now: Time, order: &Command) {
        let Some(job) = self.jobs.get_mut(&order.task.job) else { return };
        let ended = job.state.is_ended();
        let task = &mut job.tasks[order.task.index as usize];
        task.phase = Phase::Running(order.instance);
        task.since = now;
        task.progressed_at = now;
        task.percent = 0;
        task.throttle_percent = 100;
        if ended {
            self.stop_ended(now, order.task.job);
        }
    }

    fn set_unknown(&mut self, now: Time, order: &Command) {
        let Some(job) = self.jobs.get_mut(&order.task.job) else { return };
        let task = &mut job.tasks[order.task.index as usize];
        task.phase = Phase::Unknown(order.instance);
        task.since = now;
        let runner = self.instance_mut(order.instance);
        // A raised token fences off the order, should it still be under way.
        runner.token_raises += 1;
        runner.outcome_unknown = true;
    }

    fn apply_refusal(
        &mut self,
        now: Time,
        order: &Command,
        sent: Sent,
        refusal: Refusal,
        current: bool,
        clock_ms: Option<u64>,
    ) {
        let key = order.instance;
        match refusal {
            Refusal::NotSent => self.mark_unresponsive(now, key, "start not sent"),
            Refusal::Incarnation => {
                self.instance_mut(key).synced = false;
                self.instance_mut(key).token_raises += 1;
            }
            Refusal::Unhealthy => {
                self.record_answer(now, key, clock_ms);
                self.record_failure(now, key);
            }
            Refusal::Room => {
                self.record_answer(now, key, clock_ms);
                // Something runs there that we do not know of, or ends are still to be told.
                let runner = self.instance_mut(key);
                runner.suspended_until = runner.suspended_until.max(now + FULL_PAUSE);
            }
            Refusal::Fence if sent.token_raises == self.instance(key).token_raises => {
                warn!(
                    event = "fenced",
                    runner = self.instance(key).report.id,
                    bump = sent.token_raises
                );
                self.record_answer(now, key, clock_ms);
            }
            Refusal::Fence
            | Refusal::Old
            | Refusal::Late
            | Refusal::Ticket
            | Refusal::Malformed => self.record_answer(now, key, clock_ms),
        }
        if current {
            self.unassign(now, order.task);
        }
    }
}

/// Pause after an instance had less room than we thought: the time that an end takes to be told.
const FULL_PAUSE: std::time::Duration = std::time::Duration::from_millis(200);
