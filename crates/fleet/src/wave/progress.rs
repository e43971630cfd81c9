//! How far a wave is, what holds it up and when it will be done.

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::instance::Instance;
use crate::instance::Purpose;
use crate::instance::State;
use crate::key;
use crate::pool::Budget;
use crate::pool::Margin;
use crate::time::Time;
use crate::wave::Phase;
use crate::wave::Wave;
use crate::wave::plan::patience;
use crate::world::World;

/// How long a drain may last before it is named as what holds a wave up.
const SLOW_DRAIN: Duration = Duration::from_secs(10);

/// What a drain and a check usually add to a restart.
const OVERHEAD: Duration = Duration::from_secs(8);

/// How many rounds as declared the pace so far is weighed against, so that one early hitch is not
/// taken for the rule.
const PRIOR_ROUNDS: u32 = 4;

/// What holds a wave up.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Stall {
    /// An operator paused it.
    #[display("paused")]
    Paused,
    /// The pool has no more than it needs.
    #[display("budget of pool {pool} is spent: {ready} ready, {min_ready} promised, {absent}")]
    Budget {
        /// Name of the pool.
        pool: String,
        /// How many of its members are ready.
        ready: u32,
        /// How many it promises.
        min_ready: u32,
        /// Who is out, and why.
        absent: String,
    },
    /// Entries that could still send to the instance have not acknowledged its drain.
    #[display("drain of {instance} unacknowledged by {}", by.join(","))]
    Unacknowledged {
        /// Name of the instance.
        instance: String,
        /// Names of the entries.
        by: Vec<String>,
    },
    /// The instance has not come back from its restart.
    #[display("instance {instance} is down since its restart began {secs} s ago")]
    Restarting {
        /// Name of the instance.
        instance: String,
        /// Seconds since it was stopped.
        secs: u64,
    },
    /// The instance failed and is waited for.
    #[display("instance {instance} lost")]
    Lost {
        /// Name of the instance.
        instance: String,
    },
    /// Something else has the instance out.
    #[display("instance {instance} is out for: {by}")]
    Held {
        /// Name of the instance.
        instance: String,
        /// What for.
        by: String,
    },
}

/// How far a wave is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// How the run stands.
    pub phase: Phase,
    /// Instances that it covers and that are there.
    pub total: u32,
    /// Instances that are done.
    pub done: u32,
    /// Instances that are out at present.
    pub out: u32,
    /// Instances that failed before they were done.
    pub failed: u32,
    /// When it will be done at the pace so far; none while it is not known.
    pub finish: Option<Time>,
    /// Whether that is after its deadline, or the deadline has passed.
    pub late: bool,
    /// What holds it up.
    pub stalls: Vec<Stall>,
}

/// How far a wave is, what holds it up and when it will be done.
pub fn progress(world: &World, key: key::Wave, now: Time) -> Progress {
    let Some(wave) = world.waves.get(key) else {
        return Progress::default();
    };
    let mut progress = Progress { phase: wave.phase, ..Progress::default() };
    if wave.phase == Phase::Paused {
        progress.stalls.push(Stall::Paused);
    }
    let mut finish = Some(now);
    for pool in wave.pools(world) {
        let part = Part::count(world, key, wave, pool, now);
        progress.total += part.total;
        progress.done += part.done;
        progress.out += part.out;
        progress.failed += part.failed;
        let end = part.finish(wave, now);
        finish = finish.zip(end).map(|(left, right)| left.max(right));
        if wave.phase.is_active() {
            progress.stalls.extend(part.stalls);
        }
    }
    progress.finish = match wave.phase {
        Phase::Running | Phase::Aborting => finish,
        Phase::Done | Phase::Aborted => wave.ended,
        Phase::Idle | Phase::Paused => None,
    };
    progress.late = is_late(wave, progress.finish, now);
    progress
}

