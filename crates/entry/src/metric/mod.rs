//! Metrics of the request path, collected by opentelemetry.
//!
//! * [`Metrics`]: the instruments.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use ::metric::Reader;
use ::metric::text;
use fleet::key::Key;
use fleet::time::Time;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;

use crate::key;
use crate::state::State;
use crate::upstream::Transition;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS: [f64; 14] =
    [0.000_3, 0.001, 0.001_5, 0.003, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

/// The instruments of the request path.
#[derive(Debug)]
pub struct Metrics {
    reader: Reader,
    _provider: SdkMeterProvider,
    /// Labels of the routes by index of their keys.
    routes: Mutex<BTreeMap<u32, KeyValue>>,
    duration: Histogram<f64>,
    retries: Counter<u64>,
    ejections: Counter<u64>,
    queue_length: Gauge<u64>,
    in_flight: Gauge<u64>,
    slots: Gauge<u64>,
    upstreams_out: Gauge<u64>,
    revision: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments.
    pub fn new() -> Self {
        let reader = Reader::default();
        let provider = SdkMeterProvider::builder().with_reader(reader.clone()).build();
        let meter = provider.meter("knapweedsail");
        let duration = meter
            .f64_histogram("request_seconds")
            .with_description("Time from a whole request to its answer")
            .with_boundaries(LATENCY_BOUNDS.to_vec());
        Self {
            reader,
            routes: Mutex::default(),
            duration: duration.build(),
            retries: meter.u64_counter("retries").build(),
            ejections: meter.u64_counter("ejections").build(),
            queue_length: meter.u64_gauge("queue_length").build(),
            in_flight: meter.u64_gauge("requests_in_flight").build(),
            slots: meter.u64_gauge("slots").build(),
            upstreams_out: meter.u64_gauge("upstreams_out").build(),
            revision: meter.u64_gauge("revision").build(),
            _provider: provider,
        }
    }

    /// Sets the revision in force and the names of the routes, which label all later values.
    pub(crate) fn set_routes(&self, state: &State) {
        let names = state
            .services
            .iter()
            .map(|(key, service)| (key.index(), KeyValue::new("route", service.route.to_string())));
        *self.routes.lock().expect("no holder panics") = names.collect();
        self.revision.record(state.revision.0, &[]);
    }

    /// Records a request that has ended, with its total time.
    pub(crate) fn record_request(
        &self,
        route: Option<key::Route>,
        outcome: &'static str,
        took: Duration,
    ) {
        let labels = [self.route_label(route), KeyValue::new("outcome", outcome)];
        self.duration.record(took.as_secs_f64(), &labels);
    }

    /// Records a retry that was needed, and whether the budget allowed it.
    pub(crate) fn record_retry(&self, allowed: bool) {
        self.retries.add(1, &[KeyValue::new("allowed", allowed)]);
    }

    /// Counts ejections of an upstream.
    pub(crate) fn record_transition(&self, instance: &str, transition: Transition) {
        if let Transition::Ejected(_) = transition {
            self.ejections.add(1, &[KeyValue::new("instance", instance.to_owned())]);
        }
    }

    /// Records the gauges: queue lengths, requests in flight, slots and upstreams out of service.
    pub(crate) fn observe(&self, state: &State, now: Time) {
        for (key, service) in state.services.iter() {
            let label = [self.route_label(Some(key))];
            let upstreams = || service.tiers.iter().filter_map(|key| state.upstreams.get(key));
            let slots: u32 = upstreams().map(|upstream| upstream.slots).sum();
            let out = upstreams().filter(|upstream| !upstream.health.allows(now, 0)).count();
            self.queue_length.record(service.queue.len() as u64, &label);
            self.in_flight.record(service.in_flight.into(), &label);
            self.slots.record(slots.into(), &label);
            self.upstreams_out.record(out as u64, &label);
        }
    }

    /// Renders all metrics as text, one `name{labels} value` per line.
    pub fn render(&self) -> String {
        text::render(&self.reader.collect())
    }

    /// The label of a route, or `none` for requests without one.
    fn route_label(&self, route: Option<key::Route>) -> KeyValue {
        let routes = self.routes.lock().expect("no holder panics");
        let known = route.and_then(|route| routes.get(&route.index()).cloned());
        known.unwrap_or_else(|| KeyValue::new("route", "none"))
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
