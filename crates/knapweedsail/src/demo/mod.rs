//! A small site on loopback: entries, upstreams, callers and the platform's stand-in, under faults.
//!
//! The entries are whole [`Daemon`](crate::daemon::Daemon)s, each on threads of its own, and all
//! talk over loopback sockets. Nothing here models a network: what goes wrong sits in the
//! stand-ins. Afterwards what callers were told is held against what the upstreams ran.
//!
//! * [`Plan`]: the site. [`Load`]: its callers. [`Schedule`]: its faults.
//! * [`Stage`]: what surrounds the entries. [`Site`]: all of it running.
//! * [`Report`]: what was seen, and whether every promise was kept.

mod act;
mod check;
mod fault;
mod freeze;
mod host;
mod jobs;
mod load;
mod monitor;
mod plan;
mod report;
mod site;
mod stage;

pub use fault::Fault;
pub use fault::Kind;
pub use fault::Schedule;
pub use load::Load;
pub use plan::DataCentre;
pub use plan::Plan;
pub use report::Report;
pub use site::Site;
pub use stage::Stage;

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;

/// Threads that upstreams, callers and the platform's stand-in share.
const THREADS: usize = 4;

/// Longest wait for waves to end once the load is over.
const WAVES: Duration = Duration::from_secs(30);

/// A whole run: the site, its callers, its faults.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// The site.
    pub plan: Plan,
    /// Its callers.
    pub load: Load,
    /// Its faults.
    pub schedule: Schedule,
    /// Seed of the callers.
    pub seed: u64,
}

/// What a future gives, if it gives it in time.
async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(limit).await;
        None
    };
    futures_lite::future::or(async { Some(future.await) }, late).await
}

/// Carries out a run and checks it.
pub async fn run(executor: &Arc<Executor<'static>>, run: &Run) -> io::Result<Report> {
    for number in 0..THREADS {
        let executor = Arc::clone(executor);
        let work = move || async_io::block_on(executor.run(std::future::pending::<()>()));
        thread::Builder::new().name(format!("stand-in-{number}")).spawn(work)?;
    }
    let site = Site::open(executor, &run.plan).await?;
    let callers = load::spawn(executor, &site, &run.load, run.seed);
    let watch = executor.spawn(monitor::watch(site.clone()));
    let faults = executor.spawn(act::carry_out(site.clone(), run.schedule.clone()));
    let jobs = executor.spawn(jobs::run(site.clone()));
    let mut reports = Vec::new();
    for caller in callers {
        reports.push(caller.await);
    }
    faults.await;
    if run.schedule.has_wave() {
        monitor::wait_for_waves(&site, WAVES).await;
    }
    let jobs = jobs.await;
    let seen = site.seen();
    drop(watch);
    let mut report = check::check(&site, &reports, &seen);
    jobs::check(&site, &jobs, &mut report).await;
    site.close().await;
    Ok(report)
}
