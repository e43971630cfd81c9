//! The workers of all machines, and how the tasks of jobs behave.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::config;
use fleet::fact::Report;
use fleet::job::Order;
use fleet::time::Time;
use fleet::world::World;

use crate::fake::Site;
use crate::fake::worker::Task;
use crate::fake::worker::Worker;
use crate::trace::Batch;
use crate::trace::Fault;

/// The workers of all machines.
#[derive(Clone, Debug, Default)]
pub struct Crew {
    workers: BTreeMap<String, Worker>,
    down: BTreeMap<String, bool>,
    tasks: BTreeMap<String, Task>,
    /// When each job was first begun.
    pub first_start: BTreeMap<String, Time>,
    /// How often each job was begun from its beginning.
    pub fresh_runs: BTreeMap<String, u32>,
}

impl Crew {
    /// Sets how the worker of an instance behaves.
    pub fn set(&mut self, instance: &str, fault: Fault) {
        self.workers.entry(instance.to_owned()).or_default().fault = fault;
    }

    /// Whether nothing reaches the worker of an instance.
    pub fn is_unreachable(&self, instance: &str) -> bool {
        let worker = self.workers.get(instance);
        worker.is_some_and(|worker| worker.fault == Fault::Unreachable)
    }

    /// Takes note of how the task of a job behaves.
    pub fn expect(&mut self, name: &str, batch: &Batch, spec: &config::Job) {
        let declared = Duration::from_secs(spec.seconds.into());
        let run_ms = Duration::from_millis(batch.run_ms);
        let percent = if batch.usage_percent == 0 { 100 } else { batch.usage_percent };
        let task = Task {
            runs: if batch.run_ms == 0 { declared } else { run_ms },
            usage: spec.size.percent(percent),
            fails: batch.fails,
        };
        self.tasks.insert(name.to_owned(), task);
    }

    /// Lets time pass. A machine that was down has a new process.
    pub fn advance(&mut self, site: &Site, now: Time) {
        for name in site.machines().keys() {
            let worker = self.workers.entry(name.clone()).or_default();
            let was_down = self.down.insert(name.clone(), !site.is_up(name)).unwrap_or(false);
            if was_down && site.is_up(name) {
                worker.restart();
            }
            if site.is_up(name) {
                worker.advance(now);
            }
        }
    }

    /// The reports of all workers that can be reached.
    pub fn reports(&self, site: &Site, world: &World, age: Duration, now: Time) -> Vec<Report> {
        let reached = |name: &str| site.is_up(name) && !self.is_unreachable(name);
        let mut reports = Vec::new();
        for (name, worker) in self.workers.iter().filter(|(name, _)| reached(name)) {
            let Some(&instance) = world.names.instances.get(name) else { continue };
            let Some(epoch) = world.instances.get(instance).map(|instance| instance.epoch) else {
                continue;
            };
            let attempts = worker.report();
            reports.push(Report { instance, boot: worker.boot, epoch, taken: now - age, attempts });
        }
        reports
    }

    /// Gives an order to the worker of an instance, with a lease until then.
    pub fn give(&mut self, instance: &str, order: &Order, lease_until: Time, now: Time) {
        let Some(worker) = self.workers.get_mut(instance) else { return };
        worker.renew(lease_until);
        let Order::Start { job, number, checkpoint, .. } = order else {
            worker.obey(order, now);
            return;
        };
        let Some(mut task) = self.tasks.get(job).copied() else { return };
        let left = checkpoint.as_deref().and_then(|left| left.parse().ok());
        task.runs = left.map_or(task.runs, Duration::from_micros);
        if !worker.start(job, *number, task, now) {
            return;
        }
        self.first_start.entry(job.clone()).or_insert(now);
        if checkpoint.is_none() {
            *self.fresh_runs.entry(job.clone()).or_default() += 1;
        }
    }

    /// Lets the attempts at an instance go on until then.
    pub fn renew(&mut self, instance: &str, until: Time) {
        if let Some(worker) = self.workers.get_mut(instance) {
            worker.renew(until);
        }
    }
}
