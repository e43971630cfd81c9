//! The changes that carry out a pool decision.

use std::time::Duration;

use crate::decision::Entity;
use crate::decision::Refusal;
use crate::instance::Instance;
use crate::instance::Purpose;
use crate::instance::State;
use crate::key;
use crate::pool::Absence;
use crate::pool::Budget;
use crate::pool::Decision;
use crate::pool::Margin;
use crate::pool::Pool;
use crate::pool::Reason;
use crate::time::Time;
use crate::wave::Run;
use crate::world::Change;
use crate::world::World;

/// Serving time after which the strikes of an instance are reset.
const STRIKE_RESET: Duration = Duration::from_secs(3600);

/// Returns the changes that carry out `decision`, or why it is refused.
pub fn effect(world: &World, decision: &Decision, now: Time) -> Result<Vec<Change>, Refusal> {
    match decision {
        Decision::Enlist(instance) => enlist(world, instance, now),
        Decision::Drain { instance, reason } => drain(world, *instance, *reason, now),
        Decision::Drained { instance } => drained(world, *instance, now),
        Decision::Return { instance, .. } => return_to_service(world, *instance, now),
        Decision::Move { instance, to, reason } => move_to(world, *instance, *to, *reason, now),
        Decision::Park { instance } => park(world, *instance, now),
        Decision::Fail { instance } => fail(world, *instance, now),
        Decision::Suspect { instance } => suspect(world, *instance, now),
        Decision::Trust { instance } => trust(world, *instance, now),
        Decision::Check { instance } => check(world, *instance, now),
        Decision::Gone { instance } => gone(world, *instance, now),
        Decision::Forget { instance } => forget(world, *instance),
    }
}

/// An instance and its pool, with the changes to be made to both.
pub(crate) struct Assignment {
    pub(crate) instance: Instance,
    pub(crate) pool: Pool,
}

impl Assignment {
    pub(crate) fn load(world: &World, key: key::Instance) -> Result<Self, Refusal> {
        let instance = world.instances.get(key).ok_or(Refusal::Unknown(Entity::Instance))?;
        let pool = world.pools.get(instance.pool).ok_or(Refusal::Unknown(Entity::Pool))?;
        Ok(Self { instance: instance.clone(), pool: pool.clone() })
    }

    /// Returns the instance in `state`, and the pool with its absences updated: a serving instance
    /// has none, any other has `absence`.
    pub(crate) fn into_state(self, state: State, absence: Absence, now: Time) -> Self {
        let instance = self.instance.into_state(state, now);
        let mut pool = self.pool;
        if state.is_serving() {
            pool.absences.remove(&instance.name);
        } else {
            pool.absences.insert(instance.name.clone(), absence);
        }
        pool.changed = now;
        Self { instance, pool }
    }

    pub(crate) fn with_purpose(mut self, purpose: Option<Purpose>) -> Self {
        self.instance.purpose = purpose;
        self
    }

    pub(crate) fn into_changes(self) -> Vec<Change> {
        vec![Change::Instance(self.instance), Change::Pool(self.pool)]
    }

    pub(crate) fn wrong_state(&self) -> Refusal {
        Refusal::State(self.instance.name.clone(), self.instance.state)
    }

    fn busy(&self, purpose: Purpose) -> Refusal {
        Refusal::Busy(self.instance.name.clone(), purpose.to_string())
    }
}

