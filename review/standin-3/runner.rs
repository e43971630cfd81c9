//! A runner: runs tasks under a lease, keeps the highest fencing token, and lists the runs that have ended.
//!
//! The text of a job's `spec` says what its tasks do, by step: `cpu=2000;ms=800,900;gang=4,0;save=1` for tasks
//! that use 2,000 thousandths of a core, of which those of the first step are a gang of four, and which save
//! checkpoints.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::judge::Judge;
use crate::json::Json;
use crate::json::quote;
use crate::record::Record;
use crate::store::Store;
use crate::wire::Answer;
use crate::wire::Message;
use crate::wire::Server;

/// Interval at which a runner writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Time of silence after which the store removes an entry.
const EXPIRY: Duration = Duration::from_millis(4_500);

/// Longest lease that a runner takes.
const MAX_HOLD_MS: u64 = 10_000;

/// Time from a stop to the end of its run.
const STOP: Duration = Duration::from_millis(100);

/// Work after which a checkpoint is saved.
const CHECKPOINT: Duration = Duration::from_millis(500);

/// Time for which members of a gang wait for the others.
const GANG_WAIT: Duration = Duration::from_millis(3_000);

#[derive(Clone, Debug)]
pub struct Event {
    pub task: String,
    /// `start`, `lost` with the runner, or how the run ended.
    pub what: &'static str,
}

impl Event {
    pub fn job(&self) -> &str {
        self.task.split('.').next().unwrap_or_default()
    }
}

/// What has run, over all runners.
pub type Ledger = Arc<Mutex<Vec<Event>>>;

struct Run {
    run: u64,
    /// When it began to work; none while a gang waits for its members.
    works_since: Option<Instant>,
    began: Instant,
    /// Work that a checkpoint has saved it.
    saved: Duration,
    takes: Option<Duration>,
    cpu: u64,
    saves: bool,
    fails: bool,
    checkpoint: String,
    stop_at: Option<Instant>,
}

impl Run {
    fn worked(&self) -> Duration {
        self.saved + self.works_since.map_or(Duration::ZERO, |since| since.elapsed())
    }
}

struct Life {
    began: Instant,
    born: u64,
    token: u64,
    lease_until_ms: u64,
    runs: BTreeMap<String, Run>,
    highest: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
    noted: u64,
    sequence: u64,
    listed_at: Option<Instant>,
}

impl Life {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("after 1970");
        Self {
            began: Instant::now(),
            born: unix.as_millis() as u64,
            token: 0,
            lease_until_ms: 0,
            runs: BTreeMap::new(),
            highest: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            noted: 0,
            sequence: 0,
            listed_at: None,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1_000
    }
}

/// A kind of runner.
#[derive(Clone, Debug)]
pub struct Kind {
    pub cpu: u64,
    pub mem_mb: u64,
    pub labels: Vec<String>,
}

pub struct Runner {
    pub id: String,
    service: String,
    address: SocketAddr,
    pub kind: Mutex<Kind>,
    life: Mutex<Option<Life>>,
    silent_since: Mutex<Option<Instant>>,
    /// Whether it refuses to start anything, with 503.
    pub unhealthy: AtomicBool,
    /// Whether no call reaches it, and no entry of it the store.
    pub cut: AtomicBool,
    /// Share of the starts and stops, in percent, that are not answered and carried out 2 to 6 s later.
    pub late: AtomicU64,
    random: AtomicU64,
    ledger: Ledger,
    pub judge: Arc<Judge>,
    record: Record,
    store: Arc<Store>,
    server: Mutex<Option<Arc<Server>>>,
    me: Mutex<std::sync::Weak<Runner>>,
}

