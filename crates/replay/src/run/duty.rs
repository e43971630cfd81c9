//! One round of the duties: what is seen, what is decided, and what becomes of it.

use fleet::decision;
use fleet::decision::Decision;
use fleet::pool;
use fleet::time::Time;

use super::Replay;
use super::act;
use crate::policy::Decide;
use crate::replica::Fate;
use crate::replica::Replica;

/// Who carries a decision out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Holder {
    Pools,
    Waves,
    Operator,
    Jobs,
}

impl<D: Decide> Replay<D> {
    /// One round of every duty.
    ///
    /// The holders decide side by side, each on what it knows, before any of them records.
    pub(super) fn round(&mut self, now: Time) {
        let pools = self.decide_pools(now);
        let waves = self.decide_waves(now);
        for decision in pools {
            self.carry_out(Holder::Pools, decision, now);
        }
        for decision in waves {
            self.carry_out(Holder::Waves, decision, now);
        }
        self.site.obey(&self.watch.world, now);
        self.measures.watch_waves(&self.watch.world, now);
    }

    fn decide_pools(&mut self, now: Time) -> Vec<Decision> {
        let mut decisions = self.see(now);
        for machine in self.site.unknown(&self.pools.world, now) {
            let listed = act::instance(&mut self.pools.world, &machine);
            decisions.push(pool::Decision::Enlist(Box::new(listed)).into());
        }
        decisions.extend(self.policy.pools(&self.pools.world, now));
        decisions
    }

    /// What the facts mean to the holder of the pools.
    fn see(&mut self, now: Time) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for fact in self.site.facts(&self.pools.world, &self.crew, now) {
            self.pools.world.record(&fact, now);
            let seen = pool::observe(&self.pools.world, &fact, now);
            decisions.extend(seen.into_iter().map(Decision::from));
        }
        decisions
    }

    fn decide_waves(&mut self, now: Time) -> Vec<Decision> {
        for fact in self.site.facts(&self.watch.world, &self.crew, now) {
            self.watch.world.record(&fact, now);
        }
        self.policy.waves(&self.waves.world, now)
    }

    pub(super) fn carry_out_acts(&mut self, now: Time) {
        for act in std::mem::take(&mut self.acts) {
            let fate = self.carry_out(Holder::Operator, act.clone(), now);
            if Self::is_open(&fate) {
                self.acts.push(act);
            } else if matches!(fate, Fate::Refused(_)) {
                self.measures.count_refused_act();
            }
        }
    }

    pub(super) fn carry_out(&mut self, holder: Holder, decision: Decision, now: Time) -> Fate {
        let replica: &mut Replica = match holder {
            Holder::Pools => &mut self.pools,
            Holder::Waves => &mut self.waves,
            Holder::Operator => &mut self.operator,
            Holder::Jobs => &mut self.jobs,
        };
        let line = decision::line(&replica.world, &decision);
        let fate = replica.carry_out(&mut self.store, &decision, now);
        self.watch.catch_up(&self.store, now);
        self.measures.decided(&self.watch.world, &decision, &fate, now);
        log(&line, &fate, now);
        fate
    }
}

/// The one line of a decision.
fn log(line: &str, fate: &Fate, now: Time) {
    let at_ms = now.as_millis();
    match fate {
        Fate::Recorded(_) => {
            tracing::info!(event = "decision", at_ms, fate = "recorded", "{line}");
        }
        Fate::Refused(refusal) => {
            tracing::info!(event = "decision", at_ms, fate = "refused", %refusal, "{line}");
        }
        Fate::Conflict => tracing::info!(event = "decision", at_ms, fate = "conflict", "{line}"),
        Fate::StoreDown => {
            tracing::info!(event = "decision", at_ms, fate = "store-down", "{line}");
        }
    }
}