/// Starts to drain a serving instance for `purpose`, if its pool's budget leaves this margin.
pub(crate) fn start_drain(
    world: &World,
    instance: key::Instance,
    purpose: Purpose,
    margin: Margin,
    now: Time,
) -> Result<Vec<Change>, Refusal> {
    let assignment = Assignment::load(world, instance)?;
    if !assignment.instance.state.is_serving() {
        return Err(assignment.wrong_state());
    }
    let budget = Budget::for_pool(world, assignment.instance.pool).unwrap_or_default();
    // A suspect isn't counted as ready, so its stop doesn't reduce the number of ready members. It
    // may still work, so the others must leave the margin without it.
    let is_suspect = assignment.pool.absences.contains_key(&assignment.instance.name);
    let checked = if is_suspect {
        budget.check_current(margin)
    } else {
        budget.check(assignment.instance.rack, margin)
    };
    checked.map_err(|shortage| Budget::refusal(&assignment.pool, shortage))?;
    let assignment = assignment.into_state(State::Draining, Absence::Planned, now);
    Ok(assignment.with_purpose(Some(purpose)).into_changes())
}

fn enlist(world: &World, listed: &Instance, now: Time) -> Result<Vec<Change>, Refusal> {
    let known = world.names.instances.get(&listed.name).and_then(|&key| world.instances.get(key));
    if let Some(known) = known.filter(|known| known.state != State::Gone) {
        return update_listed(known, listed);
    }
    let key = known.map_or(listed.pool, |known| known.pool);
    let pool = world.pools.get(key).ok_or(Refusal::Unknown(Entity::Pool))?;
    let epoch = known.map_or(0, |known| known.epoch);
    let instance = Instance {
        pool: key,
        epoch,
        enlisted: now,
        purpose: None,
        strikes: 0,
        last_run: None,
        ..listed.clone()
    };
    let pool = Pool { members: pool.members + 1, ..pool.clone() };
    let assignment = Assignment { instance, pool };
    Ok(assignment.into_state(State::Checking, Absence::Checking, now).into_changes())
}

/// Updates a known instance whose address, capacity or location in the instance list has changed.
fn update_listed(known: &Instance, listed: &Instance) -> Result<Vec<Change>, Refusal> {
    let new = Instance {
        address: listed.address.clone(),
        capacity: listed.capacity,
        data_centre: listed.data_centre,
        rack: listed.rack,
        ..known.clone()
    };
    if new == *known {
        return Err(Refusal::Nothing);
    }
    Ok(vec![Change::Instance(new)])
}

fn drain(
    world: &World,
    instance: key::Instance,
    reason: Reason,
    now: Time,
) -> Result<Vec<Change>, Refusal> {
    if reason != Reason::Leaving {
        return start_drain(world, instance, Purpose::Operator, Margin::RackFailure, now);
    }
    let assignment = Assignment::load(world, instance)?;
    if matches!(assignment.instance.state, State::Gone | State::Failed | State::Stopped) {
        return Err(assignment.wrong_state());
    }
    if assignment.instance.purpose == Some(Purpose::Leaving) {
        return Err(Refusal::Nothing);
    }
    let state = match assignment.instance.state {
        State::Drained => State::Drained,
        _ => State::Draining,
    };
    let assignment = assignment.into_state(state, Absence::Leaving, now);
    Ok(assignment.with_purpose(Some(Purpose::Leaving)).into_changes())
}

fn drained(world: &World, instance: key::Instance, now: Time) -> Result<Vec<Change>, Refusal> {
    let assignment = Assignment::load(world, instance)?;
    if assignment.instance.state != State::Draining {
        return Err(assignment.wrong_state());
    }
    let absence = assignment
        .pool
        .absences
        .get(&assignment.instance.name)
        .copied()
        .unwrap_or(Absence::Planned);
    Ok(assignment.into_state(State::Drained, absence, now).into_changes())
}

fn return_to_service(
    world: &World,
    instance: key::Instance,
    now: Time,
) -> Result<Vec<Change>, Refusal> {
    let assignment = Assignment::load(world, instance)?;
    let purpose = assignment.instance.purpose;
    match (assignment.instance.state, purpose) {
        (State::Draining | State::Drained, _) => {
            Ok(serve(assignment.with_purpose(None), now).into_changes())
        }
        (State::Checking, Some(Purpose::Operator)) => {
            Ok(assignment.into_state(State::Drained, Absence::Planned, now).into_changes())
        }
        (State::Checking, Some(Purpose::Wave(run))) => {
            let assignment = with_maintenance(assignment, run, now);
            Ok(serve(assignment.with_purpose(None), now).into_changes())
        }
        (State::Checking, _) => Ok(serve(assignment.with_purpose(None), now).into_changes()),
        (State::Stopped, Some(Purpose::Parked)) => Ok(assignment
            .with_purpose(None)
            .into_state(State::Checking, Absence::Checking, now)
            .into_changes()),
        _ => Err(assignment.wrong_state()),
    }
}

