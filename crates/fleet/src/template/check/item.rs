//! Each item by itself: names, ranges, and the items that it refers to.

use super::Scope;
use crate::config::Job;
use crate::config::Pool;
use crate::config::Service;
use crate::config::Wave;

/// Most instances in a pool.
const POOL_SIZE: u32 = 4_096;
/// Longest time a request may take, milliseconds.
const TIMEOUT_MS: u32 = 300_000;
/// Most requests that may wait in one entry for one service.
const QUEUE: u32 = 65_536;
/// Most slots and connections of one upstream.
const CONNECTIONS: u32 = 65_536;
/// Largest body, bytes.
const BODY_BYTES: u32 = 64 << 20;
/// Longest run of a job, seconds: 30 days.
const JOB_SECS: u32 = 30 * 24 * 3_600;
/// Longest time one instance may be out for maintenance, seconds: a day.
const RESTART_SECS: u32 = 24 * 3_600;

impl Scope<'_> {
    pub(super) fn check_items(&mut self) {
        self.check_weights();
        let organisation = self.organisation;
        for (name, pool) in &organisation.pools {
            self.check_pool(&format!("pools.{name}"), name, pool);
        }
        for (name, service) in &organisation.services {
            self.check_service(&format!("services.{name}"), name, service);
        }
        for name in organisation.teams.keys() {
            self.check_name(&format!("teams.{name}"), name);
        }
        for (name, job) in &organisation.jobs {
            self.check_job(&format!("jobs.{name}"), name, job);
        }
        for (name, wave) in &organisation.waves {
            self.check_wave(&format!("waves.{name}"), name, wave);
        }
    }

    fn check_weights(&mut self) {
        let weights = self.organisation.weights;
        let all = [weights.buffer, weights.rollout, weights.moves];
        let sound = all.iter().all(|weight| weight.is_finite() && *weight >= 0.0);
        if !sound || all.iter().sum::<f64>() <= 0.0 {
            self.error("weights", "they give no order of costs", "give numbers above nought");
        }
    }

    fn check_pool(&mut self, path: &str, name: &str, pool: &Pool) {
        self.check_name(path, name);
        self.check_range(&format!("{path}.size"), pool.size, 1, POOL_SIZE);
        if pool.min_ready > pool.size {
            let what = format!("{} of {} instances can't be ready", pool.min_ready, pool.size);
            let remedy = format!("lower it to {} or raise the size", pool.size);
            self.error(&format!("{path}.min_ready"), what, remedy);
        }
    }

    fn check_service(&mut self, path: &str, name: &str, service: &Service) {
        self.check_name(path, name);
        self.check_pool_exists(&format!("{path}.pool"), &service.pool);
        self.check_range(&format!("{path}.timeout_ms"), service.timeout_ms, 1, TIMEOUT_MS);
        self.check_range(&format!("{path}.queue"), service.queue, 1, QUEUE);
        self.check_range(&format!("{path}.slots"), service.slots, 1, CONNECTIONS);
        let connections = format!("{path}.connections");
        self.check_range(&connections, service.connections, service.slots, CONNECTIONS);
        self.check_range(&format!("{path}.retry_percent"), service.retry_percent, 0, 100);
        self.check_range(&format!("{path}.max_body"), service.max_body, 0, BODY_BYTES);
    }

    fn check_job(&mut self, path: &str, name: &str, job: &Job) {
        self.check_name(path, name);
        self.check_pool_exists(&format!("{path}.pool"), &job.pool);
        self.check_range(&format!("{path}.seconds"), job.seconds, 1, JOB_SECS);
        if job.size.milli_cores == 0 || job.size.memory_mb == 0 {
            let what = "it needs no processor or no memory";
            self.error(&format!("{path}.size"), what, "declare what it needs of each");
        }
    }

    fn check_wave(&mut self, path: &str, name: &str, wave: &Wave) {
        self.check_name(path, name);
        self.check_range(&format!("{path}.restart_secs"), wave.restart_secs, 1, RESTART_SECS);
        if wave.pools.is_empty() {
            self.error(&format!("{path}.pools"), "it covers no pool", "name one or more pools");
        }
        for pool in &wave.pools {
            self.check_pool_exists(&format!("{path}.pools"), pool);
        }
    }
}
