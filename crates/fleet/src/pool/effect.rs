//! What a pool decision changes.

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

/// How long an instance must have served for its earlier failures to be forgotten.
const CALM: Duration = Duration::from_secs(3600);

/// The new values that carry `decision` out, or why it may not be carried out.
pub fn effect(world: &World, decision: &Decision, now: Time) -> Result<Vec<Change>, Refusal> {
    match decision {
        Decision::Enlist(instance) => enlist(world, instance, now),
        Decision::Drain { instance, reason } => drain(world, *instance, *reason, now),
        Decision::Drained { instance } => drained(world, *instance, now),
        Decision::Return { instance, .. } => back(world, *instance, now),
        Decision::Move { instance, to, reason } => hand_over(world, *instance, *to, *reason, now),
        Decision::Park { instance } => park(world, *instance, now),
        Decision::Fail { instance } => fail(world, *instance, now),
        Decision::Suspect { instance } => suspect(world, *instance, now),
        Decision::Trust { instance } => trust(world, *instance, now),
        Decision::Check { instance } => check(world, *instance, now),
        Decision::Gone { instance } => gone(world, *instance, now),
        Decision::Forget { instance } => forget(world, *instance),
    }
}

/// An instance and its pool, as they are about to be changed.
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

    /// The same, in another state; the pool's list of absences follows.
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

/// Takes a ready instance out of service, if its pool's budget allows it.
pub(crate) fn take_out(
    world: &World,
    instance: key::Instance,
    purpose: Purpose,
    care: Margin,
    now: Time,
) -> Result<Vec<Change>, Refusal> {
    let pair = Assignment::load(world, instance)?;
    if !pair.instance.state.is_serving() {
        return Err(pair.wrong_state());
    }
    let budget = Budget::for_pool(world, pair.instance.pool).unwrap_or_default();
    // A suspect is not counted as ready, but it may well be.
    let suspect = pair.pool.absences.contains_key(&pair.instance.name);
    let checked =
        if suspect { budget.check_current(care) } else { budget.check(pair.instance.rack, care) };
    checked.map_err(|shortage| Budget::refusal(&pair.pool, shortage))?;
    let pair = pair.into_state(State::Draining, Absence::Planned, now);
    Ok(pair.with_purpose(Some(purpose)).into_changes())
}

fn enlist(world: &World, listed: &Instance, now: Time) -> Result<Vec<Change>, Refusal> {
    let known = world.names.instances.get(&listed.name).and_then(|&key| world.instances.get(key));
    if let Some(known) = known.filter(|known| known.state != State::Gone) {
        return relist(known, listed);
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
    let pair = Assignment { instance, pool };
    Ok(pair.into_state(State::Checking, Absence::Checking, now).into_changes())
}

/// The list has a known instance at another address or with another capacity.
fn relist(known: &Instance, listed: &Instance) -> Result<Vec<Change>, Refusal> {
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
        return take_out(world, instance, Purpose::Operator, Margin::RackFailure, now);
    }
    let pair = Assignment::load(world, instance)?;
    if matches!(pair.instance.state, State::Gone | State::Failed | State::Stopped) {
        return Err(pair.wrong_state());
    }
    if pair.instance.purpose == Some(Purpose::Leaving) {
        return Err(Refusal::Nothing);
    }
    let state = match pair.instance.state {
        State::Drained => State::Drained,
        _ => State::Draining,
    };
    let pair = pair.into_state(state, Absence::Leaving, now);
    Ok(pair.with_purpose(Some(Purpose::Leaving)).into_changes())
}

fn drained(world: &World, instance: key::Instance, now: Time) -> Result<Vec<Change>, Refusal> {
    let pair = Assignment::load(world, instance)?;
    if pair.instance.state != State::Draining {
        return Err(pair.wrong_state());
    }
    let absence = pair.pool.absences.get(&pair.instance.name).copied().unwrap_or(Absence::Planned);
    Ok(pair.into_state(State::Drained, absence, now).into_changes())
}

fn back(world: &World, instance: key::Instance, now: Time) -> Result<Vec<Change>, Refusal> {
    let pair = Assignment::load(world, instance)?;
    let purpose = pair.instance.purpose;
    match (pair.instance.state, purpose) {
        (State::Draining | State::Drained, _) => {
            Ok(serve(pair.with_purpose(None), now).into_changes())
        }
        (State::Checking, Some(Purpose::Operator)) => {
            Ok(pair.into_state(State::Drained, Absence::Planned, now).into_changes())
        }
        (State::Checking, Some(Purpose::Wave(mark))) => {
            let pair = maintained(pair, mark, now);
            Ok(serve(pair.with_purpose(None), now).into_changes())
        }
        (State::Checking, _) => Ok(serve(pair.with_purpose(None), now).into_changes()),
        (State::Stopped, Some(Purpose::Parked)) => Ok(pair
            .with_purpose(None)
            .into_state(State::Checking, Absence::Checking, now)
            .into_changes()),
        _ => Err(pair.wrong_state()),
    }
}

fn serve(pair: Assignment, now: Time) -> Assignment {
    pair.into_state(State::Serving, Absence::Planned, now)
}

fn maintained(mut pair: Assignment, mark: Run, now: Time) -> Assignment {
    pair.instance.maintained = now;
    pair.instance.last_run = Some(mark);
    pair
}

