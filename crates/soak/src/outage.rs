//! A loss of all nodes at once under load, and the share of requests that is served before and after.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use fleet::time::Time;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::json;
use sitestand::Platform;

use crate::client::Client;
use crate::client::Told;
use crate::fault::Faults;
use crate::process::Process;
use crate::work::RUN_TIME;

/// Callers at once, beside the usual ones.
pub(crate) const CLIENTS: u64 = 48;

/// Interval at which each caller submits a job.
const INTERVAL: Duration = Duration::from_secs(1);

/// Duration of a run.
const LOADED_RUN_TIME: Duration = Duration::from_millis(500);

/// Duration of a run while a backlog builds up.
const BACKLOG_RUN_TIME: Duration = Duration::from_millis(2_500);

/// Time for which a backlog builds up before the loss.
const BACKLOG_TIME: Duration = Duration::from_secs(2);

/// Tasks of which two fit on an instance.
const DEMAND: Demand = Demand { cpu: 4_000, run_time: LOADED_RUN_TIME };

/// Time from its submission within which a job counts as served: three times its objective, which is
/// 1.6 times its work and 600 ms more.
const SERVED_WITHIN: Duration = Duration::from_millis(3 * (600 + 1_600 / 2));

/// A caller gives every so many-th request a connection of its own.
const FRESH_CONNECTION_RATIO: u32 = 4;

/// The tasks that callers ask for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    /// CPU of a task in millicores.
    pub(crate) cpu: u64,
    /// Duration of a run.
    pub(crate) run_time: Duration,
}

/// A request to take a job.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    at: Time,
    job: String,
}

/// Requests, and those of them that were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Share {
    served: usize,
    sent: usize,
}

impl Share {
    fn is_quarter(self) -> bool {
        self.sent > 0 && self.served * 4 >= self.sent
    }
}

impl fmt::Display for Share {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { served, sent } = self;
        write!(formatter, "{served} of {sent}")
    }
}

/// What was served around an outage.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Recovery {
    /// Of the requests sent before it.
    before: Share,
    /// Of those sent before the bound, but after the nodes were back.
    meanwhile: Share,
    /// Of those sent later than the bound.
    after: Share,
    bound: Duration,
}

impl Recovery {
    /// What is wrong with it, if anything.
    pub(crate) fn violation(&self) -> Option<String> {
        let broken = self.before.is_quarter() && !self.after.is_quarter();
        broken.then(|| {
            let Self { after, bound, .. } = self;
            let bound = bound.as_secs();
            format!("{after} requests served later than {bound} s after the nodes were back")
        })
    }
}

impl fmt::Display for Recovery {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { before, meanwhile, after, bound } = self;
        let bound = bound.as_secs();
        write!(formatter, "served before the outage {before}, ")?;
        write!(formatter, "in the {bound} s after it {meanwhile}, later {after}")?;
        if !before.is_quarter() {
            write!(formatter, " (not judged: less than a quarter before)")?;
        }
        Ok(())
    }
}

/// A loss of all nodes at once.
pub(crate) struct Outage {
    /// The stand-ins.
    pub(crate) platform: Rc<Platform>,
    /// What callers were told.
    pub(crate) told: Rc<RefCell<Told>>,
    /// Where its choices come from.
    pub(crate) random: ChaCha8Rng,
    /// Time in which the nodes have to serve again.
    pub(crate) bound: Duration,
}

