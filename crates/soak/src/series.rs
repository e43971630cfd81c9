//! Planned work in series: nodes stop one after the other, the next before the last is back, settings are
//! read again and configurations change, with unplanned faults between the series. Callers pipeline over
//! connections that they keep until the process ends.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use fleet::time::Time;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use futures_lite::future::poll_once;
use http::Stream;
use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::json;

use crate::client::Client;
use crate::client::Stage;
use crate::fault::Faults;
use crate::keys::CALLERS;

/// Callers at once, beside the usual ones.
pub(crate) const CLIENTS: u64 = 8;

/// Requests that are sent at once over one connection, at most.
const MAX_PIPELINED: usize = 3;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Time after an unplanned fault in which requests may go unanswered.
const CONTACT: Duration = Duration::from_secs(3);

/// Time from the last byte of a request within which a connection may end without an answer to it.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Time from the acceptance of a job after which no node may lack it.
const VISIBLE_AFTER: Duration = Duration::from_secs(3);

/// Duration of a span with planned work alone.
const PLANNED_TIME: Duration = Duration::from_secs(9);

/// Duration of a span with unplanned faults, too.
const MIXED_TIME: Duration = Duration::from_secs(3);

/// Times that a transaction takes, in milliseconds.
const TRANSACTION_LATENCIES: [u64; 3] = [0, 80, 150];

/// Since when there has been nothing but planned work; none while there are unplanned faults.
pub(crate) type PlannedSince = Rc<Cell<Option<Time>>>;

/// Lays planned work in series on a site.
pub(crate) struct Series {
    random: ChaCha8Rng,
    planned_since: PlannedSince,
}

impl Series {
    /// A series whose choices come from `random`.
    pub(crate) fn new(mut random: ChaCha8Rng) -> Self {
        random.set_stream(u64::MAX - 3);
        Self { random, planned_since: Rc::default() }
    }

    /// Has `clients` pipeline requests, and lays series on the site, for so long.
    ///
    /// # Errors
    ///
    /// A node can't be started again.
    pub(crate) async fn run(
        mut self,
        time: Duration,
        clients: Vec<Client>,
        faults: &mut Faults,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> io::Result<()> {
        let stage = Rc::new(Cell::new(Stage::Busy));
        for mut client in clients {
            client.stage = Rc::clone(&stage);
            let caller = Caller::new(client, Rc::clone(&self.planned_since));
            executor.spawn(caller.run()).detach();
        }
        // Slow enough for requests to be under way when nodes stop.
        let latency =
            TRANSACTION_LATENCIES[self.random.random_range(0..TRANSACTION_LATENCIES.len())];
        faults.platform.store.transaction_latency.set(Duration::from_millis(latency));
        let end = node::clock::now() + time;
        while node::clock::now() < end {
            self.planned_since.set(Some(node::clock::now()));
            self.lay(PLANNED_TIME, &["term"], faults).await?;
            if node::clock::now() < end {
                self.planned_since.set(None);
                self.lay(MIXED_TIME, &["term", "kill", "pause"], faults).await?;
            }
        }
        stage.set(Stage::Over);
        self.planned_since.set(None);
        faults.platform.store.transaction_latency.set(Duration::ZERO);
        Ok(())
    }

    /// Lays series that overlap on the nodes, for so long.
    async fn lay(&mut self, time: Duration, kinds: &[&str], faults: &mut Faults) -> io::Result<()> {
        let end = node::clock::now() + time;
        let mut order: Vec<usize> = (0..faults.stores.len()).collect();
        while node::clock::now() < end {
            order.shuffle(&mut self.random);
            let count = self.random.random_range(1..=order.len());
            for &place in &order[..count] {
                let kind = kinds[self.random.random_range(0..kinds.len())];
                self.strike(place, kind, faults)?;
                if self.random.random_ratio(1, 3) {
                    let other = self.random.random_range(0..order.len());
                    self.strike(other, "hup", faults)?;
                }
                if self.random.random_ratio(1, 3) {
                    *faults.laid.entry("series-config").or_default() += 1;
                    faults.platform.rename_queues();
                }
                let pause = self.random.random_range(100..900);
                Timer::after(Duration::from_millis(pause)).await;
                if self.random.random_ratio(2, 3) {
                    faults.heal(true)?;
                }
                if node::clock::now() >= end {
                    break;
                }
            }
            faults.heal(true)?;
        }
        Ok(())
    }

    fn strike(&mut self, place: usize, kind: &str, faults: &mut Faults) -> io::Result<()> {
        let mut nodes = faults.nodes.borrow_mut();
        let node = &mut nodes[place];
        let kind = match kind {
            "term" => {
                node.signal(Signal::TERM);
                "series-term"
            }
            "kill" => {
                node.kill();
                "series-kill"
            }
            "pause" => {
                node.signal(Signal::STOP);
                node.paused = true;
                "series-pause"
            }
            _ => {
                node.alter_settings()?;
                node.signal(Signal::HUP);
                "series-hup"
            }
        };
        *faults.laid.entry(kind).or_default() += 1;
        Ok(())
    }
}

/// A request that waits for its answer.
#[derive(Debug)]
struct Asked {
    job: String,
    submits: bool,
}

/// An answer's head.
#[derive(Clone, Copy, Debug)]
struct Answer {
    status: u16,
    /// Whether the connection ends with it.
    closes: bool,
}

/// A caller that pipelines requests over one connection for as long as the server keeps it.
struct Caller {
    client: Client,
    planned_since: PlannedSince,
    number: u64,
    /// Jobs that were accepted, and when.
    accepted: Vec<(String, Time)>,
}

impl Caller {
    fn new(client: Client, planned_since: PlannedSince) -> Self {
        Self { client, planned_since, number: 0, accepted: Vec::new() }
    }

