//! A simulated site in virtual time: a world, its workers and the control loop between them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::config;
use fleet::config::Priority;
use fleet::config::Size;
use fleet::fact::Fact;
use fleet::fact::Report;
use fleet::instance;
use fleet::instance::Instance;
use fleet::job;
use fleet::job::Command;
use fleet::job::Decision;
use fleet::job::Index;
use fleet::job::State;
use fleet::job::Submit;
use fleet::key;
use fleet::time::Time;
use fleet::world::Change;
use fleet::world::World;

use crate::worker::StartOutcome;
use crate::worker::Task;
use crate::worker::Worker;

/// Time between two steps of the control loop.
pub(crate) const TICK: Duration = Duration::from_millis(250);

/// Time without an answer after which an instance counts as unresponsive.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(3);

/// A site in virtual time.
#[derive(Default)]
pub(crate) struct Site {
    pub(crate) world: World,
    pub(crate) index: Index,
    pub(crate) now: Time,
    pub(crate) pools: BTreeSet<key::Pool>,
    pub(crate) workers: BTreeMap<key::Instance, Worker>,
    /// Behaviour of tasks by job; those without an entry behave as declared.
    pub(crate) tasks: BTreeMap<String, Task>,
    /// Delay of reports.
    pub(crate) lag: Duration,
    /// Number of starts of each job that did not resume from a checkpoint.
    pub(crate) fresh_runs: BTreeMap<String, u32>,
    /// When each job first started.
    pub(crate) first_start: BTreeMap<String, Time>,
    /// Number of decisions taken, by name.
    pub(crate) taken: BTreeMap<&'static str, u32>,
    last_report: BTreeMap<key::Instance, Time>,
    report_history: BTreeMap<key::Instance, Vec<(Time, Report)>>,
}

/// A kind of job with usual values.
pub(crate) fn spec(pool: &str, cores: u32, memory_gb: u32, accelerators: u32) -> config::Job {
    config::Job {
        pool: pool.to_owned(),
        size: size(cores, memory_gb, accelerators),
        seconds: 60,
        priority: Priority::Normal,
        idempotent: true,
        preemptible: false,
    }
}

/// A size in cores and gigabytes.
pub(crate) const fn size(cores: u32, memory_gb: u32, accelerators: u32) -> Size {
    Size { milli_cores: cores * 1_000, memory_mb: memory_gb * 1_024, accelerators }
}

impl Site {
    /// A site with one organisation `acme`, teams and one pool `main`.
    pub(crate) fn new(teams: &[(&str, config::Team)]) -> Self {
        let mut this = Self::default();
        this.world.clock_id = 1;
        this.now = Time::from_secs(1_000);
        this.add_pool("main");
        let organisation = this.world.organisation("acme");
        for (name, spec) in teams {
            let (name, spec) = ((*name).to_owned(), spec.clone());
            this.apply_change(Change::Team(fleet::team::Team { name, organisation, spec }));
        }
        this
    }

    /// A site with one team `all` whose quota exceeds any capacity.
    pub(crate) fn unlimited() -> Self {
        let quota = size(1_000_000, 1_000_000, 1_000_000);
        Self::new(&[("all", config::Team { quota, share: 1, borrows: false })])
    }

    pub(crate) fn add_pool(&mut self, name: &str) -> key::Pool {
        let organisation = self.world.organisation("acme");
        let pool = self.world.pool(organisation, name);
        self.pools.insert(pool);
        pool
    }

    /// Adds serving instances `<pool>-0`, … of one capacity to a pool, four to a rack.
    pub(crate) fn add_instances(&mut self, pool: &str, count: u32, capacity: Size) {
        let pool_key = self.add_pool(pool);
        let known = self.workers.len() as u32;
        for number in known..known + count {
            let rack = self.world.rack(&format!("rack-{}", number / 4));
            let name = format!("{pool}-{number}");
            let instance = Instance {
                name: name.clone(),
                rack,
                pool: pool_key,
                capacity,
                state: instance::State::Serving,
                epoch: 1,
                ..Instance::default()
            };
            self.apply_change(Change::Instance(instance));
            let key = self.world.names.instances[&name];
            self.workers.insert(key, Worker::default());
            self.last_report.insert(key, self.now);
        }
    }

