//! Moves machines between pools as demand changes, and idle ones to the standby pool.

use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use super::demand::Pool;
use crate::instance;
use crate::machine::Operation;
use crate::machine::State;

/// Factor on the expected demand of a pool, since demand grows while a machine moves.
const HEADROOM: f64 = 1.1;

/// Capacity that each pool keeps for the first jobs of a burst, in millicores.
const RESERVE: f64 = 40_000.0;

/// Share of the CPU of machines in use that known instances must have before any machine moves.
const MIN_KNOWN_SHARE: f64 = 0.5;

/// Share of all machines that may move at once: bounds the cost of a wrong prediction.
const MAX_MOVING_SHARE: f64 = 0.5;

/// Interval between log lines of a pool.
const POOL_LOG_INTERVAL: Duration = Duration::from_millis(500);

/// CPU in millicores, and the service to whose pool it belongs.
type Shares = Vec<(f64, String)>;

/// A machine that could move to another pool.
#[derive(Debug)]
struct Donor {
    /// Whether it is in use, and the time until it is empty in milliseconds; lower is better.
    rank: (bool, u64),
    host: String,
    /// The pool that it would leave.
    pool: String,
    /// Its CPU in millicores.
    cpu: f64,
}

/// Whether the surplus of a pool covers a machine.
fn can_spare(surplus: &[(f64, String)], pool: &str, cpu: f64) -> bool {
    surplus.iter().any(|(left, service)| service == pool && *left >= cpu)
}

impl Core {
    /// CPU of machines that are planned to move into a pool or are under way, in millicores.
    pub(super) fn incoming_cpu(&self, service: &str) -> f64 {
        let pending = self.operations.pending.values();
        let incoming = pending.filter_map(|pending| match &pending.operation {
            Operation::Move { host, pool } if pool == service => self.machines.get(host),
            _ => None,
        });
        incoming.map(|machine| machine.cpu as f64).sum()
    }

    /// Plans moves of machines to pools that lack capacity, and of idle machines to the standby
    /// pool.
    ///
    /// Lets queues whose load peaks at different times share machines.
    pub(super) fn plan_moves(&mut self, now: Time) {
        if !self.knows_capacity(now) {
            return;
        }
        let max_moving = (self.machines.len() as f64 * MAX_MOVING_SHARE) as usize;
        let mut free_moves = max_moving.saturating_sub(self.moving_count());
        // Late work gets only what work that can be on time leaves.
        for late in [false, true] {
            let (surplus, deficits) = self.balance(now, late);
            free_moves = self.move_to_deficits(now, free_moves, surplus, deficits);
        }
        let (mut surplus, _) = self.balance(now, true);
        self.move_idle_to_standby(now, free_moves, &mut surplus);
    }

    /// CPU in millicores that pools have beyond what they should have, and that others lack, by
    /// service. With `late`, late work counts as well.
    fn balance(&self, now: Time, late: bool) -> (Shares, Shares) {
        let mut surplus = Shares::new();
        let mut deficits = Shares::new();
        let services: Vec<String> = self.config.services.keys().cloned().collect();
        for service in services {
            if self.config.is_standby(&service) {
                continue;
            }
            let present = self.demand.get(&service).map_or(0.0, |pool| pool.capacity);
            let capacity = present + self.incoming_cpu(&service);
            let lacking = self.lacking_for_waiting(now, &service);
            let mut required = self.required_cpu(now, &service, late);
            if lacking > 0.0 {
                required = required.max(present + lacking);
            }
            if capacity < required {
                deficits.push((required - capacity, service));
            } else if present > required {
                // Machines on their way are not there yet to make up for others.
                surplus.push((present - required, service));
            }
        }
        deficits.sort_by(|one, other| other.0.total_cmp(&one.0));
        (surplus, deficits)
    }

