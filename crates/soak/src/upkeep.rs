//! Maintenance waves and moves of machines under long-running tasks of which few may be unavailable at once, drawn from a seed:
//! leaders end, stop and freeze between a call for a machine and its effect, answers are lost, calls are
//! carried out late, and runs hang for a while. In between, all nodes lose power just after a job of three
//! steps was accepted.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use fleet::time::Time;
use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::json;
use sitestand::Platform;

use crate::client;
use crate::client::Client;
use crate::fault::Faults;
use crate::load;
use crate::outage;

/// Queue of short jobs that come in bursts, so that machines move to its pool and away.
pub(crate) const QUEUE: &str = "kiln";

/// Number of instances of its pool at first.
pub(crate) const INSTANCES: usize = 3;

/// Time between two changes from a burst to none and back.
const BURST_TIME: Duration = Duration::from_secs(5);

/// CPU of a task of a burst in millicores.
const BURST_CPU: u64 = 4_000;

/// Callers that keep a long-running job each.
const KEEPERS: usize = 5;

/// Callers at once, beside the usual ones: those that keep a job, and those that submit short ones.
pub(crate) const CLIENTS: u64 = KEEPERS as u64 + 6 + BURSTING as u64;

/// Callers of [`QUEUE`].
const BURSTING: usize = 4;

/// CPU of long-running tasks in millicores.
const KEPT_CPU: [u64; 4] = [250, 500, 1_000, 1_500];

/// Time in which the first jobs are accepted and started.
const RUN_IN: Duration = Duration::from_secs(2);

/// Durations of a span with faults, in milliseconds.
const FAULTY_MS: std::ops::Range<u64> = 5_000..9_000;

/// Duration of a span without faults, in which waves go on: long enough for work that stands still to be
/// noticed.
const CALM_TIME: Duration = Duration::from_millis(8_500);

/// Time that a wave may take.
const WAVE_TIME: Duration = Duration::from_secs(20);

/// Longest wait for a call for a machine before a fault is laid all the same.
const MAX_CALL_WAIT: Duration = Duration::from_millis(800);

/// Interval between two looks.
const LOOK: Duration = Duration::from_millis(5);

/// Lays waves and faults on a site.
pub(crate) struct Upkeep {
    platform: Rc<Platform>,
    random: ChaCha8Rng,
    /// Number of the newest wave.
    wave: u64,
    /// Machines that wait for their turn in a wave.
    hosts: Vec<String>,
    /// Whether waves come faster, and a machine may be in several at once.
    dense: bool,
}

impl Upkeep {
    /// Waves and faults whose choices come from `random`.
    pub(crate) fn new(platform: &Rc<Platform>, mut random: ChaCha8Rng) -> Self {
        random.set_stream(u64::MAX - 6);
        let dense = random.random_ratio(1, 3);
        Self { platform: Rc::clone(platform), random, wave: 0, hosts: Vec::new(), dense }
    }

