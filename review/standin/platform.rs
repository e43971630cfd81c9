//! Stand-in of the platform: the store, the runners and the machines beneath them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http;
use crate::http::Request;
use crate::http::Response;
use crate::json;
use crate::json::Json;

/// Limits of the store, as the settings file and PROTOCOL.md give them.
pub const ROW_BYTES: usize = 65_536;
const CALL_ENTRIES: usize = 100;
const CALL_BYTES: usize = 1_000_000;
const PAGE_ROWS: usize = 500;
const TXN_TIME: Duration = Duration::from_millis(3);
const READ_TIME: Duration = Duration::from_millis(1);

/// Bounds of the deployment, in milliseconds.
pub const MAX_HOLD_MS: u64 = 10_000;
pub const HEARTBEAT_MS: u64 = 1_500;
pub const MIGRATE_MS: u64 = 1_500;
pub const MAINTENANCE_MS: u64 = 2_000;
pub const CHECKPOINT_MS: u64 = 2_000;
/// A stop takes less than `stopMs`.
const STOP_MS: u64 = 100;
/// Time from the start of a task that lasts to its work.
const STARTUP_MS: u64 = 500;
const MAX_WAIT_MS: u64 = 2_000;
const MAX_ENDS: usize = 500;
/// Time from the start of a runner that has crashed to its first entry in the store: less than `heartbeatMs`.
const CRASH_ENTRY_MS: u64 = 1_000;

