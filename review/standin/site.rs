//! A small deployment: nodes as processes, their settings, and clients.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json::Json;
use crate::platform;
use crate::platform::Event;
use crate::platform::Job;
use crate::platform::World;

/// Bounds of the deployment, as its settings file gives them.
pub const ACK_MS: u64 = 4_000;
pub const CANCEL_MS: u64 = 3_000;
pub const STOP_MS: u64 = 400;

/// How long clients wait for an answer.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// After how long a process is started again that has ended by itself.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Attempts of a client for one request.
const ATTEMPTS: usize = 5;

struct Node {
    name: String,
    front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// When the process has ended by itself.
    exits: Mutex<Vec<u64>>,
}

pub struct Site {
    pub world: Arc<World>,
    nodes: Vec<Node>,
    folder: PathBuf,
    next: AtomicUsize,
    /// Keeps the block of loopback addresses.
    _reserved: TcpListener,
}

impl Site {
    /// Starts the platform and the nodes, and waits until all nodes are ready. `pools`: the last one is the
    /// spare pool. `latency_ms`: `targetLatencyMs` of the queues.
    pub fn start(nodes: usize, pools: &[(&'static str, usize)], latency_ms: u64) -> Option<Arc<Site>> {
        let world = World::spawn(nodes, pools);
        configure(&world, pools, latency_ms);
        let (octet, reserved) = reserve()?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let nodes = (0..nodes).map(|index| node(&world, &folder, octet, index)).collect();
        let next = AtomicUsize::new(0);
        let site = Arc::new(Site { world, nodes, folder, next, _reserved: reserved });
        for index in 0..site.nodes.len() {
            site.launch(index);
        }
        let began = Instant::now();
        while !(0..site.nodes.len()).all(|index| site.is_ready(index)) {
            if began.elapsed() > Duration::from_secs(20) {
                site.stop();
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        let supervised = Arc::clone(&site);
        thread::spawn(move || supervised.supervise());
        site.world.note("all nodes are ready");
        Some(site)
    }

    /// Starts the process of a node, with the command of the deploy file.
    pub fn launch(&self, index: usize) {
        let node = &self.nodes[index];
        let log = File::options().append(true).create(true).open(&node.log).expect("folder is writable");
        let mut command = Command::new("target/release/knapweedsail-node");
        command.args(["--metrics", "9464"]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("KNAPWEEDSAIL_NODE_FILE", &node.settings).stdin(Stdio::null());
        command.stderr(log.try_clone().expect("a file can be shared")).stdout(log);
        let child = command.spawn().expect("the deploy file's build has been run");
        self.world.note(format!("{} starts, process {}", node.name, child.id()));
        *node.child.lock().unwrap() = Some(child);
    }

    fn is_ready(&self, index: usize) -> bool {
        let timeout = Duration::from_millis(500);
        let host = [("host", "platform".to_owned())];
        http::call(self.nodes[index].ready, "GET", "/readyz", &host, "", timeout)
            .is_some_and(|(status, _)| status == 200)
    }

    /// The node that the store's row of the leader names.
    pub fn leader(&self) -> Option<usize> {
        let row = self.world.row("sail_office", "main", "holder")?;
        let name = row.get("node").text().to_owned();
        self.nodes.iter().position(|node| node.name == name)
    }

    pub fn name(&self, index: usize) -> &str {
        &self.nodes[index].name
    }

    /// Tells the process of a node to stop, as the platform does: SIGTERM. It is started again once it has ended.
    pub fn terminate(&self, index: usize) {
        let node = &self.nodes[index];
        let process = node.child.lock().unwrap().as_ref().map(Child::id);
        if let Some(process) = process {
            self.world.note(format!("{} gets SIGTERM", node.name));
            let _ = Command::new("kill").args(["-TERM", &process.to_string()]).status();
        }
    }

    /// How often the process of each node has ended by itself.
    pub fn exits(&self) -> Vec<(String, usize)> {
        let count = |node: &Node| (node.name.clone(), node.exits.lock().unwrap().len());
        self.nodes.iter().map(count).collect()
    }

    /// Starts processes again that have ended by themselves, after a short delay.
    fn supervise(&self) {
        while !self.world.over.load(Ordering::Relaxed) {
            for (index, node) in self.nodes.iter().enumerate() {
                let ended = match node.child.lock().unwrap().as_mut() {
                    Some(child) => child.try_wait().ok().flatten(),
                    None => None,
                };
                if let Some(status) = ended {
                    node.child.lock().unwrap().take();
                    self.world.note(format!("{} has ended ({status})", node.name));
                    node.exits.lock().unwrap().push(self.world.now());
                    thread::sleep(RESTART_DELAY);
                    if !self.world.over.load(Ordering::Relaxed) {
                        self.launch(index);
                    }
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Ends all processes.
    pub fn stop(&self) {
        self.world.over.store(true, Ordering::Relaxed);
        thread::sleep(RESTART_DELAY * 2);
        for node in &self.nodes {
            if let Some(mut child) = node.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }

    /// One attempt of a request, at the next node. Returns the status, or zero without an answer.
    pub fn attempt(&self, method: &str, path: &str, body: &str) -> (u16, Json) {
        let index = self.next.fetch_add(1, Ordering::Relaxed) % self.nodes.len();
        let headers =
            [("host", "site.example".to_owned()), ("x-deadline-ms", DEADLINE.as_millis().to_string())];
        let timeout = DEADLINE + Duration::from_millis(200);
        let answer = http::call(self.nodes[index].front, method, path, &headers, body, timeout);
        let (status, body) = answer.unwrap_or((0, Vec::new()));
        (status, Json::parse(&body).unwrap_or(Json::Null))
    }

    /// Hands a job in, again after a refusal or without an answer. Returns whether it was accepted.
    pub fn submit(&self, id: &str, job: &Job) -> bool {
        self.world.jobs.lock().unwrap().insert(id.to_owned(), job.clone());
        let path = format!("/{}/{id}", job.queue);
        for attempt in 0..ATTEMPTS {
            let (status, _) = self.attempt("POST", &path, &job.body());
            self.world.note(format!("POST {path} attempt {attempt}: {status}"));
            match status {
                200..300 => return true,
                400 | 404 => return false,
                _ => thread::sleep(Duration::from_millis(1_000)),
            }
        }
        false
    }

    /// The state of a job, or the status of the answer.
    pub fn state(&self, queue: &str, id: &str) -> String {
        let (status, body) = self.attempt("GET", &format!("/{queue}/{id}"), "");
        match status {
            200 => body.get("state").text().to_owned(),
            _ => status.to_string(),
        }
    }

    /// Cancels a job: tries until it is acknowledged, or for `limit`. Returns the status of the
    /// acknowledgement.
    pub fn cancel(&self, queue: &str, id: &str, limit: Duration) -> Option<u16> {
        let path = format!("/{queue}/{id}");
        let began = Instant::now();
        while began.elapsed() < limit {
            let (status, _) = self.attempt("DELETE", &path, "");
            self.world.note(format!("DELETE {path}: {status}"));
            if matches!(status, 200..300 | 410) {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(1_000));
        }
        None
    }

    /// Waits until all jobs are shown as `completed`, for `limit` at most. Returns how many are not.
    pub fn wait_completed(&self, queue: &str, ids: &[String], limit: Duration) -> usize {
        let began = Instant::now();
        let mut open: Vec<&String> = ids.iter().collect();
        while !open.is_empty() && began.elapsed() < limit {
            open.retain(|id| self.state(queue, id) != "completed");
            thread::sleep(Duration::from_millis(200));
        }
        open.len()
    }
}

/// A block of loopback addresses that nobody else uses.
fn reserve() -> Option<(u8, TcpListener)> {
    let first = std::process::id() as u8;
    (0..=u8::MAX).map(|step| first.wrapping_add(step)).filter(|octet| *octet >= 10).find_map(|octet| {
        let listener = TcpListener::bind((Ipv4Addr::new(127, octet, 0, 1), 7_999)).ok()?;
        Some((octet, listener))
    })
}

fn node(world: &World, folder: &std::path::Path, octet: u8, index: usize) -> Node {
    let zone = ["a", "b", "c"][index % 3];
    let name = format!("front-zone-{zone}-{}", index / 3 + 1);
    let ip = Ipv4Addr::new(127, octet, 1, index as u8 + 1);
    let (store, cloud) = (world.store_addresses[index], world.machines_address);
    let settings = format!(
        r#"{{"nodeName":"{name}","role":"node","machineClass":"front","serves":["front","control"],"ip":"{ip}",
"zone":"zone-{zone}","region":"region","zones":{{"zone-a":"region","zone-b":"region","zone-c":"region"}},
"listen":{{"front":"{ip}:8624","ready":"{ip}:8622","control":"{ip}:8623"}},"internalPorts":[7060,7075],
"seeds":[],"bootstrap":true,"lossCounts":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":{heartbeat},
"contracts":["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"],
"faultTolerance":{{"machines":2,"zones":1,"regions":0}},
"bounds":{{"seedLagS":3,"addrReuseS":2,"contactMs":3000,"ackMs":{ACK_MS},"catchUpS":4,"drainMs":2000,"graceS":6,
"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,"recoveryS":12,
"maxHoldMs":{hold},"stopMs":{STOP_MS},"gangWaitMs":3000,"cancel_ms":{CANCEL_MS},"visible_ms":3000,"early_ms":250,
"finish_s":14,"status_s":120,"farFactor":3,"checkpointS":2,"restoreMs":100,"noticeMs":4500,"migrateS":1.5,
"maintenanceS":2,"fencing":false,"leaseMs":3000,"thawMs":300,"pacingMs":100,"impactMs":4000}},
"orders":"call",
"platform":{{"address":"{store}","form":"table","writesPerS":800,"readsPerS":2000,"txnMs":3.0,"partitionOpsS":300,
"rowBytes":{row_bytes},"crossShard":true,"retentionS":20,"blobBytes":8388608,"blobMs":25.0,"blobRateS":80.0}},
"cloudApi":{{"address":"{cloud}","ratePerS":64.0,"duties":[],"dutyPerS":64.0}}}}"#,
        heartbeat = platform::HEARTBEAT_MS,
        hold = platform::MAX_HOLD_MS,
        row_bytes = platform::ROW_BYTES,
    );
    let path = folder.join(format!("{name}.json"));
    fs::write(&path, settings).expect("folder is writable");
    Node {
        front: SocketAddr::from((ip, 8_624)),
        ready: SocketAddr::from((ip, 8_622)),
        log: folder.join(format!("{name}.log")),
        settings: path,
        child: Mutex::new(None),
        exits: Mutex::default(),
        name,
    }
}

/// Writes the first configuration: a queue for each pool but the spare one, which is the last.
fn configure(world: &World, pools: &[(&'static str, usize)], latency_ms: u64) {
    let (spare, others) = pools.split_last().expect("there are pools");
    let routes: Vec<String> = others
        .iter()
        .map(|(pool, _)| {
            format!(
                "{{\"name\":\"r-{pool}\",\"hostname\":\"site.example\",\"prefix\":\"/{pool}/\",\"type\":\"unsafe\",\
                 \"timeoutMs\":3000,\"targetLatencyMs\":{latency_ms},\"priority\":0,\"service\":\"{pool}\",\
                 \"maxAttempts\":4,\"stretch\":1.6}}"
            )
        })
        .collect();
    let service = |name: &str, more: &str| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":64,\"admissionCheck\":true{more}}}")
    };
    let mut services: Vec<String> = others.iter().map(|(pool, _)| service(pool, "")).collect();
    services.push(service(spare.0, ",\"standby\":true"));
    let config = format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144}}}}",
        routes.join(","),
        services.join(",")
    );
    world.put("op", "config", Some(&config));
}

/// A run, as its runner saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub started: u64,
    pub run: u64,
    pub runner: String,
    pub ended: Option<(u64, &'static str)>,
    /// Whether the end was taken note of, with no lapse of the runner's lease between the two.
    pub noted: bool,
}

/// All runs by task, in the order of their starts.
pub fn runs(world: &World) -> BTreeMap<String, Vec<Run>> {
    let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    // Ends that are not taken note of: runner and number, and whose they are.
    let mut listed: BTreeMap<(String, u64), (String, usize)> = BTreeMap::new();
    for event in world.events.lock().unwrap().iter() {
        match event {
            Event::Start { at, task, run, runner } => runs.entry(task.clone()).or_default().push(Run {
                started: *at,
                run: *run,
                runner: runner.clone(),
                ended: None,
                noted: false,
            }),
            Event::End { at, task, run, runner, how, number } => {
                let Some(runs) = runs.get_mut(task) else { continue };
                let ends = |it: &Run| it.run == *run && it.runner == *runner && it.ended.is_none();
                let Some(index) = runs.iter().position(ends) else { continue };
                runs[index].ended = Some((*at, how));
                if *number > 0 {
                    listed.insert((runner.clone(), *number), (task.clone(), index));
                }
            }
            Event::Noted { runner, number } => {
                if let Some((task, index)) = listed.remove(&(runner.clone(), *number)) {
                    runs.get_mut(&task).expect("it has ended")[index].noted = true;
                }
            }
            Event::Lapse { runner, number } => {
                listed.retain(|(other, end), _| other != runner || end > number);
            }
        }
    }
    runs
}

/// Breaks of the rule TWICE: two runs of a task at the same time, or a start after an end `done` that was
/// taken note of then or later.
pub fn twice(runs: &BTreeMap<String, Vec<Run>>) -> Vec<String> {
    let mut broken = Vec::new();
    for (task, runs) in runs {
        for (index, later) in runs.iter().enumerate() {
            for earlier in &runs[..index] {
                let what = match earlier.ended {
                    None => "while another run is in progress",
                    Some((at, _)) if at > later.started => "while another run is in progress",
                    Some((at, "done")) if at <= later.started && earlier.noted => "after a run that is done",
                    _ => continue,
                };
                broken.push(format!(
                    "{task}: run {} on {} at {:.3} (ended {:?}), run {} on {} starts at {:.3}, {what}",
                    earlier.run, earlier.runner, earlier.started as f64 / 1e3, earlier.ended,
                    later.run, later.runner, later.started as f64 / 1e3
                ));
            }
        }
    }
    broken
}