    /// Has `clients` keep long-running jobs and submit short ones, and lays waves and faults on the site,
    /// for so long.
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
        let end = node::clock::now() + time;
        let startup = Duration::from_millis(self.random.random_range(0..600));
        self.platform.instances.iter().for_each(|it| it.startup_time.set(startup));
        let mut clients = clients.into_iter();
        for client in clients.by_ref().take(KEEPERS) {
            let step = self.draw_kept();
            executor.spawn(client.keep_step(step)).detach();
        }
        for client in clients.by_ref().take(BURSTING) {
            executor.spawn(chain(client, end, QUEUE)).detach();
        }
        for client in clients {
            executor.spawn(chain(client, end, client::QUEUE)).detach();
        }
        Timer::after(RUN_IN).await;
        while node::clock::now() < end {
            let span = Duration::from_millis(self.random.random_range(FAULTY_MS));
            let until = (node::clock::now() + span).min(end);
            self.begin_wave();
            while node::clock::now() < until {
                self.lay(faults).await?;
                if self.random.random_ratio(if self.dense { 2 } else { 1 }, 6) {
                    self.begin_wave();
                }
                self.heal(false);
                faults.heal(false)?;
            }
            if self.random.random_ratio(1, 2) {
                self.lose_power(faults).await?;
            }
            self.heal(true);
            let until = node::clock::now() + CALM_TIME;
            if until < end {
                self.begin_wave();
                while node::clock::now() < until {
                    faults.heal(true)?;
                    Timer::after(LOOK * 20).await;
                }
            }
        }
        self.heal(true);
        self.platform.instances.iter().for_each(|it| it.startup_time.set(Duration::ZERO));
        faults.heal(true)
    }

    fn draw_kept(&mut self) -> serde_json::Value {
        let instances = self.platform.instances.len();
        let count = self.random.random_range(2..=(instances / 2).max(3));
        let may_miss = self.random.random_range(1..=(count / 4).max(1));
        let cpu = KEPT_CPU[self.random.random_range(0..KEPT_CPU.len())];
        json!({
            "count": count, "cpu": cpu, "memMb": 10, "estimateMs": 100, "longRunning": true,
            "mayMiss": may_miss, "antiAffinity": self.random.random_range(1..=3),
        })
    }

    /// Begins a wave over machines that have waited longest for one, at most half of them.
    fn begin_wave(&mut self) {
        self.wave += 1;
        let half = self.platform.instances.len().div_ceil(2);
        if self.dense {
            self.hosts.clear();
        }
        if self.hosts.len() < half {
            let instances = self.platform.instances.iter();
            let mut more: Vec<String> = instances.map(|it| Platform::host(it)).collect();
            more.retain(|host| !self.hosts.contains(host));
            more.shuffle(&mut self.random);
            self.hosts.extend(more);
        }
        let hosts: Vec<String> = self.hosts.drain(..self.random.random_range(1..=half)).collect();
        let max_down = self.random.random_range(1..=hosts.len().div_ceil(2));
        self.platform.begin_wave(self.wave, &hosts, max_down, WAVE_TIME);
    }

    /// Lays one fault, and waits a little.
    async fn lay(&mut self, faults: &mut Faults) -> io::Result<()> {
        let victim = self.random.random_range(0..self.platform.instances.len());
        let delay = Duration::from_millis(self.random.random_range(800..4_000));
        let victim = Rc::clone(&self.platform.instances[victim]);
        let machines = &self.platform.machines;
        let kind = match self.random.random_range(0..15) {
            0..=3 => {
                // Between a call and its effect, or the answer to it.
                self.wait_for_call().await;
                let pause = self.random.random_range(0..300);
                Timer::after(Duration::from_millis(pause)).await;
                load::strike(&mut self.random, faults)
            }
            4 | 5 => {
                machines.drops_answers.set(true);
                "machine-answers-lost"
            }
            6 | 7 => {
                machines.delay.set(delay);
                "machine-calls-late"
            }
            8 | 9 => {
                victim.hangs.set(true);
                "instance-hangs"
            }
            10 => {
                victim.drops_answers.set(true);
                "instance-answers-lost"
            }
            11 => {
                victim.delay.set(delay);
                "instance-late"
            }
            12 => {
                let mut nodes = faults.nodes.borrow_mut();
                let place = self.random.random_range(0..nodes.len());
                let node = &mut nodes[place];
                node.alter_settings()?;
                node.signal(Signal::HUP);
                "hup"
            }
            13 => {
                self.platform.reconfigure();
                "config"
            }
            _ if self.random.random_ratio(1, 2) => {
                victim.restart();
                "instance-restart"
            }
            _ => {
                victim.fail_long_running();
                "long-running-fails"
            }
        };
        *faults.laid.entry(kind).or_default() += 1;
        let pause = self.random.random_range(100..1_200);
        Timer::after(Duration::from_millis(pause)).await;
        Ok(())
    }

    async fn wait_for_call(&self) {
        let calls = self.platform.machines.calls.get();
        let until = node::clock::now() + MAX_CALL_WAIT;
        while self.platform.machines.calls.get() == calls && node::clock::now() < until {
            Timer::after(LOOK).await;
        }
    }

    /// Ends faults of the platform and of instances, each with one chance in four; of all if `all`.
    fn heal(&mut self, all: bool) {
        let machines = &self.platform.machines;
        if all || self.random.random_ratio(1, 4) {
            machines.drops_answers.set(false);
        }
        if all || self.random.random_ratio(1, 4) {
            machines.delay.set(Duration::ZERO);
        }
        for instance in &self.platform.instances {
            if all || self.random.random_ratio(1, 4) {
                instance.hangs.set(false);
                instance.drops_answers.set(false);
                instance.delay.set(Duration::ZERO);
            }
        }
    }

    /// Takes all nodes down just after a job was accepted, while an instance restarts, and starts them
    /// again.
    async fn lose_power(&mut self, faults: &mut Faults) -> io::Result<()> {
        *faults.laid.entry("outage-after-accept").or_default() += 1;
        faults.heal(true)?;
        let starts = self.platform.monitor.borrow().starts;
        let until = node::clock::now() + MAX_CALL_WAIT;
        while self.platform.monitor.borrow().starts == starts && node::clock::now() < until {
            Timer::after(LOOK).await;
        }
        let pause = self.random.random_range(0..150);
        Timer::after(Duration::from_millis(pause)).await;
        outage::take_down(&mut faults.nodes.borrow_mut());
        for instance in &self.platform.instances {
            if self.random.random_ratio(1, 8) {
                instance.restart();
            }
        }
        let down_ms = self.random.random_range(300..2_000);
        Timer::after(Duration::from_millis(down_ms)).await;
        faults.heal(true)
    }
}

fn is_between_bursts(now: Time) -> bool {
    now.as_millis() as u128 / BURST_TIME.as_millis() % 2 == 1
}

/// Submits jobs of three steps, one after the other, until callers are to stop or `end` has come.
async fn chain(mut client: Client, end: Time, queue: &'static str) {
    client.told.borrow_mut().callers += 1;
    let mut number: u64 = 0;
    while client.is_busy() && node::clock::now() < end {
        number += 1;
        let job = format!("{:08x}{number:08x}", client.place);
        let mut steps = Vec::new();
        for index in 0..3_u64 {
            let count = client.random.random_range(1..=4);
            let cpu = [250, 500, 2_000][client.random.random_range(0..3)];
            let cpu = if queue == QUEUE { BURST_CPU } else { cpu };
            let after: Vec<u64> = index.checked_sub(1).into_iter().collect();
            steps.push(json!({
                "count": count, "cpu": cpu, "memMb": 10, "estimateMs": 100, "after": after,
            }));
        }
        let body = json!({ "spec": format!("payload of {job}"), "phases": steps });
        client.platform.monitor.borrow_mut().submitted.insert(job.clone(), body.clone());
        client.told.borrow_mut().queues.insert(job.clone(), queue);
        client.submit(&job, &body).await;
        let quiet = queue == QUEUE && is_between_bursts(node::clock::now());
        let pause = client.random.random_range(50..400) * if quiet { 10 } else { 1 };
        Timer::after(Duration::from_millis(pause)).await;
    }
    client.told.borrow_mut().callers -= 1;
}
