//! Proposes decisions for the held duties from facts, reports and the present state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use fleet::decision::Decision;
use fleet::fact::Fact;
use fleet::instance::State as Phase;
use fleet::job;
use fleet::key;
use fleet::pool;
use fleet::time::Time;
use fleet::wave;

use super::Proposal;
use crate::drain::Readiness;
use crate::duty::Duty;
use crate::engine::State;
use crate::reports::Received;

impl State {
    /// The proposals of all held duties, and the reports considered for them by instance name.
    pub(super) fn proposals(
        &mut self,
        now: Time,
        row_now: Time,
    ) -> (Vec<Proposal>, BTreeMap<String, Received>) {
        let pools = self.caught_up_pools();
        let keys: BTreeSet<_> = pools.keys().copied().collect();
        let mut proposals = Vec::new();
        for fact in self.collect_facts(&keys, now) {
            self.observe(&fact, &pools, row_now, &mut proposals);
        }
        let mut reports = self.reports.take_pending();
        reports.retain(|_, received| self.is_in_pools(received.report.instance, &keys));
        for (name, received) in &reports {
            let first = proposals.len();
            self.observe(&Fact::Report(received.report.clone()), &pools, row_now, &mut proposals);
            proposals[first..].iter_mut().for_each(|proposal| proposal.report = Some(name.clone()));
        }
        self.propose_enlistments(&pools, &keys, &mut proposals);
        self.propose_plans(&pools, &keys, row_now, &mut proposals);
        (proposals, reports)
    }

    /// Pools whose duty this entry holds, and of which it has read all that previous holders
    /// recorded.
    fn caught_up_pools(&self) -> BTreeMap<key::Pool, Duty> {
        let mut pools = self.held_pools();
        pools.retain(|_, duty| self.held(duty).is_some_and(|lease| self.has_caught_up(lease)));
        pools
    }

    /// Whether the instance is a member of one of `pools`.
    fn is_in_pools(&self, instance: key::Instance, pools: &BTreeSet<key::Pool>) -> bool {
        self.world.instances.get(instance).is_some_and(|value| pools.contains(&value.pool))
    }

    /// Records a fact and proposes the decisions that it calls for.
    fn observe(
        &mut self,
        fact: &Fact,
        pools: &BTreeMap<key::Pool, Duty>,
        row_now: Time,
        proposals: &mut Vec<Proposal>,
    ) {
        self.world.record(fact, row_now);
        let Some(duty) = self.pool_of_fact(fact).and_then(|pool| pools.get(&pool)) else { return };
        for decision in pool::observe(&self.world, fact, row_now) {
            proposals.push(proposal(duty, decision.into()));
        }
        for decision in job::observe(&self.world, &self.index, fact, row_now) {
            proposals.extend(self.propose_job(decision, pools));
        }
    }

    /// Proposes to record listed instances that are new or have changed.
    fn propose_enlistments(
        &mut self,
        pools: &BTreeMap<key::Pool, Duty>,
        keys: &BTreeSet<key::Pool>,
        proposals: &mut Vec<Proposal>,
    ) {
        for instance in self.discovery.changed_instances(&mut self.world, keys) {
            let Some(duty) = pools.get(&instance.pool) else { continue };
            let decision = pool::Decision::Enlist(Box::new(instance));
            proposals.push(proposal(duty, decision.into()));
        }
    }

    /// Proposes the planned decisions about pools, jobs and waves.
    fn propose_plans(
        &self,
        pools: &BTreeMap<key::Pool, Duty>,
        keys: &BTreeSet<key::Pool>,
        row_now: Time,
        proposals: &mut Vec<Proposal>,
    ) {
        for (pool, duty) in pools {
            for decision in pool::plan(&self.world, &BTreeSet::from([*pool]), row_now) {
                proposals.push(proposal(duty, decision.into()));
            }
        }
        for decision in job::plan(&self.world, &self.index, keys, row_now) {
            proposals.extend(self.propose_job(decision, pools));
        }
        for (wave, duty) in self.held_waves() {
            for decision in wave::plan(&self.world, &BTreeSet::from([wave]), row_now) {
                proposals.push(proposal(&duty, decision.into()));
            }
        }
    }

    /// A proposal about a job, if this entry holds the duty of the job's pool.
    fn propose_job(
        &self,
        decision: job::Decision,
        pools: &BTreeMap<key::Pool, Duty>,
    ) -> Option<Proposal> {
        let duty = pools.get(&self.pool_of_job(&decision)?)?;
        Some(proposal(duty, decision.into()))
    }

    /// Collects the facts about the instances of these pools: queued facts, the instance list and
    /// the progress of drains.
    fn collect_facts(&mut self, pools: &BTreeSet<key::Pool>, now: Time) -> Vec<Fact> {
        let mut facts = std::mem::take(&mut self.facts);
        facts.extend(self.discovery.facts(&self.world, pools));
        let members = pools.iter().flat_map(|&pool| self.world.members(pool));
        for (instance, member) in members.filter(|(_, member)| member.state == Phase::Draining) {
            facts.push(self.drain_fact(instance, &member.name, member.epoch, now));
        }
        facts
    }

    /// Whether a draining instance may be stopped, and if not, what blocks its drain.
    fn drain_fact(&self, instance: key::Instance, name: &str, epoch: u64, now: Time) -> Fact {
        let intake = self.polls.intake(name);
        let mut blockers = self.jobs_blocking_drain(instance);
        if let Readiness::Blocked(senders) = self.senders.readiness(name, epoch, intake, now) {
            blockers.extend(senders);
        }
        if blockers.is_empty() {
            Fact::Quiesced(instance)
        } else {
            Fact::Unacknowledged { instance, by: blockers }
        }
    }

    /// The pool of the instance that a fact is about.
    fn pool_of_fact(&self, fact: &Fact) -> Option<key::Pool> {
        let instance = match fact {
            Fact::Listed { instance, .. }
            | Fact::Unacknowledged { instance, .. }
            | Fact::Refused { instance, .. } => instance,
            Fact::Unlisted(instance)
            | Fact::Healthy(instance)
            | Fact::Restarted(instance)
            | Fact::Unresponsive(instance)
            | Fact::Quiesced(instance) => instance,
            Fact::Report(report) => &report.instance,
            Fact::Demand(_) => return None,
        };
        self.world.instances.get(*instance).map(|instance| instance.pool)
    }
}

/// Creates a proposal. The caller sets `report` if a report called for it.
fn proposal(duty: &Duty, decision: Decision) -> Proposal {
    Proposal { duty: duty.clone(), decision, report: None }
}
