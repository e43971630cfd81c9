//! Machine operations: each call to the platform is recorded in the store before it is sent, and
//! the operation is tracked until it is over.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;
use tracing::warn;

use super::Core;
use super::availability::Cause;
use super::disruption::MAX_ORDER_TIME;
use crate::instance;
use crate::instance::Instance;
use crate::job::Phase;
use crate::machine::Operation;
use crate::machine::Outcome;
use crate::machine::State;

/// Delay before a call that got no answer, or was refused for the moment, is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Longest wait for a machine to empty before its move is dropped: as long as the longest short
/// task.
const MAX_EMPTYING_TIME: Duration = Duration::from_secs(4);

/// Time beyond an operation's usual duration after which it counts as over, even if its machine is
/// not listed as up.
const MAX_OVERRUN: Duration = Duration::from_secs(3);

/// Time after which a record no longer covers a call: the next leader goes by records for a limited time,
/// so that a call has to be sent soon after its record.
const MAX_RECORD_AGE: Duration = Duration::from_secs(1);

/// A machine operation that is planned or under way.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    /// What the machine is to do.
    pub(super) operation: Operation,
    /// When it was planned.
    pub(super) planned_at: Time,
    /// Earliest time of the next call.
    pub(super) next_call_at: Time,
    /// When the platform accepted it.
    pub(super) accepted_at: Option<Time>,
    /// Whether a call may have been sent that the platform has not turned away.
    pub(super) called: bool,
    /// Whether a call had an unknown outcome.
    pub(super) uncertain: bool,
    /// State of the store's record of the next call.
    pub(super) record: Record,
    /// When no write had begun yet that records the next call.
    pub(super) unrecorded_at: Time,
}

/// Whether the store records that the next call is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Record {
    /// Not to be recorded yet.
    NotNeeded,
    /// To be recorded.
    Needed,
    /// The pending write records it.
    Writing,
    /// Recorded.
    Written,
}

/// Machine operations, and the state of machines that planning depends on.
#[derive(Clone, Debug, Default)]
pub(super) struct Tracker {
    /// Operations by host.
    pub(super) pending: BTreeMap<String, Pending>,
    /// Since when each machine has been without tasks.
    pub(super) idle_since: BTreeMap<String, Time>,
    /// When the last operation on each machine was over.
    pub(super) finished_at: BTreeMap<String, Time>,
    /// Waves with progress that the store lacks.
    pub(super) dirty_waves: BTreeSet<u64>,
    /// Waves in the pending write.
    pub(super) writing_waves: BTreeSet<u64>,
    /// Machines for which a previous leader may have sent a call, and the time until which this
    /// leader sends none.
    pub(super) held_until: BTreeMap<String, Time>,
    /// Until when a call for each machine may take effect that no pending operation tells of: it was a
    /// previous leader's, or had no answer.
    pub(super) effective_until: BTreeMap<String, Time>,
    /// When each machine was last listed as moving or under maintenance.
    pub(super) seen_at: BTreeMap<String, Time>,
    /// When pools were last logged.
    pub(super) pools_logged_at: Option<Time>,
    /// When the last machine list arrived.
    pub(super) listed_at: Option<Time>,
    /// When the last machine list was requested.
    pub(super) list_requested_at: Option<Time>,
    /// Host by the name of the instance on it.
    pub(super) host_by_instance: BTreeMap<String, String>,
}

/// A call to the platform that starts a machine operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The operation to start.
    pub operation: Operation,
}

impl Core {
    /// Forbids calls for a machine until `at`, since a previous leader may have sent one that takes effect
    /// until then. A time in the past tells what may have ended runs of which the store lacks the end.
    pub fn hold_machine(&mut self, host: &str, at: Time) {
        self.operations.held_until.insert(host.to_owned(), at);
        self.operations.effective_until.insert(host.to_owned(), at);
    }

    /// Whether calls for a machine are forbidden.
    pub(super) fn is_held(&self, now: Time, host: &str) -> bool {
        self.operations.held_until.get(host).is_some_and(|&until| now < until)
    }

    /// Whether an instance may be on a machine for which calls are forbidden: also if no list of this term
    /// tells on which machine it is.
    pub(super) fn may_be_called(&self, now: Time, key: instance::Key) -> bool {
        let operations = &self.operations;
        match operations.host_by_instance.get(&self.instance(key).report.id) {
            Some(host) => self.is_held(now, host),
            None => {
                operations.listed_at.is_none()
                    && operations.held_until.values().any(|&until| now < until)
            }
        }
    }

