//! Log lines of key=value pairs on standard output, through a bounded buffer, so that a slow
//! reader never blocks the process.

use std::cell::RefCell;
use std::io;
use std::io::Write;
use std::os::fd::AsFd;
use std::os::fd::BorrowedFd;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use rustix::io::Errno;
use tracing::Level;
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::Node;

/// Size of the buffer in bytes: some seconds of log lines at the highest load.
const MAX_BUFFERED: usize = 1 << 20;

/// Interval between two writes, so that one write carries many lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Pause before the next write to a reader that lags.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

thread_local! {
    static BUFFER: RefCell<Buffer> = const { RefCell::new(Buffer { bytes: Vec::new(), dropped: 0 }) };
}

/// Lines that were not written yet, and the number of lines that were dropped since the last write.
#[derive(Debug)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Appends one line at a time to the buffer.
#[derive(Debug)]
struct Writer;

impl Write for Writer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        BUFFER.with_borrow_mut(|buffer| {
            if buffer.bytes.len() + bytes.len() > MAX_BUFFERED {
                buffer.dropped += 1;
            } else {
                buffer.bytes.extend_from_slice(bytes);
            }
        });
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging of lines at `level` and the more severe ones.
pub fn open(level: Level) {
    let layer = tracing_logfmt::builder().with_target(false).layer().with_writer(|| Writer);
    let filter = LevelFilter::from_level(level);
    // Fails only if a test has set a subscriber before.
    let _ = tracing_subscriber::registry().with(filter).with(layer).try_init();
}

/// Takes all bytes out of the buffer, and adds a line with the number of dropped lines if there
/// are any.
fn take() -> Vec<u8> {
    BUFFER.with_borrow_mut(|buffer| {
        let mut bytes = std::mem::take(&mut buffer.bytes);
        let dropped = std::mem::take(&mut buffer.dropped);
        if dropped > 0 {
            bytes
                .extend_from_slice(format!("level=warn event=log left_out={dropped}\n").as_bytes());
        }
        bytes
    })
}

/// Writes the buffer to standard output for as long as the process runs.
pub async fn run(node: Rc<Node>) {
    let stdout = io::stdout();
    // Non-blocking, so that a full pipe doesn't block the process. None for a regular file, which
    // can't be polled, but whose writes don't block either.
    let pollable = Async::new(stdout.as_fd()).ok();
    loop {
        let dropped = BUFFER.with_borrow(|buffer| buffer.dropped);
        if dropped > 0 {
            node.metrics.dropped_lines(dropped);
        }
        let lagging = match &pollable {
            Some(stdout) => write(stdout.get_ref().as_fd()),
            None => write(stdout.as_fd()),
        };
        Timer::after(if lagging { RETRY_INTERVAL } else { FLUSH_INTERVAL }).await;
    }
}

/// Writes the buffer. Returns whether bytes are left because the reader lags.
fn write(stdout: BorrowedFd<'_>) -> bool {
    let bytes = take();
    let mut rest = bytes.as_slice();
    while !rest.is_empty() {
        match rustix::io::write(stdout, rest) {
            Ok(count) => rest = &rest[count..],
            Err(Errno::INTR) => {}
            Err(Errno::AGAIN) => {
                put_back(rest);
                return true;
            }
            // The reader has gone, and there is no other place to report that.
            Err(_) => return false,
        }
    }
    false
}

/// Puts unwritten bytes back into the buffer, ahead of the lines that were logged since.
fn put_back(rest: &[u8]) {
    BUFFER.with_borrow_mut(|buffer| {
        let newer = std::mem::replace(&mut buffer.bytes, rest.to_vec());
        buffer.bytes.extend_from_slice(&newer);
    });
}

/// Writes the whole buffer, waiting for the reader if need be, before the process exits.
pub fn flush() {
    let bytes = take();
    let _ = io::stdout().write_all(&bytes);
}
