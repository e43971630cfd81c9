//! Accounts what this process spends: time in its tasks by activity, and calls and bytes by kind.

use std::cell::Cell;
use std::fmt::Display;
use std::future::Future;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use adapter::traffic;
use adapter::traffic::Count;
use async_io::Timer;
use fleet::time::Time;
use tracing::info;

use crate::Node;
use crate::clock;

/// Interval between two log lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// What the process is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Activity {
    /// Outside of all tasks: waits for events and finds the tasks that they wake.
    #[display("reactor")]
    Reactor,
    /// Places tasks.
    #[display("place")]
    Place,
    /// Ticks the scheduler.
    #[display("tick")]
    Tick,
    /// The rest of the scheduling loop: hands out commands and calls machines.
    #[display("plan")]
    Plan,
    /// Builds and encodes writes, and applies their outcomes.
    #[display("write")]
    Write,
    /// Sends commands to instances and applies the answers.
    #[display("command")]
    Command,
    /// Sends heartbeats to instances and applies the answers.
    #[display("heartbeat")]
    Heartbeat,
    /// Reads the lists of instances and machines.
    #[display("discover")]
    Discover,
    /// Answers the requests that other nodes forward.
    #[display("rpc")]
    Rpc,
    /// Answers callers.
    #[display("frontend")]
    Frontend,
    /// Writes log lines out. Their formatting counts as part of what they report.
    #[display("log")]
    Log,
    /// Any other task.
    #[display("other")]
    Other,
}

impl Activity {
    /// All activities, in the order of [`spent`].
    pub const ALL: [Self; 12] = [
        Self::Reactor,
        Self::Place,
        Self::Tick,
        Self::Plan,
        Self::Write,
        Self::Command,
        Self::Heartbeat,
        Self::Discover,
        Self::Rpc,
        Self::Frontend,
        Self::Log,
        Self::Other,
    ];
}

thread_local! {
    static CURRENT: Cell<(Activity, Time)> = const { Cell::new((Activity::Reactor, Time::ZERO)) };
    static SPENT: [Cell<u64>; Activity::ALL.len()] =
        const { [const { Cell::new(0) }; Activity::ALL.len()] };
    static FRAMES: Cell<Count> = const { Cell::new(Count { calls: 0, sent: 0, received: 0 }) };
    static COPIES: Cell<Count> = const { Cell::new(Count { calls: 0, sent: 0, received: 0 }) };
}

/// Time spent on an activity, until it is dropped. Activities nest: the time of an inner one does
/// not count for the outer one.
#[derive(Debug)]
pub struct Span {
    outer: Activity,
}

impl Span {
    /// Begins an activity at `now`.
    pub fn enter(activity: Activity, now: Time) -> Self {
        Self { outer: switch(activity, now) }
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        switch(self.outer, clock::now());
    }
}

/// Charges the time up to `now` to the present activity, and makes another one the present one.
/// Returns the former.
fn switch(activity: Activity, now: Time) -> Activity {
    let (former, since) = CURRENT.replace((activity, now));
    SPENT.with(|spent| {
        let spent = &spent[former as usize];
        spent.set(spent.get() + now.since(since).as_micros() as u64);
    });
    former
}

/// Runs a future, and counts the time in which it is polled as spent on `activity`.
pub async fn track<F: Future>(activity: Activity, future: F) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|context| {
        let _span = Span::enter(activity, clock::now());
        future.as_mut().poll(context)
    })
    .await
}

/// Time that this thread has spent on each activity so far, in microseconds and in the order of
/// [`Activity::ALL`]. That of [`Activity::Reactor`] includes time without any work.
pub fn spent() -> [u64; Activity::ALL.len()] {
    SPENT.with(|spent| spent.each_ref().map(Cell::get))
}

/// Counts a message that was received from another node.
pub(crate) fn record_received(bytes: usize) {
    let mut frames = FRAMES.get();
    frames += Count { calls: 1, sent: 0, received: bytes as u64 };
    FRAMES.set(frames);
}

/// Counts bytes that are sent to other nodes.
pub(crate) fn record_sent(bytes: usize) {
    let mut frames = FRAMES.get();
    frames += Count { calls: 0, sent: bytes as u64, received: 0 };
    FRAMES.set(frames);
}

/// Counts a copy of the configuration that is sent to another node, as part of a message.
pub(crate) fn record_copy(bytes: usize) {
    let mut copies = COPIES.get();
    copies += Count { calls: 1, sent: bytes as u64, received: 0 };
    COPIES.set(copies);
}

/// Messages received from other nodes, and bytes exchanged with them, on this thread so far.
pub fn frames() -> Count {
    FRAMES.get()
}

/// All that is accounted, at one time.
#[derive(Clone, Copy, Debug)]
struct Snapshot {
    at: Time,
    processor: Duration,
    spent: [u64; Activity::ALL.len()],
    traffic: [Count; traffic::Kind::ALL.len()],
    frames: Count,
    copies: Count,
}

impl Snapshot {
    fn take(now: Time) -> Self {
        Self {
            at: now,
            processor: clock::processor(),
            spent: spent(),
            traffic: traffic::counts(),
            frames: frames(),
            copies: COPIES.get(),
        }
    }
}

/// Adds what is spent to the metrics once a second, and logs it while this node is the leader.
pub async fn run(node: Rc<Node>) {
    let mut last = Snapshot::take(clock::now());
    loop {
        Timer::after(INTERVAL).await;
        let next = Snapshot::take(clock::now());
        report(&node, &last, &next);
        last = next;
    }
}

fn report(node: &Node, last: &Snapshot, next: &Snapshot) {
    let spent = Activity::ALL.iter().zip(last.spent).zip(next.spent);
    let spent = spent.map(|((activity, last), next)| (activity, next - last));
    let busy: Vec<(&Activity, u64)> =
        spent.filter(|(activity, us)| **activity != Activity::Reactor && *us > 0).collect();
    for (activity, us) in &busy {
        node.metrics.busy(activity.to_string(), Duration::from_micros(*us));
    }
    let kinds = traffic::Kind::ALL.iter().zip(last.traffic).zip(next.traffic);
    let kinds = kinds.map(|((kind, last), next)| (kind.to_string(), next - last));
    let frames = ("frames".to_owned(), next.frames - last.frames);
    let copies = ("config-copies".to_owned(), next.copies - last.copies);
    let traffic: Vec<(String, Count)> =
        kinds.chain([frames, copies]).filter(|(_, count)| *count != Count::default()).collect();
    for (kind, count) in &traffic {
        node.metrics.traffic(kind, *count);
    }
    let Some(term) = node.term() else { return };
    let queues = term.queues();
    info!(
        event = "budget",
        over_ms = next.at.since(last.at).as_millis(),
        processor_ms = next.processor.saturating_sub(last.processor).as_millis(),
        busy_ms = list(busy.iter().map(|(activity, us)| (activity, us / 1_000))),
        calls = list(traffic.iter().map(|(kind, count)| (kind, count.calls))),
        sent_kb = list(traffic.iter().map(|(kind, count)| (kind, count.sent / 1_000))),
        received_kb = list(traffic.iter().map(|(kind, count)| (kind, count.received / 1_000))),
        unplaced = queues.unplaced,
        unwritten = queues.unwritten,
        unsent = queues.unsent,
    );
}

/// Formats values by name, those of zero left out.
fn list<N: Display>(values: impl Iterator<Item = (N, u64)>) -> String {
    let values = values.filter(|(_, value)| *value > 0);
    values.map(|(name, value)| format!("{name}:{value}")).collect::<Vec<_>>().join(",")
}
