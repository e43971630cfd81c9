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
const RETRY: Duration = Duration::from_millis(400);

/// Longest wait for a machine to empty before its call is dropped: the longest short task.
const PATIENCE: Duration = Duration::from_secs(4);

/// Longest time a machine may take beyond its move or maintenance before it is listed as up.
const OVERRUN: Duration = Duration::from_secs(3);

/// A call on its way to a machine.
#[derive(Clone, Debug)]
pub(super) struct Errand {
    pub(super) duty: Operation,
    /// When it was decided.
    pub(super) since: Time,
    /// When it is to be made, or made again.
    pub(super) next: Time,
    /// When the platform accepted it.
    pub(super) accepted: Option<Time>,
    /// Whether it may have been made.
    pub(super) called: bool,
    /// Whether the store knows that it is about to be made.
    pub(super) log: Log,
}

/// Whether the store knows of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Log {
    /// It need not yet.
    Idle,
    /// It should.
    Wanted,
    /// A write that says so is under way.
    Writing,
    /// It does.
    Written,
}

/// Calls to machines, and what else is known of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Ledger {
    pub(super) errands: BTreeMap<String, Errand>,
    /// Since when a machine has been without tasks.
    pub(super) idle: BTreeMap<String, Time>,
    /// When a machine last came into its pool.
    pub(super) arrived: BTreeMap<String, Time>,
    /// Whether the store lacks what is known of waves.
    pub(super) dirty: bool,
    /// Machines that an earlier holder may have called lately: not before this time.
    pub(super) held: BTreeMap<String, Time>,
    /// When pools were last logged.
    pub(super) logged: Option<Time>,
    /// When machines were last listed.
    pub(super) listed: Option<Time>,
    /// When that list was asked for.
    pub(super) asked: Option<Time>,
    /// Machines by the instance on them.
    pub(super) hosts: BTreeMap<String, String>,
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
        self.duties.held.insert(host.to_owned(), at);
    }

    pub(super) fn is_held(&self, now: Time, host: &str) -> bool {
        self.duties.held.get(host).is_some_and(|&until| now < until)
    }

    /// Whether the store should know of calls that are about to be made.
    pub(super) fn has_calls(&self) -> bool {
        self.duties.errands.values().any(|errand| errand.log == Log::Wanted)
    }

    /// Machines that are about to be called, for the next write, `most` at the most.
    ///
    /// A successor reads there which machines it must leave alone for a while.
    pub fn take_call_hosts(&mut self, most: usize) -> Vec<String> {
        let wanted = self.duties.errands.iter_mut().filter(|(_, row)| row.log == Log::Wanted);
        let hosts = wanted.take(most).map(|(host, errand)| {
            errand.log = Log::Writing;
            host.clone()
        });
        hosts.collect()
    }

    pub(super) fn calls_unwritten(&mut self) {
        for errand in self.duties.errands.values_mut() {
            if errand.log == Log::Writing {
                errand.log = Log::Wanted;
            }
        }
        self.duties.dirty |= !self.waves.is_empty();
    }

    pub(super) fn calls_written(&mut self) {
        for errand in self.duties.errands.values_mut() {
            if errand.log == Log::Writing {
                errand.log = Log::Written;
            }
        }
    }

    /// Decides what machines are to do, and tells the calls that are due.
    pub fn machine_calls(&mut self, now: Time) -> Vec<Call> {
        if self.duties.listed.is_none() {
            return Vec::new();
        }
        self.log_pools(now);
        self.note_idle(now);
        self.drop_stale(now);
        self.plan_upkeep(now);
        self.plan_moves(now);
        self.due_calls(now)
    }

    pub(super) fn runner_of(&self, phase: Phase) -> Option<&Instance> {
        phase.instance().map(|key| self.instance(key))
    }

    pub(super) fn host_runner(&self, host: &str) -> Option<instance::Key> {
        let machine = self.machines.get(host)?;
        self.names.get(&machine.instance).copied()
    }

    /// Calls for machines that are empty, or hold nothing that may not be ended.
    fn due_calls(&mut self, now: Time) -> Vec<Call> {
        let mut calls = Vec::new();
        let hosts: Vec<String> = self.duties.errands.keys().cloned().collect();
        for host in hosts {
            let errand = &self.duties.errands[&host];
            if errand.accepted.is_some() || errand.next > now || self.is_held(now, &host) {
                continue;
            }
            if matches!(errand.log, Log::Wanted | Log::Writing) {
                continue;
            }
            let logged = errand.log == Log::Written;
            let duty = errand.duty.clone();
            if !errand.called && !self.is_clear(now, &duty) {
                self.evacuate(now, &duty);
                continue;
            }
            if !errand.called {
                self.mark_away(&host);
            }
            let Some(errand) = self.duties.errands.get_mut(&host) else { continue };
            if !logged {
                errand.log = Log::Wanted;
                continue;
            }
            errand.called = true;
            errand.next = now + RETRY;
            // Each further call has to be known, too.
            errand.log = Log::Idle;
            info!(event = "duty", %duty, state = "call");
            calls.push(Call { operation: duty });
        }
        calls
    }

    /// Takes in what came of a call.
    pub fn apply_operation_result(&mut self, now: Time, duty: &Operation, outcome: Outcome) {
        info!(event = "duty", %duty, outcome = ?outcome);
        let Some(errand) = self.duties.errands.get_mut(duty.host()) else { return };
        if errand.duty != *duty {
            return;
        }
        match outcome {
            Outcome::Accepted => {
                errand.accepted = Some(now);
                if let Operation::Maintain { host, wave } = duty {
                    self.begin_upkeep(*wave, host);
                }
                self.suspect_machine(now, duty.host());
            }
            Outcome::Later | Outcome::Unknown => errand.next = now + RETRY,
            Outcome::Busy | Outcome::Refused => {
                if outcome == Outcome::Refused {
                    warn!(event = "duty", %duty, reason = "the platform refuses it for good");
                }
                self.drop_errand(duty.host());
            }
        }
    }

    /// An accepted call ends all that runs on a machine, unless its work was done before. Nothing is
    /// placed there until a list or a look tells which.
    pub(super) fn suspect_machine(&mut self, now: Time, host: &str) {
        let Some(key) = self.host_runner(host) else { return };
        let runner = self.instance_mut(key);
        runner.synced = false;
        runner.unresponsive_since = runner.unresponsive_since.or(Some(now));
    }

    pub(super) fn drop_errand(&mut self, host: &str) {
        self.duties.errands.remove(host);
        if let Some(key) = self.host_runner(host) {
            self.instance_mut(key).reserved = false;
        }
    }

    /// Ends errands that are over: the machine is up again with another instance.
    pub(super) fn settle_errands(&mut self, now: Time) {
        let mut over = Vec::new();
        for (host, errand) in &self.duties.errands {
            let Some(accepted) = errand.accepted else {
                if !self.machines.contains_key(host) {
                    over.push(host.clone());
                }
                continue;
            };
            let time = match &errand.duty {
                Operation::Move { .. } => self.tuning.move_time,
                Operation::Maintain { .. } => self.tuning.maintenance_time,
            };
            let up = self.machines.get(host).is_some_and(|machine| machine.state == State::Up);
            let gone = !self.machines.contains_key(host);
            if (up && now.since(accepted) >= time) || gone || now.since(accepted) > time + OVERRUN {
                over.push(host.clone());
            }
        }
        for host in over {
            self.drop_errand(&host);
            self.duties.arrived.insert(host, now);
        }
    }

    /// Drops moves whose machine does not become empty.
    fn drop_stale(&mut self, now: Time) {
        let stale: Vec<String> = self
            .duties
            .errands
            .iter()
            .filter(|(_, errand)| !errand.called && now.since(errand.since) > PATIENCE)
            .filter(|(_, errand)| matches!(errand.duty, Operation::Move { .. }))
            .map(|(host, _)| host.clone())
            .collect();
        for host in stale {
            self.drop_errand(&host);
        }
    }

    pub(super) fn begin(&mut self, now: Time, duty: Operation) {
        info!(event = "duty", %duty, state = "planned");
        if let Some(key) = self.host_runner(duty.host()) {
            self.instance_mut(key).reserved = true;
        }
        let host = duty.host().to_owned();
        let errand =
            Errand { duty, since: now, next: now, accepted: None, called: false, log: Log::Idle };
        self.duties.errands.insert(host, errand);
    }

    /// Whether machines are on their way, so that lists should be read more often.
    pub fn has_accepted_operations(&self) -> bool {
        self.duties.errands.values().any(|errand| errand.accepted.is_some())
    }
}
