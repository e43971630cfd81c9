//! Plans waves: which instances to drain next, and the next step of those under maintenance.

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

/// Multiple of the expected restart duration after which an instance counts as lost.
const RESTART_TIMEOUT_FACTOR: u32 = 3;

/// Time that is added to the multiple of the restart duration before an instance counts as lost.
const RESTART_GRACE: Duration = Duration::from_secs(60);

/// Returns the decisions that these waves call for now.
pub fn plan(world: &World, waves: &BTreeSet<key::Wave>, now: Time) -> Vec<Decision> {
    let mut decisions = Vec::new();
    for &key in waves {
        let Some(wave) = world.waves.get(key) else {
            continue;
        };
        let mut round = Round { world, key, wave, now, decisions: Vec::new() };
        match wave.phase {
            Phase::Running => round.run(),
            Phase::Paused => round.continue_pending(),
            Phase::Aborting => round.abort(),
            Phase::Idle => round.start_automatically(),
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
    /// Starts the first run of a wave that is configured to start automatically.
    fn start_automatically(&mut self) {
        if self.wave.spec.auto_start && self.wave.run == 0 && self.has_members() {
            self.decisions.push(Decision::Start { wave: self.key });
        }
    }

    fn run(&mut self) {
        self.continue_pending();
        let mut is_pending = self.has_in_maintenance();
        for pool in self.wave.pools(self.world) {
            is_pending |= self.drain_due(pool);
        }
        if !is_pending {
            self.decisions.push(Decision::Finish { wave: self.key });
        }
    }

    fn abort(&mut self) {
        let mut is_pending = false;
        for (instance, member) in self.in_maintenance() {
            is_pending = true;
            match member.state {
                State::Draining | State::Drained => {
                    self.decisions.push(Decision::Return { wave: self.key, instance });
                }
                _ => self.check_restart(instance, member),
            }
        }
        if !is_pending {
            self.decisions.push(Decision::Finish { wave: self.key });
        }
    }

    /// Decides on the next step of the instances under maintenance.
    fn continue_pending(&mut self) {
        for (instance, member) in self.in_maintenance() {
            match member.state {
                State::Drained => {
                    self.decisions.push(Decision::Step { wave: self.key, instance });
                }
                _ => self.check_restart(instance, member),
            }
        }
    }

    /// Marks a stopped instance as lost if its restart has timed out.
    fn check_restart(&mut self, instance: key::Instance, member: &Instance) {
        let is_timed_out = self.now.since(member.since) >= restart_timeout(self.wave);
        if member.state == State::Stopped && is_timed_out {
            self.decisions.push(Decision::Lose { wave: self.key, instance });
        }
    }

    /// Drains as many due members as the pool's budget allows. Returns whether the wave still has to
    /// wait for a member of the pool.
    fn drain_due(&mut self, pool: key::Pool) -> bool {
        let Some(mut budget) = Budget::for_pool(self.world, pool) else {
            return false;
        };
        let mut is_pending = false;
        for (instance, member) in self.world.members(pool) {
            if !self.wave.is_due(self.key, member) {
                continue;
            }
            is_pending |= !self.is_given_up(member);
            if is_parked(member) {
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
        is_pending
    }

    /// The ready members of a pool that the run still has to maintain.
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

    /// Whether the wave no longer waits for `member`, because the member failed while under
    /// maintenance by this run, or failed at least [`restart_timeout`] ago. Such members are listed
    /// in [`Wave::lost`] when the run ends.
    fn is_given_up(&self, member: &Instance) -> bool {
        let is_timed_out = self.now.since(member.since) >= restart_timeout(self.wave);
        member.state == State::Failed
            && (is_timed_out || self.wave.is_maintaining(self.key, member))
    }

    /// The instances under maintenance by this run, in any state but failed.
    fn in_maintenance(&self) -> Vec<(key::Instance, &'a Instance)> {
        let covered = self.wave.pools(self.world);
        let members = covered.into_iter().flat_map(|pool| self.world.members(pool));
        let maintained = members.filter(|(_, member)| self.wave.is_maintaining(self.key, member));
        maintained.filter(|(_, member)| member.state != State::Failed).collect()
    }

    /// Whether this run has instances under maintenance.
    fn has_in_maintenance(&self) -> bool {
        !self.in_maintenance().is_empty()
    }

    fn has_members(&self) -> bool {
        let pools = self.wave.pools(self.world);
        pools.iter().any(|&pool| self.world.members(pool).next().is_some())
    }
}

/// The members to be drained, in order: first from the rack with the most ready members, so that the
/// failure of another rack takes as few members as possible; then by name.
#[derive(Default)]
struct Due<'a> {
    racks: BTreeMap<key::Rack, BTreeSet<(&'a str, key::Instance)>>,
    /// The first member of each rack, with the number of ready members there when it was inserted.
    order: BTreeSet<(Reverse<u32>, &'a str, key::Rack)>,
}

impl<'a> Due<'a> {
    /// Removes the next member and returns it with its rack. Between two calls, `budget` may change
    /// only for the rack that the first call returned.
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

    /// The entry in `order` of a rack's first member.
    fn first(
        &self,
        rack: key::Rack,
        budget: &Budget,
    ) -> Option<(Reverse<u32>, &'a str, key::Rack)> {
        let &(name, _) = self.racks.get(&rack)?.first()?;
        Some((Reverse(budget.in_rack(rack)), name, rack))
    }
}

/// Time from the stop of an instance after which it counts as lost.
pub(super) fn restart_timeout(wave: &Wave) -> Duration {
    Duration::from_secs(u64::from(wave.spec.restart_secs)) * RESTART_TIMEOUT_FACTOR + RESTART_GRACE
}

/// Whether an instance is parked and can be restarted without a drain or budget.
fn is_parked(member: &Instance) -> bool {
    member.state == State::Stopped && member.purpose == Some(Purpose::Parked)
}
