//! What the waves want done: which instance goes out next, and what those that are out need.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::instance::Instance;
use crate::instance::Purpose;
use crate::instance::State;
use crate::key;
use crate::pool::Budget;
use crate::pool::Margin;
use crate::time::Time;
use crate::wave::Decision;
use crate::wave::Phase;
use crate::wave::Wave;
use crate::world::World;

/// How many times its expected length a restart may last before the instance counts as lost.
const RESTART_PATIENCE: u32 = 3;

/// What a restart may last on top of that.
const RESTART_GRACE: Duration = Duration::from_secs(60);

/// What these waves want done now.
pub fn plan(world: &World, waves: &BTreeSet<key::Wave>, now: Time) -> Vec<Decision> {
    let mut decisions = Vec::new();
    for &key in waves {
        let Some(wave) = world.waves.get(key) else {
            continue;
        };
        let mut round = Round { world, key, wave, now, decisions: Vec::new() };
        match wave.phase {
            Phase::Running => round.run(),
            Phase::Paused => round.go_on(),
            Phase::Aborting => round.abort(),
            Phase::Idle => round.begin(),
            Phase::Aborted | Phase::Done => {}
        }
        decisions.append(&mut round.decisions);
    }
    decisions
}

/// One round of planning for one wave.
struct Round<'a> {
    world: &'a World,
    key: key::Wave,
    wave: &'a Wave,
    now: Time,
    decisions: Vec<Decision>,
}

impl<'a> Round<'a> {
    fn begin(&mut self) {
        if self.wave.spec.auto_start && self.wave.run == 0 && self.has_members() {
            self.decisions.push(Decision::Start { wave: self.key });
        }
    }

    fn run(&mut self) {
        self.go_on();
        let mut open = self.is_out();
        for pool in self.wave.pools(self.world) {
            open |= self.take_out(pool);
        }
        if !open {
            self.decisions.push(Decision::Finish { wave: self.key });
        }
    }

    fn abort(&mut self) {
        let mut open = false;
        for (instance, member) in self.out() {
            open = true;
            match member.state {
                State::Draining | State::Drained => {
                    self.decisions.push(Decision::Return { wave: self.key, instance });
                }
                _ => self.finish_restart(instance, member),
            }
        }
        if !open {
            self.decisions.push(Decision::Finish { wave: self.key });
        }
    }

    /// The next step of those that are out.
    fn go_on(&mut self) {
        for (instance, member) in self.out() {
            match member.state {
                State::Drained => {
                    self.decisions.push(Decision::Step { wave: self.key, instance });
                }
                _ => self.finish_restart(instance, member),
            }
        }
    }

    fn finish_restart(&mut self, instance: key::Instance, member: &Instance) {
        let overdue = self.now.since(member.since) >= patience(self.wave);
        if member.state == State::Stopped && overdue {
            self.decisions.push(Decision::Lose { wave: self.key, instance });
        }
    }

    /// Takes out as many as the pool's budget allows. True while the wave has to wait for any.
    fn take_out(&mut self, pool: key::Pool) -> bool {
        let Some(mut budget) = Budget::for_pool(self.world, pool) else {
            return false;
        };
        let mut open = false;
        for (instance, member) in self.world.members(pool) {
            if !self.wave.is_due(self.key, member) {
                continue;
            }
            open |= !self.is_given_up(member);
            if is_idle(member) {
                self.decisions.push(Decision::Step { wave: self.key, instance });
            }
        }
        let mut due = self.due(pool, &budget);
        while let Some((instance, rack)) = due.pop(&budget) {
            if budget.check(rack, Margin::RackFailure).is_err() {
                break;
            }
            budget.remove(rack);
            self.decisions.push(Decision::Step { wave: self.key, instance });
        }
        open
    }

    /// Ready members of a pool that are still to be done.
    fn due(&self, pool: key::Pool, budget: &Budget) -> Due<'a> {
        let mut due = Due::default();
        for (instance, member) in self.world.ready(pool) {
            if self.wave.is_due(self.key, member) {
                due.racks.entry(member.rack).or_default().insert((&member.name, instance));
            }
        }
        for &rack in due.racks.keys() {
            due.order.extend(due.first(rack, budget));
        }
        due
    }

    /// Instances that never came back from their restart, or have failed for as long as one may
    /// last, are left behind and named when the wave ends.
    fn is_given_up(&self, member: &Instance) -> bool {
        let long = self.now.since(member.since) >= patience(self.wave);
        member.state == State::Failed && (long || self.wave.is_maintaining(self.key, member))
    }

    /// Those that this run has out and that have not failed, wherever they are by now.
    fn out(&self) -> Vec<(key::Instance, &'a Instance)> {
        let covered = self.wave.pools(self.world);
        let members = covered.into_iter().flat_map(|pool| self.world.members(pool));
        let out = members.filter(|(_, member)| self.wave.is_maintaining(self.key, member));
        out.filter(|(_, member)| member.state != State::Failed).collect()
    }

    fn is_out(&self) -> bool {
        !self.out().is_empty()
    }

    fn has_members(&self) -> bool {
        let pools = self.wave.pools(self.world);
        pools.iter().any(|&pool| self.world.members(pool).next().is_some())
    }
}

/// Members to be taken out, in the order in which they go: from the fullest rack, so that the next
/// rack's failure takes the least on top; among equals in the order of their names.
#[derive(Default)]
struct Due<'a> {
    racks: BTreeMap<key::Rack, BTreeSet<(&'a str, key::Instance)>>,
    order: BTreeSet<(Reverse<u32>, &'a str, key::Rack)>,
}

impl<'a> Due<'a> {
    /// Takes the next one, which is in that rack. The budget says how full the racks are; since the
    /// last call it may only have changed for the rack that this then returned.
    fn pop(&mut self, budget: &Budget) -> Option<(key::Instance, key::Rack)> {
        let &(count, name, rack) = self.order.first()?;
        if count != Reverse(budget.in_rack(rack)) {
            self.order.remove(&(count, name, rack));
            self.order.extend(self.first(rack, budget));
            return self.pop(budget);
        }
        self.order.remove(&(count, name, rack));
        let (_, instance) = self.racks.get_mut(&rack)?.pop_first()?;
        self.order.extend(self.first(rack, budget));
        Some((instance, rack))
    }

    /// The place in the order of a rack's first member.
    fn first(
        &self,
        rack: key::Rack,
        budget: &Budget,
    ) -> Option<(Reverse<u32>, &'a str, key::Rack)> {
        let &(name, _) = self.racks.get(&rack)?.first()?;
        Some((Reverse(budget.in_rack(rack)), name, rack))
    }
}

/// How long a restart may last before the instance counts as lost.
pub(super) fn patience(wave: &Wave) -> Duration {
    Duration::from_secs(u64::from(wave.spec.restart_secs)) * RESTART_PATIENCE + RESTART_GRACE
}

/// Whether an instance is parked and can be restarted with nothing else to ask.
fn is_idle(member: &Instance) -> bool {
    member.state == State::Stopped && member.purpose == Some(Purpose::Parked)
}
