//! A site in virtual time: small fakes of instances and of the store around the real scheduler.
//! Faults are switched by tests; the ledger watches what instances run.
#![allow(dead_code, unreachable_pub, reason = "each test binary uses its own part")]

mod ledger;
mod runner;

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;
use scheduler::Command;
use scheduler::Config;
use scheduler::Core;
use scheduler::Tuning;
use scheduler::command::Action;
use scheduler::command::Outcome;
use scheduler::config::Queue;
use scheduler::config::Service;
use scheduler::core::BodyChange;
use scheduler::core::ExpiryChange;
use scheduler::core::Row;
use scheduler::core::Sent;
use scheduler::core::Stored;
use scheduler::core::Verdict;
use scheduler::instance::Key;
use scheduler::job::Body;
use scheduler::job::Id;
use scheduler::job::Progress;
use scheduler::job::Spec;
use scheduler::job::State;
use scheduler::job::Step;
use scheduler::machine::Machine;

pub use ledger::Ledger;
pub use runner::Fake;

/// One way between the scheduler and anything else.
const HOP: Duration = Duration::from_millis(1);

/// What the store takes over a write.
const WRITE: Duration = Duration::from_millis(6);

/// Longest time that a look waits for an end.
const LOOK: Duration = Duration::from_millis(1_000);

/// Time after which a call is given up.
const GIVE_UP: Duration = Duration::from_millis(800);

/// Time without an answer to a write after which tasks start although the store does not know
/// their places.
const UNLOGGED: Duration = Duration::from_millis(100);

/// Bits of a token that count raises within an epoch.
const BUMP_BITS: u32 = 20;

pub const STEP: Duration = Duration::from_millis(1);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn id(number: u64) -> Id {
    format!("{number:016x}").parse().expect("16 digits")
}

/// A queue named like its service, over an instance pool of that name.
pub fn config(services: &[&str]) -> Config {
    let queue = |service: &str| Queue {
        host: "example".to_owned(),
        prefix: format!("/{service}/"),
        service: service.to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        target_latency: ms(600),
        timeout: ms(3_000),
        advised: false,
    };
    let pool = Service { admission_check: true, standby: false, max_connections: 64 };
    Config {
        version: 1,
        queues: services.iter().map(|&name| (name.to_owned(), queue(name))).collect(),
        services: services.iter().map(|&name| (name.to_owned(), pool.clone())).collect(),
        ..Config::default()
    }
}

/// Tasks of one core each.
pub fn step(count: u32, estimate_ms: u64) -> Step {
    Step { count, cpu: 1_000, memory: 100, estimate_ms, ..Step::default() }
}

pub fn spec(steps: Vec<Step>) -> Spec {
    Spec { payload: "payload".to_owned(), steps, ..Spec::default() }
}

/// What is on its way.
#[derive(Clone, Debug)]
enum Event {
    /// An order reaches an instance.
    Arrive { runner: usize, order: Command, sent: Sent, token: u64, grant_ms: u64, epoch: u64 },
    /// Its answer reaches the scheduler.
    Answer { order: Command, sent: Sent, outcome: Outcome, clock_ms: u64, epoch: u64 },
    /// A look reaches an instance.
    Look { runner: usize, sent: Sent, token: u64, grant_ms: Option<u64>, seen: u64, epoch: u64 },
    /// A look is answered, or given up.
    Looked { runner: usize, sent: Sent, look: Option<scheduler::instance::Heartbeat>, epoch: u64 },
    /// The store has done a write.
    Written { rows: Vec<Row>, silences: Vec<ExpiryChange>, epoch: u64 },
    /// The scheduler hears so.
    Heard { epoch: u64 },
}

/// A look that waits at an instance.
#[derive(Clone, Debug)]
struct Waiting {
    sent: Sent,
    seen: u64,
    until: Time,
    epoch: u64,
}

/// A site in virtual time.
pub struct Site {
    pub now: Time,
    pub core: Option<Core>,
    pub epoch: u64,
    pub tuning: Tuning,
    pub config: Config,
    pub fakes: Vec<Fake>,
    pub ledger: Ledger,
    pub bodies: BTreeMap<Id, Body>,
    pub progress: BTreeMap<Id, Progress>,
    pub silences: BTreeMap<String, u64>,
    /// The store answers nothing before this time.
    pub store_down_until: Time,
    /// Accepted jobs, and when the store held them.
    pub accepted: BTreeMap<Id, Time>,
    pub completed: BTreeMap<Id, Time>,
    events: BTreeMap<(Time, u64), Event>,
    next: u64,
    writing: bool,
    wrote: Time,
    /// Whether the machines of all instances are listed, those that are down among them.
    pub lists_machines: bool,
    waiting: BTreeMap<usize, Waiting>,
    looking: BTreeMap<usize, Time>,
    /// When the look that has not been answered was sent.
    asked: BTreeMap<usize, Time>,
    /// Share of starts whose answer is lost and that take effect seconds later, in percent.
    pub late_percent: u64,
    random: u64,
    ticked: Time,
    listed: Time,
}

