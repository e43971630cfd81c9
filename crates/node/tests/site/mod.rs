//! Test harness: nodes and simulated store and instances on loopback addresses, all in one thread.
#![allow(dead_code, unreachable_pub, reason = "each test binary uses its own part")]

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Once;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use adapter::Settings;
use async_executor::LocalExecutor;
use async_io::Timer;
use http::Limits;
use http::Request;
use http::Response;
use node::Node;
use serde_json::Value;
use serde_json::json;
use sitestand::Platform;
use sitestand::Subnet;

/// Maximum number of polls for a condition, at intervals of [`POLL_INTERVAL`].
const MAX_POLLS: usize = 3_000;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

const TIMEOUT: Duration = Duration::from_secs(10);

/// Third byte of the next node's address: each node of a test run has its own address.
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// The loopback network of a test run.
static NET: OnceLock<Subnet> = OnceLock::new();

thread_local! {
    /// Number of panics in this thread. An executor drops a task that panics, where the node's program
    /// would abort.
    static PANICS: Cell<u64> = const { Cell::new(0) };
}

/// Counts the panics of all tests.
static HOOK: Once = Once::new();

fn count_panics() {
    HOOK.call_once(|| {
        let hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            PANICS.set(PANICS.get() + 1);
            hook(panic);
        }));
    });
}

/// A running node with its own executor: dropping it ends the node like a kill of the process.
pub struct Running {
    pub node: Rc<Node>,
    pub frontend: SocketAddr,
    pub ready: SocketAddr,
    /// Where it serves other nodes.
    pub rpc: SocketAddr,
    /// Number of times that a task of the node has run.
    pub runs: Rc<Cell<u64>>,
    executor: Rc<LocalExecutor<'static>>,
    paused: Cell<bool>,
}

pub struct Site {
    pub platform: Rc<Platform>,
    pub nodes: RefCell<Vec<Running>>,
}

/// Runs a test on a site of one node and `instances` instances of the service `oven`.
pub fn run<F: Future<Output = ()>>(instances: usize, test: impl FnOnce(Rc<Site>) -> F) {
    count_panics();
    let executor = Rc::new(LocalExecutor::new());
    let platform = async_io::block_on(executor.run(async {
        Platform::spawn(Rc::clone(&executor), node::clock::now, &[("oven", instances)])
    }));
    let site = Rc::new(Site { platform, nodes: RefCell::default() });
    site.start("one");
    let nodes = Rc::clone(&site);
    async_io::block_on(executor.run(async {
        let ticking = async {
            // The executors of the nodes run in turn with that of the simulated platform.
            loop {
                let executors: Vec<_> = nodes
                    .nodes
                    .borrow()
                    .iter()
                    .filter(|node| !node.paused.get())
                    .map(|node| (Rc::clone(&node.executor), Rc::clone(&node.runs)))
                    .collect();
                let mut worked = false;
                for (executor, runs) in executors {
                    let ran = executor.try_tick();
                    runs.set(runs.get() + u64::from(ran));
                    worked |= ran;
                }
                if worked {
                    futures_lite::future::yield_now().await;
                } else {
                    Timer::after(Duration::from_millis(1)).await;
                }
            }
        };
        futures_lite::FutureExt::or(test(site), ticking).await;
    }));
}

impl Site {
    /// Starts a node.
    pub fn start(&self, name: &str) {
        let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
        let net = NET.get_or_init(Subnet::reserve).octet;
        let ip = Ipv4Addr::new(127, net, host, 1);
        self.start_at(name, ip);
    }

    fn start_at(&self, name: &str, ip: Ipv4Addr) {
        let settings = self.platform.settings(name, ip, [7_801, 7_802, 7_803, 7_810]);
        let settings = Settings::decode(settings.to_string().as_bytes()).expect("settings");
        let rpc = settings.rpc;
        let executor = Rc::new(LocalExecutor::new());
        let node = Node::open(settings, Rc::clone(&executor));
        let serving = node::serve(Rc::clone(&node), None);
        executor
            .spawn(async move {
                serving.await.expect("addresses are free");
            })
            .detach();
        let frontend = SocketAddr::from((ip, 7_801));
        let ready = SocketAddr::from((ip, 7_802));
        self.nodes.borrow_mut().push(Running {
            node,
            frontend,
            ready,
            rpc,
            runs: Rc::default(),
            executor,
            paused: Cell::new(false),
        });
    }

