//! Metrics of a node, kept by OpenTelemetry and served as text.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::traffic::Count;
use http::Budget;
use http::Plain;
use http::Request;
use http::Response;
use metric::Reader;
use metric::text;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use scheduler::job::State;

use crate::Node;
use crate::budget::Activity;
use crate::listener;
use crate::listener::Listener;

/// Bounds of the latency buckets, in seconds.
const BOUNDS: [f64; 10] = [0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0];

/// Number of tenants whose use of their caps is shown: their names would make the number of series unbounded.
const MAX_TENANTS: i64 = 5;

/// Counters and latency histograms of a node.
#[derive(Debug)]
pub struct Metrics {
    reader: Reader,
    _provider: SdkMeterProvider,
    requests: Histogram<f64>,
    writes: Histogram<f64>,
    commands: Histogram<f64>,
    heartbeats: Counter<u64>,
    dropped_log_lines: Counter<u64>,
    busy: Counter<f64>,
    calls: Counter<u64>,
    bytes: Counter<u64>,
    jobs: Gauge<u64>,
    longest_wait: Gauge<f64>,
    suspended: Gauge<u64>,
    slow: Gauge<u64>,
    taken_back: Gauge<u64>,
    beyond_rates: Gauge<u64>,
    crashes: Gauge<u64>,
    suspects: Gauge<u64>,
    separated: Gauge<u64>,
    held_back_tenants: Gauge<u64>,
    cap_used: Gauge<f64>,
    leading: Gauge<u64>,
    refused_keys: Counter<u64>,
    caller_connections: Gauge<u64>,
    caller_bytes: Gauge<u64>,
    evicted_callers: Gauge<u64>,
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
            commands: latency("node_order_seconds"),
            heartbeats: meter.u64_counter("node_looks").build(),
            dropped_log_lines: meter.u64_counter("node_log_lines_left_out").build(),
            busy: meter.f64_counter("node_busy_seconds").build(),
            calls: meter.u64_counter("node_calls").build(),
            bytes: meter.u64_counter("node_bytes").build(),
            jobs: meter.u64_gauge("node_jobs").build(),
            longest_wait: meter.f64_gauge("node_longest_wait_seconds").build(),
            suspended: meter.u64_gauge("node_suspended_instances").build(),
            slow: meter.u64_gauge("node_slow_instances").build(),
            taken_back: meter.u64_gauge("node_taken_back_tasks").build(),
            beyond_rates: meter.u64_gauge("node_jobs_beyond_rate").build(),
            crashes: meter.u64_gauge("node_instance_crashes").build(),
            suspects: meter.u64_gauge("node_suspect_tasks").build(),
            separated: meter.u64_gauge("node_separated_images").build(),
            held_back_tenants: meter.u64_gauge("node_held_back_tenants").build(),
            cap_used: meter.f64_gauge("node_cap_used").build(),
            leading: meter.u64_gauge("node_in_office").build(),
            refused_keys: meter.u64_counter("node_refused_keys").build(),
            caller_connections: meter.u64_gauge("node_caller_connections").build(),
            caller_bytes: meter.u64_gauge("node_caller_bytes").build(),
            evicted_callers: meter.u64_gauge("node_evicted_callers").build(),
            reader,
            _provider: provider,
        }
    }
}

impl Metrics {
    /// Records the answer to a caller's request: its kind, HTTP status and latency.
    pub fn request(&self, kind: &'static str, status: u16, took: Duration) {
        let labels = [KeyValue::new("ask", kind), KeyValue::new("status", i64::from(status))];
        self.requests.record(took.as_secs_f64(), &labels);
    }

    /// Counts a call that was refused by its key, here or on behalf of a frontend.
    pub fn refused_key(&self, reason: &str) {
        self.refused_keys.add(1, &[KeyValue::new("reason", reason.to_owned())]);
    }

    /// Records the latency of a completed write to the store.
    pub fn write(&self, took: Duration) {
        self.writes.record(took.as_secs_f64(), &[]);
    }