/// A step of a job as its client submits it, with the work that the runners find in it.
#[derive(Clone, Debug)]
pub struct Step {
    pub count: u64,
    pub cpu: u64,
    pub memory: u64,
    pub work_ms: u64,
    pub after: Vec<u64>,
    pub lasts: bool,
    pub checkpointing: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Job {
    pub queue: &'static str,
    pub spec: String,
    pub steps: Vec<Step>,
}

impl Job {
    /// The body of the request that hands it in.
    pub fn body(&self) -> String {
        let phases: Vec<String> = self
            .steps
            .iter()
            .map(|step| {
                let mut text = format!(
                    "{{\"count\":{},\"cpu\":{},\"memMb\":{},\"estimateMs\":{}",
                    step.count, step.cpu, step.memory, step.work_ms
                );
                if !step.after.is_empty() {
                    text += &format!(",\"after\":{:?}", step.after);
                }
                if step.lasts {
                    text += ",\"longRunning\":true";
                }
                if step.checkpointing {
                    text += ",\"checkpointing\":true";
                }
                text + "}"
            })
            .collect();
        format!("{{\"spec\":{},\"phases\":[{}]}}", json::quote(&self.spec), phases.join(","))
    }
}

/// What runners have seen.
#[derive(Clone, Debug)]
pub enum Event {
    Start { at: u64, task: String, run: u64, runner: String },
    End { at: u64, task: String, run: u64, runner: String, how: &'static str, number: u64 },
    /// `lastSeen` has reached an end.
    Noted { runner: String, number: u64 },
    /// The lease of a runner has lapsed: its ends up to a number that were not noted never count as noted.
    Lapse { runner: String, number: u64 },
}

#[derive(Clone, Debug)]
struct Row {
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<(String, String, String), Row>,
    version: u64,
}

#[derive(Clone, Debug)]
struct Run {
    task: String,
    run: u64,
    started: Instant,
    work_ms: Option<u64>,
    cpu: u64,
    memory: u64,
    checkpointing: bool,
    stops_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Up,
    Upkeep,
    Moving,
    /// Crashed; the runner starts again under its id.
    Down,
    /// Crashed; another runner follows.
    Lost,
}

impl State {
    fn name(self) -> &'static str {
        match self {
            State::Up => "up",
            State::Upkeep => "upkeep",
            State::Moving => "moving",
            State::Down | State::Lost => "down",
        }
    }
}

/// A machine, and the runner that is its present life.
#[derive(Debug)]
struct Life {
    id: String,
    lives: u64,
    born: u64,
    pool: String,
    state: State,
    until: Instant,
    /// When its clock showed zero.
    clock: Instant,
    token: u64,
    lease_ms: u64,
    runs: Vec<Run>,
    ends: VecDeque<(u64, String, u64, &'static str, String)>,
    last_end: u64,
    lapsed_end: u64,
    highest: BTreeMap<String, u64>,
    sequence: u64,
    written: Option<Instant>,
    upkeeps: BTreeSet<u64>,
    /// Entries of runners that have crashed, and when the store drops them.
    silent: VecDeque<(String, Instant)>,
}

#[derive(Debug)]
pub struct Machine {
    pub host: String,
    address: SocketAddr,
    cpu: u64,
    memory: u64,
    life: Mutex<Life>,
    changed: Condvar,
}

pub struct World {
    begun: Instant,
    rows: Mutex<Rows>,
    changed: Condvar,
    writing: Mutex<()>,
    pub machines: Vec<Machine>,
    pub machines_address: SocketAddr,
    /// Address of the store for each node.
    pub store_addresses: Vec<SocketAddr>,
    /// Whether the store turns a node away.
    pub turned_away: Vec<AtomicBool>,
    /// The node that last wrote under a condition.
    pub last_writer: AtomicUsize,
    pub jobs: Mutex<BTreeMap<String, Job>>,
    pub events: Mutex<Vec<Event>>,
    pub lines: Mutex<Vec<String>>,
    pub over: AtomicBool,
    /// Calls that the store has refused for their size.
    pub refused: AtomicUsize,
    refused_in: AtomicUsize,
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A runner's id: nothing in it tells its machine.
fn name(seed: u64) -> String {
    let mut hash = 0xCBF2_9CE4_8422_2325_u64;
    for byte in seed.to_le_bytes().iter().chain(b"runner") {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01B3);
    }
    format!("i-{:010x}", hash >> 24)
}

impl World {
    /// Starts a platform for a number of nodes, with pools of machines of 32 cores.
    pub fn spawn(nodes: usize, pools: &[(&str, usize)]) -> Arc<World> {
        let (cloud, machines_address) = listen();
        let stores: Vec<_> = (0..nodes).map(|_| listen()).collect();
        let mut listeners = Vec::new();
        let mut machines = Vec::new();
        let now = Instant::now();
        for (pool, count) in pools {
            for _ in 0..*count {
                let (listener, address) = listen();
                listeners.push(listener);
                let number = machines.len() as u64;
                machines.push(Machine {
                    host: format!("m-{number:05x}"),
                    address,
                    cpu: 32_000,
                    memory: 65_536,
                    changed: Condvar::new(),
                    life: Mutex::new(Life {
                        id: name(number << 16),
                        lives: 0,
                        born: unix_ms(),
                        pool: (*pool).to_owned(),
                        state: State::Up,
                        until: now,
                        clock: now,
                        token: 0,
                        lease_ms: 0,
                        runs: Vec::new(),
                        ends: VecDeque::new(),
                        last_end: 0,
                        lapsed_end: 0,
                        highest: BTreeMap::new(),
                        sequence: 0,
                        written: None,
                        upkeeps: BTreeSet::new(),
                        silent: VecDeque::new(),
                    }),
                });
            }
        }
        let world = Arc::new(World {
            begun: now,
            rows: Mutex::default(),
            changed: Condvar::new(),
            writing: Mutex::new(()),
            machines,
            machines_address,
            store_addresses: stores.iter().map(|(_, address)| *address).collect(),
            turned_away: (0..nodes).map(|_| AtomicBool::new(false)).collect(),
            last_writer: AtomicUsize::new(usize::MAX),
            jobs: Mutex::default(),
            events: Mutex::default(),
            lines: Mutex::default(),
            over: AtomicBool::new(false),
            refused: AtomicUsize::new(0),
            refused_in: AtomicUsize::new(usize::MAX),
        });
        for (node, (listener, _)) in stores.into_iter().enumerate() {
            let platform = Arc::clone(&world);
            accept(listener, move |request| platform.store_call(node, request));
        }
        let platform = Arc::clone(&world);
        accept(cloud, move |request| Some(platform.cloud_call(request)));
        for (index, listener) in listeners.into_iter().enumerate() {
            let platform = Arc::clone(&world);
            accept(listener, move |request| platform.runner_call(index, request));
        }
        let platform = Arc::clone(&world);
        thread::spawn(move || {
            while !platform.over.load(Ordering::Relaxed) {
                platform.machines.iter().for_each(|machine| platform.advance(machine));
                thread::sleep(Duration::from_millis(5));
            }
        });
        world
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// Adds a line to the record.
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.now() as f64 / 1_000.0, text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Counts a call that the store refuses for its size; one in a second is recorded.
    fn note_refusal(&self, what: String) {
        self.refused.fetch_add(1, Ordering::Relaxed);
        let second = self.now() as usize / 1_000;
        if self.refused_in.swap(second, Ordering::Relaxed) != second {
            self.note(format!("store: refuses {what}"));
        }
    }

    fn event(&self, event: Event) {
        self.events.lock().unwrap().push(event);
    }

    /// Writes a row as the operator or a runner does.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = value.map(|value| json::to_base64(value.as_bytes()));
        rows.rows.insert((table.to_owned(), String::new(), key.to_owned()), Row { value, version });
        drop(rows);
        self.changed.notify_all();
    }