    /// Submits a job of kind `kind` for a team.
    pub(crate) fn submit(
        &mut self,
        name: &str,
        team: &str,
        kind: &str,
        spec: &config::Job,
    ) -> Result<(), job::Rejection> {
        let request = Submit {
            name: name.to_owned(),
            organisation: "acme".to_owned(),
            team: team.to_owned(),
            kind: kind.to_owned(),
            spec: spec.clone(),
            input: String::new(),
        };
        let decision = job::admit(&self.world, &request, self.now)?;
        self.apply(&decision);
        Ok(())
    }

    pub(crate) fn job(&self, name: &str) -> &job::Job {
        self.world.jobs.get(self.world.names.jobs[name]).expect("known by name")
    }

    pub(crate) fn key(&self, name: &str) -> key::Job {
        self.world.names.jobs[name]
    }

    pub(crate) fn instance(&self, name: &str) -> key::Instance {
        self.world.names.instances[name]
    }

    pub(crate) fn worker(&mut self, name: &str) -> &mut Worker {
        let key = self.instance(name);
        self.workers.get_mut(&key).expect("each instance has a worker")
    }

    /// The name of the instance that a job is placed on.
    pub(crate) fn placement(&self, name: &str) -> Option<&str> {
        let attempt = self.job(name).state.placed()?;
        Some(&self.world.instances.get(attempt.instance)?.name)
    }

    pub(crate) fn set_state(&mut self, name: &str, state: instance::State) {
        let instance = self.world.instances.get(self.instance(name)).expect("known").clone();
        self.apply_change(Change::Instance(instance.into_state(state, self.now)));
    }

    pub(crate) fn apply_change(&mut self, change: Change) {
        self.world.apply(change.clone());
        self.index.apply(&self.world, &change);
    }

    /// Applies a decision; `false` if it is refused.
    pub(crate) fn apply(&mut self, decision: &Decision) -> bool {
        let Ok(changes) = job::effect(&self.world, decision, self.now) else { return false };
        *self.taken.entry(decision.name()).or_default() += 1;
        for change in changes {
            self.apply_change(change);
        }
        true
    }

    pub(crate) fn count(&self, name: &str) -> u32 {
        self.taken.get(name).copied().unwrap_or_default()
    }

    /// Runs steps of the control loop for this long.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// One step of the control loop.
    pub(crate) fn tick(&mut self) {
        self.now = self.now + TICK;
        let keys: Vec<_> = self.workers.keys().copied().collect();
        for key in &keys {
            self.workers.get_mut(key).expect("known").advance(self.now);
        }
        for &key in &keys {
            self.poll(key);
        }
        for decision in job::plan(&self.world, &self.index, &self.pools, self.now) {
            assert!(self.apply(&decision), "a planned decision was refused: {decision:?}");
        }
    }

    fn poll(&mut self, key: key::Instance) {
        let worker = &self.workers[&key];
        if worker.faults.unreachable || worker.faults.paused {
            if self.now.since(self.last_report[&key]) >= UNRESPONSIVE_AFTER {
                self.observe(&Fact::Unresponsive(key));
            }
            return;
        }
        let attempts = worker.report();
        let boot = worker.boot;
        let report = Report { instance: key, boot, epoch: 1, taken: self.now, attempts };
        let report_history = self.report_history.entry(key).or_default();
        report_history.push((self.now, report));
        let lag = self.lag;
        let now = self.now;
        let Some(at) = report_history.iter().rposition(|(taken, _)| *taken + lag <= now) else {
            return;
        };
        let (taken, report) = report_history[at].clone();
        report_history.drain(..at);
        self.last_report.insert(key, self.now);
        self.observe(&Fact::Report(report.clone()));
        self.send_commands(key, taken, &report);
    }

