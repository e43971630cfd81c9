//! A worker that runs make-believe tasks under leases, with fault switches and a ledger.
//!
//! * [`Worker`]: answers the contract's requests, on an address of its own or inside another server.
//! * [`Faults`]: what goes wrong with it.
//! * [`Ledger`]: which attempts it ran, and how often.
//! * [`Task`]: how a task behaves, as a job's input says.

mod book;
mod fault;
mod ledger;
mod run;
mod serve;
mod task;

pub use fault::Faults;
pub use ledger::Ledger;
pub use task::Task;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use contract::Call;
use fleet::config::Size;
use fleet::time::Time;
use http::Request;
use http::Response;

use book::Book;

/// What a worker can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// What all its attempts together may be given.
    pub capacity: Size,
    /// How long a task runs whose input does not say, milliseconds.
    pub run_ms: u64,
    /// How long a checkpoint takes, milliseconds.
    pub checkpoint_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        let capacity = Size { milli_cores: 32_000, memory_mb: 64 << 10, accelerators: 4 };
        Self { capacity, run_ms: 1_000, checkpoint_ms: 200 }
    }
}

/// A stand-in worker. Clones are handles to the same one.
#[derive(Clone, Debug)]
pub struct Worker {
    settings: Settings,
    book: Arc<Mutex<Book>>,
}

impl Worker {
    /// A worker that has just started, as the `boot`th process.
    pub fn new(settings: Settings, boot: u64) -> Self {
        Self { settings, book: Arc::new(Mutex::new(Book::new(boot))) }
    }

    /// What it can take.
    pub fn settings(&self) -> Settings {
        self.settings
    }

    /// Answers a request of the contract; any other path is refused.
    pub fn handle(&self, request: &Request, now: Time) -> Response {
        let faults = self.faults();
        if faults.paused {
            return lost();
        }
        let Some(call) = Call::read(request) else { return Response::new(404) };
        let changes = request.method != "GET";
        let response = match call {
            Ok(call) => self.lock().answer(&self.settings, call, now),
            Err(refusal) => contract::answer::<()>(Err(refusal)),
        };
        if faults.loses_replies && changes { lost() } else { response }
    }

    /// Sets what goes wrong from now on.
    pub fn set(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// What goes wrong at present.
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// Starts anew: nothing runs, nothing is known, but for the ledger.
    pub fn restart(&self, now: Time) {
        self.lock().restart(now);
    }

    /// Which attempts it ran so far, over all its restarts.
    pub fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    /// Whether it was told to take no new work.
    pub fn is_draining(&self) -> bool {
        self.lock().draining
    }

    /// Sets how many service requests are in flight at the same address, for its reports.
    pub fn set_in_flight(&self, in_flight: u32) {
        self.lock().in_flight = in_flight;
    }

    /// Attempts that run at `now`.
    pub fn running(&self, now: Time) -> usize {
        self.lock().running(now)
    }

    fn lock(&self) -> MutexGuard<'_, Book> {
        self.book.lock().expect("no holder panics")
    }
}

/// What a caller sees in place of an answer that got lost.
fn lost() -> Response {
    Response::new(502)
}