    pub fn frontend(&self, index: usize) -> SocketAddr {
        self.nodes.borrow()[index].frontend
    }

    /// Pauses a node as a stop signal would, or lets it go on.
    pub fn pause(&self, index: usize, paused: bool) {
        self.nodes.borrow()[index].paused.set(paused);
    }

    /// Kills a node, as the platform would kill its process.
    pub fn kill(&self, index: usize) {
        let running = self.nodes.borrow_mut().remove(index);
        drop(running);
    }

    pub async fn call(&self, index: usize, request: Request) -> Response {
        let request = request.with_header("host", "site.example");
        http::call(self.frontend(index), &request, Limits::default(), TIMEOUT)
            .await
            .unwrap_or_else(|error| Response::new(0).with_body(error.to_string()))
    }

    pub async fn submit(&self, index: usize, job: &str, body: &Value) -> Response {
        self.platform
            .monitor
            .borrow_mut()
            .submitted
            .entry(job.to_owned())
            .or_insert_with(|| body.clone());
        let request = Request::new("POST", format!("/oven/{job}"));
        let request = request.with_header("content-type", "application/json");
        self.call(index, request.with_body(body.to_string())).await
    }

    pub async fn state(&self, index: usize, job: &str) -> String {
        let response = self.call(index, Request::new("GET", format!("/oven/{job}"))).await;
        let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        body["state"].as_str().map_or_else(|| response.status.to_string(), str::to_owned)
    }

    /// Waits until all nodes report that they are ready.
    pub async fn ready(&self) {
        let count = self.nodes.borrow().len();
        for index in 0..count {
            self.until(async || {
                let address = self.nodes.borrow()[index].ready;
                let request = Request::new("GET", "/readyz").with_header("host", "ready");
                let answer = http::call(address, &request, Limits::default(), TIMEOUT).await;
                answer.is_ok_and(|answer| answer.status == 200)
            })
            .await;
        }
    }

    /// Polls a condition until it holds; fails the test if it doesn't within some 30 seconds.
    pub async fn until(&self, condition: impl AsyncFn() -> bool) {
        for _ in 0..MAX_POLLS {
            if condition().await {
                return;
            }
            Timer::after(POLL_INTERVAL).await;
        }
        panic!("condition still false after {MAX_POLLS} polls");
    }

    pub async fn until_state(&self, index: usize, job: &str, state: &str) {
        self.until(async || self.state(index, job).await == state).await;
    }

    /// Fails the test if the monitor of the simulated platform has recorded a violation, or a task of a
    /// node has panicked.
    pub fn check(&self) {
        assert_eq!(PANICS.get(), 0, "panics of nodes");
        let monitor = self.platform.monitor.borrow();
        assert!(monitor.violations.is_empty(), "{:#?}", monitor.violations);
    }
}

/// A job of two steps: `count` tasks, then one task.
pub fn job(count: u64) -> Value {
    json!({
        "spec": "ladoo",
        "phases": [
            { "count": count, "cpu": 1_000, "memMb": 100, "estimateMs": 100 },
            { "count": 1, "cpu": 1_000, "memMb": 100, "estimateMs": 100, "after": [0] },
        ],
    })
}

/// A job of one step of `count` tasks that run until they are cancelled.
pub fn long_running(count: u64) -> Value {
    let step = json!({ "count": count, "cpu": 1_000, "memMb": 100, "estimateMs": 100, "longRunning": true });
    json!({ "spec": "barfi", "phases": [step] })
}

/// The name of job `number`.
pub fn name(number: u64) -> String {
    format!("{number:016x}")
}