    /// Plans moves from pools with a surplus to pools that lack capacity. Returns the number of
    /// moves that are still free.
    fn move_to_deficits(
        &mut self,
        now: Time,
        mut free_moves: usize,
        mut surplus: Shares,
        deficits: Shares,
    ) -> usize {
        if deficits.is_empty() || free_moves == 0 {
            return free_moves;
        }
        let mut donors = self.donors(now, &surplus);
        for (mut deficit, service) in deficits {
            while deficit > 0.0 && free_moves > 0 {
                let Some(donor) = self.take_donor(&mut donors, &mut surplus) else {
                    return free_moves;
                };
                deficit -= donor.cpu;
                free_moves -= 1;
                let operation = Operation::Move { host: donor.host, pool: service.clone() };
                self.plan_operation(now, operation);
            }
        }
        free_moves
    }

    /// Whether enough instances are known to judge which pools lack capacity.
    ///
    /// In the first seconds of a site not all instances have been listed yet, and pools would only
    /// seem to lack capacity.
    fn knows_capacity(&self, now: Time) -> bool {
        // By what the machines are listed with: instances that have shrunk are known all the same.
        let (mut known, mut expected) = (0.0, 0.0);
        for machine in self.machines.values() {
            if machine.state != State::Up || self.config.is_standby(&machine.pool) {
                continue;
            }
            expected += machine.cpu as f64;
            let instance = self.keys.get(&machine.instance).map(|&key| self.instance(key));
            if instance.is_some_and(|it| it.is_healthy(now) && !it.reserved) {
                known += machine.cpu as f64;
            }
        }
        known >= expected * MIN_KNOWN_SHARE
    }

    /// Logs the demand on each pool and its capacity.
    pub(super) fn log_pools(&mut self, now: Time) {
        if self.operations.pools_logged_at.is_some_and(|at| now.since(at) < POOL_LOG_INTERVAL) {
            return;
        }
        self.operations.pools_logged_at = Some(now);
        for (service, pool) in &self.demand {
            info!(
                event = "pool",
                service,
                need = self.required_cpu(now, service, true) as u64,
                capacity = pool.capacity as u64,
                open = pool.open as u64,
                suspended = pool.suspended,
                probation = pool.on_probation,
                unread = pool.unread,
                silent = pool.silent,
                reserved = pool.reserved,
                incoming = self.incoming_cpu(service) as u64,
                lasting = pool.long_running as u64,
                asked = pool.requested as u64,
                late = pool.late as u64,
                owed_s = (pool.backlog / 1_000_000.0) as u64,
                rate = pool.rate(now, self.tuning.demand_window) as u64,
                moving = self.moving_count(),
            );
        }
    }

    /// Number of moves planned or under way.
    pub(super) fn moving_count(&self) -> usize {
        let pending = self.operations.pending.values();
        pending.filter(|pending| matches!(pending.operation, Operation::Move { .. })).count()
    }

    /// CPU that a pool should have, in millicores. With `late`, late work counts as well.
    fn required_cpu(&self, now: Time, service: &str, late: bool) -> f64 {
        let Some(pool) = self.demand.get(service) else { return RESERVE };
        let expected = self.expected_cpu(now, pool);
        let late = if late { pool.late } else { 0.0 };
        pool.long_running + RESERVE.max(expected).max(pool.requested + late)
    }

    /// CPU that work will need at the arrival rate expected for the time when a machine that is moved
    /// now is ready, in millicores. Expects no growth until this leader has seen two windows of
    /// arrivals.
    ///
    /// Handles the first moments of a term, in which all callers come who waited for a leader: compared
    /// with a window of which nothing is known, they would look like a steep growth, and half of the
    /// site's machines would move.
    fn expected_cpu(&self, now: Time, pool: &Pool) -> f64 {
        let window = self.tuning.demand_window;
        let rate = pool.rate(now, window);
        if self.restored_at.is_none_or(|at| now.since(at) < window * 2) {
            return rate * HEADROOM;
        }
        let previous_rate = pool.rate_until(now - window, window);
        let growth =
            (rate - previous_rate).max(0.0) * self.tuning.move_time.div_duration_f64(window);
        (rate + growth) * HEADROOM
    }

