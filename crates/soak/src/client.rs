//! Callers, and what they were told.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use fleet::time::Time;
use http::Connection;
use http::Limits;
use http::Request;
use http::Stream;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;
use sitestand::Platform;

use crate::keys;

/// Longest wait for an answer: what callers of the platform wait.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Tries of a caller for one job.
const TRIES: u32 = 5;

/// Queue of most jobs.
pub(crate) const QUEUE: &str = "oven";

/// One job in so many is deadly while some are.
const DEADLY_RATIO: u32 = 60;

/// What some jobs are like.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Odd {
    /// All are as usual.
    #[default]
    None,
    /// Some fail on every instance.
    Impossible,
    /// Some crash each instance on which they start.
    Deadly,
}

/// Part of a run, for callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    /// They submit jobs.
    #[default]
    Busy,
    /// They submit none, and long-running tasks stay.
    Quiet,
    /// They take back what stays.
    Over,
}

/// What callers were told.
#[derive(Debug, Default)]
pub(crate) struct Told {
    /// Jobs that were accepted.
    pub(crate) accepted: BTreeSet<String>,
    /// Jobs of which every try was refused for sure.
    pub(crate) refused: BTreeSet<String>,
    /// Lasting jobs, which come to no end by themselves.
    pub(crate) lasting: BTreeSet<String>,
    /// Queues of jobs in another one than [`QUEUE`].
    pub(crate) queues: BTreeMap<String, &'static str>,
    /// Requests by what came of them.
    pub(crate) answers: BTreeMap<String, u64>,
    /// Callers that have not ended.
    pub(crate) callers: u64,
    /// Jobs that were accepted and that the watch has not seen yet.
    pub(crate) newly_accepted: Vec<String>,
    /// Jobs that were cancelled, or are about to be.
    pub(crate) leaving: BTreeSet<String>,
    /// When jobs that have ended were seen to have, from what instances and callers know.
    pub(crate) ended: BTreeMap<String, Time>,
    /// Since when nothing has disturbed the site.
    pub(crate) calm_since: Time,
    /// How often the watch itself was held up.
    pub(crate) held_up: u64,
    /// What broke.
    pub(crate) broken: Vec<String>,
}

impl Told {
    /// Queue of a job, which has the name of its pool.
    pub(crate) fn queue(&self, job: &str) -> &'static str {
        self.queues.get(job).copied().unwrap_or(QUEUE)
    }
}

/// What came of an attempt to submit a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Accepted,
    /// It is certain that nothing runs.
    Refused,
    Unknown,
}

/// A caller that keeps its connections.
pub(crate) struct Client {
    /// Tells its jobs from those of others.
    pub(crate) place: u64,
    /// Doors of the nodes.
    pub(crate) doors: Vec<SocketAddr>,
    /// What all callers were told.
    pub(crate) told: Rc<RefCell<Told>>,
    /// The stand-ins.
    pub(crate) platform: Rc<Platform>,
    /// What callers are to do.
    pub(crate) stage: Rc<Cell<Stage>>,
    /// What some jobs are like.
    pub(crate) odd: Rc<Cell<Odd>>,
    /// Where its choices come from.
    pub(crate) random: ChaCha8Rng,
    open: BTreeMap<usize, Connection<Stream>>,
}

impl Client {
    /// A caller without connections yet.
    pub(crate) fn new(
        place: u64,
        doors: Vec<SocketAddr>,
        told: Rc<RefCell<Told>>,
        platform: Rc<Platform>,
        stage: Rc<Cell<Stage>>,
        odd: Rc<Cell<Odd>>,
        random: ChaCha8Rng,
    ) -> Self {
        Self { place, doors, told, platform, stage, odd, random, open: BTreeMap::new() }
    }

    /// Whether it is to submit jobs.
    pub(crate) fn is_busy(&self) -> bool {
        self.stage.get() == Stage::Busy
    }

