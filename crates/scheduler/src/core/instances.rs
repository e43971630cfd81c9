//! Handles the instance list, heartbeats, and results of commands.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use super::availability::Cause;
use super::crash::Sighting;
use super::start_result::NO_ROOM_PAUSE;
use crate::command::Action;
use crate::command::Command;
use crate::instance;
use crate::instance::Capacity;
use crate::instance::Expiry;
use crate::instance::Heartbeat;
use crate::instance::Instance;
use crate::instance::ListedEnds;
use crate::instance::Reading;
use crate::instance::Report;
use crate::job::Evidence;
use crate::job::Phase;
use crate::job::TaskKey;
use crate::tenant;

/// Time after which an idle instance is told which ends are stored, unless a heartbeat that is needed for
/// something else has told it before.
pub const MAX_REMOVAL_DELAY: Duration = Duration::from_secs(3);

/// When and with which fencing token a call to an instance was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// When it was sent.
    pub at: Time,
    /// How often the instance's fencing token had been raised within the term.
    pub token_raises: u32,
}

impl Core {
    /// Applies a complete instance list that was requested at `requested_at`.
    pub fn apply_instances(&mut self, now: Time, requested_at: Time, reports: Vec<Report>) {
        self.list_requested_at = requested_at;
        for instance in &mut self.instances {
            instance.listed = false;
        }
        self.apply_instance_changes(now, reports, &[]);
    }

    /// Applies changes of the instance list: new or changed entries, and names of entries that are
    /// gone.
    pub fn apply_instance_changes(&mut self, now: Time, changed: Vec<Report>, gone: &[String]) {
        for id in gone {
            if let Some(&key) = self.keys.get(id) {
                self.instance_mut(key).mark_unlisted();
            }
        }
        for report in changed {
            self.apply_report(now, report);
        }
        self.pools.clear();
        for (index, instance) in self.instances.iter().enumerate() {
            if instance.listed {
                let pool = self.pools.entry(instance.report.service.clone()).or_default();
                pool.insert((index as u32).into());
            }
        }
    }

