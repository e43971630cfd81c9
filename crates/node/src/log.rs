//! Key=value log lines on standard output, bounded and never waiting for their reader.

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

/// Bytes of lines that wait for the reader at most: some seconds of the worst load.
const MAX_WAITING: usize = 1 << 20;

/// Longest time that a line waits for others, so that one write carries many.
const PAUSE: Duration = Duration::from_millis(100);

/// Pause while the reader lags.
const SHORT_PAUSE: Duration = Duration::from_millis(10);

thread_local! {
    static LINES: RefCell<Lines> = const { RefCell::new(Lines { bytes: Vec::new(), left_out: 0 }) };
}

/// Lines that wait for the reader.
#[derive(Debug)]
struct Lines {
    bytes: Vec<u8>,
    left_out: u64,
}

/// Takes one line at a time.
#[derive(Debug)]
struct Writer;

impl Write for Writer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        LINES.with_borrow_mut(|lines| {
            if lines.bytes.len() + bytes.len() > MAX_WAITING {
                lines.left_out += 1;
            } else {
                lines.bytes.extend_from_slice(bytes);
            }
        });
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts taking lines of a level and above it.
pub fn open(level: Level) {
    let layer = tracing_logfmt::builder().with_target(false).layer().with_writer(|| Writer);
    let filter = LevelFilter::from_level(level);
    // Fails only where a test has set a subscriber before.
    let _ = tracing_subscriber::registry().with(filter).with(layer).try_init();
}

fn take() -> Vec<u8> {
    LINES.with_borrow_mut(|lines| {
        let mut bytes = std::mem::take(&mut lines.bytes);
        let left_out = std::mem::take(&mut lines.left_out);
        if left_out > 0 {
            bytes.extend_from_slice(
                format!("level=warn event=log left_out={left_out}\n").as_bytes(),
            );
        }
        bytes
    })
}

/// Hands lines to the reader for as long as the process runs.
pub async fn run(node: Rc<Node>) {
    let stdout = io::stdout();
    // Keeps a full pipe from stopping the process. Files and the like never do.
    let pollable = Async::new(stdout.as_fd()).ok();
    loop {
        let left_out = LINES.with_borrow(|lines| lines.left_out);
        if left_out > 0 {
            node.metrics.left_out(left_out);
        }
        let full = match &pollable {
            Some(stdout) => write(stdout.get_ref().as_fd()),
            None => write(stdout.as_fd()),
        };
        Timer::after(if full { SHORT_PAUSE } else { PAUSE }).await;
    }
}

/// Writes what waits; whether the reader has not taken all of it.
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
            // Nobody reads it any more: there is no place left to say so.
            Err(_) => return false,
        }
    }
    false
}

/// Keeps bytes that the reader has not taken before all that came since.
fn put_back(rest: &[u8]) {
    LINES.with_borrow_mut(|lines| {
        let since = std::mem::replace(&mut lines.bytes, rest.to_vec());
        lines.bytes.extend_from_slice(&since);
    });
}

/// Hands over what waits, once, before the process ends.
pub fn flush() {
    let bytes = take();
    let _ = io::stdout().write_all(&bytes);
}