    /// Submits jobs, asks for some, and takes some back, until it is to stop.
    pub(crate) async fn run(mut self) {
        self.told.borrow_mut().callers += 1;
        let mut number = 0;
        while self.is_busy() {
            number += 1;
            let job = format!("{:08x}{number:08x}", self.place);
            let body = self.draw(&job);
            let accepted = self.submit(&job, &body).await;
            let lasts = self.told.borrow().lasting.contains(&job);
            if accepted && lasts {
                let pause = self.random.random_range(200..2_000);
                Timer::after(Duration::from_millis(pause)).await;
                self.cancel(&job).await;
            }
            let pause = self.random.random_range(20..150);
            Timer::after(Duration::from_millis(pause)).await;
        }
        self.told.borrow_mut().callers -= 1;
    }

    fn draw(&mut self, job: &str) -> Value {
        let lasts = self.random.random_ratio(1, 12);
        let count = self.random.random_range(1..5);
        let mut step = json!({ "count": count, "cpu": 500, "memMb": 10, "estimateMs": 100 });
        let mut steps = Vec::new();
        if lasts {
            step["longRunning"] = json!(true);
            self.told.borrow_mut().lasting.insert(job.to_owned());
            steps.push(step);
        } else {
            steps.push(step);
            if self.random.random_ratio(1, 2) {
                let second =
                    json!({ "count": 1, "cpu": 500, "memMb": 10, "estimateMs": 100, "after": [0] });
                steps.push(second);
            }
        }
        let mut spec = format!("payload of {job}");
        match self.odd.get() {
            Odd::Impossible if !lasts && self.random.random_ratio(1, 8) => {
                self.platform.monitor.borrow_mut().impossible.insert(job.to_owned());
            }
            Odd::Deadly if !lasts && self.random.random_ratio(1, DEADLY_RATIO) => {
                spec.insert_str(0, sitestand::DEADLY);
                steps.truncate(1);
                steps[0]["count"] = json!(1);
            }
            _ => {}
        }
        let body = json!({ "spec": spec, "phases": steps });
        self.platform.monitor.borrow_mut().submitted.insert(job.to_owned(), body.clone());
        body
    }

    /// Submits a job with a long-running task on each instance, and cancels it at the end.
    pub(crate) async fn reside(self) {
        let count = self.platform.instances.len();
        self.keep(count, 500).await;
    }

    /// Submits a job with `count` long-running tasks of `cpu` millicores, at most one on each instance,
    /// and cancels it at the end.
    pub(crate) async fn keep(self, count: usize, cpu: u64) {
        let step = json!({
            "count": count, "cpu": cpu, "memMb": 10, "estimateMs": 100, "longRunning": true,
            "antiAffinity": 1,
        });
        self.keep_step(step).await;
    }

    /// Submits a job with a long-running step, and cancels it at the end.
    pub(crate) async fn keep_step(mut self, step: Value) {
        self.told.borrow_mut().callers += 1;
        let job = format!("{:016x}", self.place << 32);
        let body = json!({ "spec": format!("payload of {job}"), "phases": [step] });
        self.told.borrow_mut().lasting.insert(job.clone());
        self.platform.monitor.borrow_mut().submitted.insert(job.clone(), body.clone());
        if self.submit(&job, &body).await {
            while self.stage.get() != Stage::Over {
                Timer::after(Duration::from_millis(100)).await;
            }
            self.cancel(&job).await;
        }
        self.told.borrow_mut().callers -= 1;
    }

    pub(crate) async fn submit(&mut self, job: &str, body: &Value) -> bool {
        let mut sure = true;
        for _ in 0..TRIES {
            match self.try_submit(job, body).await {
                Outcome::Accepted => return true,
                Outcome::Refused => {}
                Outcome::Unknown => sure = false,
            }
            Timer::after(Duration::from_millis(300)).await;
        }
        if sure {
            self.told.borrow_mut().refused.insert(job.to_owned());
        }
        false
    }

    /// Submits a job, and doesn't try again.
    pub(crate) async fn submit_once(&mut self, job: &str, body: &Value) {
        if self.try_submit(job, body).await == Outcome::Refused {
            self.told.borrow_mut().refused.insert(job.to_owned());
        }
    }

