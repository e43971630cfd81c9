//! Polls instances: reads their reports and sends them their epochs.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use contract::Drain;
use contract::Health;
use contract::Report;
use fleet::fact;
use fleet::fact::Fact;
use fleet::instance::State as Phase;
use fleet::job;
use fleet::key;
use fleet::time::Time;

use super::Engine;
use super::Environment;
use super::InstanceClient;
use super::State;
use crate::poll;
use crate::poll::Liveness;
use crate::reports::Received;

impl<E: Environment> Engine<E> {
    /// Names of the instances to [poll](Self::poll) now.
    pub fn due(&self, now: Time) -> Vec<String> {
        let mut guard = self.state();
        let state = &mut *guard;
        let row_now = self.row_time(now);
        let mut instances = BTreeMap::new();
        for pool in state.held_pools().keys() {
            for (key, member) in state.world.members(*pool) {
                let must_open =
                    member.state == Phase::Serving && state.polls.is_draining(&member.name);
                let urgent =
                    must_open || awaits_answer(member.state) || state.is_changing(key, row_now);
                instances.insert(member.name.clone(), urgent);
            }
        }
        state.polls.due(&instances, now)
    }

    /// Reads the report of the instance `name`. Sends it a drain command if its epoch or its drain
    /// state is out of date.
    pub async fn poll(&self, name: &str, now: Time) {
        let Some(address) = self.address(name) else {
            self.state().polls.record_answer(name, None);
            return;
        };
        let report = self.core.instances.report(address).await.done();
        let health = report.as_ref().map(health);
        let command = health.as_ref().and_then(|health| self.drain_command(name, health, now));
        let health_after = match command {
            Some(command) => self.core.instances.drain(address, command).await.done(),
            None => None,
        };
        let mut state = self.state();
        let liveness = state.polls.record_answer(name, health);
        if health_after.is_some() {
            state.polls.record_answer(name, health_after);
        }
        state.record_liveness(name, liveness);
        if let Some(report) = report {
            state.record_report(name, &report, self.row_time(now));
        }
    }

    /// The address of the instance `name`, if it is known and valid.
    pub(super) fn address(&self, name: &str) -> Option<SocketAddr> {
        let state = self.state();
        let key = *state.world.names.instances.get(name)?;
        state.world.instances.get(key)?.address.parse().ok()
    }

    /// The drain command that the instance `name` needs, given its health.
    fn drain_command(&self, name: &str, health: &Health, now: Time) -> Option<Drain> {
        let state = self.state();
        let key = *state.world.names.instances.get(name)?;
        let instance = state.world.instances.get(key)?;
        let epoch = state.command_epoch(key, now)?;
        poll::drain_command(instance.state, epoch, health)
    }
}

impl State {
    /// The epoch (fencing token) for commands to an instance, or `None` if this entry may not
    /// command it. It may if it holds the duty of the instance's pool, has read all that previous
    /// holders recorded, and keeps up with the table's changes.
    pub(super) fn command_epoch(&self, instance: key::Instance, now: Time) -> Option<u64> {
        let instance = self.world.instances.get(instance)?;
        let duty = self.duty_of(instance.pool)?;
        let lease = self.held(&duty)?;
        let may_command = self.may_decide(now) && self.has_caught_up(lease);
        may_command.then(|| poll::epoch(instance.epoch, lease.row.epoch))
    }

    /// Whether an attempt on the instance has just started or is ending.
    fn is_changing(&self, instance: key::Instance, row_now: Time) -> bool {
        let grace = self.world.limits.start_grace();
        self.index.placed(instance).any(|job| {
            let job = self.world.jobs.get(job);
            let placed = job.and_then(|job| job.state.placed());
            placed.is_some_and(|attempt| {
                attempt.action.is_ending() || row_now.since(attempt.started) < grace
            })
        })
    }

    /// Queues the liveness of the instance `name` as a fact for the next decisions.
    fn record_liveness(&mut self, name: &str, liveness: Liveness) {
        let Some(&instance) = self.world.names.instances.get(name) else { return };
        let fact = match liveness {
            Liveness::Responsive => Fact::Healthy(instance),
            // `liveness` comes from the answer before the drain command, since that command gives
            // a new process its first epoch.
            Liveness::Restarted => Fact::Restarted(instance),
            Liveness::Unresponsive => Fact::Unresponsive(instance),
            Liveness::Missed => return,
        };
        self.facts.push(fact);
    }

    /// Queues a report that was requested at `row_now` for the next decisions.
    fn record_report(&mut self, name: &str, report: &Report, row_now: Time) {
        let Some(&instance) = self.world.names.instances.get(name) else { return };
        let epoch = poll::instance_epoch(report.epoch);
        let fact = fact::Report { epoch, ..report.to_fact(instance, row_now) };
        self.reports.receive(name, Received { report: fact, instance_time: report.now });
    }

    /// Jobs that keep a draining instance from being stopped, as `job NAME`.
    pub(super) fn jobs_blocking_drain(&self, instance: key::Instance) -> Vec<String> {
        let jobs = job::drain_blockers(&self.index, instance).into_iter();
        let jobs = jobs.filter_map(|job| self.world.jobs.get(job));
        jobs.map(|job| format!("job {}", job.name)).collect()
    }
}

/// The part of a report that a health check returns too.
fn health(report: &Report) -> Health {
    let Report { epoch, serving, now, in_flight, .. } = *report;
    Health { epoch, serving, now, in_flight }
}

/// Whether the instance's next state change depends on its answer to a poll.
fn awaits_answer(state: Phase) -> bool {
    matches!(state, Phase::Draining | Phase::Stopped | Phase::Checking)
}
