//! Prints what the leader spends on submissions that another node forwards: in refusals beside a
//! backlog, in acceptances, and in acceptances that wait for the store.
//!
//! Usage: `submissions [KIND] [JOBS] [CALLS] [RATE] > /dev/null`, with the kind `refusals`, `acceptances`
//! or `slow-store`, the backlog in jobs of eight tasks, the number of calls, and calls a second. Figures go
//! to standard error.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use adapter::Settings;
use async_executor::LocalExecutor;
use async_io::Timer;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::Limits;
use http::Request;
use node::Node;
use node::budget;
use node::budget::Activity;
use node::clock;
use node::rpc::message::Call;
use node::rpc::message::Reply;
use node::rpc::message::Request as Ask;
use node::rpc::message::Response as Tell;
use node::rpc::message::Submit;
use prost::Message;
use serde_json::Value;
use serde_json::json;
use sitestand::Platform;
use sitestand::Subnet;

/// Rows of one transaction.
const BATCH: usize = 100;

/// A job of four steps of two tasks.
fn spec(long_running: bool) -> Value {
    let step = |after: Option<u32>| {
        let mut step = json!({ "count": 2, "cpu": 1_000, "memory": 100, "estimate_ms": 800 });
        if let Some(after) = after {
            step["after"] = json!([after]);
        }
        step
    };
    if long_running {
        let step = json!({ "count": 8, "cpu": 64_000, "memory": 100, "estimate_ms": 800, "long_running": true });
        return json!({ "payload": "barfi", "steps": [step] });
    }
    let steps = [step(None), step(Some(0)), step(Some(1)), step(Some(2))];
    json!({ "payload": "ladoo".repeat(40), "steps": steps })
}

/// Puts a backlog into the store.
async fn fill(store: SocketAddr, jobs: usize) {
    let numbers: Vec<usize> = (0..jobs).collect();
    for numbers in numbers.chunks(BATCH) {
        let puts = numbers.iter().flat_map(|number| {
            let row = |table: &str, value: &Value| {
                let value = STANDARD.encode(value.to_string());
                json!({ "table": table, "part": "main", "key": format!("{number:016x}"), "value": value })
            };
            let body = json!({ "queue": "oven", "service": "oven", "submitted_ms": 0, "spec": spec(false) });
            let progress = json!({ "state": "Active", "queue": "oven" });
            [row("sail_bodies", &body), row("sail_progress", &progress)]
        });
        let call = json!({ "expectedRev": [], "puts": puts.collect::<Vec<_>>(), "remove": [] });
        let request = Request::new("POST", "/rows-tx").with_header("host", "store");
        let request = request.with_body(call.to_string());
        let limits = Limits { body: 4 << 20, ..Limits::default() };
        let answer = http::call(store, &request, limits, Duration::from_secs(10)).await;
        assert_eq!(answer.expect("the store answers").status, 200);
    }
}

/// Sends calls at a rate, and counts the replies by kind.
fn send(address: SocketAddr, first: u64, count: u64, rate: f64, spec: &Value) -> [u64; 3] {
    let stream = TcpStream::connect(address).expect("the node listens");
    stream.set_nodelay(true).expect("set");
    let mut reader = stream.try_clone().expect("cloned");
    let reading = std::thread::spawn(move || {
        let mut kinds = [0; 3];
        for _ in 0..count {
            let mut length = [0; 4];
            reader.read_exact(&mut length).expect("a reply");
            let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
            reader.read_exact(&mut bytes).expect("a reply");
            match Reply::decode(&*bytes).expect("a reply").tell {
                Some(Tell::Accepted(_)) => kinds[0] += 1,
                Some(Tell::Refused(_)) => kinds[1] += 1,
                _ => kinds[2] += 1,
            }
        }
        kinds
    });
    let began = clock::now();
    let mut writer = stream;
    for id in 1..=count {
        let due = began + Duration::from_secs_f64(id as f64 / rate);
        std::thread::sleep(due.since(clock::now()));
        let spec = spec.to_string().into_bytes();
        let job = format!("{:016x}", first + id);
        let submit = Submit { job, queue: "oven".to_owned(), spec, tenant: String::new() };
        let call = Call { id, patience_ms: 3_000, ask: Some(Ask::Submit(submit)), caller: None };
        let bytes = call.encode_to_vec();
        writer.write_all(&(bytes.len() as u32).to_be_bytes()).expect("sent");
        writer.write_all(&bytes).expect("sent");
    }
    reading.join().expect("read")
}

fn spent(activity: Activity) -> u64 {
    budget::spent()[activity as usize]
}

async fn measure(what: &str, address: SocketAddr, first: u64, count: u64, rate: f64, spec: Value) {
    let activities =
        [Activity::Rpc, Activity::Write, Activity::Tick, Activity::Place, Activity::Plan];
    let before = activities.map(spent);
    let (done, waiting) = async_channel::bounded(1);
    std::thread::spawn(move || {
        let _ = done.send_blocking(send(address, first, count, rate, &spec));
    });
    let [accepted, refused, other] = waiting.recv().await.expect("sent");
    let spent = activities.map(spent);
    eprintln!("{what}: accepted {accepted}, refused {refused}, other {other}");
    for ((activity, before), after) in activities.iter().zip(before).zip(spent) {
        let us = after - before;
        eprintln!("  {activity}: {us} us, {:.1} us a call", us as f64 / count as f64);
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let kind = arguments.next().unwrap_or_else(|| "refusals".to_owned());
    let mut number =
        |default: u64| arguments.next().and_then(|text| text.parse().ok()).unwrap_or(default);
    let (jobs, calls, rate) = (number(3_000), number(3_000), number(700) as f64);
    node::log::open(tracing::Level::INFO);
    let executor = Rc::new(LocalExecutor::new());
    let test = Rc::clone(&executor);
    async_io::block_on(executor.run(async move {
        let platform = Platform::spawn(Rc::clone(&test), clock::now, &[("oven", 4)]);
        fill(platform.store_address, jobs as usize).await;
        let net = Subnet::reserve();
        let ip = Ipv4Addr::new(127, net.octet, 1, 1);
        let settings = platform.settings("one", ip, [7_801, 7_802, 7_803, 7_810]);
        let settings = Settings::decode(settings.to_string().as_bytes()).expect("settings");
        let address = settings.rpc;
        let node = Node::open(settings, Rc::clone(&test));
        let serving = node::serve(Rc::clone(&node), None);
        test.spawn(async move { serving.await.expect("addresses are free") }).detach();
        let logging = node::log::run(Rc::clone(&node));
        test.spawn(logging).detach();
        while !node.term().is_some_and(|term| term.is_restored()) {
            Timer::after(Duration::from_millis(10)).await;
        }
        Timer::after(Duration::from_millis(2_000)).await;
        let unplaced = node.term().map(|term| term.queues().unplaced);
        eprintln!("unplaced: {unplaced:?}");
        if kind == "slow-store" {
            platform.store.transaction_latency.set(Duration::from_millis(400));
            Timer::after(Duration::from_millis(1_000)).await;
        }
        measure(&kind, address, 1 << 32, calls, rate, spec(kind != "refusals")).await;
    }));
}
