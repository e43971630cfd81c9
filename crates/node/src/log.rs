//! Log lines of key=value pairs on standard output, through a bounded buffer, so that a slow
//! reader never blocks the process.
//!
//! Lines about the node and its term are few, and tell the most when much else is logged: only they
//! may use the second half of the buffer.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::os::fd::AsFd;
use std::os::fd::BorrowedFd;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use tracing::Level;
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::Node;

/// Size of the buffer in bytes: some seconds of log lines at the highest load.
pub const MAX_BUFFERED: usize = 1 << 20;

/// Part of the buffer that lines of all events may use, in bytes.
const MAX_SHARED: usize = MAX_BUFFERED / 2;

/// Events that may use the whole buffer: each is logged at most some times a second.
const RESERVED: [&str; 16] = [
    "budget",
    "config",
    "dependency",
    "disrupt",
    "duty",
    "election",
    "evacuate",
    "limit",
    "panic",
    "pool",
    "reign",
    "restore",
    "rounds",
    "standing",
    "waiting",
    "wave",
];

/// Event of the line that reports dropped lines.
const REPORT: &str = "log";

/// Interval between two writes, so that one write carries many lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum size of a write in bytes, unless a line is longer: a pipe takes such a write as a whole, and
/// readers that take a limited amount at a time don't cut lines.
const MAX_WRITE: usize = 4 << 10;

/// Pause before the next write to a reader that lags.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which a process that exits waits for a reader that takes nothing.
const MAX_EXIT_WAIT: Duration = Duration::from_millis(200);

thread_local! {
    static BUFFER: RefCell<Buffer> = const { RefCell::new(Buffer::new()) };
}

/// Lines that were not written yet, and the numbers of lines that were dropped and not reported yet.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    /// By event.
    dropped: BTreeMap<String, u64>,
    /// Number of lines dropped so far.
    total_dropped: u64,
}

impl Buffer {
    /// An empty buffer.
    pub const fn new() -> Self {
        Self { bytes: Vec::new(), dropped: BTreeMap::new(), total_dropped: 0 }
    }

    /// Appends a line, or drops and counts it if its event's part of the buffer is full. Returns whether
    /// it was appended.
    pub fn push(&mut self, line: &[u8]) -> bool {
        let event = event(line);
        let limit = if RESERVED.contains(&event) { MAX_BUFFERED } else { MAX_SHARED };
        let fits = self.bytes.len() + line.len() <= limit;
        if fits {
            self.bytes.extend_from_slice(line);
        } else {
            self.drop_line(event);
        }
        fits
    }

    fn drop_line(&mut self, event: &str) {
        self.total_dropped += 1;
        match self.dropped.get_mut(event) {
            Some(count) => *count += 1,
            None => {
                self.dropped.insert(event.to_owned(), 1);
            }
        }
    }

    /// Appends a line with the numbers of dropped lines by event, if there are any, and returns these.
    fn report(&mut self) -> BTreeMap<String, u64> {
        let dropped = std::mem::take(&mut self.dropped);
        if !dropped.is_empty() {
            let total: u64 = dropped.values().sum();
            let events: Vec<String> =
                dropped.iter().map(|(event, count)| format!("{event}:{count}")).collect();
            let events = events.join(",");
            let line = format!("level=warn event={REPORT} left_out={total} events={events}\n");
            self.bytes.extend_from_slice(line.as_bytes());
        }
        dropped
    }

    /// Hands the lines to `write`, which returns the number of bytes that it has taken. Returns whether
    /// bytes are left because it would block.
    pub fn write_to(&mut self, mut write: impl FnMut(&[u8]) -> io::Result<usize>) -> bool {
        let mut written = 0;
        let mut blocked = false;
        // Reports only to a reader that takes bytes: otherwise each try would add a line.
        let mut reported = None;
        loop {
            if written == self.bytes.len() {
                if reported.is_some() {
                    break;
                }
                reported = Some(self.report());
                continue;
            }
            match write(first_lines(&self.bytes[written..])) {
                Ok(count) => written += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    blocked = true;
                    break;
                }
                Err(_) => {
                    // What the reader takes next, if it takes anything, says what it has missed.
                    let lost = self.bytes.split_off(written);
                    let lines = lost.split_inclusive(|&byte| byte == b'\n').map(event);
                    lines.filter(|&event| event != REPORT).for_each(|event| self.drop_line(event));
                    for (event, count) in reported.unwrap_or_default() {
                        *self.dropped.entry(event).or_default() += count;
                    }
                    break;
                }
            }
        }
        self.bytes.drain(..written);
        blocked
    }
}

impl Default for Buffer {
    fn default() -> Self {
        Self::new()
    }
}

/// As many of the first lines as fit into [`MAX_WRITE`], one at least.
fn first_lines(bytes: &[u8]) -> &[u8] {
    let limit = MAX_WRITE.min(bytes.len());
    let is_end = |&byte: &u8| byte == b'\n';
    let end = bytes[..limit].iter().rposition(is_end);
    let end = end.or_else(|| bytes.iter().position(is_end));
    &bytes[..end.map_or(bytes.len(), |end| end + 1)]
}

/// The event that a line reports; `other` if it names none.
fn event(line: &[u8]) -> &str {
    const KEY: &[u8] = b" event=";
    let start = line.windows(KEY.len()).position(|window| window == KEY);
    let value = start.map(|start| &line[start + KEY.len()..]);
    let name = value.and_then(|value| value.split(u8::is_ascii_whitespace).next());
    name.and_then(|name| std::str::from_utf8(name).ok()).unwrap_or("other")
}

/// Appends one line at a time to the buffer.
#[derive(Debug)]
struct Writer;

impl Write for Writer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        BUFFER.with_borrow_mut(|buffer| buffer.push(bytes));
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

/// Writes the buffer to standard output for as long as the process runs.
pub async fn run(node: Rc<Node>) {
    let stdout = io::stdout();
    // Non-blocking, so that a full pipe doesn't block the process. None for a regular file, which
    // can't be polled, but whose writes don't block either.
    let pollable = Async::new(stdout.as_fd()).ok();
    let mut counted = 0;
    loop {
        let lagging = match &pollable {
            Some(stdout) => write(stdout.get_ref().as_fd()),
            None => write(stdout.as_fd()),
        };
        let dropped = BUFFER.with_borrow(|buffer| buffer.total_dropped);
        if dropped > counted {
            node.metrics.dropped_lines(dropped - counted);
            counted = dropped;
        }
        Timer::after(if lagging { RETRY_INTERVAL } else { FLUSH_INTERVAL }).await;
    }
}

/// Writes the buffer. Returns whether bytes are left because the reader lags.
fn write(stdout: BorrowedFd<'_>) -> bool {
    let write = |bytes: &[u8]| rustix::io::write(stdout, bytes).map_err(io::Error::from);
    BUFFER.with_borrow_mut(|buffer| buffer.write_to(write))
}

/// Writes the whole buffer before the process exits, and waits a little for a reader that lags.
pub fn flush() {
    let stdout = io::stdout();
    let mut waited = Duration::ZERO;
    let mut left = usize::MAX;
    while waited < MAX_EXIT_WAIT && write(stdout.as_fd()) {
        let length = BUFFER.with_borrow(|buffer| buffer.bytes.len());
        waited = if length < left { Duration::ZERO } else { waited + RETRY_INTERVAL };
        left = length;
        std::thread::sleep(RETRY_INTERVAL);
    }
}