    fn observe(&mut self, fact: &Fact) {
        self.world.record(fact, self.now);
        for decision in job::observe(&self.world, &self.index, fact, self.now) {
            self.apply(&decision);
        }
    }

    /// Renews a worker's lease and sends it its commands.
    fn send_commands(&mut self, key: key::Instance, lease_start: Time, report: &Report) {
        let lease_until = lease_start + Duration::from_millis(self.world.limits.lease_ms.into());
        if self.workers[&key].faults.drops_commands {
            return;
        }
        let worker = self.workers.get_mut(&key).expect("known");
        if worker.boot == report.boot {
            worker.lease_until = worker.lease_until.max(lease_until);
        }
        for command in job::commands(&self.world, &self.index, report) {
            self.send(key, (report.boot, lease_until), &command);
        }
    }

    fn send(&mut self, key: key::Instance, lease: (u64, Time), command: &Command) {
        let Command::Start { job, number, checkpoint, .. } = command else {
            self.workers.get_mut(&key).expect("known").execute(self.now, command);
            return;
        };
        let task = self.task(job, checkpoint.as_deref());
        let worker = self.workers.get_mut(&key).expect("known");
        match worker.start(self.now, lease, command, task) {
            StartOutcome::Started => {
                self.first_start.entry(job.clone()).or_insert(self.now);
                if checkpoint.is_none() {
                    *self.fresh_runs.entry(job.clone()).or_default() += 1;
                }
            }
            StartOutcome::Known | StartOutcome::OtherBoot => {}
            StartOutcome::Refused => {
                let (job, number) = (job.clone(), *number);
                self.observe(&Fact::Refused { instance: key, job, number });
            }
        }
    }

    fn task(&self, name: &str, checkpoint: Option<&str>) -> Task {
        let job = self.job(name);
        let runs = Duration::from_secs(job.spec.seconds.into());
        let declared = Task { runs, usage: job.spec.size, fails: false };
        let mut task = self.tasks.get(name).copied().unwrap_or(declared);
        if let Some(left) = checkpoint.and_then(|left| left.parse().ok()) {
            task.runs = Duration::from_micros(left);
        }
        task
    }

    /// Checks that the index matches the world and that no instance is oversubscribed.
    pub(crate) fn check(&self) {
        assert_eq!(self.index, Index::build(&self.world), "the index differs from a rebuilt one");
        for (key, instance) in self.world.instances.iter() {
            let booked = self.index.booked(key);
            assert_eq!(booked, self.world.booked(key));
            assert!(
                booked.fits_in(instance.capacity.into()),
                "{} has {} and {booked} is booked",
                instance.name,
                instance.capacity
            );
        }
    }

    /// Checks that jobs that may not run twice were started at most once.
    pub(crate) fn check_once(&self) {
        for (name, runs) in &self.fresh_runs {
            let job = self.world.names.jobs.get(name).and_then(|&key| self.world.jobs.get(key));
            let once = job.is_some_and(|job| !job.spec.idempotent) || name.contains("once");
            assert!(!once || *runs <= 1, "{name} ran {runs} times");
        }
    }

    /// Checks that no job runs on two instances at this moment.
    pub(crate) fn check_not_concurrent(&self) {
        let mut placements = BTreeMap::new();
        for (instance, worker) in &self.workers {
            // Attempts do not run while their worker is paused.
            if worker.faults.paused {
                continue;
            }
            for (job, _) in worker.running() {
                let other = placements.insert(job.clone(), *instance);
                assert_eq!(other, None, "{job} runs twice at once");
            }
        }
    }

    pub(crate) fn is_queued(&self, name: &str) -> bool {
        matches!(self.job(name).state, State::Queued)
    }
}
