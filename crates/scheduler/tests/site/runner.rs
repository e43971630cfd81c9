//! A fake instance: leases, fences, ends, and switches for its faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fleet::time::Time;
use scheduler::Command;
use scheduler::command::Action;
use scheduler::command::Outcome;
use scheduler::command::Refusal;
use scheduler::instance::Capacity;
use scheduler::instance::End;
use scheduler::instance::Exit;
use scheduler::instance::Heartbeat;
use scheduler::instance::Report;
use scheduler::instance::Run;
use scheduler::job::TaskName;

use super::Ledger;

/// A run under way.
#[derive(Clone, Debug)]
struct Under {
    run: u32,
    began: Time,
    takes: Duration,
    lasts: bool,
    stops: Option<Time>,
}

/// A fake instance.
#[derive(Clone, Debug)]
pub struct Fake {
    pub id: String,
    pub service: String,
    pub capacity: Capacity,
    pub labels: Vec<String>,
    pub born: u64,
    pub draining: bool,
    /// Nothing reaches it before this time.
    pub cut_until: Time,
    /// It does not run before this time.
    pub dead_until: Time,
    /// All that it starts fails.
    pub fails: bool,
    /// All that it starts stands still.
    pub hangs: bool,
    /// Its clock runs slow by this many thousandths.
    pub slow_clock: u64,
    /// Times of tasks by step, in milliseconds; one for steps not named.
    pub takes_ms: BTreeMap<u32, u64>,
    pub usual_ms: u64,
    pub lasting: bool,
    token: u64,
    granted_ms: u64,
    running: BTreeMap<TaskName, Under>,
    ended: Vec<End>,
    number: u64,
    refused: BTreeMap<TaskName, u32>,
}

