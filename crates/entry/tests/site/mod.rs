//! A small deployment on loopback: upstreams, an entry and a table service in memory.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use entry::Entry;
use fleet::config::Repeat;
use fleet::config::Revision;
use fleet::config::Service;
use fleet::view;
use fleet::view::Availability;
use fleet::view::Route;
use fleet::view::Target;
use fleet::view::View;
use http::Limits;
use http::Request;
use http::Response;
use standin::platform::Memory;
use standin::upstream;
use standin::upstream::Ledger;
use standin::upstream::Upstream;

pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test to its end on a new executor.
pub(crate) fn run<F: Future<Output = ()>>(test: impl FnOnce(Arc<Executor<'static>>) -> F) {
    let executor = Arc::new(Executor::new());
    async_io::block_on(executor.run(test(Arc::clone(&executor))));
}

/// A loopback address that no other test uses, in this process or another. Otherwise the port of an
/// upstream that crashed could go to an upstream of another test, which would then run requests of
/// this one.
fn own_address() -> SocketAddr {
    static SITES: AtomicU8 = AtomicU8::new(2);
    let [.., high, low] = std::process::id().to_be_bytes();
    let site = SITES.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, high, low, site], 0))
}

/// Number and settings of a site's upstreams, and its service.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) upstreams: usize,
    pub(crate) upstream: upstream::Settings,
    pub(crate) service: Service,
}

impl Default for Plan {
    fn default() -> Self {
        let upstream = upstream::Settings { work_ms: 1, ..upstream::Settings::default() };
        Self { upstreams: 3, upstream, service: Service::default() }
    }
}

impl Plan {
    pub(crate) fn repeat(repeat: Repeat) -> Self {
        let service = Service { repeat, timeout_ms: 2_000, ..Service::default() };
        Self { service, ..Self::default() }
    }
}

/// A small deployment on loopback.
pub(crate) struct Site {
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) table: Memory,
    pub(crate) entry: Entry,
    pub(crate) view: View,
}

impl Site {
    pub(crate) fn new(executor: &Arc<Executor<'static>>, plan: Plan) -> Self {
        let address = own_address();
        let upstreams: Vec<_> = (0..plan.upstreams)
            .map(|_| {
                Upstream::bind(executor, address, plan.upstream)
                    .expect("a loopback address can be bound")
            })
            .collect();
        let table = Memory::new();
        let view = view(&upstreams, &plan.service);
        let entry = entry("entry-1", &table, view.clone());
        Self { executor: Arc::clone(executor), upstreams, table, entry, view }
    }

    /// Starts another entry with the same upstreams and table.
    pub(crate) fn another(&self, name: &str) -> Entry {
        entry(name, &self.table.client(name), self.view.clone())
    }

    /// Changes the target in the view and sends the view to the entry.
    pub(crate) fn change(&mut self, change: impl FnOnce(&mut Target)) {
        let target = self.view.targets.get_mut(&route()).expect("the route exists");
        change(target);
        self.view.serial += 1;
        self.entry.update(self.view.clone());
    }

    pub(crate) async fn send(&self, request: &Request) -> Response {
        send(&self.entry, request).await
    }

    pub(crate) fn ledgers(&self) -> Vec<Ledger> {
        self.upstreams.iter().map(Upstream::ledger).collect()
    }

    /// How often upstreams ran the request with this id.
    pub(crate) fn runs(&self, id: &str) -> u32 {
        self.ledgers().iter().map(|ledger| ledger.runs(id)).sum()
    }

    /// How often upstreams ran a request with this idempotency key.
    pub(crate) fn key_runs(&self, key: &str) -> u32 {
        self.ledgers().iter().map(|ledger| ledger.key_runs(key)).sum()
    }

    /// How many requests upstreams ran in total.
    pub(crate) fn total(&self) -> u32 {
        self.ledgers().iter().map(Ledger::total).sum()
    }

    /// Sets the faults of all upstreams.
    pub(crate) fn fault(&self, faults: upstream::Faults) {
        for upstream in &self.upstreams {
            upstream.set(faults);
        }
    }
}

pub(crate) fn route() -> Route {
    Route { organisation: "granite".to_owned(), service: "book".to_owned() }
}

pub(crate) fn view(upstreams: &[Upstream], service: &Service) -> View {
    let upstreams = upstreams.iter().enumerate().map(|(number, upstream)| view::Upstream {
        instance: format!("instance-{number}"),
        address: upstream.address(),
        data_centre: "here".to_owned(),
        availability: Availability::Open,
        pool: "book".to_owned(),
        used_elsewhere: 0,
    });
    let target =
        Target { service: service.clone(), upstreams: upstreams.collect(), ..Target::default() };
    View {
        revision: Revision(1),
        serial: 1,
        entries: 1,
        targets: BTreeMap::from([(route(), target)]),
    }
}

pub(crate) fn entry(name: &str, table: &Memory, view: View) -> Entry {
    let settings = entry::Settings {
        name: name.to_owned(),
        data_centre: "here".to_owned(),
        limits: Limits { message: Duration::from_millis(500), ..Limits::default() },
        seed: 1,
        ..entry::Settings::default()
    };
    Entry::bind(settings, table.clone(), view).expect("a loopback address can be bound")
}

pub(crate) async fn send(entry: &Entry, request: &Request) -> Response {
    let answer = http::call(entry.address(), request, Limits::default(), TIMEOUT).await;
    answer.expect("the entry answers")
}

pub(crate) fn request(id: &str) -> Request {
    Request::new("POST", "/granite/book/seats")
        .with_header("host", "book")
        .with_header("knapweedsail-request-id", id)
        .with_body(format!("seat for {id}"))
}

pub(crate) fn keyed(id: &str, key: &str) -> Request {
    request(id).with_header("idempotency-key", key).with_body(format!("seat for {key}"))
}

/// Status, outcome header and error header of a response; missing headers are empty.
pub(crate) fn outcome(response: &Response) -> (u16, &str, &str) {
    let header = |name| response.headers.get(name).unwrap_or("");
    (response.status, header("knapweedsail-outcome"), header("knapweedsail-error"))
}

/// Waits until `condition` holds. Panics after 20 seconds, far longer than a passing test needs.
pub(crate) async fn until(mut condition: impl FnMut() -> bool) {
    for _ in 0..4_000 {
        if condition() {
            return;
        }
        Timer::after(Duration::from_millis(5)).await;
    }
    panic!("the condition did not hold within 20 seconds");
}

pub(crate) async fn pause(millis: u64) {
    Timer::after(Duration::from_millis(millis)).await;
}
