//! The changes that carry out a wave decision.

use crate::decision::Entity;
use crate::decision::Refusal;
use crate::instance::Purpose;
use crate::instance::State;
use crate::key;
use crate::pool;
use crate::pool::Absence;
use crate::pool::Assignment;
use crate::pool::Margin;
use crate::time::Time;
use crate::wave::Decision;
use crate::wave::Phase;
use crate::wave::Wave;
use crate::world::Change;
use crate::world::World;

/// Returns the changes that carry out `decision`, or why it is refused.
pub fn effect(world: &World, decision: &Decision, now: Time) -> Result<Vec<Change>, Refusal> {
    match *decision {
        Decision::Start { wave } => start(world, wave, now),
        Decision::Pause { wave } => change_phase(world, wave, &[Phase::Running], Phase::Paused),
        Decision::Resume { wave } => change_phase(world, wave, &[Phase::Paused], Phase::Running),
        Decision::Abort { wave } => {
            change_phase(world, wave, &[Phase::Running, Phase::Paused], Phase::Aborting)
        }
        Decision::Finish { wave } => finish(world, wave, now),
        Decision::Step { wave, instance } => step(world, wave, instance, now),
        Decision::Return { wave, instance } => return_to_service(world, wave, instance, now),
        Decision::Lose { wave, instance } => mark_lost(world, wave, instance, now),
    }
}

fn find_wave(world: &World, key: key::Wave) -> Result<&Wave, Refusal> {
    world.waves.get(key).ok_or(Refusal::Unknown(Entity::Wave))
}

fn start(world: &World, key: key::Wave, now: Time) -> Result<Vec<Change>, Refusal> {
    let wave = find_wave(world, key)?;
    if wave.phase.is_active() {
        return Err(Refusal::Phase(wave.name.clone(), wave.phase));
    }
    let covered = wave.pools(world);
    if !covered.iter().any(|&pool| world.members(pool).next().is_some()) {
        return Err(Refusal::Empty(wave.name.clone()));
    }
    let started = Wave {
        phase: Phase::Running,
        run: wave.run + 1,
        started: now,
        ended: None,
        steps: 0,
        lost: Vec::new(),
        ..wave.clone()
    };
    Ok(vec![Change::Wave(started)])
}

fn change_phase(
    world: &World,
    key: key::Wave,
    from: &[Phase],
    to: Phase,
) -> Result<Vec<Change>, Refusal> {
    let wave = find_wave(world, key)?;
    if !from.contains(&wave.phase) {
        return Err(Refusal::Phase(wave.name.clone(), wave.phase));
    }
    Ok(vec![Change::Wave(Wave { phase: to, ..wave.clone() })])
}

fn finish(world: &World, key: key::Wave, now: Time) -> Result<Vec<Change>, Refusal> {
    let wave = find_wave(world, key)?;
    let phase = match wave.phase {
        Phase::Running => Phase::Done,
        Phase::Aborting => Phase::Aborted,
        other => return Err(Refusal::Phase(wave.name.clone(), other)),
    };
    let mut lost = Vec::new();
    for pool in wave.pools(world) {
        let members = world.members(pool).filter(|(_, member)| wave.is_due(key, member));
        lost.extend(members.map(|(_, member)| member.name.clone()));
    }
    lost.sort();
    let lost = if phase == Phase::Done { lost } else { Vec::new() };
    Ok(vec![Change::Wave(Wave { phase, ended: Some(now), lost, ..wave.clone() })])
}

fn step(
    world: &World,
    key: key::Wave,
    instance: key::Instance,
    now: Time,
) -> Result<Vec<Change>, Refusal> {
    let wave = find_wave(world, key)?;
    let assignment = Assignment::load(world, instance)?;
    let purpose = Purpose::Wave(wave.current_run(key));
    let mut changes = match (assignment.instance.state, assignment.instance.purpose) {
        (State::Serving, _) => {
            expect_phase(wave, &[Phase::Running])?;
            expect_due(world, key, wave, &assignment)?;
            pool::start_drain(world, instance, purpose, Margin::RackFailure, now)?
        }
        (State::Stopped, Some(Purpose::Parked)) => {
            expect_phase(wave, &[Phase::Running])?;
            expect_due(world, key, wave, &assignment)?;
            let assignment = assignment.with_purpose(Some(purpose));
            assignment.into_state(State::Stopped, Absence::Planned, now).into_changes()
        }
        (State::Drained, Some(other)) if other == purpose => {
            expect_phase(wave, &[Phase::Running, Phase::Paused])?;
            assignment.into_state(State::Stopped, Absence::Planned, now).into_changes()
        }
        _ => return Err(assignment.wrong_state()),
    };
    changes.push(Change::Wave(Wave { steps: wave.steps + 1, ..wave.clone() }));
    Ok(changes)
}

/// Refuses the decision unless the wave is in one of `phases`.
fn expect_phase(wave: &Wave, phases: &[Phase]) -> Result<(), Refusal> {
    if phases.contains(&wave.phase) {
        return Ok(());
    }
    Err(Refusal::Phase(wave.name.clone(), wave.phase))
}

/// Refuses the decision unless the wave still has to maintain the instance.
fn expect_due(
    world: &World,
    key: key::Wave,
    wave: &Wave,
    assignment: &Assignment,
) -> Result<(), Refusal> {
    let covered = wave.pools(world).contains(&assignment.instance.pool);
    if covered && wave.is_due(key, &assignment.instance) {
        return Ok(());
    }
    Err(Refusal::NotCovered(assignment.instance.name.clone(), wave.name.clone()))
}

fn return_to_service(
    world: &World,
    key: key::Wave,
    instance: key::Instance,
    now: Time,
) -> Result<Vec<Change>, Refusal> {
    let wave = find_wave(world, key)?;
    let assignment = Assignment::load(world, instance)?;
    if !wave.is_maintaining(key, &assignment.instance) {
        return Err(Refusal::NotCovered(assignment.instance.name, wave.name.clone()));
    }
    if !matches!(assignment.instance.state, State::Draining | State::Drained) {
        return Err(assignment.wrong_state());
    }
    let assignment = assignment.with_purpose(None);
    Ok(assignment.into_state(State::Serving, Absence::Planned, now).into_changes())
}

fn mark_lost(
    world: &World,
    key: key::Wave,
    instance: key::Instance,
    now: Time,
) -> Result<Vec<Change>, Refusal> {
    let wave = find_wave(world, key)?;
    let assignment = Assignment::load(world, instance)?;
    if !wave.is_maintaining(key, &assignment.instance)
        || assignment.instance.state != State::Stopped
    {
        return Err(assignment.wrong_state());
    }
    let mut assignment = assignment.into_state(State::Failed, Absence::Failed, now);
    assignment.instance.strikes += 1;
    Ok(assignment.into_changes())
}
