//! The progress of a wave: maintained instances, what delays it, and its estimated end.

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
use crate::wave::plan::restart_timeout;
use crate::world::World;

/// Duration after which a drain is reported as a delay of the wave.
const SLOW_DRAIN: Duration = Duration::from_secs(10);

/// Usual duration of the drain and the health check, on top of the restart.
const OVERHEAD: Duration = Duration::from_secs(8);

/// Number of batches of the declared duration that are averaged with the measured ones, so that a
/// single slow batch at the start doesn't distort the estimate. A batch is the members of a pool that
/// are maintained at the same time.
const PRIOR_BATCHES: u32 = 4;

/// A cause of delay of a wave.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Stall {
    /// An operator paused the wave.
    #[display("paused")]
    Paused,
    /// The availability budget of the pool allows no further drain.
    #[display("budget of pool {pool} is spent: {ready} ready, {min_ready} promised, {absent}")]
    Budget {
        /// Name of the pool.
        pool: String,
        /// Number of its ready members.
        ready: u32,
        /// Number of its members that must be ready.
        min_ready: u32,
        /// Names of its absent members, each with the reason.
        absent: String,
    },
    /// Entries that may still send requests to the instance haven't acknowledged its drain.
    #[display("drain of {instance} unacknowledged by {}", by.join(","))]
    Unacknowledged {
        /// Name of the instance.
        instance: String,
        /// Names of the entries.
        by: Vec<String>,
    },
    /// The instance hasn't come back from its restart within two thirds of the time after which it
    /// counts as lost.
    #[display("instance {instance} is down since its restart began {secs} s ago")]
    Restarting {
        /// Name of the instance.
        instance: String,
        /// Seconds since it was stopped.
        secs: u64,
    },
    /// The instance has failed; the wave may still be waiting for it.
    #[display("instance {instance} lost")]
    Lost {
        /// Name of the instance.
        instance: String,
    },
    /// The instance is out of service for another purpose.
    #[display("instance {instance} is out for: {by}")]
    Held {
        /// Name of the instance.
        instance: String,
        /// The purpose for which the instance is out of service.
        by: String,
    },
}

/// The progress of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Phase of the run.
    pub phase: Phase,
    /// Number of existing instances that the wave covers.
    pub total: u32,
    /// Number of instances that need no further maintenance in this run.
    pub done: u32,
    /// Number of instances under maintenance.
    pub out: u32,
    /// Number of instances that failed before their maintenance finished.
    pub failed: u32,
    /// Estimated end, based on the batches so far; the actual end if the run has ended; `None` if the
    /// end can't be estimated.
    pub finish: Option<Time>,
    /// Whether [`Self::finish`] is after the deadline, or the deadline has passed if it is `None`.
    pub late: bool,
    /// Causes of delay of the wave.
    pub stalls: Vec<Stall>,
}

/// Computes the progress of a wave. An unknown wave has the default progress.
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
        let pool_progress = PoolProgress::collect(world, key, wave, pool, now);
        progress.total += pool_progress.total;
        progress.done += pool_progress.done;
        progress.out += pool_progress.out;
        progress.failed += pool_progress.failed;
        let end = pool_progress.estimate_finish(wave, now);
        finish = finish.zip(end).map(|(left, right)| left.max(right));
        if wave.phase.is_active() {
            progress.stalls.extend(pool_progress.stalls);
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

/// The progress of a wave in one pool.
#[derive(Debug, Default)]
struct PoolProgress {
    total: u32,
    done: u32,
    out: u32,
    failed: u32,
    /// Number of members that the budget allows to be out of service at once, including those under
    /// maintenance.
    max_unavailable: u32,
    stalls: Vec<Stall>,
}

impl PoolProgress {
    fn collect(world: &World, key: key::Wave, wave: &Wave, pool: key::Pool, now: Time) -> Self {
        let mut progress = Self::default();
        for (instance, member) in world.members(pool) {
            progress.total += 1;
            if !wave.is_due(key, member) {
                progress.done += 1;
                continue;
            }
            let failed = member.state == State::Failed;
            progress.out += u32::from(wave.is_maintaining(key, member) && !failed);
            progress.failed += u32::from(failed);
            progress.stalls.extend(stall(world, wave, key, instance, member, now));
        }
        let mut budget = Budget::for_pool(world, pool).unwrap_or_default();
        progress.stalls.extend(progress.budget_stall(world, wave, pool, &budget));
        for (_, member) in world.members(pool) {
            if wave.is_maintaining(key, member) && member.state != State::Failed {
                budget.add(member.rack);
            }
        }
        progress.max_unavailable = budget.max_unavailable();
        progress
    }

    /// Reports the budget as a cause of delay if no member is under maintenance and the budget allows
    /// no drain.
    fn budget_stall(
        &self,
        world: &World,
        wave: &Wave,
        pool: key::Pool,
        budget: &Budget,
    ) -> Option<Stall> {
        let remaining = self.total - self.done;
        if wave.phase != Phase::Running || self.out > 0 || remaining == self.failed {
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

    /// Estimates when the maintenance of the pool's members is complete. The duration of a batch is
    /// the weighted mean of the declared and the measured durations, but at least the declared one.
    fn estimate_finish(&self, wave: &Wave, now: Time) -> Option<Time> {
        let remaining = self.total - self.done;
        if remaining == 0 {
            return Some(now);
        }
        if self.max_unavailable == 0 {
            return None;
        }
        let declared = Duration::from_secs(u64::from(wave.spec.restart_secs)) + OVERHEAD;
        let batches_done = self.done / self.max_unavailable;
        let elapsed = now.since(wave.started);
        let batch_duration = (declared * PRIOR_BATCHES + elapsed) / (PRIOR_BATCHES + batches_done);
        let remaining_batches = remaining.div_ceil(self.max_unavailable);
        Some(now + batch_duration.max(declared) * remaining_batches)
    }
}

/// The delay that a member causes, if it causes one.
fn stall(
    world: &World,
    wave: &Wave,
    key: key::Wave,
    instance: key::Instance,
    member: &Instance,
    now: Time,
) -> Option<Stall> {
    let name = member.name.clone();
    let elapsed = now.since(member.since);
    if member.state == State::Failed {
        return Some(Stall::Lost { instance: name });
    }
    if !wave.is_maintaining(key, member) {
        let purpose = member.purpose.filter(|purpose| *purpose != Purpose::Parked)?;
        return Some(Stall::Held { instance: name, by: purpose.to_string() });
    }
    match member.state {
        State::Draining if elapsed >= SLOW_DRAIN => {
            let by = world.observations.drain_blockers.get(&instance).cloned().unwrap_or_default();
            Some(Stall::Unacknowledged { instance: name, by })
        }
        State::Stopped if elapsed * 3 >= restart_timeout(wave) * 2 => {
            Some(Stall::Restarting { instance: name, secs: elapsed.as_secs() })
        }
        _ => None,
    }
}
