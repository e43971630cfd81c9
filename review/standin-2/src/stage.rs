//! What all scenes share: platform, nodes, a caller and the record.

use std::cell::Cell;
use std::cell::RefCell;
use std::fs::File;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use async_executor::LocalExecutor;
use async_io::Async;
use async_io::Timer;
use fleet::time::Time;
use futures_lite::FutureExt;
use http::Limits;
use http::Request;
use http::Response;
use http::Stream;
use serde_json::Value;
use serde_json::json;
use sitestand::Platform;
use sitestand::Subnet;

/// Number of nodes.
const NODES: u8 = 3;

/// Longest duration of a scene.
const MAX_TIME: Duration = Duration::from_secs(115);

/// Time that a caller waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Time within which all nodes have to be ready.
const MAX_START_TIME: Duration = Duration::from_secs(15);

/// Attempts that the configuration allows a task.
pub const MAX_ATTEMPTS: u64 = 3;

/// Host name of all queues.
const HOST: &str = "site.example";

/// Outcome of a scene.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// The clock of the stand-ins.
pub fn now() -> Time {
    static START: OnceLock<Instant> = OnceLock::new();
    let elapsed = START.get_or_init(Instant::now).elapsed();
    Time::from_micros(1_000_000 + elapsed.as_micros() as u64)
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Pauses for a number of milliseconds.
pub async fn pause(ms: u64) {
    Timer::after(Duration::from_millis(ms)).await;
}

/// A node as a process; ends with the value.
struct Node {
    name: String,
    child: Child,
    /// Whether the store turns it away.
    turned_away: Rc<Cell<bool>>,
}

impl Drop for Node {
    fn drop(&mut self) {
        // Both fail only if it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Serves the store to one node, which gets status 503 while it is turned away.
async fn serve_store(
    platform: Rc<Platform>,
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    turned_away: Rc<Cell<bool>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let Ok(stream) = Stream::new(stream) else { continue };
        let (platform, turned_away) = (Rc::clone(&platform), Rc::clone(&turned_away));
        let connection = async move {
            let limits = Limits { body: 4 << 20, ..Limits::default() };
            let handler = |request: Request| {
                let (platform, turned_away) = (Rc::clone(&platform), Rc::clone(&turned_away));
                async move {
                    if turned_away.get() {
                        return Response::new(503);
                    }
                    let clock_ms = now().as_millis();
                    let answer = platform.store.handle(&request, clock_ms).await;
                    answer.unwrap_or_else(|| Response::new(503))
                }
            };
            // An error means that the node has closed the connection.
            let _ = http::serve(stream, &limits, handler).await;
        };
        executor.spawn(connection).detach();
    }
}

/// The stage of a scene.
pub struct Stage {
    /// The stand-ins.
    pub platform: Rc<Platform>,
    /// Whether the disruption is laid on.
    pub trouble: bool,
    doors: Vec<SocketAddr>,
    nodes: RefCell<Vec<Node>>,
    record: RefCell<File>,
}

impl Stage {
    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let at = now().as_millis() as f64 / 1_000.0;
        // A record that can't be written changes nothing of the verdict.
        let _ = writeln!(self.record.borrow_mut(), "{at:8.3} {text}");
    }

    /// Name of the leader's node and number of its term, as the store's row says.
    pub fn leader(&self) -> Option<(String, u64)> {
        let row = self.platform.store.get("sail_office", "main", "holder")?;
        Some((row["node"].as_str()?.to_owned(), row["epoch"].as_u64()?))
    }

    /// Has the store turn a node away, or serve it again.
    pub fn turn_away(&self, name: &str, away: bool) {
        let nodes = self.nodes.borrow();
        nodes.iter().filter(|it| it.name == name).for_each(|it| it.turned_away.set(away));
    }

    /// Sends SIGTERM to a node.
    pub fn terminate(&self, name: &str) -> Result<(), String> {
        let nodes = self.nodes.borrow();
        let node = nodes.iter().find(|it| it.name == name).ok_or("no such node")?;
        let id = node.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status();
        status.map(|_| ()).map_err(|error| error.to_string())
    }

    /// Writes a configuration: queues as name and service, each under the path `/SERVICE/`.
    pub fn configure(&self, version: u64, queues: &[(&str, &str)], services: &[(&str, usize)]) {
        let routes: Vec<Value> = queues
            .iter()
            .map(|(name, service)| {
                json!({
                    "name": name, "hostname": HOST, "prefix": format!("/{service}/"),
                    "type": "unsafe", "timeoutMs": 3_000, "targetLatencyMs": 600, "priority": 0,
                    "service": service, "maxAttempts": MAX_ATTEMPTS, "stretch": 1.6,
                })
            })
            .collect();
        let pools: Vec<Value> = services
            .iter()
            .map(|(name, _)| {
                json!({
                    "name": name, "healthPath": "/healthz", "maxConns": 64, "admissionCheck": true,
                })
            })
            .collect();
        let config = json!({
            "version": version, "routes": routes, "services": pools,
            "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 262_144 },
        });
        self.platform.store.put("op", "config", &config);
        self.note(&format!("operator writes configuration {version}: queues {queues:?}"));
    }

    /// Sends a request of a caller to a node; returns the status (0 without an answer) and the body.
    pub async fn call(&self, door: usize, method: &str, path: &str, body: &str) -> (u16, Value) {
        let request = Request::new(method, path)
            .with_header("host", HOST)
            .with_header("content-type", "application/json")
            .with_header("x-deadline-ms", "3000")
            .with_body(body.to_owned());
        let address = self.doors[door % self.doors.len()];
        match http::call(address, &request, Limits::default(), TIMEOUT).await {
            Ok(response) => {
                let body = serde_json::from_slice(&response.body).unwrap_or_default();
                (response.status, body)
            }
            Err(_) => (0, Value::Null),
        }
    }

    /// Submits a job, with retries until it is accepted.
    pub async fn submit(&self, service: &str, job: &str, body: &Value) -> Result<(), String> {
        self.platform.monitor.borrow_mut().submitted.insert(job.to_owned(), body.clone());
        let path = format!("/{service}/{job}");
        for attempt in 0..8 {
            let (status, _) = self.call(attempt, "POST", &path, &body.to_string()).await;
            self.note(&format!("caller: POST {path} {body} -> {status}"));
            if status == 200 {
                return Ok(());
            }
            pause(700).await;
        }
        Err("the job was not accepted".to_owned())
    }

    /// State of a job as a node shows it; the status if it shows none.
    pub async fn state(&self, door: usize, service: &str, job: &str) -> String {
        let (status, body) = self.call(door, "GET", &format!("/{service}/{job}"), "").await;
        body["state"].as_str().map_or_else(|| status.to_string(), str::to_owned)
    }

    async fn await_ready(&self, readiness: &[SocketAddr]) -> Result<(), String> {
        let request = Request::new("GET", "/readyz").with_header("host", HOST);
        let began = Instant::now();
        for &address in readiness {
            loop {
                let answer = http::call(address, &request, Limits::default(), TIMEOUT).await;
                if answer.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                if began.elapsed() > MAX_START_TIME {
                    return Err(format!("{address} is not ready"));
                }
                pause(100).await;
            }
        }
        self.note("all nodes are ready");
        Ok(())
    }
}

/// The command of the deploy file's only role, split at spaces.
fn deploy_command(root: &Path) -> Result<Vec<String>, String> {
    let path = root.join("deploy/system.toml");
    let text = std::fs::read_to_string(&path).map_err(|error| error.to_string())?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    let line = line.ok_or("the deploy file names no command")?;
    Ok(line.split(' ').map(str::to_owned).collect())
}

fn start_node(root: &Path, folder: &Path, name: &str, settings: &Value) -> Result<Child, String> {
    let file = folder.join(format!("{name}.json"));
    std::fs::write(&file, settings.to_string()).map_err(|error| error.to_string())?;
    let log =
        File::create(folder.join(format!("{name}.log"))).map_err(|error| error.to_string())?;
    let command = deploy_command(root)?;
    let mut process = Command::new(root.join(&command[0]));
    process.args(&command[1..]).current_dir(root).env_clear();
    for variable in ["PATH", "HOME", "LANG"] {
        process.envs(std::env::var_os(variable).map(|value| (variable, value)));
    }
    process.env("KNAPWEEDSAIL_NODE_FILE", &file);
    let child = process.stdin(Stdio::null()).stdout(log).stderr(Stdio::null()).spawn();
    child.map_err(|error| format!("{}: {error}", command[0]))
}

/// A temporary folder, removed with the value unless `KEEP` is set.
struct Folder(PathBuf);

impl Folder {
    fn open() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("review-scenes-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|error| error.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            // What can't be removed is left to the system.
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Runs a scene: starts stand-ins and nodes, plays it, and ends all processes.
pub fn run(
    root: &Path,
    record: &Path,
    services: &'static [(&'static str, usize)],
    play: impl AsyncFnOnce(&Stage) -> Result<Verdict, String>,
) -> Result<Verdict, String> {
    let root = root.canonicalize().map_err(|error| error.to_string())?;
    let record = File::create(record).map_err(|error| error.to_string())?;
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Folder::open()?;
    let executor = Rc::new(LocalExecutor::new());
    let subnet = Subnet::reserve();
    let scene = async {
        let platform = Platform::spawn(Rc::clone(&executor), now, services);
        let ips = (1..=NODES).map(|number| Ipv4Addr::new(127, subnet.octet, 0, 10 + number));
        let ips: Vec<Ipv4Addr> = ips.collect();
        let at = |port: u16| ips.iter().map(|&ip| SocketAddr::from((ip, port))).collect();
        let (doors, readiness): (Vec<SocketAddr>, Vec<SocketAddr>) = (at(8_624), at(8_622));
        let record = RefCell::new(record);
        let stage = Stage { platform, trouble, doors, nodes: RefCell::default(), record };
        stage.note(&format!("trouble: {trouble}"));
        let queues: Vec<(&str, &str)> = services.iter().map(|(name, _)| (*name, *name)).collect();
        stage.configure(5, &queues, services);
        for (number, &ip) in ips.iter().enumerate() {
            let name = format!("front-a-{}", number + 1);
            let mut settings = stage.platform.settings(&name, ip, [8_624, 8_622, 7_060, 7_075]);
            settings["limits"] = json!({ "cpuShare": 0.25, "cores": 1, "memoryMb": 260 });
            let listener = Async::<TcpListener>::bind(SocketAddr::from((ip, 0)));
            let listener = listener.map_err(|error| error.to_string())?;
            let address = listener.get_ref().local_addr().map_err(|error| error.to_string())?;
            settings["platform"]["address"] = json!(address.to_string());
            let turned_away = Rc::new(Cell::new(false));
            let (platform, flag) = (Rc::clone(&stage.platform), Rc::clone(&turned_away));
            executor.spawn(serve_store(platform, Rc::clone(&executor), listener, flag)).detach();
            let child = start_node(&root, &folder.0, &name, &settings)?;
            stage.nodes.borrow_mut().push(Node { name, child, turned_away });
        }
        stage.await_ready(&readiness).await?;
        let verdict = play(&stage).await?;
        stage.note(match verdict {
            Verdict::Held => "the rule held",
            Verdict::Broken => "THE RULE WAS BROKEN",
        });
        Ok(verdict)
    };
    let expired = async {
        Timer::after(MAX_TIME).await;
        Err("it takes too long".to_owned())
    };
    async_io::block_on(executor.run(scene.or(expired)))
}