    /// Records the outcome and latency of a command to an instance.
    pub fn command(&self, outcome: String, took: Duration) {
        self.commands.record(took.as_secs_f64(), &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a heartbeat of an instance, and whether the instance answered it.
    pub fn heartbeat(&self, answered: bool) {
        self.heartbeats.add(1, &[KeyValue::new("answered", answered)]);
    }

    /// Counts log lines that were dropped because their reader lagged.
    pub fn dropped_lines(&self, lines: u64) {
        self.dropped_log_lines.add(lines, &[]);
    }

    /// Counts time that this process has spent on an activity.
    pub fn busy(&self, activity: String, spent: Duration) {
        self.busy.add(spent.as_secs_f64(), &[KeyValue::new("activity", activity)]);
    }

    /// Counts calls of a kind and their bytes.
    pub fn traffic(&self, kind: &str, count: Count) {
        let kind = KeyValue::new("kind", kind.to_owned());
        self.calls.add(count.calls, std::slice::from_ref(&kind));
        for (direction, bytes) in [("sent", count.sent), ("received", count.received)] {
            self.bytes.add(bytes, &[kind.clone(), KeyValue::new("direction", direction)]);
        }
    }

    /// Formats all metrics as text, after reading the gauges from `node`.
    fn render(&self, node: &Node) -> String {
        let term = node.term();
        self.leading.record(u64::from(term.is_some()), &[]);
        self.caller_connections.record(node.callers.connections() as u64, &[]);
        self.caller_bytes.record(node.callers.held() as u64, &[]);
        self.evicted_callers.record(node.callers.evicted(), &[]);
        for state in [State::Active, State::Completed, State::Failed, State::Cancelled] {
            let count = term.as_ref().map_or(0, |term| term.count(state));
            self.jobs.record(count as u64, &[KeyValue::new("state", state.to_string())]);
        }
        let waits = term.as_ref().map(|term| term.longest_waits()).unwrap_or_default();
        for (kind, wait) in [("long-running", waits.long_running), ("short", waits.short)] {
            self.longest_wait.record(wait.as_secs_f64(), &[KeyValue::new("kind", kind)]);
        }
        let suspended = term.as_ref().map_or(0, |term| term.suspended_instances());
        self.suspended.record(suspended as u64, &[]);
        let slow = term.as_ref().map_or(0, |term| term.slow_instances());
        self.slow.record(slow as u64, &[]);
        self.taken_back.record(term.as_ref().map_or(0, |term| term.taken_back()), &[]);
        let beyond = term.as_ref().map(|term| term.beyond_rates()).unwrap_or_default();
        for (outcome, count) in [("accepted", beyond.accepted), ("rejected", beyond.rejected)] {
            self.beyond_rates.record(count, &[KeyValue::new("outcome", outcome)]);
        }
        let (crashes, suspects) = term.as_ref().map(|term| term.crashes()).unwrap_or_default();
        self.crashes.record(crashes, &[]);
        self.suspects.record(suspects as u64, &[]);
        let separated = term.as_ref().map_or(0, |term| term.separated_images());
        self.separated.record(separated as u64, &[]);
        let (held_back, shares) = term.as_ref().map(|term| term.quotas()).unwrap_or_default();
        self.held_back_tenants.record(held_back as u64, &[]);
        let shares = shares.into_iter().chain(std::iter::repeat(0.0));
        for (place, share) in (1..=MAX_TENANTS).zip(shares) {
            self.cap_used.record(share, &[KeyValue::new("place", place)]);
        }
        text::render(&self.reader.collect())
    }
}

/// Serves metrics as text at `address`.
///
/// # Errors
///
/// `address` can't be bound.
pub async fn run(node: Rc<Node>, address: SocketAddr) -> io::Result<()> {
    let budget = Budget::open(listener::PROBES);
    let listener = Listener::bind(address, budget, "metrics")?.bounded();
    loop {
        let (stream, member) = listener.accept().await;
        let owner = Rc::clone(&node);
        node.spawn_contained(Activity::Other, async move {
            let mut respond = Plain(|request: Request| {
                let found = request.method == "GET" && request.target == "/metrics";
                let response = if found {
                    Response::new(200)
                        .with_header("content-type", "text/plain")
                        .with_body(owner.metrics.render(&owner))
                } else {
                    Response::new(404)
                };
                async move { response }
            });
            let limits = &listener::PROBE_LIMITS;
            // A broken connection affects only its own client.
            let _ = http::serve_budgeted(stream, member, limits, &mut respond).await;
        });
    }
}
