//! What the held duties want, from what has been found out.

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

use super::Wanted;
use crate::drain::Readiness;
use crate::duty::Duty;
use crate::engine::State;
use crate::reports::Received;

impl State {
    /// What the held duties want, and the reports that have been looked at for it.
    pub(super) fn wanted(
        &mut self,
        now: Time,
        row_now: Time,
    ) -> (Vec<Wanted>, BTreeMap<String, Received>) {
        let pools = self.ready_pools();
        let keys: BTreeSet<_> = pools.keys().copied().collect();
        let mut wanted = Vec::new();
        for fact in self.gather(&keys, now) {
            self.observe(&fact, &pools, row_now, &mut wanted);
        }
        let mut reports = self.reports.take_pending();
        reports.retain(|_, fresh| self.is_in(fresh.report.instance, &keys));
        for (name, fresh) in &reports {
            let first = wanted.len();
            self.observe(&Fact::Report(fresh.report.clone()), &pools, row_now, &mut wanted);
            wanted[first..].iter_mut().for_each(|wanted| wanted.report = Some(name.clone()));
        }
        self.enlist(&pools, &keys, &mut wanted);
        self.plan(&pools, &keys, row_now, &mut wanted);
        (wanted, reports)
    }

    /// Pools whose duty this entry holds and for which it knows all that was recorded before.
    fn ready_pools(&self) -> BTreeMap<key::Pool, Duty> {
        let mut pools = self.held_pools();
        pools.retain(|_, duty| self.held(duty).is_some_and(|held| self.has_caught_up(held)));
        pools
    }

    fn is_in(&self, instance: key::Instance, pools: &BTreeSet<key::Pool>) -> bool {
        self.world.instances.get(instance).is_some_and(|value| pools.contains(&value.pool))
    }

    fn observe(
        &mut self,
        fact: &Fact,
        pools: &BTreeMap<key::Pool, Duty>,
        row_now: Time,
        wanted: &mut Vec<Wanted>,
    ) {
        self.world.record(fact, row_now);
        let Some(duty) = self.pool_about(fact).and_then(|pool| pools.get(&pool)) else { return };
        for decision in pool::observe(&self.world, fact, row_now) {
            wanted.push(want(duty, decision.into()));
        }
        for decision in job::observe(&self.world, &self.index, fact, row_now) {
            wanted.extend(self.want_job(decision, pools));
        }
    }

    fn enlist(
        &mut self,
        pools: &BTreeMap<key::Pool, Duty>,
        keys: &BTreeSet<key::Pool>,
        wanted: &mut Vec<Wanted>,
    ) {
        for instance in self.discovery.changed_instances(&mut self.world, keys) {
            let Some(duty) = pools.get(&instance.pool) else { continue };
            let decision = pool::Decision::Enlist(Box::new(instance));
            wanted.push(want(duty, decision.into()));
        }
    }

    fn plan(
        &self,
        pools: &BTreeMap<key::Pool, Duty>,
        keys: &BTreeSet<key::Pool>,
        row_now: Time,
        wanted: &mut Vec<Wanted>,
    ) {
        for (pool, duty) in pools {
            for decision in pool::plan(&self.world, &BTreeSet::from([*pool]), row_now) {
                wanted.push(want(duty, decision.into()));
            }
        }
        for decision in job::plan(&self.world, &self.index, keys, row_now) {
            wanted.extend(self.want_job(decision, pools));
        }
        for (wave, duty) in self.held_waves() {
            for decision in wave::plan(&self.world, &BTreeSet::from([wave]), row_now) {
                wanted.push(want(&duty, decision.into()));
            }
        }
    }

    fn want_job(
        &self,
        decision: job::Decision,
        pools: &BTreeMap<key::Pool, Duty>,
    ) -> Option<Wanted> {
        let duty = pools.get(&self.pool_of_job(&decision)?)?;
        Some(want(duty, decision.into()))
    }

    /// What has been found out about the instances of these pools.
    fn gather(&mut self, pools: &BTreeSet<key::Pool>, now: Time) -> Vec<Fact> {
        let mut facts = std::mem::take(&mut self.facts);
        facts.extend(self.discovery.facts(&self.world, pools));
        let members = pools.iter().flat_map(|&pool| self.world.members(pool));
        for (instance, member) in members.filter(|(_, member)| member.state == Phase::Draining) {
            facts.push(self.judge(instance, &member.name, member.epoch, now));
        }
        facts
    }

    /// Whether a draining instance may be stopped.
    fn judge(&self, instance: key::Instance, name: &str, epoch: u64, now: Time) -> Fact {
        let fence = self.polls.intake(name);
        let mut by = self.holding(instance);
        if let Readiness::Blocked(senders) = self.senders.readiness(name, epoch, fence, now) {
            by.extend(senders);
        }
        if by.is_empty() { Fact::Quiesced(instance) } else { Fact::Unacknowledged { instance, by } }
    }

    /// The pool of the instance that a fact is about.
    fn pool_about(&self, fact: &Fact) -> Option<key::Pool> {
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

fn want(duty: &Duty, decision: Decision) -> Wanted {
    Wanted { duty: duty.clone(), decision, report: None }
}