fn is_late(wave: &Wave, finish: Option<Time>, now: Time) -> bool {
    if wave.run == 0 || wave.spec.deadline_secs == 0 {
        return false;
    }
    let deadline = wave.started + Duration::from_secs(wave.spec.deadline_secs);
    finish.unwrap_or(now) > deadline
}

/// One pool's part of a wave.
#[derive(Debug, Default)]
struct Part {
    total: u32,
    done: u32,
    out: u32,
    failed: u32,
    at_once: u32,
    stalls: Vec<Stall>,
}

impl Part {
    fn count(world: &World, key: key::Wave, wave: &Wave, pool: key::Pool, now: Time) -> Self {
        let mut part = Self::default();
        for (instance, member) in world.members(pool) {
            part.total += 1;
            if !wave.is_due(key, member) {
                part.done += 1;
                continue;
            }
            let failed = member.state == State::Failed;
            part.out += u32::from(wave.is_maintaining(key, member) && !failed);
            part.failed += u32::from(failed);
            part.stalls.extend(stall(world, wave, key, instance, member, now));
        }
        let mut budget = Budget::for_pool(world, pool).unwrap_or_default();
        part.stalls.extend(part.budget_stall(world, wave, pool, &budget));
        for (_, member) in world.members(pool) {
            if wave.is_maintaining(key, member) && member.state != State::Failed {
                budget.add(member.rack);
            }
        }
        part.at_once = budget.max_unavailable();
        part
    }

    /// The budget holds the pool up if nothing of it is out and nothing more may be.
    fn budget_stall(
        &self,
        world: &World,
        wave: &Wave,
        pool: key::Pool,
        budget: &Budget,
    ) -> Option<Stall> {
        let left = self.total - self.done;
        if wave.phase != Phase::Running || self.out > 0 || left == self.failed {
            return None;
        }
        let mut members = world.ready(pool);
        if members.any(|(_, member)| budget.check(member.rack, Margin::RackFailure).is_ok()) {
            return None;
        }
        let pool = world.pools.get(pool)?;
        let absent = pool.absences.iter().map(|(name, absence)| format!("{name} {absence}"));
        Some(Stall::Budget {
            pool: pool.name.clone(),
            ready: budget.ready(),
            min_ready: budget.min_ready(),
            absent: absent.collect::<Vec<_>>().join(", "),
        })
    }

    /// When this pool's part is done, at a pace between what is declared and what was seen so far.
    fn finish(&self, wave: &Wave, now: Time) -> Option<Time> {
        let left = self.total - self.done;
        if left == 0 {
            return Some(now);
        }
        if self.at_once == 0 {
            return None;
        }
        let declared = Duration::from_secs(u64::from(wave.spec.restart_secs)) + OVERHEAD;
        let seen_rounds = self.done / self.at_once;
        let seen = now.since(wave.started);
        let pace = (declared * PRIOR_ROUNDS + seen) / (PRIOR_ROUNDS + seen_rounds);
        let left_rounds = left.div_ceil(self.at_once);
        Some(now + pace.max(declared) * left_rounds)
    }
}

fn stall(
    world: &World,
    wave: &Wave,
    key: key::Wave,
    instance: key::Instance,
    member: &Instance,
    now: Time,
) -> Option<Stall> {
    let name = member.name.clone();
    let held = now.since(member.since);
    if member.state == State::Failed {
        return Some(Stall::Lost { instance: name });
    }
    if !wave.is_maintaining(key, member) {
        let purpose = member.purpose.filter(|purpose| *purpose != Purpose::Parked)?;
        return Some(Stall::Held { instance: name, by: purpose.to_string() });
    }
    match member.state {
        State::Draining if held >= SLOW_DRAIN => {
            let by = world.observations.drain_blockers.get(&instance).cloned().unwrap_or_default();
            Some(Stall::Unacknowledged { instance: name, by })
        }
        State::Stopped if held * 3 >= patience(wave) * 2 => {
            Some(Stall::Restarting { instance: name, secs: held.as_secs() })
        }
        _ => None,
    }
}
