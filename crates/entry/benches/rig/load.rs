//! Load generators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use hdrhistogram::Histogram;
use http::Connection;
use http::Limits;
use http::Request;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::clock;
use super::site::TARGET;

/// Requests and latencies that a load generator measured.
pub(crate) struct Measurement {
    pub(crate) requests: u64,
    pub(crate) failed: u64,
    pub(crate) took: Duration,
    /// Latencies in microseconds.
    pub(crate) latency: Histogram<u64>,
}

impl Default for Measurement {
    fn default() -> Self {
        let latency = Histogram::new(3).expect("three significant digits are supported");
        Self { requests: 0, failed: 0, took: Duration::ZERO, latency }
    }
}

impl Measurement {
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.failed += other.failed;
        self.latency.add(&other.latency).expect("the histograms resize themselves");
    }

    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

pub(crate) fn request(id: &str) -> Request {
    Request::new("POST", TARGET)
        .with_header("host", "book")
        .with_header("content-type", "application/json")
        .with_header("accept", "application/json")
        .with_header("user-agent", "bench")
        .with_header("knapweedsail-request-id", id)
        .with_body(vec![b'x'; 256])
}

/// Closed loop: each connection sends its next request once the last one is answered.
pub(crate) async fn closed(
    executor: &Arc<Executor<'static>>,
    address: SocketAddr,
    connections: usize,
    length: Duration,
) -> Measurement {
    let stop = Arc::new(AtomicBool::new(false));
    let start = clock();
    let tasks: Vec<_> = (0..connections)
        .map(|number| executor.spawn(send_in_loop(address, number, Arc::clone(&stop))))
        .collect();
    Timer::after(length).await;
    stop.store(true, Ordering::Release);
    let mut all = Measurement::default();
    for task in tasks {
        all.add(&task.await);
    }
    all.took = start.elapsed();
    all
}

async fn send_in_loop(address: SocketAddr, number: usize, stop: Arc<AtomicBool>) -> Measurement {
    let mut measured = Measurement::default();
    let mut connection =
        Connection::open(address, Limits::default()).await.expect("the proxy listens");
    let mut nth = 0;
    while !stop.load(Ordering::Acquire) {
        nth += 1;
        let request = request(&format!("c{number}-{nth}"));
        let start = clock();
        let answer = connection.send(&request).await;
        measured.requests += 1;
        measured.latency.saturating_record(start.elapsed().as_micros() as u64);
        if answer.is_err_and(|_| true) || connection.is_finished() {
            measured.failed += 1;
            connection =
                Connection::open(address, Limits::default()).await.expect("the proxy listens");
        }
    }
    measured
}

/// Open loop: sends requests at random intervals, about `rate` per second over all connections,
/// whether or not earlier ones failed. Each connection sends one request at a time.
pub(crate) async fn open(
    executor: &Arc<Executor<'static>>,
    address: SocketAddr,
    connections: usize,
    rate: f64,
    length: Duration,
) -> Measurement {
    let tasks: Vec<_> = (0..connections)
        .map(|number| {
            executor.spawn(send_at_rate(address, number, rate / connections as f64, length))
        })
        .collect();
    let mut all = Measurement::default();
    for task in tasks {
        all.add(&task.await);
    }
    all
}

async fn send_at_rate(
    address: SocketAddr,
    number: usize,
    rate: f64,
    length: Duration,
) -> Measurement {
    let mut random = ChaCha8Rng::seed_from_u64(number as u64);
    let mut measured = Measurement::default();
    let mut connection =
        Connection::open(address, Limits::default()).await.expect("the proxy listens");
    let end = clock() + length;
    let mut nth = 0;
    while clock() < end {
        let draw: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        Timer::after(Duration::from_secs_f64(-draw.ln() / rate)).await;
        nth += 1;
        let request = request(&format!("p{number}-{nth}"));
        let start = clock();
        let answer = connection.send(&request).await;
        measured.requests += 1;
        measured.latency.saturating_record(start.elapsed().as_micros() as u64);
        measured.failed += u64::from(answer.is_err());
    }
    measured
}
