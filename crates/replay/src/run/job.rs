//! Jobs in a replay: submitted, decided on, and told to the workers.

use std::time::Duration;

use fleet::decision::Decision;
use fleet::fact::Fact;
use fleet::fact::Report;
use fleet::job;
use fleet::job::Submit;
use fleet::time::Time;

use super::Replay;
use super::duty::Holder;
use crate::policy::Decide;
use crate::replica::Fate;
use crate::trace::Batch;

impl<D: Decide> Replay<D> {
    /// Submits the jobs of a batch. Those that are refused are counted.
    pub(super) fn submit(&mut self, batch: &Batch, now: Time) {
        for number in 0..batch.count {
            let name = format!("{}{number}", batch.name);
            let Batch { organisation, team, kind, .. } = batch;
            let request = Submit::of_kind(&self.config, organisation, team, kind, &name);
            let Ok(request) = request else {
                self.measures.jobs.refused += 1;
                continue;
            };
            match job::admit(&self.pools.world, &request, now) {
                Ok(decision) => {
                    self.crew.expect(&name, batch, &request.spec);
                    self.measures.jobs.submitted(&name, &request.spec, now);
                    self.acts.push(decision.into());
                }
                Err(_) => self.measures.jobs.refused += 1,
            }
        }
    }

    /// Cancels the jobs of a team, all or those of one kind.
    pub(super) fn cancel(&mut self, organisation: &str, team: &str, kind: Option<&str>) {
        let world = &self.operator.world;
        let Some(&organisation) = world.names.organisations.get(organisation) else { return };
        let Some(&team) = world.names.teams.get(&(organisation, team.to_owned())) else { return };
        let decisions = job::cancel_team(world, &self.operator.index, team, kind);
        self.acts.extend(decisions.into_iter().map(Decision::from));
    }

    /// One round of the duty for jobs.
    pub(super) fn job_round(&mut self, now: Time) {
        self.crew.advance(&self.site, now);
        for fact in self.site.facts(&self.pools.world, now) {
            if matches!(fact, Fact::Silent(_) | Fact::Unlisted(_)) {
                self.observe(&fact, now);
            }
        }
        self.miss_unreachable(now);
        let reports = self.crew.reports(&self.site, &self.pools.world, self.report_age, now);
        let cleared: Vec<_> =
            reports.into_iter().filter(|report| self.clear(report, now)).collect();
        for decision in self.policy.jobs(&self.pools.world, &self.pools.index, now) {
            self.carry_out(Holder::Pools, decision, now);
        }
        for report in &cleared {
            self.tell(report, now);
        }
        self.measures.jobs.step(&self.watch, now);
    }

    /// Workers that nothing reaches count as silent.
    fn miss_unreachable(&mut self, now: Time) {
        let world = &self.pools.world;
        let keys = world.names.instances.iter();
        let missed = keys.filter(|(name, _)| self.crew.is_unreachable(name));
        let missed: Vec<_> = missed.map(|(_, &key)| Fact::Silent(key)).collect();
        for fact in missed {
            self.pools.world.hear(&fact, now);
            self.observe(&fact, now);
        }
    }

    /// Records what a fact calls for; `false` where some of it could not be.
    fn observe(&mut self, fact: &Fact, now: Time) -> bool {
        let decisions = job::observe(&self.pools.world, &self.pools.index, fact, now);
        let mut recorded = true;
        for decision in decisions {
            let fate = self.carry_out(Holder::Pools, decision.into(), now);
            recorded &= matches!(fate, Fate::Recorded(_) | Fate::Refused(_));
        }
        recorded
    }

    fn clear(&mut self, report: &Report, now: Time) -> bool {
        let fact = Fact::Report(report.clone());
        self.pools.world.hear(&fact, now);
        self.observe(&fact, now)
    }

    /// Renews the lease of a worker and gives it its orders.
    fn tell(&mut self, report: &Report, now: Time) {
        let world = &self.pools.world;
        let Some(instance) = world.instances.get(report.instance) else { return };
        let lease_until = now + Duration::from_millis(world.limits.lease_ms.into());
        let name = instance.name.clone();
        self.crew.renew(&name, lease_until);
        for order in job::orders(world, &self.pools.index, report) {
            self.crew.give(&name, &order, lease_until, now);
        }
    }
}
