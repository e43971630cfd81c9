//! Carries out what the held duties want.

use std::collections::BTreeSet;

use fleet::decision::Decision;
use fleet::fact::Fact;
use fleet::instance::State as Phase;
use fleet::key;
use fleet::pool;
use fleet::time::Time;
use fleet::wave;

use super::Engine;
use super::Outcome;
use super::Parts;
use super::State;
use crate::drain::Verdict;
use crate::duty::Duty;

/// Decisions that are carried out in one step.
const MAX_DECISIONS: usize = 16;

impl<P: Parts> Engine<P> {
    /// Carries out what the held duties want. Returns how many decisions took effect.
    ///
    /// While the table's changes are not read, nothing new is decided.
    pub async fn decide(&self, now: Time) -> usize {
        let wanted = {
            let mut state = self.state();
            if !state.may_decide(now) {
                state.facts.clear();
                return 0;
            }
            state.wanted(now, self.row_time(now))
        };
        let mut done = 0;
        for (duty, decision) in wanted.into_iter().take(MAX_DECISIONS) {
            let outcome = self.carry(&duty, &decision, now).await;
            log(&duty, &decision, &outcome);
            match outcome {
                Outcome::Done => done += 1,
                Outcome::Unavailable(_) | Outcome::Unknown(_) => break,
                Outcome::Refused(_) | Outcome::Raced | Outcome::NotHeld => {}
            }
        }
        done
    }
}

impl State {
    /// What the held duties want, each with the duty that it rests on.
    fn wanted(&mut self, now: Time, row_now: Time) -> Vec<(Duty, Decision)> {
        let pools = self.held_pools();
        let keys: BTreeSet<_> = pools.keys().copied().collect();
        let mut wanted = Vec::new();
        for fact in self.gather(&keys, now) {
            self.world.hear(&fact, row_now);
            let Some(pool) = self.pool_about(&fact) else { continue };
            let Some(duty) = pools.get(&pool) else { continue };
            let decisions = pool::observe(&self.world, &fact, row_now);
            wanted.extend(decisions.into_iter().map(|found| (duty.clone(), Decision::Pool(found))));
        }
        for instance in self.survey.unknown(&mut self.world, &keys) {
            let Some(duty) = pools.get(&instance.pool) else { continue };
            let decision = pool::Decision::Enlist(Box::new(instance));
            wanted.push((duty.clone(), Decision::Pool(decision)));
        }
        for (pool, duty) in pools {
            let decisions = pool::plan(&self.world, &BTreeSet::from([pool]), row_now);
            wanted.extend(decisions.into_iter().map(|found| (duty.clone(), found.into())));
        }
        for (wave, duty) in self.held_waves() {
            let decisions = wave::plan(&self.world, &BTreeSet::from([wave]), row_now);
            wanted.extend(decisions.into_iter().map(|found| (duty.clone(), found.into())));
        }
        wanted
    }

    /// What has been found out about the instances of these pools.
    fn gather(&mut self, pools: &BTreeSet<key::Pool>, now: Time) -> Vec<Fact> {
        let mut facts = std::mem::take(&mut self.facts);
        facts.extend(self.survey.facts(&self.world, pools));
        let members = pools.iter().flat_map(|&pool| self.world.members(pool));
        let draining = members.filter(|(_, member)| member.state == Phase::Draining);
        for (instance, member) in draining {
            let fence = self.polls.fence(&member.name);
            facts.push(match self.census.judge(&member.name, member.epoch, fence, now) {
                Verdict::Quiet => Fact::Quiet(instance),
                Verdict::Waits(by) => Fact::Unacknowledged { instance, by },
            });
        }
        facts
    }

    /// The pool of the instance that a fact is about.
    fn pool_about(&self, fact: &Fact) -> Option<key::Pool> {
        let instance = match fact {
            Fact::Listed { instance, .. }
            | Fact::Unacknowledged { instance, .. }
            | Fact::Refused { instance, .. } => instance,
            Fact::Unlisted(instance)
            | Fact::Answers(instance)
            | Fact::Restarted(instance)
            | Fact::Silent(instance)
            | Fact::Quiet(instance) => instance,
            Fact::Report(report) => &report.instance,
            Fact::Demand(_) => return None,
        };
        self.world.instances.get(*instance).map(|instance| instance.pool)
    }
}

fn log(duty: &Duty, decision: &Decision, outcome: &Outcome) {
    match outcome {
        Outcome::Refused(refusal) => {
            tracing::debug!(event = "decision-refused", %duty, ?decision, reason = %refusal);
        }
        outcome => tracing::info!(event = "decision", %duty, ?decision, ?outcome),
    }
}