    /// Machines that their pools can spare, the most suitable first: those on standby, then those
    /// that are empty soonest.
    fn donors(&self, now: Time, surplus: &[(f64, String)]) -> Vec<Donor> {
        let up = self.machines.iter().filter(|(host, machine)| {
            machine.state == State::Up && !self.operations.pending.contains_key(*host)
        });
        let movable = up.filter_map(|(host, machine)| {
            let standby = self.config.is_standby(&machine.pool);
            let cpu = machine.cpu as f64;
            if !standby && !can_spare(surplus, &machine.pool, cpu) {
                return None;
            }
            let cost = match self.keys.get(&machine.instance) {
                _ if standby => 0,
                Some(&key) => self.move_cost(now, key)?,
                None => return None,
            };
            let (host, pool) = (host.clone(), machine.pool.clone());
            Some(Donor { rank: (!standby, cost), host, pool, cpu })
        });
        let mut donors: Vec<Donor> = movable.collect();
        donors.sort_by(|one, other| (one.rank, &one.host).cmp(&(other.rank, &other.host)));
        donors
    }

    /// Takes the first machine that its pool can spare, and its CPU off the pool's surplus.
    fn take_donor(
        &mut self,
        donors: &mut Vec<Donor>,
        surplus: &mut [(f64, String)],
    ) -> Option<Donor> {
        let free = |donor: &Donor| {
            let on_standby = !donor.rank.0;
            on_standby || can_spare(surplus, &donor.pool, donor.cpu)
        };
        let donor = donors.remove(donors.iter().position(free)?);
        if let Some(pool) = self.demand.get_mut(&donor.pool) {
            pool.capacity -= donor.cpu;
        }
        if let Some(pool) = surplus.iter_mut().find(|(_, service)| *service == donor.pool) {
            pool.0 -= donor.cpu;
        }
        Some(donor)
    }

    /// Time until an instance is empty, in milliseconds; None if it runs long-running tasks, or
    /// can't be moved for another reason.
    fn move_cost(&self, now: Time, key: instance::Key) -> Option<u64> {
        let instance = self.instance(key);
        let taken = instance.reserved || self.is_kept(key);
        // One that has not been read may run tasks that a previous leader started.
        let usable = instance.is_healthy(now) && instance.synced && !instance.report.draining;
        if !usable || taken {
            return None;
        }
        let mut longest = Duration::ZERO;
        for task in &instance.tasks {
            let job = &self.jobs[&task.job];
            let step = job.step(task.index);
            if step.long_running {
                return None;
            }
            longest = longest.max(self.task_duration(job, step));
        }
        Some(longest.as_millis() as u64)
    }

    /// Plans moves of idle machines to the standby pool, where their pool has a surplus.
    fn move_idle_to_standby(
        &mut self,
        now: Time,
        free_moves: usize,
        surplus: &mut [(f64, String)],
    ) {
        let standby = self.config.services.iter().find(|(_, service)| service.standby);
        let Some(pool) = standby.map(|(name, _)| name.clone()) else { return };
        let idle: Vec<String> = self
            .operations
            .idle_since
            .iter()
            .filter(|(host, since)| {
                let no_recent_operation = self
                    .operations
                    .finished_at
                    .get(*host)
                    .is_none_or(|at| now.since(*at) > self.tuning.idle_timeout);
                now.since(**since) > self.tuning.idle_timeout && no_recent_operation
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in idle.into_iter().take(free_moves) {
            let Some(machine) = self.machines.get(&host) else { continue };
            if machine.pool == pool || self.operations.pending.contains_key(&host) {
                continue;
            }
            if self.instance_on(&host).is_some_and(|key| self.is_kept(key)) {
                continue;
            }
            let cpu = machine.cpu as f64;
            let donor =
                surplus.iter_mut().find(|(left, service)| *service == machine.pool && *left >= cpu);
            if let Some(donor) = donor {
                donor.0 -= cpu;
                self.plan_operation(now, Operation::Move { host, pool: pool.clone() });
            }
        }
    }
}
