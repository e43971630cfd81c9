//! Moves: which machines change their pool, or go out of use.

use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::instance;
use crate::machine::Operation;
use crate::machine::State;

/// Room beyond the demand of the moment that a pool keeps: demand climbs while a machine moves.
const HEADROOM: f64 = 1.1;

/// Room that each pool keeps, in thousandths of a core: what the first jobs of a hill ask for.
const RESERVE: f64 = 40_000.0;

/// Share of the processors of machines in use whose instances must be known before any moves.
const MIN_KNOWN_SHARE: f64 = 0.5;

/// Share of all machines that may be on the move at once: bounds what one wrong guess costs.
const MAX_MOVING_SHARE: f64 = 0.5;

/// Time between two log lines of a pool.
const POOL_LOG_INTERVAL: Duration = Duration::from_millis(500);

impl Core {
    /// Processors on their way into a pool, in thousandths of a core.
    pub(super) fn incoming_cpu(&self, service: &str) -> f64 {
        let errands = self.operations.pending.values();
        let coming = errands.filter_map(|errand| match &errand.operation {
            Operation::Move { host, pool } if pool == service => self.machines.get(host),
            _ => None,
        });
        coming.map(|machine| machine.cpu as f64).sum()
    }

    /// Answers queues that peak by turns: machines go where work arrives, and out of use where
    /// none does.
    pub(super) fn plan_moves(&mut self, now: Time) {
        if !self.knows_capacity() {
            return;
        }
        let most = (self.machines.len() as f64 * MAX_MOVING_SHARE) as usize;
        let mut room = most.saturating_sub(self.moving_count());
        let mut surplus: Vec<(f64, String)> = Vec::new();
        let mut wanting: Vec<(f64, String)> = Vec::new();
        let services: Vec<String> = self.config.services.keys().cloned().collect();
        for service in services {
            if self.config.is_standby(&service) {
                continue;
            }
            let need = self.required_cpu(now, &service);
            let have = self.demand.get(&service).map_or(0.0, |pool| pool.capacity)
                + self.incoming_cpu(&service);
            if have < need {
                wanting.push((need - have, service));
            } else {
                surplus.push((have - need, service));
            }
        }
        wanting.sort_by(|one, other| other.0.total_cmp(&one.0));
        for (mut lack, service) in wanting {
            while lack > 0.0 && room > 0 {
                let Some(host) = self.pick_donor(now, &mut surplus) else { return };
                lack -= self.machines.get(&host).map_or(0.0, |machine| machine.cpu as f64);
                room -= 1;
                self.plan_operation(now, Operation::Move { host, pool: service.clone() });
            }
        }
        self.move_idle_to_standby(now, room, &mut surplus);
    }

    /// Whether enough instances of the machines in use are known to judge what pools lack.
    ///
    /// Answers the first seconds of a site, in which instances have yet to report.
    fn knows_capacity(&self) -> bool {
        let machines = self.machines.values();
        let used =
            machines.filter(|row| row.state == State::Up && !self.config.is_standby(&row.pool));
        let expected: f64 = used.map(|machine| machine.cpu as f64).sum();
        let pools = self.demand.iter().filter(|(service, _)| !self.config.is_standby(service));
        let known: f64 = pools.map(|(_, pool)| pool.capacity).sum();
        known >= expected * MIN_KNOWN_SHARE
    }

    /// Logs what pools are asked for and have.
    pub(super) fn log_pools(&mut self, now: Time) {
        if self.operations.pools_logged_at.is_some_and(|at| now.since(at) < POOL_LOG_INTERVAL) {
            return;
        }
        self.operations.pools_logged_at = Some(now);
        for (service, pool) in &self.demand {
            info!(
                event = "pool",
                service,
                need = self.required_cpu(now, service) as u64,
                capacity = pool.capacity as u64,
                incoming = self.incoming_cpu(service) as u64,
                lasting = pool.long_running as u64,
                asked = pool.requested as u64,
                owed_s = (pool.backlog / 1_000_000.0) as u64,
                rate = pool.rate(now, self.tuning.demand_window) as u64,
                moving = self.moving_count(),
            );
        }
    }