    /// The value of a row.
    pub fn row(&self, table: &str, part: &str, key: &str) -> Option<Json> {
        let rows = self.rows.lock().unwrap();
        let row = rows.rows.get(&(table.to_owned(), part.to_owned(), key.to_owned()))?;
        Json::parse(&json::from_base64(row.value.as_deref()?))
    }

    fn store_call(&self, node: usize, request: &Request) -> Option<Response> {
        if self.turned_away[node].load(Ordering::Relaxed) {
            return Some(Response::new(503, "{}"));
        }
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        Some(match path {
            "/rows-tx" => self.transact(node, &request.body),
            "/rows-get" => {
                thread::sleep(READ_TIME);
                self.read(&get("table"), &get("part"), &get("from"), &get("target"), &get("limit"))
            }
            "/rows-feed" => {
                thread::sleep(READ_TIME);
                let after = get("after").parse().unwrap_or(0);
                self.feed(&get("table"), after, get("waitMs").parse().unwrap_or(0))
            }
            _ => Response::new(404, "{}"),
        })
    }

    fn stamp(&self, version: u64) -> String {
        format!("\"rowVersion\":{version},\"nowMs\":{}", self.now())
    }

    fn transact(&self, node: usize, body: &[u8]) -> Response {
        let _one_after_the_other = self.writing.lock().unwrap();
        thread::sleep(TXN_TIME);
        let Some(call) = Json::parse(body) else { return Response::new(400, "{}") };
        let (expected, puts) = (call.get("expectedRev").list(), call.get("puts").list());
        let remove = call.get("remove").list();
        let entries = expected.len() + puts.len() + remove.len();
        if entries > CALL_ENTRIES || body.len() > CALL_BYTES {
            self.note_refusal(format!("a call of {entries} entries and {} bytes", body.len()));
            return Response::new(400, "{\"reason\":\"size of the call\"}");
        }
        for put in puts {
            let bytes = json::from_base64(put.get("value").text()).len();
            if bytes > ROW_BYTES {
                let (table, key) = (put.get("table").text(), put.get("key").text());
                self.note_refusal(format!("a row of {bytes} bytes, {table}/{key}"));
                return Response::new(400, "{\"reason\":\"size of a row\"}");
            }
        }
        let key = |row: &Json| {
            let text = |name: &str| row.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let version_of = |rows: &Rows, row: &Json| {
            let found = rows.rows.get(&key(row)).filter(|row| row.value.is_some());
            found.map_or(0, |row| row.version)
        };
        if expected.iter().any(|row| version_of(&rows, row) != row.get("rowVersion").whole()) {
            let current: Vec<String> = expected.iter().filter_map(|row| encode(&rows, &key(row))).collect();
            let version = rows.version;
            return Response::new(412, format!("{{\"rows\":[{}],{}}}", current.join(","), self.stamp(version)));
        }
        rows.version += 1;
        let version = rows.version;
        for put in puts {
            let value = Some(put.get("value").text().to_owned());
            rows.rows.insert(key(put), Row { value, version });
        }
        for row in remove {
            rows.rows.insert(key(row), Row { value: None, version });
        }
        drop(rows);
        if !expected.is_empty() {
            self.last_writer.store(node, Ordering::Relaxed);
        }
        self.changed.notify_all();
        Response::new(200, format!("{{{}}}", self.stamp(version)))
    }

    fn read(&self, table: &str, part: &str, from: &str, target: &str, limit: &str) -> Response {
        let limit = limit.parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let rows = self.rows.lock().unwrap();
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        let (mut found, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, row) in rows.rows.range(first..) {
            if key.0 != table || key.1 != part || (!target.is_empty() && key.2.as_str() >= target) {
                break;
            }
            if row.value.is_none() {
                continue;
            }
            let Some(text) = encode(&rows, key) else { continue };
            if found.len() == limit || bytes + text.len() > CALL_BYTES {
                more = true;
                break;
            }
            bytes += text.len();
            found.push(text);
        }
        let version = rows.version;
        drop(rows);
        Response::new(200, format!("{{\"rows\":[{}],\"hasMore\":{more},{}}}", found.join(","), self.stamp(version)))
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> Response {
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut changed: Vec<_> = rows
                .rows
                .iter()
                .filter(|(key, row)| key.0 == table && row.version > after)
                .map(|(key, row)| (row.version, key.clone()))
                .collect();
            changed.sort();
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let found: Vec<String> = changed.iter().filter_map(|(_, key)| encode(&rows, key)).collect();
                let version = rows.version;
                return Response::new(200, format!("{{\"rows\":[{}],{}}}", found.join(","), self.stamp(version)));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    /// Handles a call to the service that lists, moves and maintains machines.
    fn cloud_call(&self, request: &Request) -> Response {
        thread::sleep(READ_TIME);
        if request.target.starts_with("/machines") {
            let all: Vec<String> = self.machines.iter().map(describe).collect();
            return Response::new(200, format!("{{\"machines\":[{}],\"nextToken\":null}}", all.join(",")));
        }
        let call = Json::parse(&request.body).unwrap_or(Json::Null);
        let host = call.get("hostId").text();
        let Some(machine) = self.machines.iter().find(|machine| machine.host == host) else {
            return Response::new(400, "{}");
        };
        let mut life = machine.life.lock().unwrap();
        let busy = Response::new(409, "{\"reason\":\"busy\"}");
        if request.target == "/machine-move" {
            let pool = call.get("pool").text();
            if life.pool == pool {
                return Response::new(200, "{}");
            }
            if life.state != State::Up {
                return busy;
            }
            life.pool = pool.to_owned();
            self.end_life(&mut life, State::Moving, MIGRATE_MS);
            self.note(format!("machine {host}: moves to {pool}"));
            return Response::new(200, "{}");
        }
        let wave = call.get("wave").whole();
        let asked = self.row("op", "", &format!("wave/{wave}")).unwrap_or(Json::Null);
        if !asked.get("machines").list().iter().any(|it| it.text() == host) {
            return Response::new(409, "{\"reason\":\"wave\"}");
        }
        if life.upkeeps.contains(&wave) {
            return Response::new(200, "{}");
        }
        if life.state != State::Up {
            return busy;
        }
        life.upkeeps.insert(wave);
        self.end_life(&mut life, State::Upkeep, MAINTENANCE_MS);
        self.note(format!("machine {host}: upkeep for wave {wave}"));
        Response::new(200, "{}")
    }

    /// Crashes the runner of a machine, which starts again under the same id. Its entry stays meanwhile.
    pub fn crash(&self, machine: &Machine, for_ms: u64) {
        let mut life = machine.life.lock().unwrap();
        self.lose_runs(&mut life, State::Down, for_ms);
        self.note(format!("runner {} on {} crashes", life.id, machine.host));
    }

    /// Crashes the runner of a machine; a new runner starts there later. The entry of the old one stays until it
    /// has been silent for three heartbeat intervals.
    pub fn lose(&self, machine: &Machine, for_ms: u64) {
        let mut life = machine.life.lock().unwrap();
        let id = life.id.clone();
        self.lose_runs(&mut life, State::Lost, for_ms);
        life.silent.push_back((id.clone(), Instant::now() + Duration::from_millis(3 * HEARTBEAT_MS)));
        self.note(format!("runner {id} on {} crashes", machine.host));
    }

    /// Machines of a pool that are up.
    pub fn up(&self, pool: &str) -> Vec<&Machine> {
        let is_up = |machine: &&Machine| {
            let life = machine.life.lock().unwrap();
            life.pool == pool && life.state == State::Up
        };
        self.machines.iter().filter(is_up).collect()
    }

    /// A machine of a pool on which nothing runs.
    pub fn idle(&self, pool: &str) -> Option<&Machine> {
        self.machines.iter().find(|machine| {
            let life = machine.life.lock().unwrap();
            life.pool == pool && life.state == State::Up && life.runs.is_empty()
        })
    }

    /// Ends all that runs on a machine; a new runner comes later.
    fn end_life(&self, life: &mut Life, state: State, after_ms: u64) {
        self.lose_runs(life, state, after_ms);
        self.put("servers", &life.id, None);
    }

    fn lose_runs(&self, life: &mut Life, state: State, after_ms: u64) {
        life.state = state;
        life.until = Instant::now() + Duration::from_millis(after_ms);
        for run in std::mem::take(&mut life.runs) {
            let at = self.now();
            let (runner, task) = (life.id.clone(), run.task);
            self.event(Event::End { at, task, run: run.run, runner, how: "gone", number: 0 });
        }
        life.ends.clear();
    }

    /// Lets time pass on a machine.
    fn advance(&self, machine: &Machine) {
        let now = Instant::now();
        let mut life = machine.life.lock().unwrap();
        while life.silent.front().is_some_and(|(_, until)| now >= *until) {
            if let Some((id, _)) = life.silent.pop_front() {
                self.put("servers", &id, None);
            }
        }
        if life.state != State::Up {
            if now < life.until {
                return;
            }
            let keeps_id = life.state == State::Down;
            let number = u64::from_str_radix(&machine.host[2..], 16).unwrap_or(0);
            life.state = State::Up;
            if !keeps_id {
                life.lives += 1;
                life.id = name((number << 16) + life.lives);
            }
            life.born = unix_ms();
            life.clock = now;
            life.token = 0;
            life.lease_ms = 0;
            life.last_end = 0;
            life.lapsed_end = 0;
            life.highest.clear();
            life.sequence = 0;
            // A machine that is back from a crash writes its entry when the next one is due.
            life.written = keeps_id.then_some(now - Duration::from_millis(HEARTBEAT_MS - CRASH_ENTRY_MS));
            if keeps_id {
                self.note(format!("runner {} on {} is back", life.id, machine.host));
            }
        }
        let due = Duration::from_millis(HEARTBEAT_MS);
        if life.written.is_none_or(|at| now.duration_since(at) >= due) {
            life.written = Some(now);
            life.sequence += 1;
            let entry = format!(
                "{{\"service\":{},\"address\":\"{}\",\"zone\":\"a\",\"version\":\"1\",\"slots\":8,\"state\":\"ready\",\
                 \"coldLeftMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpus\":0}},\"labels\":[\"a\",\"r1\"],\
                 \"sequence\":{},\"born\":{}}}",
                json::quote(&life.pool), machine.address, machine.cpu, machine.memory, life.sequence, life.born
            );
            self.put("servers", &life.id, Some(&entry));
        }
        let clock = clock_ms(&life, now);
        let lapsed = clock > life.lease_ms;
        if lapsed && life.last_end > life.lapsed_end {
            life.lapsed_end = life.last_end;
            self.event(Event::Lapse { runner: life.id.clone(), number: life.last_end });
        }
        let mut ended = Vec::new();
        life.runs.retain(|run| {
            let elapsed = now.duration_since(run.started).as_millis() as u64;
            let how = if run.stops_at.is_some_and(|at| now >= at) {
                "stopped"
            } else if run.work_ms.is_some_and(|work| elapsed >= work) {
                "done"
            } else if lapsed {
                "lapsed"
            } else {
                return true;
            };
            ended.push((run.clone(), how));
            false
        });
        for (run, how) in ended {
            self.end_run(&mut life, &run, how, now);
            machine.changed.notify_all();
        }
    }

    fn end_run(&self, life: &mut Life, run: &Run, how: &'static str, now: Instant) {
        life.last_end += 1;
        let (number, saved) = (life.last_end, saved(run, now));
        life.ends.push_back((number, run.task.clone(), run.run, how, saved));
        let highest = life.highest.entry(run.task.clone()).or_default();
        *highest = (*highest).max(run.run);
        let (at, runner, task) = (self.now(), life.id.clone(), run.task.clone());
        self.event(Event::End { at, task, run: run.run, runner, how, number });
    }

    /// Handles a call to the runner on a machine. Gives no answer while the machine is not up.
    fn runner_call(&self, index: usize, request: &Request) -> Option<Response> {
        let machine = &self.machines[index];
        let call = Json::parse(&request.body)?;
        let now = Instant::now();
        let mut life = machine.life.lock().unwrap();
        if life.state != State::Up {
            return None;
        }
        if request.header("x-expect-instance") != life.id {
            return Some(Response::new(421, "{}"));
        }
        let clock = clock_ms(&life, now);
        let refuse = |reason: &str| {
            Some(Response::new(409, format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}")))
        };
        let token = call.get("fencingToken").whole();
        if token < life.token {
            return refuse("fence");
        }
        life.token = token;
        let deadline = call.get("deadlineMs").number().map(|it| it as u64);
        if let Some(deadline) = deadline.filter(|deadline| *deadline > clock) {
            life.lease_ms = life.lease_ms.max(deadline.min(clock + MAX_HOLD_MS));
        }
        let (task, run) = (call.get("task").text().to_owned(), call.get("runId").whole());
        let fine = Some(Response::new(200, format!("{{\"clockMs\":{clock}}}")));
        match request.target.as_str() {
            "/run-start" => {
                if life.runs.iter().any(|it| it.task == task && it.run == run) {
                    return fine;
                }
                if deadline.is_none_or(|deadline| deadline <= clock) {
                    return refuse("late");
                }
                let running = life.runs.iter().filter(|it| it.task == task).map(|it| it.run).max();
                let highest = life.highest.get(&task).copied().max(running).unwrap_or(0);
                if run <= highest {
                    return refuse("old");
                }
                let Some(step) = self.step(&task, call.get("spec").text()) else {
                    self.note(format!("{} is told to start {task}, which no client sent", life.id));
                    return Some(Response::new(400, "{}"));
                };
                let cpu: u64 = life.runs.iter().map(|it| it.cpu).sum::<u64>() + step.cpu;
                let memory: u64 = life.runs.iter().map(|it| it.memory).sum::<u64>() + step.memory;
                if cpu > machine.cpu || memory > machine.memory {
                    return refuse("room");
                }
                let (at, runner) = (self.now(), life.id.clone());
                self.event(Event::Start { at, task: task.clone(), run, runner });
                life.runs.push(Run {
                    task,
                    run,
                    started: now,
                    work_ms: (!step.lasts).then_some(step.work_ms),
                    cpu: step.cpu,
                    memory: step.memory,
                    checkpointing: step.checkpointing,
                    stops_at: None,
                });
                fine
            }
            "/run-stop" => {
                let stops_at = now + Duration::from_millis(STOP_MS);
                if let Some(it) = life.runs.iter_mut().find(|it| it.task == task && it.run == run) {
                    it.stops_at = it.stops_at.or(Some(stops_at));
                } else {
                    let highest = life.highest.entry(task).or_default();
                    *highest = (*highest).max(run);
                }
                fine
            }
            "/pace" => fine,
            "/hold" => {
                let seen = call.get("lastSeen").whole();
                while life.ends.front().is_some_and(|end| end.0 <= seen) {
                    let number = life.ends.pop_front().map_or(0, |end| end.0);
                    self.event(Event::Noted { runner: life.id.clone(), number });
                }
                let wait = Duration::from_millis(call.get("waitMs").whole().min(MAX_WAIT_MS));
                let id = life.id.clone();
                while life.ends.is_empty() && life.state == State::Up && life.id == id {
                    let left = wait.saturating_sub(now.elapsed());
                    if left.is_zero() {
                        break;
                    }
                    life = machine.changed.wait_timeout(life, left).unwrap().0;
                }
                if life.state != State::Up || life.id != id {
                    return None;
                }
                Some(Response::new(200, lists(&life)))
            }
            _ => Some(Response::new(404, "{}")),
        }
    }

    /// The step of a task that a client has sent with this `spec`.
    fn step(&self, task: &str, spec: &str) -> Option<Step> {
        let mut words = task.split('.');
        let jobs = self.jobs.lock().unwrap();
        let job = jobs.get(words.next()?).filter(|job| job.spec == spec)?;
        let (_occurrence, step) = (words.next()?, words.next()?);
        let step = job.steps.get(step.parse::<usize>().ok()?)?;
        let member: u64 = words.next()?.parse().ok()?;
        (member < step.count).then(|| step.clone())
    }

    /// Number of runs of a job that are in progress.
    pub fn running(&self, job: &str) -> usize {
        let count = |machine: &Machine| {
            let life = machine.life.lock().unwrap();
            life.runs.iter().filter(|run| run.task.starts_with(job)).count()
        };
        self.machines.iter().map(count).sum()
    }

    /// Ends that runners list and that are not taken note of, and the highest number of one runner.
    pub fn listed_ends(&self) -> (usize, usize) {
        let counts = self.machines.iter().map(|machine| machine.life.lock().unwrap().ends.len());
        counts.fold((0, 0), |(sum, most), count| (sum + count, most.max(count)))
    }
}

fn accept(listener: TcpListener, handle: impl Fn(&Request) -> Option<Response> + Clone + Send + 'static) {
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let handle = handle.clone();
            thread::spawn(move || http::serve(stream, handle));
        }
    });
}

fn encode(rows: &Rows, key: &(String, String, String)) -> Option<String> {
    let row = rows.rows.get(key)?;
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    Some(format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"rowVersion\":{},{value}}}",
        json::quote(&key.0), json::quote(&key.1), json::quote(&key.2), row.version
    ))
}

fn describe(machine: &Machine) -> String {
    let life = machine.life.lock().unwrap();
    format!(
        "{{\"hostId\":\"{}\",\"pool\":{},\"state\":\"{}\",\"zone\":\"a\",\"labels\":[\"a\",\"r1\"],\
         \"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpus\":0}},\"id\":{}}}",
        machine.host,
        json::quote(&life.pool),
        life.state.name(),
        machine.cpu,
        machine.memory,
        if life.state == State::Up { json::quote(&life.id) } else { "null".to_owned() }
    )
}

fn clock_ms(life: &Life, now: Instant) -> u64 {
    now.saturating_duration_since(life.clock).as_millis() as u64 + 1_000
}

/// The checkpoint of a run: a new value with each `checkpointS` of work.
fn saved(run: &Run, now: Instant) -> String {
    let steps = now.duration_since(run.started).as_millis() as u64 / CHECKPOINT_MS;
    if !run.checkpointing || steps == 0 {
        return String::new();
    }
    format!("{:016x}", steps << 32 | run.run)
}

fn lists(life: &Life) -> String {
    let now = Instant::now();
    let running: Vec<String> = life
        .runs
        .iter()
        .map(|run| {
            let elapsed = now.duration_since(run.started).as_millis() as u64;
            let percent = match run.work_ms {
                Some(work) => (elapsed * 100 / work.max(1)).min(99),
                None if elapsed >= STARTUP_MS => 100,
                None => 0,
            };
            let saved = saved(run, now);
            format!("[\"{}\",{},\"{saved}\",{percent},{}]", run.task, run.run, run.cpu)
        })
        .collect();
    let ended: Vec<String> = life
        .ends
        .iter()
        .take(MAX_ENDS)
        .map(|(number, task, run, how, saved)| format!("[{number},\"{task}\",{run},\"{how}\",\"{saved}\"]"))
        .collect();
    format!(
        "{{\"clockMs\":{},\"born\":{},\"runningRuns\":[{}],\"endedRuns\":[{}]}}",
        clock_ms(life, now), life.born, running.join(","), ended.join(",")
    )
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut plain, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match hex.filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                plain.push(byte);
                at += 3;
            }
            None => {
                plain.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}