fn serve(assignment: Assignment, now: Time) -> Assignment {
    assignment.into_state(State::Serving, Absence::Planned, now)
}

fn with_maintenance(mut assignment: Assignment, run: Run, now: Time) -> Assignment {
    assignment.instance.maintained = now;
    assignment.instance.last_run = Some(run);
    assignment
}

fn move_to(
    world: &World,
    instance: key::Instance,
    to: key::Pool,
    reason: Reason,
    now: Time,
) -> Result<Vec<Change>, Refusal> {
    let assignment = Assignment::load(world, instance)?;
    let target = world.pools.get(to).ok_or(Refusal::Unknown(Entity::Pool))?;
    if assignment.instance.pool == to {
        return Err(Refusal::SamePool(assignment.instance.name, target.name.clone()));
    }
    match (assignment.instance.state, assignment.instance.purpose) {
        (State::Serving, _) => {
            let margin = margin(reason, &assignment.pool);
            start_drain(world, instance, Purpose::Move { to, reason }, margin, now)
        }
        (State::Drained, Some(Purpose::Move { .. })) => Ok(reassign(assignment, target, to, now)),
        (State::Drained, Some(Purpose::Operator)) if reason == Reason::Operator => {
            Ok(reassign(assignment, target, to, now))
        }
        (State::Draining | State::Drained, Some(purpose)) => Err(assignment.busy(purpose)),
        _ => Err(assignment.wrong_state()),
    }
}

/// The margin that a pool must keep when it gives away an instance. A spare pool gives instances
/// down to its `min_ready` to a pool that has too few.
const fn margin(reason: Reason, from: &Pool) -> Margin {
    match reason {
        Reason::Short | Reason::Rescue if from.spec.spare => Margin::MinReady,
        _ => Margin::RackFailure,
    }
}

/// Moves a drained instance to the pool `target`, with changes of the instance and both pools for
/// one transaction.
fn reassign(assignment: Assignment, target: &Pool, to: key::Pool, now: Time) -> Vec<Change> {
    let Assignment { instance, pool: mut from } = assignment;
    from.members = from.members.saturating_sub(1);
    from.absences.remove(&instance.name);
    from.changed = now;
    let mut target = Pool { members: target.members + 1, changed: now, ..target.clone() };
    target.absences.remove(&instance.name);
    let instance = Instance { pool: to, purpose: None, ..instance };
    let instance = instance.into_state(State::Serving, now);
    vec![Change::Instance(instance), Change::Pool(from), Change::Pool(target)]
}

fn park(world: &World, instance: key::Instance, now: Time) -> Result<Vec<Change>, Refusal> {
    let assignment = Assignment::load(world, instance)?;
    if !assignment.pool.spec.spare {
        return Err(Refusal::NotSpare(assignment.pool.name));
    }
    match (assignment.instance.state, assignment.instance.purpose) {
        (State::Serving, _) => start_drain(world, instance, Purpose::Parked, Margin::MinReady, now),
        (State::Drained, Some(Purpose::Parked)) => {
            Ok(assignment.into_state(State::Stopped, Absence::Planned, now).into_changes())
        }
        _ => Err(assignment.wrong_state()),
    }
}

