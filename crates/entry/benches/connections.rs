//! Memory used by idle and busy callers, requests lost on silent connections (which stay open but
//! carry no more data), and processor time spent on malformed requests.

mod rig;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use http::Connection;
use http::Limits;
use http::Stream;
use rig::child::Proxy;
use rig::load;
use rig::site;
use standin::caller::Balancer;
use standin::caller::Callers;
use standin::caller::Phase;
use standin::caller::Settings;
use standin::caller::Told;
use standin::upstream;
use standin::upstream::Upstream;

/// Idle connections from callers.
const IDLE: usize = 2_000;
/// Connections from callers that send requests.
const BUSY: usize = 500;
/// Messages sent of each kind.
const MESSAGES: usize = 2_000;

fn main() {
    match rig::child::role() {
        Some((_, upstreams)) => site::run_entry(&upstreams, "info"),
        None => measure(),
    }
}

fn measure() {
    let executor = site::executor(6);
    let settings = upstream::Settings { work_ms: 20, ..upstream::Settings::default() };
    let upstreams = site::upstreams(&executor, 10, settings);
    let addresses: Vec<_> = upstreams.iter().map(Upstream::address).collect();
    async_io::block_on(async {
        measure_memory(&executor, &addresses).await;
        measure_silence(&executor, &upstreams, &addresses).await;
        measure_malformed(&addresses).await;
    });
}

async fn measure_memory(executor: &Arc<Executor<'static>>, addresses: &[SocketAddr]) {
    let entry = Proxy::spawn("entry", addresses);
    load::closed(executor, entry.address, 16, Duration::from_secs(1)).await;
    let megabytes = |bytes: u64| bytes as f64 / f64::from(1 << 20);
    let at_rest = entry.memory();
    let mut idle = Vec::new();
    for number in 0..IDLE {
        let opened = Connection::open(entry.address, Limits::default()).await;
        let mut connection = opened.expect("the entry accepts connections");
        let request = load::request(&format!("idle-{number}"));
        connection.send(&request).await.expect("the entry answers");
        idle.push(connection);
    }
    let with_idle = entry.memory();
    load::closed(executor, entry.address, BUSY, Duration::from_secs(3)).await;
    let with_busy = entry.memory();
    println!("memory at rest: {:.1} MB", megabytes(at_rest));
    println!("memory with {IDLE} idle callers: {:.1} MB", megabytes(with_idle));
    println!("memory with {IDLE} idle and {BUSY} busy callers: {:.1} MB", megabytes(with_busy));
    println!("for each idle caller: {} bytes", (with_idle - at_rest) / IDLE as u64);
}

/// Measures how many requests are lost when all connections of one upstream go silent under load.
async fn measure_silence(
    executor: &Arc<Executor<'static>>,
    upstreams: &[Upstream],
    addresses: &[SocketAddr],
) {
    let entry = Proxy::spawn("entry", addresses);
    let settings = Settings {
        name: "silence".to_owned(),
        mean: 500.0,
        phases: vec![Phase::mean(Duration::from_secs(4))],
        target: site::TARGET.to_owned(),
        timeout: Duration::from_secs(1),
        ..Settings::default()
    };
    let callers = Callers::new(executor, &Balancer::new([entry.address]), settings);
    let load = executor.spawn(async move { callers.run().await });
    Timer::after(Duration::from_secs(1)).await;
    let in_flight = upstreams[0].busy();
    let open = upstreams[0].peak_connections();
    upstreams[0].silence();
    let results = load.await;
    let lost = results.told.len() - results.count(Told::Ran);
    println!("{open} connections of one upstream went silent with {in_flight} requests on them");
    let lost = lost as f64;
    rig::print_result(
        "requests lost on silent connections",
        lost,
        lost <= f64::from(open),
        "<= connections",
    );
}

/// Measures the processor time of malformed requests against that of a good one, each on a new
/// connection.
async fn measure_malformed(addresses: &[SocketAddr]) {
    let entry = Proxy::spawn("entry", addresses);
    let head = "POST /granite/book/seats HTTP/1.1\r\nhost: book\r\nconnection: close\r\n";
    let cases = [
        ("good", format!("{head}content-length: 3\r\n\r\nabc")),
        ("no host", "GET / HTTP/1.1\r\n\r\n".to_owned()),
        ("differing lengths", format!("{head}content-length: 3\r\ncontent-length: 4\r\n\r\nabc")),
        ("head too large", format!("{head}x: {}\r\n\r\n", "y".repeat(9_000))),
        ("body too large", format!("{head}content-length: 99999999\r\n\r\n")),
        ("not HTTP", "\u{16}\u{3}\u{1}\r\n\r\n".to_owned()),
    ];
    let mut good = 0.0;
    for (name, message) in cases {
        let before = entry.cpu();
        for _ in 0..MESSAGES {
            let mut stream =
                Stream::open(entry.address).await.expect("the entry accepts connections");
            stream.write_all(message.as_bytes()).await.expect("the entry reads the message");
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer).await.expect("the entry answers");
            assert!(answer.starts_with(b"HTTP/1.1 "), "{name}");
        }
        let cost = (entry.cpu() - before) * 1e6 / MESSAGES as f64;
        if name == "good" {
            good = cost;
            println!("a good message: {cost:.1} us of processor time");
        } else {
            rig::print_result(&format!("cost of {name} / good"), cost / good, cost <= good, "<= 1");
        }
    }
}