    /// A call for a job; sites without tenants ignore the key.
    fn request(&self, method: &str, job: &str) -> Request {
        let path = format!("/{}/{job}", self.told.borrow().queue(job));
        let request = Request::new(method, path).with_header("host", "site.example");
        request.with_header("x-credential", keys::CALLERS)
    }

    async fn try_submit(&mut self, job: &str, body: &Value) -> Outcome {
        let request = self.request("POST", job).with_body(body.to_string());
        let status = self.call(&request).await;
        self.note(&format!("submit {status}"));
        let mut told = self.told.borrow_mut();
        match status {
            200 => {
                told.accepted.insert(job.to_owned());
                told.newly_accepted.push(job.to_owned());
                Outcome::Accepted
            }
            // Connections that were never made and honest refusals run nothing.
            503 | 429 | 1 => Outcome::Refused,
            401 | 404 => {
                told.broken.push(format!("{job}: {status} for a queue and a key in force"));
                Outcome::Refused
            }
            _ => Outcome::Unknown,
        }
    }

    /// Closes all its connections.
    pub(crate) fn disconnect(&mut self) {
        self.open.clear();
    }

    async fn cancel(&mut self, job: &str) {
        self.told.borrow_mut().leaving.insert(job.to_owned());
        self.platform.monitor.borrow_mut().cancelling.insert(job.to_owned());
        for _ in 0..TRIES * 4 {
            let request = self.request("DELETE", job);
            let status = self.call(&request).await;
            self.note(&format!("cancel {status}"));
            if matches!(status, 200 | 410) {
                if status == 410 {
                    self.told
                        .borrow_mut()
                        .broken
                        .push(format!("{job}: accepted, and 410 to its cancel"));
                }
                self.platform.monitor.borrow_mut().cancelled.insert(job.to_owned());
                self.told.borrow_mut().ended.insert(job.to_owned(), node::clock::now());
                return;
            }
            Timer::after(Duration::from_millis(300)).await;
        }
    }

    /// State of a job as some node tells it; its status where it tells none.
    pub(crate) async fn state(&mut self, job: &str) -> String {
        let request = self.request("GET", job);
        let place = self.random.random_range(0..self.doors.len());
        match self.send(place, &request).await {
            Ok(response) => {
                let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
                body["state"].as_str().map_or_else(|| response.status.to_string(), str::to_owned)
            }
            Err(error) => error.to_string(),
        }
    }

    /// Number of waiting jobs of a queue as some node tells it; None if it tells none.
    pub(crate) async fn count(&mut self, queue: &str) -> Option<u64> {
        let request = Request::new("GET", format!("/{queue}/")).with_header("host", "site.example");
        let request = request.with_header("x-credential", keys::CALLERS);
        let place = self.random.random_range(0..self.doors.len());
        let response = self.send(place, &request).await.ok()?;
        let body: Value = serde_json::from_slice(&response.body).ok()?;
        body["numWaiting"].as_u64()
    }

    /// Counts what came of a request.
    pub(crate) fn note(&self, what: &str) {
        *self.told.borrow_mut().answers.entry(what.to_owned()).or_default() += 1;
    }

    /// The status of an answer; 1 where nothing was sent, nought where nobody knows.
    async fn call(&mut self, request: &Request) -> u16 {
        let place = self.random.random_range(0..self.doors.len());
        match self.send(place, request).await {
            Ok(response) => response.status,
            Err(http::Error::NotSent(_)) => 1,
            Err(_) => 0,
        }
    }

    async fn send(
        &mut self,
        place: usize,
        request: &Request,
    ) -> Result<http::Response, http::Error> {
        let deadline = http::clock::now() + TIMEOUT;
        let kept = self.open.remove(&place);
        let mut connection = match kept {
            Some(connection) if !connection.is_finished() => connection,
            _ => Connection::open_by(self.doors[place], Limits::default(), deadline).await?,
        };
        let response = connection.send_by(request, deadline).await;
        if response.is_ok() {
            self.open.insert(place, connection);
        }
        response
    }
}
