//! Calls to machines: each is told to the store, made, and followed until it is over.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;
use tracing::warn;

use super::Core;
use crate::instance;
use crate::instance::Instance;
use crate::job::Phase;
use crate::machine::Operation;
use crate::machine::Outcome;
use crate::machine::State;

/// Time after which a call without answer, or refused for the moment, is made again.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Longest wait for a machine to empty before its call is dropped: the longest short task.
const MAX_EMPTYING_TIME: Duration = Duration::from_secs(4);

/// Longest time a machine may take beyond its move or maintenance before it is listed as up.
const MAX_OVERRUN: Duration = Duration::from_secs(3);

/// A call on its way to a machine.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) operation: Operation,
    /// When it was decided.
    pub(super) planned_at: Time,
    /// When it is to be made, or made again.
    pub(super) next_call_at: Time,
    /// When the platform accepted it.
    pub(super) accepted_at: Option<Time>,
    /// Whether it may have been made.
    pub(super) called: bool,
    /// Whether the store knows that it is about to be made.
    pub(super) record: Record,
}

/// Whether the store knows of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Record {
    /// It need not yet.
    NotNeeded,
    /// It should.
    Needed,
    /// A write that says so is under way.
    Writing,
    /// It does.
    Written,
}

/// Calls to machines, and what else is known of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Tracker {
    pub(super) pending: BTreeMap<String, Pending>,
    /// Since when a machine has been without tasks.
    pub(super) idle_since: BTreeMap<String, Time>,
    /// When a machine last came into its pool.
    pub(super) finished_at: BTreeMap<String, Time>,
    /// Whether the store lacks what is known of waves.
    pub(super) waves_dirty: bool,
    /// Machines that an earlier holder may have called lately: not before this time.
    pub(super) held_until: BTreeMap<String, Time>,
    /// When pools were last logged.
    pub(super) pools_logged_at: Option<Time>,
    /// When machines were last listed.
    pub(super) listed_at: Option<Time>,
    /// When that list was asked for.
    pub(super) list_requested_at: Option<Time>,
    /// Machines by the instance on them.
    pub(super) host_by_instance: BTreeMap<String, String>,
}

/// A call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// What is asked.
    pub operation: Operation,
}

impl Core {
    /// Forbids calls to a machine until `at`: an earlier holder may have made one.
    pub fn hold_machine(&mut self, host: &str, at: Time) {
        self.operations.held_until.insert(host.to_owned(), at);
    }

    pub(super) fn is_held(&self, now: Time, host: &str) -> bool {
        self.operations.held_until.get(host).is_some_and(|&until| now < until)
    }

    /// Whether the store should know of calls that are about to be made.
    pub(super) fn has_calls_to_record(&self) -> bool {
        self.operations.pending.values().any(|errand| errand.record == Record::Needed)
    }

    /// Machines that are about to be called, for the next write, `most` at the most.
    ///
    /// A successor reads there which machines it must leave alone for a while.
    pub fn take_call_hosts(&mut self, most: usize) -> Vec<String> {
        let wanted =
            self.operations.pending.iter_mut().filter(|(_, row)| row.record == Record::Needed);
        let hosts = wanted.take(most).map(|(host, errand)| {
            errand.record = Record::Writing;
            host.clone()
        });
        hosts.collect()
    }

    pub(super) fn abort_calls_write(&mut self) {
        for errand in self.operations.pending.values_mut() {
            if errand.record == Record::Writing {
                errand.record = Record::Needed;
            }
        }
        self.operations.waves_dirty |= !self.waves.is_empty();
    }

    pub(super) fn finish_calls_write(&mut self) {
        for errand in self.operations.pending.values_mut() {
            if errand.record == Record::Writing {
                errand.record = Record::Written;
            }
        }
    }

    /// Decides what machines are to do, and tells the calls that are due.
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

    pub(super) fn instance_of(&self, phase: Phase) -> Option<&Instance> {
        phase.instance().map(|key| self.instance(key))
    }

    pub(super) fn instance_on(&self, host: &str) -> Option<instance::Key> {
        let machine = self.machines.get(host)?;
        self.keys.get(&machine.instance).copied()
    }