fn hand_over(
    world: &World,
    instance: key::Instance,
    to: key::Pool,
    reason: Reason,
    now: Time,
) -> Result<Vec<Change>, Refusal> {
    let pair = Assignment::load(world, instance)?;
    let target = world.pools.get(to).ok_or(Refusal::Unknown(Entity::Pool))?;
    if pair.instance.pool == to {
        return Err(Refusal::SamePool(pair.instance.name, target.name.clone()));
    }
    match (pair.instance.state, pair.instance.purpose) {
        (State::Serving, _) => {
            let care = care(reason, &pair.pool);
            take_out(world, instance, Purpose::Move { to, reason }, care, now)
        }
        (State::Drained, Some(Purpose::Move { .. })) => Ok(change_hands(pair, target, to, now)),
        (State::Drained, Some(Purpose::Operator)) if reason == Reason::Operator => {
            Ok(change_hands(pair, target, to, now))
        }
        (State::Draining | State::Drained, Some(purpose)) => Err(pair.busy(purpose)),
        _ => Err(pair.wrong_state()),
    }
}

/// A pool that is there to give, gives down to its promise to one that is short.
const fn care(reason: Reason, from: &Pool) -> Margin {
    match reason {
        Reason::Short | Reason::Rescue if from.spec.spare => Margin::MinReady,
        _ => Margin::RackFailure,
    }
}

/// One transaction on the instance and both pools.
fn change_hands(pair: Assignment, target: &Pool, to: key::Pool, now: Time) -> Vec<Change> {
    let Assignment { instance, pool: mut from } = pair;
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
    let pair = Assignment::load(world, instance)?;
    if !pair.pool.spec.spare {
        return Err(Refusal::NotSpare(pair.pool.name));
    }
    match (pair.instance.state, pair.instance.purpose) {
        (State::Serving, _) => take_out(world, instance, Purpose::Parked, Margin::MinReady, now),
        (State::Drained, Some(Purpose::Parked)) => {
            Ok(pair.into_state(State::Stopped, Absence::Planned, now).into_changes())
        }
        _ => Err(pair.wrong_state()),
    }
}

fn fail(world: &World, instance: key::Instance, now: Time) -> Result<Vec<Change>, Refusal> {
    let pair = Assignment::load(world, instance)?;
    if matches!(pair.instance.state, State::Failed | State::Gone) {
        return Err(pair.wrong_state());
    }
    let members = pair.pool.members;
    if pair.instance.state.is_serving() && !pair.pool.may_fail_one_more() {
        let failed = pair.pool.count_absent(Absence::Failed) + 1;
        return Err(Refusal::Doubt(pair.pool.name, failed, members));
    }
    let purpose = purpose_after_failure(&pair.instance);
    let calm = pair.instance.state.is_serving() && now.since(pair.instance.since) >= CALM;
    let strikes = if calm { 1 } else { pair.instance.strikes + 1 };
    let mut pair = pair.into_state(State::Failed, Absence::Failed, now).with_purpose(purpose);
    pair.instance.strikes = strikes;
    Ok(pair.into_changes())
}

/// A wave's instance that was stopped has had its restart whenever it comes back; one that failed
/// before is to be taken out again. An operator's drain and the platform's leave stand.
fn purpose_after_failure(instance: &Instance) -> Option<Purpose> {
    match (instance.state, instance.purpose) {
        (State::Draining | State::Drained, Some(Purpose::Wave(_) | Purpose::Move { .. })) => None,
        (_, Some(Purpose::Parked)) => None,
        (_, purpose) => purpose,
    }
}

fn suspect(world: &World, instance: key::Instance, now: Time) -> Result<Vec<Change>, Refusal> {
    let mut pair = Assignment::load(world, instance)?;
    if !pair.instance.state.is_serving() {
        return Err(pair.wrong_state());
    }
    let name = pair.instance.name.clone();
    if pair.pool.absences.insert(name, Absence::Suspect) == Some(Absence::Suspect) {
        return Err(Refusal::Nothing);
    }
    pair.pool.changed = now;
    Ok(vec![Change::Pool(pair.pool)])
}

fn trust(world: &World, instance: key::Instance, now: Time) -> Result<Vec<Change>, Refusal> {
    let mut pair = Assignment::load(world, instance)?;
    if pair.pool.absences.get(&pair.instance.name) != Some(&Absence::Suspect) {
        return Err(Refusal::Nothing);
    }
    pair.pool.absences.remove(&pair.instance.name);
    pair.pool.changed = now;
    Ok(vec![Change::Pool(pair.pool)])
}

fn check(world: &World, instance: key::Instance, now: Time) -> Result<Vec<Change>, Refusal> {
    let pair = Assignment::load(world, instance)?;
    match pair.instance.state {
        State::Failed | State::Stopped => {
            Ok(pair.into_state(State::Checking, Absence::Checking, now).into_changes())
        }
        _ => Err(pair.wrong_state()),
    }
}

fn gone(world: &World, instance: key::Instance, now: Time) -> Result<Vec<Change>, Refusal> {
    let pair = Assignment::load(world, instance)?;
    if matches!(pair.instance.state, State::Gone | State::Serving) {
        return Err(pair.wrong_state());
    }
    let Assignment { instance, mut pool } = pair;
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
