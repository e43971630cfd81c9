//! Counters and latency histograms of a node, by opentelemetry.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use http::Limits;
use http::Request;
use http::Response;
use http::Stream;
use metric::Reader;
use metric::text;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use scheduler::job::State;
use tracing::warn;

use crate::Node;

/// Bounds of the latency buckets, in seconds.
const BOUNDS: [f64; 10] = [0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0];

/// Pause after a connection could not be taken.
const PAUSE: Duration = Duration::from_millis(100);

/// Counters and latency histograms of a node.
#[derive(Debug)]
pub struct Metrics {
    reader: Reader,
    _provider: SdkMeterProvider,
    requests: Histogram<f64>,
    writes: Histogram<f64>,
    orders: Histogram<f64>,
    looks: Counter<u64>,
    log_left_out: Counter<u64>,
    jobs: Gauge<u64>,
    reigns: Gauge<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let reader = Reader::default();
        let provider = SdkMeterProvider::builder().with_reader(reader.clone()).build();
        let meter = provider.meter("knapweedsail");
        let latency =
            |name: &'static str| meter.f64_histogram(name).with_boundaries(BOUNDS.to_vec()).build();
        Self {
            requests: latency("node_request_seconds"),
            writes: latency("node_store_write_seconds"),
            orders: latency("node_order_seconds"),
            looks: meter.u64_counter("node_looks").build(),
            log_left_out: meter.u64_counter("node_log_lines_left_out").build(),
            jobs: meter.u64_gauge("node_jobs").build(),
            reigns: meter.u64_gauge("node_in_office").build(),
            reader,
            _provider: provider,
        }
    }
}

impl Metrics {
    /// A caller's request was answered.
    pub fn request(&self, ask: &'static str, status: u16, took: Duration) {
        let labels = [KeyValue::new("ask", ask), KeyValue::new("status", i64::from(status))];
        self.requests.record(took.as_secs_f64(), &labels);
    }

    /// The store did a write.
    pub fn write(&self, took: Duration) {
        self.writes.record(took.as_secs_f64(), &[]);
    }

    /// An instance answered an order, or did not.
    pub fn command(&self, outcome: String, took: Duration) {
        self.orders.record(took.as_secs_f64(), &[KeyValue::new("outcome", outcome)]);
    }

    /// An instance was looked at.
    pub fn heartbeat(&self, answered: bool) {
        self.looks.add(1, &[KeyValue::new("answered", answered)]);
    }

    /// Log lines were left out, since their reader lagged.
    pub fn left_out(&self, lines: u64) {
        self.log_left_out.add(lines, &[]);
    }

    /// All metrics as text.
    fn render(&self, node: &Node) -> String {
        let reign = node.term();
        self.reigns.record(u64::from(reign.is_some()), &[]);
        for state in [State::Active, State::Completed, State::Failed, State::Cancelled] {
            let count = reign.as_ref().map_or(0, |reign| reign.count(state));
            self.jobs.record(count as u64, &[KeyValue::new("state", state.to_string())]);
        }
        text::render(&self.reader.collect())
    }
}

/// Serves metrics as text to whoever asks at `address`.
pub async fn run(node: Rc<Node>, address: SocketAddr) -> io::Result<()> {
    let listener = Async::<TcpListener>::bind(address)?;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(event = "accept", from = "metrics", %error);
                Timer::after(PAUSE).await;
                continue;
            }
        };
        let Ok(stream) = Stream::new(stream) else { continue };
        let asked = Rc::clone(&node);
        node.spawn(async move {
            let answer = |request: Request| {
                let known = request.method == "GET" && request.target == "/metrics";
                let response = if known {
                    Response::new(200)
                        .with_header("content-type", "text/plain")
                        .with_body(asked.metrics.render(&asked))
                } else {
                    Response::new(404)
                };
                async move { response }
            };
            // A broken connection concerns only its caller.
            let _ = http::serve(stream, &Limits::default(), answer).await;
        });
    }
}