impl Fake {
    /// An instance of 8 cores.
    pub fn new(id: &str, service: &str, rack: &str) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            capacity: Capacity { cpu: 8_000, memory: 8_000, accelerators: 0 },
            labels: vec!["a".to_owned(), rack.to_owned()],
            born: 1_000,
            draining: false,
            cut_until: Time::ZERO,
            dead_until: Time::ZERO,
            fails: false,
            hangs: false,
            slow_clock: 0,
            takes_ms: BTreeMap::new(),
            usual_ms: 500,
            lasting: false,
            token: 0,
            granted_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            number: 0,
            refused: BTreeMap::new(),
        }
    }

    pub fn listed(&self, now: Time) -> bool {
        now >= self.dead_until
    }

    pub fn reachable(&self, now: Time) -> bool {
        now >= self.dead_until && now >= self.cut_until
    }

    pub fn report(&self) -> Report {
        Report {
            id: self.id.clone(),
            service: self.service.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: "a".to_owned(),
            capacity: self.capacity,
            labels: self.labels.clone(),
            draining: self.draining,
            remaining: None,
            incarnation: self.born,
            sequence: 1,
        }
    }

    pub fn clock_ms(&self, now: Time) -> u64 {
        now.as_millis() * (1_000 - self.slow_clock) / 1_000
    }

    /// It dies with all that it knows, and starts anew after a while.
    pub fn crash(&mut self, now: Time, after: Duration, ledger: &mut Ledger) {
        for (name, under) in std::mem::take(&mut self.running) {
            ledger.ended(now, name, under.run, &self.id, None);
        }
        ledger.lapsed(&self.id);
        self.dead_until = now + after;
        self.born += 1;
        self.token = 0;
        self.granted_ms = 0;
        self.ended.clear();
        self.number = 0;
        self.refused.clear();
    }

    /// Takes a lease renewal; whether its token is high enough.
    pub fn hold(
        &mut self,
        token: u64,
        grant_ms: Option<u64>,
        seen: u64,
        ledger: &mut Ledger,
    ) -> bool {
        if token < self.token {
            return false;
        }
        self.token = token;
        self.granted_ms = self.granted_ms.max(grant_ms.unwrap_or_default());
        for end in self.ended.extract_if(.., |end| end.number <= seen) {
            if end.exit == Exit::Done {
                ledger.noted(end.task);
            }
        }
        true
    }

    pub fn has_end(&self, seen: u64) -> bool {
        self.ended.iter().any(|end| end.number > seen)
    }

    pub fn look(&self, now: Time) -> Heartbeat {
        let running = self.running.iter().map(|(task, under)| {
            let passed = now.since(under.began).as_millis() as u64;
            let percent = if under.lasts {
                100
            } else if self.hangs {
                0
            } else {
                (passed * 100 / (under.takes.as_millis() as u64).max(1)).min(99) as u8
            };
            Run { task: *task, run: under.run, checkpoint: String::new(), percent, metric: 0 }
        });
        Heartbeat {
            incarnation: self.born,
            clock_ms: self.clock_ms(now),
            running: running.collect(),
            ended: self.ended.clone(),
            more_ended: false,
        }
    }

    pub fn order(
        &mut self,
        now: Time,
        order: &Command,
        token: u64,
        grant_ms: u64,
        ledger: &mut Ledger,
    ) -> Outcome {
        if token < self.token {
            return Outcome::Refused(Refusal::Fence);
        }
        self.token = token;
        match &order.action {
            Action::Start { .. } => self.start(now, order, grant_ms, ledger),
            Action::Stop => {
                let refused = self.refused.entry(order.name).or_default();
                *refused = (*refused).max(order.run);
                if let Some(under) = self.running.get_mut(&order.name)
                    && under.run == order.run
                {
                    under.stops.get_or_insert(now + Duration::from_millis(200));
                }
                Outcome::Started
            }
            Action::Throttle { .. } => Outcome::Started,
        }
    }

    fn start(&mut self, now: Time, order: &Command, grant_ms: u64, ledger: &mut Ledger) -> Outcome {
        self.granted_ms = self.granted_ms.max(grant_ms);
        if self.running.get(&order.name).is_some_and(|under| under.run == order.run) {
            return Outcome::Started;
        }
        if self.refused.get(&order.name).is_some_and(|&run| order.run <= run) {
            return Outcome::Refused(Refusal::Old);
        }
        if self.granted_ms <= self.clock_ms(now) {
            return Outcome::Refused(Refusal::Late);
        }
        let step = ledger.step(order.name);
        let used: u64 = self.running.keys().map(|name| ledger.step(*name).cpu).sum();
        if used + step.cpu > self.capacity.cpu {
            return Outcome::Refused(Refusal::Room);
        }
        let takes = self.takes_ms.get(&order.name.step).copied().unwrap_or(self.usual_ms);
        let under = Under {
            run: order.run,
            began: now,
            takes: Duration::from_millis(takes),
            lasts: step.long_running,
            stops: None,
        };
        ledger.started(now, order.name, order.run, &self.id);
        self.running.insert(order.name, under);
        Outcome::Started
    }

    /// Lets time pass: runs end.
    pub fn pass(&mut self, now: Time, ledger: &mut Ledger) {
        if now < self.dead_until {
            return;
        }
        let lapsed = self.clock_ms(now) > self.granted_ms;
        if lapsed && self.granted_ms > 0 {
            ledger.lapsed(&self.id);
        }
        let mut over = Vec::new();
        for (name, under) in &self.running {
            let done = !under.lasts && !self.hangs && now.since(under.began) >= under.takes;
            let how = if lapsed {
                Exit::Expired
            } else if under.stops.is_some_and(|at| now >= at) {
                Exit::Stopped
            } else if self.fails {
                Exit::Failed
            } else if done {
                Exit::Done
            } else {
                continue;
            };
            over.push((*name, under.run, how));
        }
        for (task, run, how) in over {
            self.running.remove(&task);
            self.number += 1;
            let number = self.number;
            let refused = self.refused.entry(task).or_default();
            *refused = (*refused).max(run);
            ledger.ended(now, task, run, &self.id, Some(how));
            self.ended.push(End { number, task, run, exit: how, checkpoint: String::new() });
        }
    }

    /// Tasks that run there.
    pub fn runs(&self) -> usize {
        self.running.len()
    }

    /// Whether tasks of a job run there.
    pub fn runs_job(&self, job: scheduler::job::Id) -> usize {
        self.running.keys().filter(|name| name.job == job).count()
    }
}
