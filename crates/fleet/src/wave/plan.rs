//! What the waves want done: which instance goes out next, and what those that are out need.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::instance::Instance;
use crate::instance::Purpose;
use crate::instance::State;
use crate::key;
use crate::pool::Budget;
use crate::pool::Care;
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
        let Some(mut budget) = Budget::open(self.world, pool) else {
            return false;
        };
        let mut open = false;
        let mut ready = BTreeSet::new();
        for (instance, member) in self.world.members(pool) {
            if !self.wave.is_due(self.key, member) {
                continue;
            }
            open |= !self.is_given_up(member);
            if is_idle(member) {
                self.decisions.push(Decision::Step { wave: self.key, instance });
            }
        }
        for (instance, member) in self.world.ready(pool) {
            if self.wave.is_due(self.key, member) {
                ready.insert(instance);
            }
        }
        while let Some((instance, rack)) = self.next(&ready, &budget) {
            if budget.check(rack, Care::NextRack).is_err() {
                break;
            }
            budget.take(rack);
            ready.remove(&instance);
            self.decisions.push(Decision::Step { wave: self.key, instance });
        }
        open
    }

    /// The instance to go out next: from the fullest rack, so that the next rack's failure takes
    /// the least on top; among equals in the order of their names.
    fn next(
        &self,
        ready: &BTreeSet<key::Instance>,
        budget: &Budget,
    ) -> Option<(key::Instance, key::Rack)> {
        let members = ready.iter().filter_map(|&key| Some((key, self.world.instances.get(key)?)));
        let best = members.min_by(|(_, left), (_, right)| {
            let (more, less) = (budget.in_rack(right.rack), budget.in_rack(left.rack));
            more.cmp(&less).then_with(|| left.name.cmp(&right.name))
        });
        best.map(|(key, member)| (key, member.rack))
    }

    /// Instances that never came back from their restart, or have failed for as long as one may
    /// last, are left behind and named when the wave ends.
    fn is_given_up(&self, member: &Instance) -> bool {
        let long = self.now.since(member.since) >= patience(self.wave);
        member.state == State::Failed && (long || self.wave.has_out(self.key, member))
    }

    /// Those that this run has out and that have not failed, wherever they are by now.
    fn out(&self) -> Vec<(key::Instance, &'a Instance)> {
        let covered = self.wave.pools(self.world);
        let members = covered.into_iter().flat_map(|pool| self.world.members(pool));
        let out = members.filter(|(_, member)| self.wave.has_out(self.key, member));
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

/// How long a restart may last before the instance counts as lost.
pub(super) fn patience(wave: &Wave) -> Duration {
    Duration::from_secs(u64::from(wave.spec.restart_secs)) * RESTART_PATIENCE + RESTART_GRACE
}

/// Whether an instance is parked and can be restarted with nothing else to ask.
fn is_idle(member: &Instance) -> bool {
    member.state == State::Stopped && member.purpose == Some(Purpose::Parked)
}
