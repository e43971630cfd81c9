//! All workers of a site, and how each job's task really behaves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::config::Priority;
use fleet::fact::Report;
use fleet::job;
use fleet::job::Command;
use fleet::key;
use fleet::time::Time;
use fleet::world::World;

use crate::fake::Site;
use crate::fake::Worker;
use crate::fake::worker::Task;

/// What is known of a job outside of the tables.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// How its task behaves.
    pub task: Task,
    /// How urgent it is.
    pub priority: Priority,
    /// When it was submitted.
    pub submitted: Time,
    /// When it first started.
    pub started: Option<Time>,
    /// When it was cancelled.
    pub cancelled: Option<Time>,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// How often it started anew, not from a checkpoint.
    pub fresh: u32,
}

/// All workers of a site.
#[derive(Clone, Debug, Default)]
pub struct Crew {
    /// The jobs by name.
    pub jobs: BTreeMap<String, Known>,
    /// Starts of jobs that were cancelled long enough before for it to be known.
    pub started_after_cancel: u64,
    /// Jobs that ran twice although they may not, and moments at which one ran in two places.
    pub double_runs: u64,
    workers: BTreeMap<String, Worker>,
    burning: BTreeMap<String, Time>,
    reports: BTreeMap<String, Vec<(Time, Report)>>,
    lag: Duration,
}

impl Crew {
    /// Workers whose reports are as old as `lag`.
    pub fn open(lag: Duration) -> Self {
        Self { lag, ..Self::default() }
    }

    /// The worker of this name fails everything until then.
    pub fn burn(&mut self, name: &str, until: Time) {
        self.burning.insert(name.to_owned(), until);
    }

    /// Attempts that failed for no fault of theirs.
    pub fn burnt(&self) -> u64 {
        self.workers.values().map(|worker| worker.burnt).sum()
    }

    /// Whether anything runs there.
    pub fn is_busy(&self, name: &str) -> bool {
        self.workers.get(name).is_some_and(|worker| worker.jobs().next().is_some())
    }

    /// Lets time pass.
    pub fn advance(&mut self, site: &Site, now: Time) {
        self.burning.retain(|_, until| *until > now);
        for machine in site.machines().values() {
            let worker = self.workers.entry(machine.name.clone()).or_default();
            worker.burns = self.burning.contains_key(&machine.name);
            if worker.boot != machine.boots {
                worker.restart();
                worker.boot = machine.boots;
            }
            worker.advance(now);
        }
        self.check_apart();
    }

    /// The latest report of an instance that its holder has by now, and makes a new one.
    pub fn report(
        &mut self,
        name: &str,
        (instance, epoch): (key::Instance, u64),
        now: Time,
    ) -> Option<Report> {
        let worker = self.workers.get(name)?;
        let (boot, attempts) = (worker.boot, worker.report());
        let taken = Report { instance, boot, epoch, taken: now, attempts };
        let past = self.reports.entry(name.to_owned()).or_default();
        past.push((now, taken));
        let at = past.iter().rposition(|(taken, _)| *taken + self.lag <= now)?;
        let (_, report) = past[at].clone();
        past.drain(..at);
        Some(report)
    }

    /// Renews a worker's lease and gives it its orders.
    pub fn tell(
        &mut self,
        name: &str,
        world: &World,
        index: &job::Index,
        report: &Report,
        now: Time,
    ) {
        let lease = report.taken + Duration::from_millis(world.limits.lease_ms.into());
        let orders = job::commands(world, index, report);
        let Some(worker) = self.workers.get_mut(name).filter(|one| one.boot == report.boot) else {
            return;
        };
        worker.renew(lease);
        for order in orders {
            match &order {
                Command::Start { job, number, checkpoint, .. } => {
                    self.start(name, job, *number, checkpoint.as_deref(), now);
                }
                _ => {
                    if let Some(worker) = self.workers.get_mut(name) {
                        worker.obey(&order, now);
                    }
                }
            }
        }
    }

    fn start(&mut self, name: &str, job: &str, number: u32, checkpoint: Option<&str>, now: Time) {
        let known = self.jobs.entry(job.to_owned()).or_default();
        let mut task = known.task;
        if let Some(left) = checkpoint.and_then(|left| left.parse().ok()) {
            task.runs = Duration::from_millis(left);
        }
        let worker = self.workers.entry(name.to_owned()).or_default();
        if !worker.start(job, number, task, now) {
            return;
        }
        known.started.get_or_insert(now);
        known.fresh += u32::from(checkpoint.is_none());
        if known.fresh > 1 && !known.idempotent {
            self.double_runs += 1;
        }
        let known_late = known.cancelled.is_some_and(|at| now.since(at) > self.lag * 2);
        self.started_after_cancel += u64::from(known_late);
    }

    fn check_apart(&mut self) {
        let mut running = BTreeSet::new();
        for job in self.workers.values().flat_map(Worker::jobs) {
            self.double_runs += u64::from(!running.insert(job));
        }
    }
}