fn fail(world: &World, instance: key::Instance, now: Time) -> Result<Vec<Change>, Refusal> {
    let assignment = Assignment::load(world, instance)?;
    if matches!(assignment.instance.state, State::Failed | State::Gone) {
        return Err(assignment.wrong_state());
    }
    let members = assignment.pool.members;
    if assignment.instance.state.is_serving() && !assignment.pool.may_fail_one_more() {
        let failed = assignment.pool.count_absent(Absence::Failed) + 1;
        return Err(Refusal::Doubt(assignment.pool.name, failed, members));
    }
    let purpose = purpose_after_failure(&assignment.instance);
    let was_stable = assignment.instance.state.is_serving()
        && now.since(assignment.instance.since) >= STRIKE_RESET;
    let strikes = if was_stable { 1 } else { assignment.instance.strikes + 1 };
    let mut assignment =
        assignment.into_state(State::Failed, Absence::Failed, now).with_purpose(purpose);
    assignment.instance.strikes = strikes;
    Ok(assignment.into_changes())
}

/// The purpose that an instance keeps after a failure.
///
/// An instance that a wave has stopped keeps its purpose: when it responds again it has been
/// restarted, so its maintenance is complete. An instance that fails while it is draining or drained
/// for a wave or a move loses its purpose and must be drained again. A parked instance loses its
/// purpose too. A drain by an operator or by the platform stays in force.
fn purpose_after_failure(instance: &Instance) -> Option<Purpose> {
    match (instance.state, instance.purpose) {
        (State::Draining | State::Drained, Some(Purpose::Wave(_) | Purpose::Move { .. })) => None,
        (_, Some(Purpose::Parked)) => None,
        (_, purpose) => purpose,
    }
}

fn suspect(world: &World, instance: key::Instance, now: Time) -> Result<Vec<Change>, Refusal> {
    let mut assignment = Assignment::load(world, instance)?;
    if !assignment.instance.state.is_serving() {
        return Err(assignment.wrong_state());
    }
    let name = assignment.instance.name.clone();
    if assignment.pool.absences.insert(name, Absence::Suspect) == Some(Absence::Suspect) {
        return Err(Refusal::Nothing);
    }
    assignment.pool.changed = now;
    Ok(vec![Change::Pool(assignment.pool)])
}

fn trust(world: &World, instance: key::Instance, now: Time) -> Result<Vec<Change>, Refusal> {
    let mut assignment = Assignment::load(world, instance)?;
    if assignment.pool.absences.get(&assignment.instance.name) != Some(&Absence::Suspect) {
        return Err(Refusal::Nothing);
    }
    assignment.pool.absences.remove(&assignment.instance.name);
    assignment.pool.changed = now;
    Ok(vec![Change::Pool(assignment.pool)])
}

fn check(world: &World, instance: key::Instance, now: Time) -> Result<Vec<Change>, Refusal> {
    let assignment = Assignment::load(world, instance)?;
    match assignment.instance.state {
        State::Failed | State::Stopped => {
            Ok(assignment.into_state(State::Checking, Absence::Checking, now).into_changes())
        }
        _ => Err(assignment.wrong_state()),
    }
}

fn gone(world: &World, instance: key::Instance, now: Time) -> Result<Vec<Change>, Refusal> {
    let assignment = Assignment::load(world, instance)?;
    if matches!(assignment.instance.state, State::Gone | State::Serving) {
        return Err(assignment.wrong_state());
    }
    let Assignment { instance, mut pool } = assignment;
    pool.members = pool.members.saturating_sub(1);
    pool.absences.remove(&instance.name);
    pool.changed = now;
    let instance = Instance { purpose: None, ..instance.into_state(State::Gone, now) };
    Ok(vec![Change::Instance(instance), Change::Pool(pool)])
}

fn forget(world: &World, instance: key::Instance) -> Result<Vec<Change>, Refusal> {
    let instance = world.instances.get(instance).ok_or(Refusal::Unknown(Entity::Instance))?;
    if instance.state != State::Gone {
        return Err(Refusal::State(instance.name.clone(), instance.state));
    }
    Ok(vec![Change::InstanceGone(instance.name.clone())])
}
