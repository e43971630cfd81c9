//! Upstreams for the proxies, and the entry in a child process.

use std::collections::BTreeMap;
use std::io::BufWriter;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use async_executor::Executor;
use entry::Entry;
use entry::claim::Unavailable;
use fleet::config::Revision;
use fleet::config::Service;
use fleet::view::Availability;
use fleet::view::Route;
use fleet::view::Target;
use fleet::view::Upstream;
use fleet::view::View;
use standin::upstream;
use tracing_appender::non_blocking::NonBlocking;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use super::LOOPBACK;
use super::child;

/// Target of every request.
pub(crate) const TARGET: &str = "/granite/book/seats";

/// An executor that runs on `threads` threads of its own.
pub(crate) fn executor(threads: usize) -> Arc<Executor<'static>> {
    let executor = Arc::new(Executor::new());
    for _ in 0..threads {
        let executor = Arc::clone(&executor);
        std::thread::spawn(move || {
            async_io::block_on(executor.run(std::future::pending::<()>()));
        });
    }
    executor
}

/// Starts `count` upstreams.
pub(crate) fn upstreams(
    executor: &Arc<Executor<'static>>,
    count: usize,
    settings: upstream::Settings,
) -> Vec<upstream::Upstream> {
    let bind = |_| upstream::Upstream::bind(executor, LOOPBACK, settings);
    (0..count).map(bind).collect::<Result<_, _>>().expect("a loopback address can be bound")
}

/// A view with one service.
pub(crate) fn view(upstreams: &[SocketAddr], service: Service) -> View {
    let upstreams = upstreams.iter().enumerate().map(|(number, address)| Upstream {
        instance: format!("instance-{number}"),
        address: *address,
        data_centre: "here".to_owned(),
        availability: Availability::Open,
        pool: "book".to_owned(),
        used_elsewhere: 0,
    });
    let route = Route { organisation: "granite".to_owned(), service: "book".to_owned() };
    let target = Target { service, upstreams: upstreams.collect(), ..Target::default() };
    let targets = BTreeMap::from([(route, target)]);
    View { revision: Revision(1), serial: 1, entries: 1, targets }
}

/// Writes log lines to a shared buffer.
struct Lines(Arc<Mutex<BufWriter<NonBlocking>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no holder panics").write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Runs the entry in a child process, with the given log level.
pub(crate) fn run_entry(upstreams: &[SocketAddr], level: &str) {
    let (writer, _guard) = tracing_appender::non_blocking(std::io::sink());
    // Lines are passed to the writing thread many at a time, as in the daemon.
    let writer = Arc::new(Mutex::new(BufWriter::with_capacity(16 << 10, writer)));
    let writer = move || Lines(Arc::clone(&writer));
    let lines = tracing_logfmt::builder().layer().with_writer(writer);
    let filter = tracing_subscriber::EnvFilter::new(level);
    tracing_subscriber::registry().with(filter).with(lines).init();
    let settings = entry::Settings { data_centre: "here".to_owned(), ..entry::Settings::default() };
    let view = view(upstreams, Service::default());
    let entry = Entry::bind(settings, Unavailable, view).expect("a loopback address can be bound");
    child::announce(entry.address());
}
