//! Checks whether the instances of the fleet can provide what the configuration requires.

use super::Checker;
use crate::config::Pool;
use crate::config::Size;
use crate::config::Wave;

impl Checker<'_> {
    pub(super) fn check_feasibility(&mut self) {
        let organisation = self.organisation;
        for (name, wave) in &organisation.waves {
            self.check_wave_can_finish(&format!("waves.{name}"), wave);
        }
        if self.inventory.members.is_empty() {
            return;
        }
        self.check_sizes();
        self.check_quotas();
        for (name, pool) in &organisation.pools {
            self.check_budget(name, pool);
        }
        for (name, job) in &organisation.jobs {
            self.check_fits(&format!("jobs.{name}.size"), &job.pool, job.size);
        }
    }

    /// Checks that a wave has an availability budget in each pool and can meet its deadline.
    fn check_wave_can_finish(&mut self, path: &str, wave: &Wave) {
        let organisation = self.organisation;
        for name in &wave.pools {
            let Some(pool) = organisation.pools.get(name) else { continue };
            let budget = pool.size.saturating_sub(pool.min_ready);
            if budget == 0 {
                let what =
                    format!("pool \"{name}\" has no availability budget: the wave can't finish");
                let remedy = format!("lower pools.{name}.min_ready below its size");
                self.error(&format!("{path}.pools"), what, remedy);
                continue;
            }
            let batches = pool.size.div_ceil(budget);
            let min_secs = u64::from(batches) * u64::from(wave.restart_secs);
            if wave.deadline_secs < min_secs {
                let what =
                    format!("pool \"{name}\" alone takes {min_secs} s: it can't finish by then");
                let remedy = format!("give {min_secs} s or more, or a larger budget");
                self.error(&format!("{path}.deadline_secs"), what, remedy);
            }
        }
    }

    fn check_sizes(&mut self) {
        let configured: u32 = self.organisation.pools.values().map(|pool| pool.size).sum();
        let existing = self.inventory.of_organisation(self.name).count() as u32;
        if configured > existing {
            let what = format!("the pool sizes add up to {configured} instances, {existing} exist");
            self.error("pools", what, "lower sizes, or start more instances first");
        }
    }

    fn check_quotas(&mut self) {
        let teams = self.organisation.teams.values();
        let quotas = teams.fold(Size::default(), |sum, team| sum + team.quota);
        let total = self.inventory.total(self.name);
        let over = quotas.milli_cores > total.milli_cores
            || quotas.memory_mb > total.memory_mb
            || quotas.accelerators > total.accelerators;
        if over {
            let what = format!("the quotas add up to {quotas}, the fleet has {total}");
            self.error("teams", what, "lower quotas, or let teams borrow");
        }
    }

    /// Checks that the pool has `min_ready` instances, and warns if the failure of the rack with the
    /// most of them would leave fewer.
    fn check_budget(&mut self, name: &str, pool: &Pool) {
        let existing = self.inventory.of_pool(self.name, name).count() as u32;
        let path = format!("pools.{name}.min_ready");
        if existing < pool.min_ready {
            let what = format!("{} must be ready, the pool has {existing}", pool.min_ready);
            self.error(&path, what, format!("lower it to {existing}, or move instances in first"));
            return;
        }
        let rack = self.inventory.largest_rack(self.name, name);
        let left = existing.saturating_sub(rack);
        if left < pool.min_ready {
            let what =
                format!("one rack has {rack} of {existing} instances: its failure leaves {left}");
            let remedy = format!("lower it to {left}, or spread the pool over more racks");
            self.warning(&path, what, remedy);
        }
    }

    /// Checks that a job of this size fits an instance of its pool.
    fn check_fits(&mut self, path: &str, pool: &str, size: Size) {
        let fits = |capacity: Size| {
            size.milli_cores <= capacity.milli_cores
                && size.memory_mb <= capacity.memory_mb
                && size.accelerators <= capacity.accelerators
        };
        let mut instances = self.inventory.of_pool(self.name, pool).peekable();
        if instances.peek().is_some() && !instances.any(|member| fits(member.capacity)) {
            let what = format!("no instance of pool \"{pool}\" has the resources {size}");
            self.error(path, what, "lower the size, or name another pool");
        }
    }
}