    async fn run(mut self) {
        self.client.told.borrow_mut().callers += 1;
        while self.client.is_busy() {
            let place = self.client.random.random_range(0..self.client.doors.len());
            let opened = async { Stream::open(self.client.doors[place]).await.ok() };
            let late = async {
                Timer::after(TIMEOUT).await;
                None
            };
            match opened.or(late).await {
                Some(stream) => self.keep(place, stream).await,
                None => self.client.note("pipelined: not connected"),
            }
            Timer::after(Duration::from_millis(100)).await;
        }
        self.client.told.borrow_mut().callers -= 1;
    }

    /// Sends requests over a connection until it ends.
    async fn keep(&mut self, place: usize, mut stream: Stream) {
        let mut ahead = Vec::new();
        while self.client.is_busy() {
            if poll_once(stream.gone()).await.is_some() {
                return;
            }
            let count = self.client.random.random_range(1..=MAX_PIPELINED);
            let mut bytes = Vec::new();
            let asked: Vec<Asked> = (0..count).map(|_| self.draw(&mut bytes)).collect();
            let sent = stream.write_all(&bytes).await.is_ok();
            let sent_at = node::clock::now();
            let mut answered = 0;
            let mut closes = false;
            let mut ended = !sent;
            while !ended && !closes && answered < asked.len() {
                let answer = async { Some(receive(&mut stream, &mut ahead).await) };
                let late = async {
                    Timer::after(TIMEOUT.saturating_sub(node::clock::now().since(sent_at))).await;
                    None
                };
                match answer.or(late).await {
                    Some(Ok(answer)) => {
                        self.take(&asked[answered], answer);
                        answered += 1;
                        closes = answer.closes;
                    }
                    Some(Err(_)) => ended = true,
                    None => {
                        self.client.note("pipelined: no answer in time");
                        return;
                    }
                }
            }
            if ended || closes {
                // Bytes of an answer without its end are never allowed.
                let partly = !closes && !ahead.is_empty();
                self.judge(place, &asked[answered..], sent_at, closes, partly);
                return;
            }
            let pause = self.client.random.random_range(0..300);
            Timer::after(Duration::from_millis(pause)).await;
        }
    }

