//! Checks each item separately: its name, value ranges and references to other items.

use super::Checker;
use crate::config::Job;
use crate::config::Pool;
use crate::config::Service;
use crate::config::Wave;

/// Maximum number of instances of a pool.
const MAX_POOL_SIZE: u32 = 4_096;
/// Maximum request timeout, in milliseconds.
const MAX_TIMEOUT_MS: u32 = 300_000;
/// Maximum length of the queue of a service in one entry.
const MAX_QUEUE: u32 = 65_536;
/// Maximum number of slots and of connections of an upstream.
const MAX_CONNECTIONS: u32 = 65_536;
/// Maximum body size, in bytes.
const MAX_BODY_BYTES: u32 = 64 << 20;
/// Maximum run time of a job, in seconds: 30 days.
const MAX_JOB_SECS: u32 = 30 * 24 * 3_600;
/// Maximum downtime of an instance for maintenance, in seconds: one day.
const MAX_RESTART_SECS: u32 = 24 * 3_600;

impl Checker<'_> {
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
        let is_valid = all.iter().all(|weight| weight.is_finite() && *weight >= 0.0);
        if !is_valid || all.iter().sum::<f64>() <= 0.0 {
            self.error(
                "weights",
                "the weights must be non-negative and not all zero",
                "give positive numbers",
            );
        }
    }

    fn check_pool(&mut self, path: &str, name: &str, pool: &Pool) {
        self.check_name(path, name);
        self.check_range(&format!("{path}.size"), pool.size, 1, MAX_POOL_SIZE);
        if pool.min_ready > pool.size {
            let what = format!("min_ready {} exceeds the pool size {}", pool.min_ready, pool.size);
            let remedy = format!("lower it to {} or raise the size", pool.size);
            self.error(&format!("{path}.min_ready"), what, remedy);
        }
    }

    fn check_service(&mut self, path: &str, name: &str, service: &Service) {
        self.check_name(path, name);
        self.check_pool_exists(&format!("{path}.pool"), &service.pool);
        self.check_range(&format!("{path}.timeout_ms"), service.timeout_ms, 1, MAX_TIMEOUT_MS);
        self.check_range(&format!("{path}.queue"), service.queue, 1, MAX_QUEUE);
        self.check_range(&format!("{path}.slots"), service.slots, 1, MAX_CONNECTIONS);
        let connections = format!("{path}.connections");
        self.check_range(&connections, service.connections, service.slots, MAX_CONNECTIONS);
        self.check_range(&format!("{path}.retry_percent"), service.retry_percent, 0, 100);
        self.check_range(&format!("{path}.max_body"), service.max_body, 0, MAX_BODY_BYTES);
    }

    fn check_job(&mut self, path: &str, name: &str, job: &Job) {
        self.check_name(path, name);
        self.check_pool_exists(&format!("{path}.pool"), &job.pool);
        self.check_range(&format!("{path}.seconds"), job.seconds, 1, MAX_JOB_SECS);
        if job.size.milli_cores == 0 || job.size.memory_mb == 0 {
            let what = "it declares no processor time or no memory";
            self.error(&format!("{path}.size"), what, "declare processor time and memory");
        }
    }

    fn check_wave(&mut self, path: &str, name: &str, wave: &Wave) {
        self.check_name(path, name);
        self.check_range(&format!("{path}.restart_secs"), wave.restart_secs, 1, MAX_RESTART_SECS);
        if wave.pools.is_empty() {
            self.error(
                &format!("{path}.pools"),
                "the wave covers no pool",
                "name one or more pools",
            );
        }
        for pool in &wave.pools {
            self.check_pool_exists(&format!("{path}.pools"), pool);
        }
    }
}