impl Runner {
    #[expect(clippy::too_many_arguments, reason = "all that a runner meets")]
    pub fn open(
        id: &str,
        service: &str,
        address: SocketAddr,
        kind: Kind,
        store: &Arc<Store>,
        ledger: &Ledger,
        judge: &Arc<Judge>,
        record: &Record,
    ) -> Arc<Self> {
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            kind: Mutex::new(kind),
            life: Mutex::new(Some(Life::new())),
            silent_since: Mutex::default(),
            unhealthy: AtomicBool::new(false),
            cut: AtomicBool::new(false),
            late: AtomicU64::new(0),
            random: AtomicU64::new(id.bytes().map(u64::from).sum()),
            ledger: Arc::clone(ledger),
            judge: Arc::clone(judge),
            record: record.clone(),
            store: Arc::clone(store),
            server: Mutex::default(),
            me: Mutex::default(),
        });
        *runner.me.lock().unwrap() = Arc::downgrade(&runner);
        let serving = Arc::clone(&runner);
        let server = Server::open(address, move |request| serving.handle(request));
        *runner.server.lock().unwrap() = Some(server);
        let ticking = Arc::clone(&runner);
        std::thread::spawn(move || {
            loop {
                ticking.tick();
                std::thread::sleep(Duration::from_millis(4));
            }
        });
        runner
    }

    /// Number of tasks under way.
    pub fn load(&self) -> usize {
        self.life.lock().unwrap().as_ref().map_or(0, |life| life.runs.len())
    }

    /// Ends all that runs, and all connections; new ones are refused until [`Self::restart`].
    pub fn crash(&self) {
        let server = self.server.lock().unwrap().clone();
        let Some(life) = self.life.lock().unwrap().take() else { return };
        if let Some(server) = server {
            server.stop();
        }
        *self.silent_since.lock().unwrap() = Some(Instant::now());
        self.record.say(&format!("runner {} crashes with {} tasks", self.id, life.runs.len()));
        for (task, run) in &life.runs {
            self.note(task, run.run, "lost");
        }
        self.judge.forget(&self.id);
    }

    /// Comes back under its id and address, and holds and knows nothing of before.
    pub fn restart(&self) {
        let mut life = self.life.lock().unwrap();
        if life.is_some() {
            return;
        }
        *life = Some(Life::new());
        drop(life);
        *self.silent_since.lock().unwrap() = None;
        self.record.say(&format!("runner {} is back", self.id));
        if let Some(server) = self.server.lock().unwrap().clone() {
            server.start();
        }
    }

    fn note(&self, task: &str, run: u64, what: &'static str) {
        self.record.say(&format!("run {task} {run} on {}: {what}", self.id));
        let task = task.to_owned();
        if what != "start" {
            self.judge.ended(&self.id, &task, run, what);
        }
        self.ledger.lock().unwrap().push(Event { task, what });
    }

    fn tick(&self) {
        let mut guard = self.life.lock().unwrap();
        let cut = self.cut.load(Ordering::SeqCst);
        let mut silent = self.silent_since.lock().unwrap();
        if guard.is_none() || cut {
            let since = *silent.get_or_insert_with(Instant::now);
            if since.elapsed() >= EXPIRY {
                self.store.remove("servers", &self.id);
                *silent = Some(Instant::now() + Duration::from_secs(3_600));
            }
        } else {
            *silent = None;
        }
        drop(silent);
        let Some(life) = guard.as_mut() else { return };
        self.advance(life);
        if !cut && life.listed_at.is_none_or(|at| at.elapsed() >= HEARTBEAT) {
            life.listed_at = Some(Instant::now());
            life.sequence += 1;
            let kind = self.kind.lock().unwrap();
            let labels: Vec<String> = kind.labels.iter().map(|label| quote(label)).collect();
            let entry = format!(
                "{{\"service\":{},\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":{},\"born\":{},\
                 \"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpus\":0}},\"labels\":[{}]}}",
                quote(&self.service),
                self.address,
                life.sequence,
                life.born,
                kind.cpu,
                kind.mem_mb,
                labels.join(",")
            );
            drop(kind);
            self.store.put("servers", &self.id, &entry);
        }
    }

    fn advance(&self, life: &mut Life) {
        let now = Instant::now();
        let lapsed = life.clock_ms() > life.lease_until_ms;
        if lapsed {
            self.judge.lapsed(&self.id);
        }
        let mut ended = Vec::new();
        for (task, run) in &mut life.runs {
            let gang = self.judge.gang(task, run.run);
            if run.works_since.is_none() && gang.is_none_or(|gang| gang.complete) {
                run.works_since = Some(now);
            }
            if run.saves {
                let count = (run.worked().as_millis() / CHECKPOINT.as_millis()) as u64;
                if count > 0 {
                    run.checkpoint = format!("{task}/{count:06}");
                }
            }
            let done = run.takes.is_some_and(|takes| run.worked() >= takes);
            let how = if run.stop_at.is_some_and(|at| now >= at) {
                "stopped"
            } else if gang.is_some_and(|gang| gang.done) || (done && !run.fails) {
                "done"
            } else if gang.is_some_and(|gang| gang.broken) {
                "broken"
            } else if run.fails && run.works_since.is_some_and(|at| at.elapsed() > Duration::from_millis(100)) {
                "failed"
            } else if lapsed {
                "lapsed"
            } else if run.works_since.is_none() && run.began.elapsed() > GANG_WAIT {
                "alone"
            } else {
                continue;
            };
            ended.push((task.clone(), run.run, how, run.checkpoint.clone()));
        }
        for (task, run, how, checkpoint) in ended {
            life.runs.remove(&task);
            life.last_end += 1;
            life.ends.push((life.last_end, task.clone(), run, how, checkpoint));
            self.note(&task, run, how);
        }
    }

    fn respond(life: &Life, status: u16, rest: &str) -> Answer {
        let text = format!("{{\"clockMs\":{},\"born\":{}{rest}}}", life.clock_ms(), life.born);
        Some((status, text))
    }

    fn is_late(&self) -> bool {
        let share = self.late.load(Ordering::SeqCst);
        if share == 0 {
            return false;
        }
        let mut state = self.random.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
        crate::cases::draw(&mut state, 100) < share
    }

    fn handle(&self, request: &Message) -> Answer {
        if self.cut.load(Ordering::SeqCst) {
            while self.cut.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(20));
            }
            // What the cut has held up is lost.
            return None;
        }
        let call = Json::parse(&request.body)?;
        if request.header("x-expect-instance") != self.id {
            return Some((421, "{}".to_owned()));
        }
        let target = request.target().to_owned();
        if target.starts_with("/run-") && self.is_late() {
            let me = self.me.lock().unwrap().upgrade()?;
            let born = self.life.lock().unwrap().as_ref()?.born;
            let mut state = self.random.fetch_add(1, Ordering::SeqCst);
            let wait = 2_000 + crate::cases::draw(&mut state, 4_000);
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(wait));
                let guard = me.life.lock().unwrap();
                if guard.as_ref().is_some_and(|life| life.born == born) {
                    me.carry_out(guard, &target, &call);
                }
            });
            std::thread::sleep(Duration::from_secs(5));
            return None;
        }
        let guard = self.life.lock().unwrap();
        self.carry_out(guard, &target, &call)
    }

    fn carry_out<'me>(&'me self, mut guard: MutexGuard<'me, Option<Life>>, target: &str, call: &Json) -> Answer {
        let life = guard.as_mut()?;
        self.advance(life);
        let token = call.get("fencingToken").whole();
        if token < life.token {
            return Self::respond(life, 409, ",\"reason\":\"fence\"");
        }
        life.token = token;
        if let Some(until) = call.get("deadlineMs").number() {
            let until = (until as u64).min(life.clock_ms() + MAX_HOLD_MS);
            life.lease_until_ms = life.lease_until_ms.max(until);
        }
        let (task, run) = (call.get("task").text().to_owned(), call.get("runId").whole());
        match target {
            "/run-start" => {
                if self.unhealthy.load(Ordering::SeqCst) {
                    self.record.say(&format!("run {task} {run} on {}: refused with 503", self.id));
                    return Self::respond(life, 503, "");
                }
                if life.runs.get(&task).is_some_and(|known| known.run == run) {
                    return Self::respond(life, 200, "");
                }
                if life.runs.contains_key(&task) || life.highest.get(&task).is_some_and(|&it| run <= it) {
                    return Self::respond(life, 409, ",\"reason\":\"old\"");
                }
                if life.clock_ms() > life.lease_until_ms {
                    return Self::respond(life, 409, ",\"reason\":\"late\"");
                }
                let spec = call.get("spec").text();
                let work = Work::of(spec, &task);
                let used: u64 = life.runs.values().map(|run| run.cpu).sum();
                if used + work.cpu > self.kind.lock().unwrap().cpu {
                    return Self::respond(life, 409, ",\"reason\":\"room\"");
                }
                let checkpoint = call.get("checkpoint").text().to_owned();
                let labels = self.kind.lock().unwrap().labels.clone();
                let here: Vec<String> = life.runs.keys().cloned().collect();
                self.judge.started(&self.id, &labels, &here, &task, run, spec, &checkpoint);
                let count = checkpoint.rsplit_once('/').and_then(|(_, count)| count.parse::<u32>().ok());
                let begun = Run {
                    run,
                    works_since: None,
                    began: Instant::now(),
                    saved: CHECKPOINT * count.unwrap_or(0),
                    takes: work.takes,
                    cpu: work.cpu,
                    saves: work.saves,
                    fails: work.fails(&task, run),
                    checkpoint,
                    stop_at: None,
                };
                life.runs.insert(task.clone(), begun);
                life.highest.insert(task.clone(), run);
                self.note(&task, run, "start");
                Self::respond(life, 200, "")
            }
            "/run-stop" => {
                let highest = life.highest.entry(task.clone()).or_default();
                *highest = run.max(*highest);
                if let Some(known) = life.runs.get_mut(&task).filter(|known| known.run == run) {
                    known.stop_at.get_or_insert(Instant::now() + STOP);
                }
                Self::respond(life, 200, "")
            }
            "/pace" => Self::respond(life, 200, ""),
            "/hold" => {
                let last_seen = call.get("lastSeen").whole();
                let born = life.born;
                if last_seen > life.noted {
                    for end in life.ends.iter().filter(|end| end.0 <= last_seen && end.0 > life.noted) {
                        self.judge.noted(&self.id, &end.1, end.2, end.3);
                    }
                    life.noted = last_seen;
                }
                life.ends.retain(|end| end.0 > last_seen);
                let wait = Duration::from_millis(call.get("waitMs").whole().min(2_000));
                let asked = Instant::now();
                while life_of(&guard, born)?.ends.is_empty() && asked.elapsed() < wait {
                    drop(guard);
                    std::thread::sleep(Duration::from_millis(3));
                    guard = self.life.lock().unwrap();
                }
                let life = life_of(&guard, born)?;
                let running: Vec<String> = life
                    .runs
                    .iter()
                    .map(|(task, run)| {
                        let share = run
                            .takes
                            .map_or(1.0, |takes| run.worked().as_secs_f64() / takes.as_secs_f64().max(0.001));
                        let percent = (share * 100.0).min(100.0) as u64;
                        let saved = quote(&run.checkpoint);
                        format!("[{},{},{saved},{percent},{}]", quote(task), run.run, run.cpu)
                    })
                    .collect();
                let ended: Vec<String> = life
                    .ends
                    .iter()
                    .take(500)
                    .map(|(number, task, run, how, saved)| {
                        format!("[{number},{},{run},\"{how}\",{}]", quote(task), quote(saved))
                    })
                    .collect();
                let (running, ended) = (running.join(","), ended.join(","));
                Self::respond(life, 200, &format!(",\"runningRuns\":[{running}],\"endedRuns\":[{ended}]"))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }
}