    /// Calls for machines that are empty, or hold nothing that may not be ended.
    fn due_calls(&mut self, now: Time) -> Vec<Call> {
        let mut calls = Vec::new();
        let hosts: Vec<String> = self.operations.pending.keys().cloned().collect();
        for host in hosts {
            let errand = &self.operations.pending[&host];
            if errand.accepted_at.is_some() || errand.next_call_at > now || self.is_held(now, &host)
            {
                continue;
            }
            if matches!(errand.record, Record::Needed | Record::Writing) {
                continue;
            }
            let logged = errand.record == Record::Written;
            let duty = errand.operation.clone();
            if !errand.called && !self.can_start(now, &duty) {
                self.evict_excess(now, &duty);
                continue;
            }
            if !errand.called {
                self.mark_evicted(&host);
            }
            let Some(errand) = self.operations.pending.get_mut(&host) else { continue };
            if !logged {
                errand.record = Record::Needed;
                continue;
            }
            errand.called = true;
            errand.next_call_at = now + RETRY_DELAY;
            // Each further call has to be known, too.
            errand.record = Record::NotNeeded;
            info!(event = "duty", %duty, state = "call");
            calls.push(Call { operation: duty });
        }
        calls
    }

    /// Takes in what came of a call.
    pub fn apply_operation_result(&mut self, now: Time, duty: &Operation, outcome: Outcome) {
        info!(event = "duty", %duty, outcome = ?outcome);
        let Some(errand) = self.operations.pending.get_mut(duty.host()) else { return };
        if errand.operation != *duty {
            return;
        }
        match outcome {
            Outcome::Accepted => {
                errand.accepted_at = Some(now);
                if let Operation::Maintain { host, wave } = duty {
                    self.record_maintenance(*wave, host);
                }
                self.mark_machine_unresponsive(now, duty.host());
            }
            Outcome::Later | Outcome::Unknown => errand.next_call_at = now + RETRY_DELAY,
            Outcome::Busy | Outcome::Refused => {
                if outcome == Outcome::Refused {
                    warn!(event = "duty", %duty, reason = "the platform refuses it for good");
                }
                self.remove_operation(duty.host());
            }
        }
    }

    /// An accepted call ends all that runs on a machine, unless its work was done before. Nothing is
    /// placed there until a list or a look tells which.
    pub(super) fn mark_machine_unresponsive(&mut self, now: Time, host: &str) {
        let Some(key) = self.instance_on(host) else { return };
        let runner = self.instance_mut(key);
        runner.synced = false;
        runner.unresponsive_since = runner.unresponsive_since.or(Some(now));
    }

    pub(super) fn remove_operation(&mut self, host: &str) {
        self.operations.pending.remove(host);
        if let Some(key) = self.instance_on(host) {
            self.instance_mut(key).reserved = false;
        }
    }

    /// Ends errands that are over: the machine is up again with another instance.
    pub(super) fn remove_finished_operations(&mut self, now: Time) {
        let mut over = Vec::new();
        for (host, errand) in &self.operations.pending {
            let Some(accepted) = errand.accepted_at else {
                if !self.machines.contains_key(host) {
                    over.push(host.clone());
                }
                continue;
            };
            let time = match &errand.operation {
                Operation::Move { .. } => self.tuning.move_time,
                Operation::Maintain { .. } => self.tuning.maintenance_time,
            };
            let up = self.machines.get(host).is_some_and(|machine| machine.state == State::Up);
            let gone = !self.machines.contains_key(host);
            if (up && now.since(accepted) >= time)
                || gone
                || now.since(accepted) > time + MAX_OVERRUN
            {
                over.push(host.clone());
            }
        }
        for host in over {
            self.remove_operation(&host);
            self.operations.finished_at.insert(host, now);
        }
    }

    /// Drops moves whose machine does not become empty.
    fn drop_stale_moves(&mut self, now: Time) {
        let stale: Vec<String> = self
            .operations
            .pending
            .iter()
            .filter(|(_, errand)| {
                !errand.called && now.since(errand.planned_at) > MAX_EMPTYING_TIME
            })
            .filter(|(_, errand)| matches!(errand.operation, Operation::Move { .. }))
            .map(|(host, _)| host.clone())
            .collect();
        for host in stale {
            self.remove_operation(&host);
        }
    }

    pub(super) fn plan_operation(&mut self, now: Time, duty: Operation) {
        info!(event = "duty", %duty, state = "planned");
        if let Some(key) = self.instance_on(duty.host()) {
            self.instance_mut(key).reserved = true;
        }
        let host = duty.host().to_owned();
        let errand = Pending {
            operation: duty,
            planned_at: now,
            next_call_at: now,
            accepted_at: None,
            called: false,
            record: Record::NotNeeded,
        };
        self.operations.pending.insert(host, errand);
    }

    /// Whether machines are on their way, so that lists should be read more often.
    pub fn has_accepted_operations(&self) -> bool {
        self.operations.pending.values().any(|errand| errand.accepted_at.is_some())
    }
}