    /// Whether the store has to record calls that are about to be sent, or progress of waves.
    pub(super) fn has_operations_to_record(&self) -> bool {
        let mut pending = self.operations.pending.values();
        !self.operations.dirty_waves.is_empty()
            || pending.any(|pending| pending.record == Record::Needed)
    }

    /// Hosts to be recorded in the next write, since calls for them are about to be sent; at most
    /// `max`.
    ///
    /// The next leader reads from this record which machines to leave alone for a while.
    pub fn take_call_hosts(&mut self, max: usize) -> Vec<String> {
        let unrecorded = self
            .operations
            .pending
            .iter_mut()
            .filter(|(_, pending)| pending.record == Record::Needed);
        let hosts = unrecorded.take(max).map(|(host, pending)| {
            pending.record = Record::Writing;
            host.clone()
        });
        hosts.collect()
    }

    pub(super) fn abort_calls_write(&mut self) {
        for pending in self.operations.pending.values_mut() {
            if pending.record == Record::Writing {
                pending.record = Record::Needed;
            }
        }
        self.abort_waves_write();
    }

    pub(super) fn finish_calls_write(&mut self) {
        for pending in self.operations.pending.values_mut() {
            if pending.record == Record::Writing {
                pending.record = Record::Written;
            }
        }
        self.finish_waves_write();
    }

    /// Plans machine operations, and returns the calls that are due.
    pub fn machine_calls(&mut self, now: Time) -> Vec<Call> {
        if self.operations.listed_at.is_none() {
            return Vec::new();
        }
        self.log_pools(now);
        self.update_idle(now);
        self.drop_stale_moves(now);
        self.plan_maintenance(now);
        self.plan_moves(now);
        self.due_calls(now)
    }

    /// The instance to which a task in this phase is assigned.
    pub(super) fn instance_of(&self, phase: Phase) -> Option<&Instance> {
        phase.instance().map(|key| self.instance(key))
    }

    /// The instance that runs on a machine.
    pub(super) fn instance_on(&self, host: &str) -> Option<instance::Key> {
        let machine = self.machines.get(host)?;
        self.keys.get(&machine.instance).copied()
    }

    /// Calls for machines that are empty, or run only tasks that may be ended.
    fn due_calls(&mut self, now: Time) -> Vec<Call> {
        let mut calls = Vec::new();
        let hosts: Vec<String> = self.operations.pending.keys().cloned().collect();
        for host in hosts {
            let held = self.is_held(now, &host);
            let Some(pending) = self.operations.pending.get_mut(&host) else { continue };
            if pending.record == Record::Needed {
                pending.unrecorded_at = now;
            }
            if pending.accepted_at.is_some() || pending.next_call_at > now || held {
                continue;
            }
            if matches!(pending.record, Record::Needed | Record::Writing) {
                continue;
            }
            let covered = now.since(pending.unrecorded_at) <= MAX_RECORD_AGE;
            let recorded = pending.record == Record::Written && covered;
            let operation = pending.operation.clone();
            let called = pending.called;
            let outlived = called && now.since(pending.next_call_at) > MAX_ORDER_TIME;
            if !self.can_start(now, &operation) {
                if outlived {
                    // The last call has had no effect, and the others of a step need its machine.
                    self.remove_operation(&host);
                } else if !called {
                    self.evict_excess(now, &operation);
                }
                continue;
            }
            self.mark_machine_evicted(now, &host);
            if recorded {
                self.log_call(now, &host);
            }
            let Some(pending) = self.operations.pending.get_mut(&host) else { continue };
            if !recorded {
                pending.record = Record::Needed;
                pending.unrecorded_at = now;
                continue;
            }
            pending.called = true;
            pending.next_call_at = now + RETRY_DELAY;
            // A repeated call has to be recorded again.
            pending.record = Record::NotNeeded;
            info!(event = "duty", duty = %operation, state = "call");
            calls.push(Call { operation });
        }
        calls
    }

    /// Logs which long-running tasks the call for a machine is about to end.
    fn log_call(&self, now: Time, host: &str) {
        let called = self.operations.pending.get(host).is_some_and(|pending| pending.called);
        let cause = if called { Cause::RepeatedCall } else { Cause::Call };
        let Some(key) = self.instance_on(host) else { return };
        for &task in &self.instance(key).tasks {
            self.log_disruption(now, cause, task);
        }
    }