    /// A request to take a job, or for the state of one.
    fn draw(&mut self, bytes: &mut Vec<u8>) -> Asked {
        let known = self.accepted.len();
        if known > 0 && self.client.random.random_ratio(1, 2) {
            let job = self.accepted[self.client.random.random_range(0..known)].0.clone();
            let head = format!(
                "GET /oven/{job} HTTP/1.1\r\nhost: site.example\r\nx-credential: {CALLERS}\r\n\r\n"
            );
            bytes.extend(head.as_bytes());
            return Asked { job, submits: false };
        }
        self.number += 1;
        let job = format!("{:08x}{:08x}", self.client.place, self.number);
        let count = self.client.random.random_range(1..4);
        let step = json!({ "count": count, "cpu": 500, "memMb": 10, "estimateMs": 100 });
        let body = json!({ "spec": format!("payload of {job}"), "phases": [step] });
        self.client.platform.monitor.borrow_mut().submitted.insert(job.clone(), body.clone());
        let body = body.to_string();
        let length = body.len();
        let head = format!(
            "POST /oven/{job} HTTP/1.1\r\nhost: site.example\r\nx-credential: {CALLERS}\r\n"
        );
        bytes.extend(format!("{head}content-length: {length}\r\n\r\n{body}").as_bytes());
        Asked { job, submits: true }
    }

    fn take(&mut self, asked: &Asked, answer: Answer) {
        let Asked { job, submits } = asked;
        let status = answer.status;
        let ask = if *submits { "submit" } else { "state" };
        self.client.note(&format!("pipelined: {ask} {status}"));
        let now = node::clock::now();
        let mut told = self.client.told.borrow_mut();
        match (submits, status) {
            (true, 200) => {
                told.accepted.insert(job.clone());
                told.newly_accepted.push(job.clone());
                self.accepted.push((job.clone(), now));
            }
            (true, 503 | 429) => {
                told.refused.insert(job.clone());
            }
            (true, 404) => told.broken.push(format!("{job}: 404 for a queue in force")),
            (false, 410) => {
                let known = self.accepted.iter().find(|(known, _)| known == job);
                let in_force = known.is_some_and(|(_, at)| {
                    (VISIBLE_AFTER..crate::run::RETENTION).contains(&now.since(*at))
                });
                if in_force {
                    told.broken.push(format!("{job}: accepted, and 410 to its state"));
                }
            }
            _ => {}
        }
    }

    /// Checks requests that a connection left unanswered at its end.
    fn judge(&mut self, place: usize, asked: &[Asked], sent_at: Time, closes: bool, partly: bool) {
        let now = node::clock::now();
        let waited = now.since(sent_at);
        let since = self.planned_since.get();
        let planned = since.is_some_and(|since| sent_at >= since + CONTACT);
        for (index, Asked { job, submits }) in asked.iter().enumerate() {
            let what = if closes { "after a closing answer" } else { "at its end" };
            self.client.note(&format!("pipelined: unanswered {what}"));
            let begun = *submits && self.client.platform.monitor.borrow().has_started(job);
            let cut = partly && index == 0;
            if planned && (waited > LOSS_SLACK || begun || cut) {
                let ask = if *submits { "POST" } else { "GET" };
                let waited_ms = waited.as_millis();
                let broken = format!(
                    "{ask} {job}: connection to node-{place} ended {waited_ms} ms after it was sent, \
                     without its answer (began to run: {begun}, partly answered: {cut})"
                );
                self.client.told.borrow_mut().broken.push(broken);
            }
        }
    }
}

/// Reads one whole answer; what comes after it stays in `ahead`.
async fn receive(stream: &mut Stream, ahead: &mut Vec<u8>) -> io::Result<Answer> {
    loop {
        if let Some((answer, length)) = parse(ahead) {
            ahead.drain(..length);
            return Ok(answer);
        }
        let mut bytes = [0; 4_096];
        match stream.read(&mut bytes).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => ahead.extend(&bytes[..count]),
        }
    }
}

/// The answer at the start of `bytes` and its length, if it is whole.
fn parse(bytes: &[u8]) -> Option<(Answer, usize)> {
    const END: &[u8] = b"\r\n\r\n";
    let head_length = bytes.windows(END.len()).position(|window| window == END)? + END.len();
    let head = String::from_utf8_lossy(&bytes[..head_length]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let field = |name: &str| {
        head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':')).map(str::trim)
    };
    let body_length: usize = field("content-length").unwrap_or("0").parse().ok()?;
    let length = head_length + body_length;
    let closes = field("connection") == Some("close");
    (bytes.len() >= length).then_some((Answer { status, closes }, length))
}
