//! More work than a leader can start and store, drawn from a seed: many jobs at once, slow answers to
//! start commands and slow transactions, while long-running tasks fail and leaders change in series.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use node::rows;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use sitestand::Platform;

use crate::client::Client;
use crate::client::Stage;
use crate::fault::Faults;
use crate::process::Process;
use crate::work::RUN_TIME;

/// Callers at once, beside the usual ones.
pub(crate) const CLIENTS: u64 = 36;

/// CPU of the long-running tasks in millicores, one caller for each size.
const KEEPERS: [u64; 4] = [250, 1_000, 2_000, 4_500];

/// Callers that keep a long-running task that fits on no instance: more than a leader tries of a pool
/// of short jobs.
const UNFIT_KEEPERS: usize = 13;

/// CPU of a task that fits on no instance, in millicores.
const UNFIT_CPU: u64 = 8_500;

/// Duration of runs that fill a pool.
const LONG_RUN_TIME: Duration = Duration::from_millis(2_500);

/// Time in which the first jobs are accepted and started.
const RUN_IN: Duration = Duration::from_secs(3);

/// Time for which nothing is slow between two spells.
const RELIEF: Duration = Duration::from_secs(3);

/// Times after which start commands are answered, in milliseconds.
const START_LATENCIES: [u64; 3] = [350, 450, 550];

/// Times that a transaction takes, in milliseconds.
const TRANSACTION_LATENCIES: [u64; 3] = [0, 40, 150];

/// Loads a site, and changes its leaders.
pub(crate) struct Load {
    platform: Rc<Platform>,
    random: ChaCha8Rng,
    /// What callers are to do.
    stage: Rc<Cell<Stage>>,
}

impl Load {
    /// A load whose choices come from `random`.
    pub(crate) fn new(
        platform: &Rc<Platform>,
        mut random: ChaCha8Rng,
        stage: &Rc<Cell<Stage>>,
    ) -> Self {
        random.set_stream(u64::MAX);
        Self { platform: Rc::clone(platform), random, stage: Rc::clone(stage) }
    }

    /// Has `clients` submit jobs, and lays spells of slowness and changes of leader on the site, for
    /// so long.
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
    ) -> std::io::Result<()> {
        let mut clients = clients.into_iter();
        if self.random.random_ratio(1, 2) {
            for client in clients.by_ref().take(UNFIT_KEEPERS) {
                executor.spawn(client.keep(1, UNFIT_CPU)).detach();
            }
        }
        let count = (self.platform.instances.len() / 4).max(1);
        for (cpu, client) in KEEPERS.into_iter().zip(clients.by_ref()) {
            executor.spawn(client.keep(count, cpu)).detach();
        }
        Timer::after(RUN_IN).await;
        let mut failing = self.random.clone();
        failing.set_stream(u64::MAX - 1);
        executor.spawn(fail(Rc::clone(&self.platform), failing, Rc::clone(&self.stage))).detach();
        for client in clients {
            executor.spawn(client.run()).detach();
        }
        let end = node::clock::now() + time.saturating_sub(RUN_IN);
        while node::clock::now() < end {
            let kind = self.slow_down();
            *faults.laid.entry(kind).or_default() += 1;
            let spell = self.random.random_range(14..18);
            let spell = node::clock::now() + Duration::from_secs(spell);
            for _ in 0..self.random.random_range(0..4) {
                let kind = strike(&mut self.random, faults);
                *faults.laid.entry(kind).or_default() += 1;
                let pause = self.random.random_range(100..1_500);
                Timer::after(Duration::from_millis(pause)).await;
                faults.heal(false)?;
            }
            while node::clock::now() < spell {
                // A node that was told to stop ends meanwhile, and starts again.
                faults.heal(true)?;
                Timer::after(Duration::from_millis(200)).await;
            }
            self.speed_up();
            Timer::after(RELIEF).await;
        }
        Ok(())
    }

    /// Slows starts and transactions, or runs, so that they fill the pool.
    fn slow_down(&mut self) -> &'static str {
        let instances = &self.platform.instances;
        if self.random.random_ratio(1, 4) {
            instances.iter().for_each(|instance| instance.task_duration.set(LONG_RUN_TIME));
            return "slow-runs";
        }
        let latency = START_LATENCIES[self.random.random_range(0..START_LATENCIES.len())];
        let latency = Duration::from_millis(latency);
        instances.iter().for_each(|instance| instance.start_latency.set(latency));
        let place = self.random.random_range(0..TRANSACTION_LATENCIES.len());
        let latency = Duration::from_millis(TRANSACTION_LATENCIES[place]);
        self.platform.store.transaction_latency.set(latency);
        "slow-starts"
    }

    fn speed_up(&self) {
        for instance in &self.platform.instances {
            instance.start_latency.set(Duration::ZERO);
            instance.task_duration.set(RUN_TIME);
        }
        self.platform.store.transaction_latency.set(Duration::ZERO);
    }
}

/// Kills, stops or pauses the leader, or some node now and then; returns which of these.
pub(crate) fn strike(random: &mut ChaCha8Rng, faults: &Faults) -> &'static str {
    let leader = faults.platform.store.get(rows::LEADERS, rows::PARTITION, rows::LEADER);
    let mut nodes = faults.nodes.borrow_mut();
    let drawn = random.random_range(0..nodes.len());
    let kind = random.random_range(0..3);
    let is_leader =
        |node: &Process| leader.as_ref().is_some_and(|leader| leader["node"] == node.name);
    let leads = nodes.iter().position(is_leader).filter(|_| random.random_ratio(3, 4));
    let node = &mut nodes[leads.unwrap_or(drawn)];
    match kind {
        0 => {
            node.kill();
            "leader-kill"
        }
        1 => {
            node.signal(Signal::TERM);
            "leader-term"
        }
        _ => {
            node.signal(Signal::STOP);
            node.paused = true;
            "leader-pause"
        }
    }
}

/// Fails a long-running task now and then, until callers are to stop.
async fn fail(platform: Rc<Platform>, mut random: ChaCha8Rng, stage: Rc<Cell<Stage>>) {
    while stage.get() == Stage::Busy {
        let pause = random.random_range(200..1_200);
        Timer::after(Duration::from_millis(pause)).await;
        let first = random.random_range(0..platform.instances.len());
        let mut instances = platform.instances[first..].iter().chain(&platform.instances[..first]);
        instances.any(|instance| instance.fail_long_running());
    }
}
