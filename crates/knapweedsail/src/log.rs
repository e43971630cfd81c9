//! Key=value log lines on standard error.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Starts logging at the level that `RUST_LOG` names, `default` where it names none.
///
/// Returns a guard that writes out what is left when it is dropped.
pub fn open(default: &str) -> tracing_appender::non_blocking::WorkerGuard {
    let (writer, guard) = tracing_appender::non_blocking(std::io::stderr());
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(default));
    let lines = tracing_logfmt::builder().layer().with_writer(writer);
    let _ = tracing_subscriber::registry().with(filter).with(lines).try_init();
    guard
}
