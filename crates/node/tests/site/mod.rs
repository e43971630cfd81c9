//! Nodes and stand-ins on loopback, all in one thread.
#![allow(dead_code, unreachable_pub, reason = "each test binary uses its own part")]

use std::cell::RefCell;
use std::future::Future;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
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
use sitestand::Net;
use sitestand::World;

/// Looks for something that is to come, at most; of [`LOOK`] each.
const LOOKS: usize = 3_000;

const LOOK: Duration = Duration::from_millis(10);

const TIMEOUT: Duration = Duration::from_secs(10);

/// Each node of a test run has an address of its own.
static NEXT: AtomicU8 = AtomicU8::new(1);

/// The part of loopback that a test run uses.
static NET: OnceLock<Net> = OnceLock::new();

/// A node with an executor of its own: dropping it ends the node as a kill would.
pub struct Running {
    pub node: Rc<Node>,
    pub door: SocketAddr,
    pub ready: SocketAddr,
    executor: Rc<LocalExecutor<'static>>,
}

pub struct Site {
    pub world: Rc<World>,
    pub nodes: RefCell<Vec<Running>>,
}

/// Runs a test on a site with some instances of one service and one node.
pub fn run<F: Future<Output = ()>>(instances: usize, test: impl FnOnce(Rc<Site>) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    let world = async_io::block_on(executor.run(async {
        World::spawn(Rc::clone(&executor), node::clock::now, &[("oven", instances)])
    }));
    let site = Rc::new(Site { world, nodes: RefCell::default() });
    site.start("one");
    let nodes = Rc::clone(&site);
    async_io::block_on(executor.run(async {
        let turning = async {
            // Executors of nodes take turns with the world's.
            loop {
                let executors: Vec<_> =
                    nodes.nodes.borrow().iter().map(|node| Rc::clone(&node.executor)).collect();
                let mut worked = false;
                for executor in executors {
                    worked |= executor.try_tick();
                }
                if worked {
                    futures_lite::future::yield_now().await;
                } else {
                    Timer::after(Duration::from_millis(1)).await;
                }
            }
        };
        futures_lite::FutureExt::or(test(site), turning).await;
    }));
}

impl Site {
    /// Starts a node.
    pub fn start(&self, name: &str) {
        let place = NEXT.fetch_add(1, Ordering::Relaxed);
        let net = NET.get_or_init(Net::take).net;
        let ip = Ipv4Addr::new(127, net, place, 1);
        self.start_at(name, ip);
    }

    fn start_at(&self, name: &str, ip: Ipv4Addr) {
        let settings = self.world.settings(name, ip, [7_801, 7_802, 7_803, 7_810]);
        let settings = Settings::decode(settings.to_string().as_bytes()).expect("settings");
        let executor = Rc::new(LocalExecutor::new());
        let node = Node::open(settings, Rc::clone(&executor));
        let serving = node::serve(Rc::clone(&node), None);
        executor
            .spawn(async move {
                serving.await.expect("addresses are free");
            })
            .detach();
        let door = SocketAddr::from((ip, 7_801));
        let ready = SocketAddr::from((ip, 7_802));
        self.nodes.borrow_mut().push(Running { node, door, ready, executor });
    }

    pub fn door(&self, place: usize) -> SocketAddr {
        self.nodes.borrow()[place].door
    }

    /// Kills a node.
    pub fn kill(&self, place: usize) {
        let running = self.nodes.borrow_mut().remove(place);
        drop(running);
    }

    pub async fn call(&self, place: usize, request: Request) -> Response {
        let request = request.with_header("host", "site.example");
        http::call(self.door(place), &request, Limits::default(), TIMEOUT)
            .await
            .unwrap_or_else(|error| Response::new(0).with_body(error.to_string()))
    }

    pub async fn submit(&self, place: usize, job: &str, body: &Value) -> Response {
        self.world.ledger.borrow_mut().sent.entry(job.to_owned()).or_insert_with(|| body.clone());
        let request = Request::new("POST", format!("/oven/{job}"));
        let request = request.with_header("content-type", "application/json");
        self.call(place, request.with_body(body.to_string())).await
    }

    pub async fn state(&self, place: usize, job: &str) -> String {
        let response = self.call(place, Request::new("GET", format!("/oven/{job}"))).await;
        let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        body["state"].as_str().map_or_else(|| response.status.to_string(), str::to_owned)
    }

    /// Waits until all is ready to take jobs.
    pub async fn ready(&self) {
        let count = self.nodes.borrow().len();
        for place in 0..count {
            self.until(async || {
                let asked = self.nodes.borrow()[place].ready;
                let request = Request::new("GET", "/readyz").with_header("host", "ready");
                let answer = http::call(asked, &request, Limits::default(), TIMEOUT).await;
                answer.is_ok_and(|answer| answer.status == 200)
            })
            .await;
        }
    }

    /// Waits until something holds.
    pub async fn until(&self, holds: impl AsyncFn() -> bool) {
        for _ in 0..LOOKS {
            if holds().await {
                return;
            }
            Timer::after(LOOK).await;
        }
        panic!("it did not come to hold");
    }

    pub async fn until_state(&self, place: usize, job: &str, state: &str) {
        self.until(async || self.state(place, job).await == state).await;
    }

    pub fn check(&self) {
        let ledger = self.world.ledger.borrow();
        assert!(ledger.broken.is_empty(), "{:#?}", ledger.broken);
    }
}

/// A job of one step of `count` tasks, and one of a task after it.
pub fn job(count: u64) -> Value {
    json!({
        "spec": "ladoo",
        "phases": [
            { "count": count, "cpu": 1_000, "memMb": 100, "estimateMs": 100 },
            { "count": 1, "cpu": 1_000, "memMb": 100, "estimateMs": 100, "after": [0] },
        ],
    })
}

/// A job of one step that runs until it is cancelled.
pub fn lasting(count: u64) -> Value {
    let step = json!({ "count": count, "cpu": 1_000, "memMb": 100, "estimateMs": 100, "longRunning": true });
    json!({ "spec": "barfi", "phases": [step] })
}

/// The name of a job.
pub fn name(number: u64) -> String {
    format!("{number:016x}")
}