fn life_of(life: &Option<Life>, born: u64) -> Option<&Life> {
    life.as_ref().filter(|life| life.born == born)
}

/// What a task does.
pub struct Work {
    pub cpu: u64,
    /// None if it lasts.
    pub takes: Option<Duration>,
    /// Members of its gang; zero if it has none.
    pub gang: usize,
    pub saves: bool,
    /// Share of the runs that fail, in percent.
    fails: u64,
}

impl Work {
    pub fn of(spec: &str, task: &str) -> Self {
        let step: usize = task.split('.').nth(2).and_then(|text| text.parse().ok()).unwrap_or(0);
        let part = |name: &str| {
            let mut parts = spec.split(';').filter_map(|part| part.split_once('='));
            let values = parts.find(|(known, _)| *known == name)?.1;
            let values: Vec<&str> = values.split(',').collect();
            values.get(step).or(values.last()).and_then(|text| text.parse::<u64>().ok())
        };
        Self {
            cpu: part("cpu").unwrap_or(100),
            takes: part("ms").map(Duration::from_millis),
            gang: part("gang").unwrap_or(0) as usize,
            saves: part("save").unwrap_or(0) > 0,
            fails: part("fail").unwrap_or(0),
        }
    }

    fn fails(&self, task: &str, run: u64) -> bool {
        let mut state = task.bytes().fold(run, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)));
        crate::cases::draw(&mut state, 100) < self.fails
    }
}