impl Outage {
    /// Has `clients` submit more than the instances can do, takes all nodes down once, and measures
    /// for `time` before and after it what is served.
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
    ) -> std::io::Result<Recovery> {
        self.random.set_stream(u64::MAX - 2);
        self.set_run_time(LOADED_RUN_TIME);
        let sent = Rc::new(RefCell::new(Vec::new()));
        for client in clients {
            executor.spawn(press(client, DEMAND, Rc::clone(&sent))).detach();
        }
        Timer::after(time).await;
        let pressed_until = node::clock::now();
        if self.random.random_ratio(1, 2) {
            *faults.laid.entry("backlog").or_default() += 1;
            self.set_run_time(BACKLOG_RUN_TIME);
            Timer::after(BACKLOG_TIME).await;
        }
        if self.random.random_ratio(1, 2) {
            *faults.laid.entry("outage-after-accept").or_default() += 1;
            self.wait_for_acceptance().await;
        }
        *faults.laid.entry("outage").or_default() += 1;
        take_down(&mut faults.nodes.borrow_mut());
        self.set_run_time(LOADED_RUN_TIME);
        let down_ms = self.random.random_range(500..2_000);
        Timer::after(Duration::from_millis(down_ms)).await;
        faults.heal(true)?;
        let back = node::clock::now();
        Timer::after(self.bound + time).await;
        let measured_until = node::clock::now();
        // The load lasts until the last request that counts is served or late.
        Timer::after(SERVED_WITHIN).await;
        self.set_run_time(RUN_TIME);
        let sent = sent.borrow();
        let share = |from: Time, until: Time| self.share(&sent, from, until);
        Ok(Recovery {
            before: share(Time::ZERO, pressed_until),
            meanwhile: share(back, back + self.bound),
            after: share(back + self.bound, measured_until),
            bound: self.bound,
        })
    }

    fn set_run_time(&self, time: Duration) {
        self.platform.instances.iter().for_each(|instance| instance.task_duration.set(time));
    }

    async fn wait_for_acceptance(&self) {
        let accepted = self.told.borrow().accepted.len();
        let end = node::clock::now() + INTERVAL;
        while self.told.borrow().accepted.len() == accepted && node::clock::now() < end {
            Timer::after(Duration::from_millis(1)).await;
        }
    }

    /// Share of the requests sent within a span that were served in time.
    fn share(&self, sent: &[Sent], from: Time, until: Time) -> Share {
        let told = self.told.borrow();
        let mut share = Share::default();
        for request in sent.iter().filter(|request| request.at >= from && request.at < until) {
            let ended = told.ended.get(&request.job);
            share.sent += 1;
            share.served +=
                usize::from(ended.is_some_and(|ended| ended.since(request.at) <= SERVED_WITHIN));
        }
        share
    }
}

/// Kills all nodes at once.
pub(crate) fn take_down(nodes: &mut [Process]) {
    nodes.iter_mut().for_each(|node| node.signal(Signal::KILL));
    nodes.iter_mut().for_each(Process::kill);
}

/// Submits a job at each interval, once each, until callers are to stop. It has so many tasks that demand
/// is about 5/4 of what the instances can do.
pub(crate) async fn press(mut client: Client, demand: Demand, sent: Rc<RefCell<Vec<Sent>>>) {
    client.told.borrow_mut().callers += 1;
    let Demand { cpu, run_time } = demand;
    let instances = client.platform.instances.iter();
    let places: u64 = instances
        .map(|instance| instance.cpu.get().saturating_sub(instance.long_running_cpu()) / cpu)
        .sum();
    let run_ms = run_time.as_millis() as u64;
    // Each second there are 48 jobs of half the width in the mean.
    let width = (places * 1_000 / run_ms / 20).max(1);
    let first = client.random.random_range(Duration::ZERO..INTERVAL);
    Timer::after(first).await;
    let mut number: u64 = 0;
    while client.is_busy() {
        number += 1;
        let job = format!("{:08x}{number:08x}", client.place);
        let count = client.random.random_range(1..=width);
        let step = json!({ "count": count, "cpu": cpu, "memMb": 10, "estimateMs": run_ms });
        let body = json!({ "spec": format!("payload of {job}"), "phases": [step] });
        client.platform.monitor.borrow_mut().submitted.insert(job.clone(), body.clone());
        if client.random.random_ratio(1, FRESH_CONNECTION_RATIO) {
            client.disconnect();
        }
        let at = node::clock::now();
        sent.borrow_mut().push(Sent { at, job: job.clone() });
        client.submit_once(&job, &body).await;
        let spent = node::clock::now().since(at);
        Timer::after(INTERVAL.saturating_sub(spent)).await;
    }
    client.told.borrow_mut().callers -= 1;
}