    /// Applies one entry of the instance list.
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
        let instance = self.instance_mut(key);
        let restarted = report.incarnation > 0
            && instance.incarnation > 0
            && report.incarnation > instance.incarnation;
        if instance.report.draining != report.draining {
            info!(
                event = "runner",
                state = "draining",
                runner = report.id,
                draining = report.draining
            );
        }
        instance.log_resize(&report);
        if instance.report.capacity != report.capacity {
            instance.end_back_off(now + NO_ROOM_PAUSE);
        }
        if instance.report.draining || report.draining {
            instance.drained_at = Some(now);
        }
        instance.report = report;
        instance.listed = true;
        instance.listed_at = now;
        if restarted {
            // The next heartbeat shows which tasks it runs.
            instance.synced = false;
            instance.runs_known &= instance.ended_by_call;
        }
    }

    fn add_instance(&mut self, now: Time, report: Report) -> instance::Key {
        let key: instance::Key = (self.instances.len() as u32).into();
        self.keys.insert(report.id.clone(), key);
        let until = self.inherited_until();
        self.instances.push(Instance::new(report, now, until));
        key
    }

    /// Adds an instance that a previous leader used and that the instance list does not contain.
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
        let instance = self.instance_mut(key);
        instance.listed = false;
        instance.unresponsive_since = Some(now);
        self.expiries.insert(key);
        key
    }

    /// Resets what is known of an instance that has restarted. A command may have reached it after
    /// the restart, so its tasks stay assigned until a heartbeat shows what it runs.
    fn reset_restarted(&mut self, key: instance::Key, incarnation: u64) {
        let instance = self.instance_mut(key);
        info!(
            event = "runner",
            state = "reborn",
            runner = instance.report.id,
            was = instance.incarnation,
            born = incarnation,
            tasks = instance.tasks.len(),
        );
        instance.incarnation = incarnation;
        instance.reading = None;
        instance.leased_until_ms = 0;
        instance.synced = false;
        instance.runs_known &= instance.ended_by_call;
        instance.last_end_seen = 0;
        instance.listed_ends = ListedEnds::None;
        instance.unstored_ends.clear();
        instance.last_end_writing = 0;
        instance.last_end_stored = 0;
        instance.trust = instance::Trust::default();
    }

    /// Unassigns all tasks on an instance whose phase matches.
    pub(super) fn unassign_all(
        &mut self,
        now: Time,
        key: instance::Key,
        matches: impl Fn(Phase) -> bool,
    ) {
        let tasks: Vec<TaskKey> = self.instance(key).tasks.iter().copied().collect();
        for task in tasks {
            if self.instance(key).superseded.contains(&task) {
                self.book(task, key, false);
            } else if matches(self.jobs[&task.job].tasks[task.index as usize].phase) {
                self.unassign(now, task);
            }
        }
    }

    /// Whether an instance needs a heartbeat at `now`.
    pub fn needs_heartbeat(&self, now: Time, key: instance::Key) -> bool {
        let instance = self.instance(key);
        let lists_ends = match instance.listed_ends {
            ListedEnds::Some => true,
            ends => ends.await_removal() && now.since(instance.answered_at) >= MAX_REMOVAL_DELAY,
        };
        let reachable = instance.has_address();
        let needs_sync =
            !instance.synced || instance.outcome_unknown || instance.unresponsive_since.is_some();
        reachable
            && (!instance.tasks.is_empty()
                || instance.last_end_seen > instance.last_end_stored
                || (instance.listed && (needs_sync || lists_ends)))
    }

    /// The lease to send with a heartbeat at `now`, as [`Self::renew_lease`] has it. None if nothing may be in
    /// progress there: which process is up is known only afterwards, and a lease that is reckoned by the clock
    /// of another one may last for much longer.
    pub fn heartbeat_lease(&mut self, now: Time, key: instance::Key) -> Option<u64> {
        let instance = self.instance(key);
        let is_sent = |task: &TaskKey| {
            self.jobs[&task.job].tasks[task.index as usize].phase.is_sent()
                || instance.superseded.contains(task)
        };
        if instance.tasks.iter().any(is_sent) { self.renew_lease(now, key) } else { None }
    }

    /// The lease to send with a start command at `now`: its end on the instance's clock, in milliseconds. It
    /// counts as granted.
    ///
    /// None while the instance is unresponsive: a call without answer may have reached it, and each
    /// further lease would delay the time at which its tasks have certainly ended.
    pub fn renew_lease(&mut self, now: Time, key: instance::Key) -> Option<u64> {
        let tuning = self.tuning;
        let instance = self.instance_mut(key);
        if instance.unresponsive_since.is_some() || instance.expiry != Expiry::None {
            return None;
        }
        let until_ms = instance.lease_ms(now, &tuning)?;
        instance.leased_until_ms = instance.leased_until_ms.max(until_ms);
        Some(until_ms)
    }

    /// Records that a call to an instance got no answer.
    pub fn mark_unresponsive(&mut self, now: Time, key: instance::Key, reason: &str) {
        let instance = self.instance_mut(key);
        if instance.unresponsive_since.is_none() {
            info!(
                event = "runner",
                state = "silent",
                runner = instance.report.id,
                reason,
                answered_ms_ago = now.since(instance.answered_at).as_millis(),
                tasks = instance.tasks.len(),
            );
            instance.unresponsive_since = Some(now);
            self.expiries.insert(key);
        }
    }

    /// Records an answer of an instance, and its clock if the answer shows it.
    pub(super) fn record_answer(&mut self, now: Time, key: instance::Key, clock_ms: Option<u64>) {
        let instance = self.instance_mut(key);
        instance.answered_at = now;
        if let Some(since) = instance.unresponsive_since.take() {
            let silent_ms = now.since(since).as_millis();
            info!(event = "runner", state = "answers", runner = instance.report.id, silent_ms);
        }
        if let Some(clock_ms) = clock_ms {
            instance.reading = Some(Reading { clock_ms, at: now });
        }
    }

    /// Applies a heartbeat: what an instance runs, and which runs have ended there. Each heartbeat of
    /// an instance must have been sent after the one before was answered or given up.
    pub fn heartbeat(&mut self, now: Time, key: instance::Key, sent: Sent, heartbeat: &Heartbeat) {
        let known_incarnation = self.instance(key).incarnation;
        let sighting = self.sighting(now, key);
        if heartbeat.incarnation > 0
            && known_incarnation > 0
            && heartbeat.incarnation != known_incarnation
        {
            // A lower incarnation is a later one, too, if the instance's clock was set back.
            self.reset_restarted(key, heartbeat.incarnation);
        }
        let restarted = self.instance(key).incarnation != known_incarnation;
        self.record_answer(now, key, Some(heartbeat.clock_ms));
        let tuning = self.tuning;
        let instance = self.instance_mut(key);
        if restarted {
            // Calls that have reached it since carried leases by the clock of the process before, which
            // may be ahead of its own.
            instance.leased_until_ms =
                heartbeat.clock_ms.saturating_add(tuning.max_lease.as_millis() as u64);
            if !instance.tasks.is_empty() {
                let until = instance.granted_until(&tuning).unwrap_or_default();
                self.longest_lease = self.longest_lease.max(until);
            }
        }
        let instance = self.instance_mut(key);
        instance.incarnation = instance.incarnation.max(heartbeat.incarnation);
        let first_sync = !instance.synced;
        let (last_listed, last_stored) = (heartbeat.last_listed_end, instance.last_end_stored);
        instance.listed_ends =
            instance.listed_ends.after(last_listed, heartbeat.more_ended, last_stored);
        for end in &heartbeat.ended {
            if end.number > self.instance(key).last_end_seen {
                let instance = self.instance_mut(key);
                instance.last_end_seen = end.number;
                instance.end_back_off(now + NO_ROOM_PAUSE);
                self.apply_end(now, key, end);
            }
        }
        let instance = self.instance_mut(key);
        instance.last_end_seen = instance.last_end_seen.max(last_listed);
        self.queue_ends(key);
        let unexpected = self.apply_running(now, key, heartbeat);
        if !heartbeat.more_ended {
            self.settle_lapsed(now, key, heartbeat.incarnation);
            self.unassign_missing(now, key, sent, heartbeat, sighting);
        }
        if !self.instance(key).runs_only_short_tasks() {
            self.stop_stalled(now, key, true);
        }
        self.throttle_best_effort(now, key, heartbeat);
        let last_grant = now.max(self.since + self.inherited_excess);
        let instance = self.instance_mut(key);
        // Runs of which the ends are not listed yet would count as never started.
        let whole = !heartbeat.more_ended && !unexpected;
        if sent.token_raises == instance.token_raises && whole {
            if !instance.synced && instance.expiry == Expiry::None {
                // The instance accepts no more leases from the previous leader, whose fencing token
                // is too low now.
                let until = last_grant + tuning.max_usual_lease();
                instance.inherited_until = instance.inherited_until.min(until);
            }
            instance.synced = true;
            instance.runs_known = true;
            instance.ended_by_call = false;
            instance.outcome_unknown = false;
        }
        if first_sync {
            info!(
                event = "runner",
                state = if instance.synced { "aligned" } else { "read-in-part" },
                runner = instance.report.id,
                born = heartbeat.incarnation,
                running = heartbeat.running.len(),
                ended = heartbeat.ended.len(),
                more_ended = heartbeat.more_ended,
            );
        }
    }

    /// Applies the list of runs under way; returns whether any of them is unexpected.
    fn apply_running(&mut self, now: Time, key: instance::Key, heartbeat: &Heartbeat) -> bool {
        let mut unexpected = false;
        let mut strays = Vec::new();
        for run in &heartbeat.running {
            let known = self.jobs.get(&run.task.job).and_then(|job| {
                let index = job.task_index(run.task)?;
                Some((index, job.begun.is_known()))
            });
            let Some((index, has_begun)) = known else {
                self.stop_unexpected(key, run);
                unexpected = true;
                continue;
            };
            if !has_begun {
                self.record_begun(now, run.task.job, Evidence::Run);
            }
            self.adopt_run(now, key, index, run);
            let Some(job) = self.jobs.get_mut(&run.task.job) else { continue };
            let step = job.step(index);
            let long_running = step.long_running;
            let task_key = job.task_key(index);
            let task = &mut job.tasks[index as usize];
            let assigned = task.run == run.run && task.phase.instance() == Some(key);
            if !assigned {
                let superseded =
                    self.instances[u32::from(key) as usize].superseded.contains(&task_key);
                if let Some(tenant) = job.tenant.filter(|_| !superseded) {
                    strays.push((tenant, tenant::Usage::of(job.step(index), 1)));
                }
                let instance = &self.instances[u32::from(key) as usize].report.id;
                self.log_disrupted_run(now, Cause::Stray, task_key, run.run, instance);
                self.stop_unexpected(key, run);
                unexpected = true;
                continue;
            }
            if !matches!(task.phase, Phase::Running(_)) {
                task.phase = Phase::Running(key);
                task.since = now;
                task.progressed_at = now;
                task.percent = 0;
                task.throttle_percent = 100;
            }
            let works = long_running && run.percent == 100;
            let has_begun_to_work = works && task.percent < 100;
            if run.percent > task.percent || works {
                task.progressed_at = now;
            }
            task.percent = run.percent;
            task.seen_at = now;
            task.newest_run_known = true;
            if heartbeat.incarnation > 0 && task.incarnation != heartbeat.incarnation {
                // The instance had restarted before the start command reached it.
                task.incarnation = heartbeat.incarnation;
                self.dirty.insert(task_key.job);
            }
            if !run.checkpoint.is_empty() && run.checkpoint != task.checkpoint {
                task.checkpoint.clone_from(&run.checkpoint);
            }
            self.refute_eviction(now, key, task_key);
            if has_begun_to_work {
                self.record_success(now, key);
            }
        }
        self.set_strays(key, strays);
        unexpected
    }

    /// Stops a run that is not the one assigned to the instance.
    fn stop_unexpected(&mut self, key: instance::Key, run: &instance::Run) {
        info!(
            event = "stray",
            task = %run.task,
            run = run.run,
            runner = self.instance(key).report.id,
        );
        // Keeps the heartbeats going until the run is gone.
        let instance = self.instance_mut(key);
        instance.synced = false;
        instance.runs_known = false;
        // The run belongs to no assigned task, so the index is one that no task has.
        let task = TaskKey { job: run.task.job, index: u32::MAX };
        let (name, run) = (run.task, run.run);
        self.commands.push(Command { instance: key, task, name, run, action: Action::Stop });
    }

    /// Unassigns tasks that are assigned to an instance but missing from its heartbeat.
    fn unassign_missing(
        &mut self,
        now: Time,
        key: instance::Key,
        sent: Sent,
        heartbeat: &Heartbeat,
        sighting: Sighting,
    ) {
        let current_token = sent.token_raises == self.instance(key).token_raises;
        let tasks: Vec<TaskKey> = self.instance(key).tasks.iter().copied().collect();
        let mut all_missing = BTreeSet::new();
        for task in tasks {
            let job = &self.jobs[&task.job];
            let state = &job.tasks[task.index as usize];
            let missing = match state.phase {
                // The instance rejects lower fencing tokens now, so a start command that has not
                // taken effect never will.
                Phase::Unknown(_) => current_token,
                Phase::Inherited(_) => true,
                Phase::Running(_) => state.since < sent.at,
                _ => false,
            };
            let name = job.task_name(task.index);
            if self.instance(key).superseded.contains(&task) {
                if current_token && !heartbeat.runs(name, state.run) {
                    self.book(task, key, false);
                }
                continue;
            }
            if missing && !heartbeat.runs(name, state.run) {
                let was_running = matches!(state.phase, Phase::Running(_));
                info!(
                    event = "absent",
                    task = %name,
                    run = state.run,
                    runner = self.instance(key).report.id,
                    born = heartbeat.incarnation,
                    placed_born = state.incarnation,
                    was_running,
                );
                all_missing.insert(task);
            }
        }
        if all_missing.is_empty() {
            return;
        }
        let mut victims = self.victims(key, sighting, Some(heartbeat.incarnation));
        victims.retain(|victim| all_missing.contains(&victim.task));
        self.record_crash(now, key, sighting, &victims);
        for task in all_missing {
            self.unassign(now, task);
        }
    }
}
