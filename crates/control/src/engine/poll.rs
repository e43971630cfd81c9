//! Asks instances how they are and tells them their epochs.

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

impl<P: Environment> Engine<P> {
    /// Names of the instances to [poll](Self::poll) now.
    pub fn due(&self, now: Time) -> Vec<String> {
        let mut guard = self.state();
        let state = &mut *guard;
        let row_now = self.row_time(now);
        let mut wanted = BTreeMap::new();
        for pool in state.held_pools().keys() {
            for (key, member) in state.world.members(*pool) {
                let untold =
                    member.state == Phase::Serving && state.polls.is_draining(&member.name);
                let soon = untold || awaits_answer(member.state) || state.is_changing(key, row_now);
                wanted.insert(member.name.clone(), soon);
            }
        }
        state.polls.due(&wanted, now)
    }

    /// Asks one instance how it is, and tells it its epoch and whether to drain.
    pub async fn poll(&self, name: &str, now: Time) {
        let Some(address) = self.address(name) else {
            self.state().polls.record_answer(name, None);
            return;
        };
        let report = self.core.instances.report(address).await.done();
        let health = report.as_ref().map(health);
        let order = health.as_ref().and_then(|health| self.drain_command(name, health, now));
        let told = match order {
            Some(order) => self.core.instances.drain(address, order).await.done(),
            None => None,
        };
        let mut state = self.state();
        let sign = state.polls.record_answer(name, health);
        if told.is_some() {
            state.polls.record_answer(name, told);
        }
        state.record_liveness(name, sign);
        if let Some(report) = report {
            state.record_report(name, &report, self.row_time(now));
        }
    }

    pub(super) fn address(&self, name: &str) -> Option<SocketAddr> {
        let state = self.state();
        let key = *state.world.names.instances.get(name)?;
        state.world.instances.get(key)?.address.parse().ok()
    }

    fn drain_command(&self, name: &str, health: &Health, now: Time) -> Option<Drain> {
        let state = self.state();
        let key = *state.world.names.instances.get(name)?;
        let instance = state.world.instances.get(key)?;
        let epoch = state.command_epoch(key, now)?;
        poll::drain_command(instance.state, epoch, health)
    }
}

impl State {
    /// The epoch to tell an instance with, if this entry may tell it anything: it holds the duty of
    /// its pool, has read all that was recorded before it took that up, and reads the table's
    /// changes at present.
    pub(super) fn command_epoch(&self, instance: key::Instance, now: Time) -> Option<u64> {
        let instance = self.world.instances.get(instance)?;
        let duty = self.duty_of(instance.pool)?;
        let held = self.held(&duty)?;
        let may = self.may_decide(now) && self.has_caught_up(held);
        may.then(|| poll::epoch(instance.epoch, held.row.epoch))
    }

    /// Whether an attempt at the instance has just started, or is about to leave.
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

    fn record_liveness(&mut self, name: &str, sign: Liveness) {
        let Some(&instance) = self.world.names.instances.get(name) else { return };
        let fact = match sign {
            Liveness::Responsive => Fact::Healthy(instance),
            // Told by its first answer, not by the one after it was told its epoch.
            Liveness::Restarted => Fact::Restarted(instance),
            Liveness::Unresponsive => Fact::Unresponsive(instance),
            Liveness::Missed => return,
        };
        self.facts.push(fact);
    }

    /// Notes a report that was asked for at `row_now`.
    fn record_report(&mut self, name: &str, report: &Report, row_now: Time) {
        let Some(&instance) = self.world.names.instances.get(name) else { return };
        let epoch = poll::instance_epoch(report.epoch);
        let fact = fact::Report { epoch, ..report.to_fact(instance, row_now) };
        self.reports.receive(name, Received { report: fact, worker_time: report.now });
    }

    /// What keeps an instance from being quiet beside requests: jobs that have room there.
    pub(super) fn jobs_blocking_drain(&self, instance: key::Instance) -> Vec<String> {
        let jobs = job::drain_blockers(&self.index, instance).into_iter();
        let names = jobs.filter_map(|job| self.world.jobs.get(job));
        names.map(|job| format!("job {}", job.name)).collect()
    }
}

/// What a report says that a health check would.
fn health(report: &Report) -> Health {
    let Report { epoch, serving, now, in_flight, .. } = *report;
    Health { epoch, serving, now, in_flight }
}

/// Whether the next step of an instance waits for its answer.
fn awaits_answer(state: Phase) -> bool {
    matches!(state, Phase::Draining | Phase::Stopped | Phase::Checking)
}