    /// Applies the platform's answer to a call.
    pub fn apply_operation_result(&mut self, now: Time, operation: &Operation, outcome: Outcome) {
        info!(event = "duty", duty = %operation, outcome = ?outcome);
        let Some(pending) = self.operations.pending.get_mut(operation.host()) else { return };
        if pending.operation != *operation {
            return;
        }
        match outcome {
            Outcome::Accepted => {
                pending.accepted_at = Some(now);
                if let Operation::Maintain { host, wave } = operation {
                    self.record_maintenance(*wave, host);
                    if let Some(key) = self.instance_on(host) {
                        self.instance_mut(key).ended_by_call = true;
                    }
                }
                self.mark_machine_unresponsive(now, operation.host());
            }
            Outcome::Later => {
                pending.next_call_at = now + RETRY_DELAY;
                pending.called = pending.uncertain;
            }
            Outcome::Unknown => {
                pending.next_call_at = now + RETRY_DELAY;
                pending.uncertain = true;
                let until = now + MAX_ORDER_TIME;
                self.operations.effective_until.insert(operation.host().to_owned(), until);
            }
            Outcome::Busy | Outcome::Refused => {
                if outcome == Outcome::Refused {
                    warn!(
                        event = "duty",
                        duty = %operation,
                        reason = "the platform refuses the operation permanently",
                    );
                }
                self.remove_operation(operation.host());
            }
        }
    }

    /// Marks the instance on a machine as unresponsive. An accepted operation ends all tasks on the
    /// machine, unless it had already been carried out before. Nothing is placed there until a
    /// machine list or a heartbeat shows which is the case.
    pub(super) fn mark_machine_unresponsive(&mut self, now: Time, host: &str) {
        let Some(key) = self.instance_on(host) else { return };
        let instance = self.instance_mut(key);
        instance.synced = false;
        instance.unresponsive_since = instance.unresponsive_since.or(Some(now));
        self.expiries.insert(key);
    }

    /// Removes an operation and releases the instance on its machine.
    pub(super) fn remove_operation(&mut self, host: &str) {
        self.operations.pending.remove(host);
        if let Some(key) = self.instance_on(host) {
            self.instance_mut(key).reserved = false;
        }
    }

    /// Removes operations that are over: their machine is up again or gone, or they are overdue.
    pub(super) fn remove_finished_operations(&mut self, now: Time) {
        let mut finished = Vec::new();
        for (host, pending) in &self.operations.pending {
            let Some(accepted_at) = pending.accepted_at else {
                if !self.machines.contains_key(host) {
                    finished.push(host.clone());
                }
                continue;
            };
            let duration = match &pending.operation {
                Operation::Move { .. } => self.tuning.move_time,
                Operation::Maintain { .. } => self.tuning.maintenance_time,
            };
            let up = self.machines.get(host).is_some_and(|machine| machine.state == State::Up);
            let gone = !self.machines.contains_key(host);
            if (up && now.since(accepted_at) >= duration)
                || gone
                || now.since(accepted_at) > duration + MAX_OVERRUN
            {
                finished.push(host.clone());
            }
        }
        for host in finished {
            self.remove_operation(&host);
            self.operations.finished_at.insert(host, now);
        }
    }

    /// Drops moves whose machine has not become empty in time.
    fn drop_stale_moves(&mut self, now: Time) {
        let stale: Vec<String> = self
            .operations
            .pending
            .iter()
            .filter(|(_, pending)| {
                !pending.called && now.since(pending.planned_at) > MAX_EMPTYING_TIME
            })
            .filter(|(_, pending)| matches!(pending.operation, Operation::Move { .. }))
            .map(|(host, _)| host.clone())
            .collect();
        for host in stale {
            self.remove_operation(&host);
        }
    }

    /// Adds an operation and reserves the instance on its machine.
    pub(super) fn plan_operation(&mut self, now: Time, operation: Operation) {
        info!(event = "duty", duty = %operation, state = "planned");
        if let Some(key) = self.instance_on(operation.host()) {
            self.instance_mut(key).reserved = true;
        }
        let host = operation.host().to_owned();
        let pending = Pending {
            operation,
            planned_at: now,
            next_call_at: now,
            accepted_at: None,
            called: false,
            uncertain: false,
            record: Record::NotNeeded,
            unrecorded_at: now,
        };
        self.operations.pending.insert(host, pending);
    }

    /// Whether accepted operations are under way, so that the lists of instances and machines
    /// should be read more often.
    pub fn has_accepted_operations(&self) -> bool {
        self.operations.pending.values().any(|pending| pending.accepted_at.is_some())
    }
}