impl Site {
    pub fn new(services: &[&str], fakes: Vec<Fake>, seed: u64) -> Self {
        let mut site = Self {
            now: Time::from_secs(100),
            core: None,
            epoch: 0,
            tuning: Tuning::default(),
            config: config(services),
            fakes,
            ledger: Ledger::default(),
            bodies: BTreeMap::new(),
            progress: BTreeMap::new(),
            silences: BTreeMap::new(),
            store_down_until: Time::ZERO,
            accepted: BTreeMap::new(),
            completed: BTreeMap::new(),
            events: BTreeMap::new(),
            next: 0,
            writing: false,
            wrote: Time::ZERO,
            lists_machines: true,
            waiting: BTreeMap::new(),
            looking: BTreeMap::new(),
            asked: BTreeMap::new(),
            late_percent: 0,
            random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            ticked: Time::ZERO,
            listed: Time::ZERO,
        };
        site.take_office(false);
        site
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) % below.max(1)
    }

    /// The scheduler is gone; what it has sent is still on its way.
    pub fn kill(&mut self) {
        self.core = None;
        self.writing = false;
        self.waiting.clear();
        self.looking.clear();
        self.asked.clear();
    }

    /// Another scheduler takes over from what the store holds. `ended`: its predecessor has.
    pub fn take_office(&mut self, ended: bool) {
        self.kill();
        self.epoch += 1;
        let mut core = Core::open(self.now, self.tuning);
        if ended {
            core.set_overlap(None);
        } else {
            core.expect_unrecorded_starts();
        }
        core.configure(self.config.clone());
        core.apply_instances(self.now, self.reports());
        let clock_ms = self.now.as_millis();
        for (runner, &lapses_ms) in &self.silences {
            core.restore_expiry(self.now, runner, Time::from_millis(lapses_ms));
        }
        let stored =
            Stored { bodies: self.bodies.clone(), progress: self.progress.clone(), clock_ms };
        core.restore(self.now, Duration::from_secs(1_000_000), stored);
        self.core = Some(core);
    }

    fn reports(&self) -> Vec<scheduler::instance::Report> {
        self.fakes.iter().filter(|fake| fake.listed(self.now)).map(|fake| fake.report()).collect()
    }

    fn machines(&self) -> Vec<Machine> {
        let rows = self.fakes.iter().map(|fake| Machine {
            host: format!("m-{}", fake.id),
            pool: fake.service.clone(),
            state: scheduler::machine::State::Up,
            instance: fake.id.clone(),
            cpu: fake.capacity.cpu,
        });
        rows.collect()
    }

    pub fn core(&mut self) -> &mut Core {
        self.core.as_mut().expect("a scheduler in office")
    }

    pub fn submit(&mut self, number: u64, queue: &str, spec: Spec) -> Verdict {
        let now = self.now;
        self.ledger.expect(id(number), &spec);
        self.core().submit(now, now.as_millis(), id(number), queue, spec, now)
    }

    pub fn state(&self, number: u64) -> Option<State> {
        self.core.as_ref()?.state(id(number))
    }

    fn post(&mut self, after: Duration, event: Event) {
        self.next += 1;
        self.events.insert((self.now + after, self.next), event);
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            while let Some((&key, _)) = self.events.first_key_value() {
                if key.0 > self.now {
                    break;
                }
                let event = self.events.remove(&key).expect("just seen");
                self.deliver(event);
            }
            for runner in 0..self.fakes.len() {
                self.fakes[runner].pass(self.now, &mut self.ledger);
                self.answer_waiting(runner);
            }
            self.schedule();
        }
    }

    fn schedule(&mut self) {
        let now = self.now;
        if self.core.is_none() {
            return;
        }
        if now.since(self.listed) >= ms(400) {
            self.listed = now;
            let reports = self.reports();
            self.core().apply_instances(now, reports);
            if self.lists_machines {
                let machines = self.machines();
                self.core().apply_machines(now, now, machines);
            }
        }
        if now.since(self.ticked) >= ms(100) {
            self.ticked = now;
            self.core().tick(now);
        }
        self.core().place_tasks(now);
        if self.writing && now.since(self.wrote) > UNLOGGED {
            self.core().release_unrecorded(now);
        }
        self.send_orders();
        self.write();
        self.look();
    }

    fn send_orders(&mut self) {
        let now = self.now;
        let epoch = self.epoch;
        for order in self.core().take_commands() {
            let key = order.instance;
            let bump = self.core().instance(key).token_raises;
            let token = (epoch << BUMP_BITS) + u64::from(bump);
            let grant_ms = self.core().renew_lease(now, key).unwrap_or_default();
            let sent = Sent { at: now, token_raises: bump };
            let id = self.core().instance(key).report.id.clone();
            let Some(runner) = self.fakes.iter().position(|fake| fake.id == id) else { continue };
            self.post(HOP, Event::Arrive { runner, order, sent, token, grant_ms, epoch });
        }
    }

    fn write(&mut self) {
        let now = self.now;
        if self.writing || !self.core().is_dirty(now) {
            return;
        }
        let rows = self.core().begin_write(30);
        let silences = self.core().take_expiry_changes(now, now.as_millis(), 10);
        self.writing = true;
        self.wrote = now;
        let epoch = self.epoch;
        let wait = self.store_down_until.since(now);
        self.post(wait + WRITE, Event::Written { rows, silences, epoch });
    }

    fn look(&mut self) {
        let now = self.now;
        let epoch = self.epoch;
        for runner in 0..self.fakes.len() {
            let Some(key) = self.find(runner) else { continue };
            let last = self.looking.get(&runner).copied();
            let busy = last.is_some_and(|at| at > now);
            if busy || !self.core().needs_heartbeat(key) {
                continue;
            }
            let row = self.core().instance(key);
            if row.last_end_seen > row.last_end_stored
                && last.is_some_and(|at| now.since(at) < ms(500))
            {
                continue;
            }
            let (bump, seen) = (row.token_raises, row.last_end_stored);
            let settled = row.synced && !row.outcome_unknown && row.unresponsive_since.is_none();
            let token = (epoch << BUMP_BITS) + u64::from(bump);
            let grant_ms = self.core().renew_lease(now, key);
            let sent = Sent { at: now, token_raises: bump };
            let wait = if settled { LOOK } else { Duration::ZERO };
            self.looking.insert(runner, now + wait + GIVE_UP);
            self.asked.insert(runner, now);
            self.post(HOP, Event::Look { runner, sent, token, grant_ms, seen, epoch });
            let lost = Event::Looked { runner, sent, look: None, epoch };
            self.post(wait + GIVE_UP, lost);
        }
    }

    fn deliver(&mut self, event: Event) {
        match event {
            Event::Arrive { runner, order, sent, token, grant_ms, epoch } => {
                self.arrive(runner, order, sent, token, grant_ms, epoch);
            }
            Event::Answer { order, sent, outcome, clock_ms, epoch } => {
                if epoch == self.epoch
                    && self.core.is_some()
                    && matches!(order.action, Action::Start { .. })
                {
                    let now = self.now;
                    self.core().apply_start_result(now, &order, sent, outcome, Some(clock_ms));
                }
            }
            Event::Look { runner, sent, token, grant_ms, seen, epoch } => {
                let fake = &mut self.fakes[runner];
                if !fake.reachable(self.now) || !fake.hold(token, grant_ms, seen, &mut self.ledger)
                {
                    return;
                }
                let until = self.now + LOOK;
                self.waiting.insert(runner, Waiting { sent, seen, until, epoch });
                self.answer_waiting(runner);
            }
            Event::Looked { runner, sent, look, epoch } => self.looked(runner, sent, look, epoch),
            Event::Written { rows, silences, epoch } => self.written(rows, silences, epoch),
            Event::Heard { epoch } => {
                if epoch == self.epoch && self.core.is_some() {
                    self.heard();
                }
            }
        }
    }

    fn arrive(
        &mut self,
        runner: usize,
        order: Command,
        sent: Sent,
        token: u64,
        grant_ms: u64,
        epoch: u64,
    ) {
        let now = self.now;
        if !self.fakes[runner].reachable(now) {
            let outcome = Outcome::Unknown;
            self.post(GIVE_UP, Event::Answer { order, sent, outcome, clock_ms: 0, epoch });
            return;
        }
        let starts = matches!(order.action, Action::Start { .. });
        if starts
            && sent.at.since(Time::ZERO) > Duration::ZERO
            && self.random(100) < self.late_percent
        {
            let outcome = Outcome::Unknown;
            let lost = Event::Answer { order: order.clone(), sent, outcome, clock_ms: 0, epoch };
            self.post(GIVE_UP, lost);
            let late = ms(500 + self.random(6_000));
            let sent = Sent { at: Time::ZERO, token_raises: sent.token_raises };
            self.post(late, Event::Arrive { runner, order, sent, token, grant_ms, epoch: 0 });
            return;
        }
        let outcome = self.fakes[runner].order(now, &order, token, grant_ms, &mut self.ledger);
        let clock_ms = self.fakes[runner].clock_ms(now);
        self.post(HOP, Event::Answer { order, sent, outcome, clock_ms, epoch });
    }

    /// The key of a fake in the present reign, if the scheduler knows it.
    fn find(&self, fake: usize) -> Option<Key> {
        let id = &self.fakes[fake].id;
        let core = self.core.as_ref()?;
        core.instances().find(|(_, row)| row.report.id == *id).map(|(key, _)| key)
    }

    /// Answers a look that waits, if there is an end to tell or it has waited long enough.
    fn answer_waiting(&mut self, runner: usize) {
        let Some(waiting) = self.waiting.get(&runner).cloned() else { return };
        let now = self.now;
        let fake = &self.fakes[runner];
        let settled =
            self.looking.get(&runner).is_some_and(|&until| until.since(waiting.sent.at) > GIVE_UP);
        if fake.has_end(waiting.seen) || now >= waiting.until || !settled {
            self.waiting.remove(&runner);
            if !fake.reachable(now) {
                return;
            }
            let look = Some(fake.look(now));
            let (sent, epoch) = (waiting.sent, waiting.epoch);
            self.post(HOP, Event::Looked { runner, sent, look, epoch });
        }
    }

    fn looked(
        &mut self,
        runner: usize,
        sent: Sent,
        look: Option<scheduler::instance::Heartbeat>,
        epoch: u64,
    ) {
        if epoch != self.epoch || self.core.is_none() {
            return;
        }
        if self.asked.get(&runner) != Some(&sent.at) {
            // It was answered or given up before.
            return;
        }
        self.asked.remove(&runner);
        let now = self.now;
        let Some(key) = self.find(runner) else { return };
        match look {
            Some(look) => {
                self.looking.insert(runner, now + ms(20));
                self.core().heartbeat(now, key, sent, &look);
            }
            None => {
                self.looking.insert(runner, now + ms(250));
                self.waiting.remove(&runner);
                self.core().mark_unresponsive(now, key, "no answer");
            }
        }
    }

    fn written(&mut self, rows: Vec<Row>, silences: Vec<ExpiryChange>, epoch: u64) {
        // A predecessor's write fails on the row of the office.
        if epoch != self.epoch {
            return;
        }
        for row in rows {
            match row.body {
                BodyChange::Keep => {}
                BodyChange::Put(body) => {
                    self.bodies.insert(row.id, body);
                }
                BodyChange::Drop => {
                    self.bodies.remove(&row.id);
                }
            }
            match row.progress {
                Some(progress) => {
                    self.accepted.entry(row.id).or_insert(self.now);
                    if progress.state == State::Completed {
                        self.completed.entry(row.id).or_insert(self.now);
                    }
                    self.ledger.stored(row.id, &progress);
                    self.progress.insert(row.id, progress);
                }
                None => {
                    self.progress.remove(&row.id);
                }
            }
        }
        for silence in silences {
            match silence.expires_ms {
                Some(lapses_ms) => self.silences.insert(silence.instance, lapses_ms),
                None => self.silences.remove(&silence.instance),
            };
        }
        self.post(HOP, Event::Heard { epoch });
    }

    fn heard(&mut self) {
        self.writing = false;
        let now = self.now;
        self.core().finish_write(now);
    }

    /// Share of jobs that were done by their due time, in percent.
    pub fn on_time(&self, due: &BTreeMap<Id, Time>) -> u64 {
        let done =
            due.iter().filter(|(id, due)| self.completed.get(*id).is_some_and(|at| at <= *due));
        (done.count() * 100 / due.len().max(1)) as u64
    }
}

impl Site {
    /// The key of a fake in the present reign.
    pub fn key(&mut self, fake: usize) -> Key {
        self.find(fake).expect("the scheduler knows it")
    }
}
