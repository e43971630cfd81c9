//! Key=value log lines on standard error.

use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::thread;
use std::time::Duration;

use tracing_appender::non_blocking::NonBlocking;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Bytes of lines that go to the writing thread together: to wake it for each line would cost more
/// than the line.
const BATCH: usize = 16 << 10;

/// Longest time that a line waits for others.
const WAIT: Duration = Duration::from_millis(100);

type Lines = Mutex<BufWriter<NonBlocking>>;

/// Takes one line at a time.
struct Writer(Arc<Lines>);

impl Write for Writer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().map_err(|_| io::ErrorKind::Other)?.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes out what is left when it is dropped.
#[derive(Debug)]
pub struct Guard {
    lines: Arc<Lines>,
    _worker: WorkerGuard,
}

impl Drop for Guard {
    fn drop(&mut self) {
        flush(&self.lines);
    }
}

/// Starts logging at the level that `RUST_LOG` names, `default` where it names none.
pub fn open(default: &str) -> Guard {
    let (writer, worker) = tracing_appender::non_blocking(io::stderr());
    let lines: Arc<Lines> = Arc::new(Mutex::new(BufWriter::with_capacity(BATCH, writer)));
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(default));
    let shared = Arc::clone(&lines);
    let writer = move || Writer(Arc::clone(&shared));
    let layer = tracing_logfmt::builder().layer().with_writer(writer);
    let _ = tracing_subscriber::registry().with(filter).with(layer).try_init();
    let weak = Arc::downgrade(&lines);
    let _ = thread::Builder::new().name("log".to_owned()).spawn(move || flush_often(&weak));
    Guard { lines, _worker: worker }
}

fn flush_often(lines: &Weak<Lines>) {
    while let Some(lines) = lines.upgrade() {
        flush(&lines);
        drop(lines);
        thread::sleep(WAIT);
    }
}

fn flush(lines: &Lines) {
    if let Ok(mut lines) = lines.lock() {
        let _ = lines.flush();
    }
}
