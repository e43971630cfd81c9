//! Sends a load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use http::Connection;
use http::Limits;
use http::Request;
use http::Stream;

use super::Report;
use super::Settings;
use super::Told;
use super::schedule;

/// Where callers are sent: each new connection goes to the next of the entries that are in.
#[derive(Clone, Debug, Default)]
pub struct Balancer(Arc<Mutex<(Vec<SocketAddr>, usize)>>);

impl Balancer {
    /// Spreads over these entries.
    pub fn new(entries: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self(Arc::new(Mutex::new((entries.into_iter().collect(), 0))))
    }

    /// Spreads over these entries from now on.
    pub fn set(&self, entries: impl IntoIterator<Item = SocketAddr>) {
        self.0.lock().expect("no holder panics").0 = entries.into_iter().collect();
    }

    fn next(&self) -> Option<SocketAddr> {
        let mut state = self.0.lock().expect("no holder panics");
        state.1 += 1;
        let index = state.1.checked_rem(state.0.len())?;
        state.0.get(index).copied()
    }
}

/// An open-loop load: requests are sent when they are due, whatever became of earlier ones.
#[derive(Debug)]
pub struct Callers {
    executor: Arc<Executor<'static>>,
    settings: Settings,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    balancer: Balancer,
    idle: Mutex<Vec<Connection<Stream>>>,
    report: Mutex<Report>,
}

impl Callers {
    /// A load on the entries behind `balancer`.
    pub fn new(executor: &Arc<Executor<'static>>, balancer: &Balancer, settings: Settings) -> Self {
        let shared =
            Shared { balancer: balancer.clone(), idle: Mutex::default(), report: Mutex::default() };
        Self { executor: Arc::clone(executor), settings, shared: Arc::new(shared) }
    }

    /// What has been told so far.
    pub fn report(&self) -> Report {
        self.shared.report.lock().expect("no holder panics").clone()
    }

    /// Sends the whole load and waits for every answer.
    pub async fn run(&self) -> Report {
        let start = clock();
        let mut tasks = Vec::new();
        for (number, due) in schedule(&self.settings).into_iter().enumerate() {
            let wait = due.saturating_sub(start.elapsed());
            if !wait.is_zero() {
                Timer::after(wait).await;
            }
            let request = self.request(number);
            let shared = Arc::clone(&self.shared);
            let timeout = self.settings.timeout;
            let send = async move { shared.send(request, timeout).await };
            tasks.push(self.executor.spawn(send));
        }
        for task in tasks {
            task.await;
        }
        self.report()
    }

    fn request(&self, number: usize) -> Request {
        let Settings { name, target, body, keyed, team, priority, timeout, .. } = &self.settings;
        let id = format!("{name}-{number}");
        let bytes: Vec<u8> = id.bytes().cycle().take(*body).collect();
        let mut request = Request::new("POST", target.as_str())
            .with_header("host", "entry")
            .with_header("knapweedsail-request-id", id.as_str())
            .with_header("knapweedsail-deadline-ms", timeout.as_millis().to_string())
            .with_body(bytes);
        if *keyed {
            request.headers.push("idempotency-key", id);
        }
        if let Some(team) = team {
            request.headers.push("knapweedsail-team", team.as_str());
        }
        if let Some(priority) = priority {
            request.headers.push("knapweedsail-priority", priority.as_str());
        }
        request
    }
}

impl Shared {
    async fn send(&self, request: Request, timeout: std::time::Duration) {
        let start = clock();
        // A caller gives the entry a little longer than it asks for.
        let deadline = start + timeout + timeout / 2;
        let result = match self.connect(deadline).await {
            Ok(mut connection) => {
                let result = connection.send_by(&request, deadline).await;
                if !connection.is_finished() {
                    self.idle.lock().expect("no holder panics").push(connection);
                }
                result
            }
            Err(error) => Err(error),
        };
        let id = request.headers.get("knapweedsail-request-id").unwrap_or_default().to_owned();
        let told = Told::read(&request, &result);
        let mut report = self.report.lock().expect("no holder panics");
        report.told.insert(id, (told, start.elapsed()));
    }

    async fn connect(&self, deadline: Instant) -> Result<Connection<Stream>, http::Error> {
        loop {
            let idle = self.idle.lock().expect("no holder panics").pop();
            let Some(mut connection) = idle else { break };
            if connection.is_sound().await {
                return Ok(connection);
            }
        }
        let address = self.balancer.next();
        let address = address.ok_or_else(|| http::Error::NotSent("no entry".to_owned()))?;
        Connection::open_by(address, Limits::default(), deadline).await
    }
}

#[expect(clippy::disallowed_methods, reason = "the stand-in's own clock")]
fn clock() -> Instant {
    Instant::now()
}