    pub(super) fn moving_count(&self) -> usize {
        let errands = self.operations.pending.values();
        errands.filter(|errand| matches!(errand.operation, Operation::Move { .. })).count()
    }

    /// Processors that a pool should have, in thousandths of a core.
    fn required_cpu(&self, now: Time, service: &str) -> f64 {
        let Some(pool) = self.demand.get(service) else { return RESERVE };
        let window = self.tuning.demand_window;
        let rate = pool.rate(now, window);
        let before = pool.rate_until(now - window, window);
        // What a climb adds until a machine that is moved now is at work.
        let climb = (rate - before).max(0.0) * self.tuning.move_time.div_duration_f64(window);
        let expected = (rate + climb) * HEADROOM;
        pool.long_running + RESERVE.max(expected).max(pool.requested)
    }

    /// A machine that its pool can spare: one that is switched off, else the idlest of a pool with
    /// more than it needs.
    fn pick_donor(&mut self, now: Time, surplus: &mut [(f64, String)]) -> Option<String> {
        let standby: Vec<&String> = self
            .config
            .services
            .iter()
            .filter(|(_, row)| row.standby)
            .map(|(name, _)| name)
            .collect();
        let mut best: Option<((u8, u64), String)> = None;
        for (host, machine) in &self.machines {
            if machine.state != State::Up || self.operations.pending.contains_key(host) {
                continue;
            }
            let off = standby.contains(&&machine.pool);
            let spare = surplus
                .iter()
                .any(|(left, service)| *service == machine.pool && *left >= machine.cpu as f64);
            let cost = match self.keys.get(&machine.instance) {
                _ if off => Some(0),
                Some(&key) if spare => self.move_cost(now, key),
                _ => None,
            };
            let Some(cost) = cost else { continue };
            let rank = (u8::from(!off), cost);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, host.clone()));
            }
        }
        let (_, host) = best?;
        let machine = self.machines.get(&host)?;
        if let Some(row) = surplus.iter_mut().find(|(_, service)| *service == machine.pool) {
            row.0 -= machine.cpu as f64;
        }
        Some(host)
    }

    /// Time until an instance is empty, in milliseconds; nothing where it holds lasting work.
    fn move_cost(&self, now: Time, key: instance::Key) -> Option<u64> {
        let runner = self.instance(key);
        if !runner.is_healthy(now) || runner.report.draining || runner.reserved {
            return None;
        }
        let mut longest = Duration::ZERO;
        for task in &runner.tasks {
            let job = &self.jobs[&task.job];
            let step = job.step(task.index);
            if step.long_running {
                return None;
            }
            longest = longest.max(self.task_duration(job, step));
        }
        Some(longest.as_millis() as u64)
    }

    /// Puts machines out of use that have been idle in a pool with more than it needs.
    fn move_idle_to_standby(&mut self, now: Time, room: usize, surplus: &mut [(f64, String)]) {
        let standby = self.config.services.iter().find(|(_, service)| service.standby);
        let Some(pool) = standby.map(|(name, _)| name.clone()) else { return };
        let idle: Vec<String> = self
            .operations
            .idle_since
            .iter()
            .filter(|(host, since)| {
                let settled = self
                    .operations
                    .finished_at
                    .get(*host)
                    .is_none_or(|at| now.since(*at) > self.tuning.idle_timeout);
                now.since(**since) > self.tuning.idle_timeout && settled
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in idle.into_iter().take(room) {
            let Some(machine) = self.machines.get(&host) else { continue };
            if machine.pool == pool || self.operations.pending.contains_key(&host) {
                continue;
            }
            let cpu = machine.cpu as f64;
            let row =
                surplus.iter_mut().find(|(left, service)| *service == machine.pool && *left >= cpu);
            if let Some(row) = row {
                row.0 -= cpu;
                self.plan_operation(now, Operation::Move { host, pool: pool.clone() });
            }
        }
    }
}
