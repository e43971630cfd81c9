//! Jobs, lists of ended runs and numbers of maintenance waves of the largest size, drawn from a seed: idle
//! instances restart before anything shows it, the store turns the leader away, and leaders end.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use fleet::time::Time;
use node::rows;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;
use sitestand::Platform;

use crate::client::Client;
use crate::client::Stage;
use crate::fault::Faults;
use crate::load;
use crate::proxy::Mood;
use crate::work::RUN_TIME;

/// Callers at once, beside the usual ones.
pub(crate) const CLIENTS: u64 = 3;

/// Numbers of tasks of a large job: more than an answer of an instance lists, or a row of the store holds.
const TASKS: std::ops::RangeInclusive<u64> = 200..=2_000;

/// Durations of a run, in milliseconds.
const RUN_MS: [u64; 3] = [200, 900, 3_000];

/// Waves at a time.
const WAVES: u64 = 12;

/// Time that a wave may take.
const WAVE_TIME: Duration = Duration::from_secs(60);

/// Number of the first wave: other parts of a run have waves, too.
const FIRST_WAVE: u64 = 1 << 20;

/// Lays large jobs, waves and faults on a site.
pub(crate) struct Size {
    platform: Rc<Platform>,
    random: ChaCha8Rng,
    /// Number of the next wave.
    wave: u64,
}

impl Size {
    /// Jobs, waves and faults whose choices come from `random`.
    pub(crate) fn new(platform: &Rc<Platform>, mut random: ChaCha8Rng) -> Self {
        random.set_stream(u64::MAX - 7);
        Self { platform: Rc::clone(platform), random, wave: FIRST_WAVE }
    }

    /// Has `clients` submit large jobs, and lays waves and faults on the site, for so long.
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
        let end = node::clock::now() + time;
        let stage = Rc::new(Cell::new(Stage::Busy));
        for mut client in clients {
            client.stage = Rc::clone(&stage);
            executor.spawn(submit(client, end)).detach();
        }
        while node::clock::now() < end {
            let run_time = RUN_MS[self.random.random_range(0..RUN_MS.len())];
            let run_time = Duration::from_millis(run_time);
            self.platform.instances.iter().for_each(|it| it.task_duration.set(run_time));
            for _ in 0..self.random.random_range(1..4) {
                let kind = self.lay(faults);
                *faults.laid.entry(kind).or_default() += 1;
                let pause = self.random.random_range(50..900);
                Timer::after(Duration::from_millis(pause)).await;
            }
            let pause = self.random.random_range(200..2_500);
            Timer::after(Duration::from_millis(pause)).await;
            faults.heal(true)?;
        }
        stage.set(Stage::Over);
        self.platform.instances.iter().for_each(|it| it.task_duration.set(RUN_TIME));
        faults.heal(true)
    }

    fn lay(&mut self, faults: &Faults) -> &'static str {
        match self.random.random_range(0..8) {
            0 | 1 => {
                let mood = [Mood::Reset, Mood::Silent][self.random.random_range(0..2)];
                if let Some(leader) = leader(faults) {
                    faults.stores[leader].mood.set(mood);
                }
                "store-turns-leader-away"
            }
            2..=4 => {
                let idle = self.platform.instances.iter().filter(|it| it.runs() == 0);
                let idle: Vec<_> = idle.collect();
                if !idle.is_empty() {
                    idle[self.random.random_range(0..idle.len())].restart();
                }
                "idle-instance-restart"
            }
            5 | 6 => load::strike(&mut self.random, faults),
            _ => {
                for _ in 0..WAVES {
                    let instances = &self.platform.instances;
                    let place = self.random.random_range(0..instances.len());
                    let hosts = [Platform::host(&instances[place])];
                    self.platform.begin_wave(self.wave, &hosts, 1, WAVE_TIME);
                    self.wave += 1;
                }
                "many-waves"
            }
        }
    }
}

/// The place of the node that the store's row of the leader names.
fn leader(faults: &Faults) -> Option<usize> {
    let leader: Value = faults.platform.store.get(rows::LEADERS, rows::PARTITION, rows::LEADER)?;
    faults.nodes.borrow().iter().position(|node| leader["node"] == node.name)
}

/// Submits large jobs, one after the other, until callers are to stop or `end` has come.
async fn submit(mut client: Client, end: Time) {
    client.told.borrow_mut().callers += 1;
    let mut number: u64 = 0;
    while client.is_busy() && node::clock::now() < end {
        number += 1;
        let job = format!("{:08x}{number:08x}", client.place);
        let count = client.random.random_range(TASKS);
        let first = json!({ "count": 1, "cpu": 100, "memMb": 1, "estimateMs": 200 });
        let many = json!({ "count": count, "cpu": 1, "memMb": 1, "estimateMs": 900, "after": [0] });
        let body = json!({ "spec": format!("payload of {job}"), "phases": [first, many] });
        client.platform.monitor.borrow_mut().submitted.insert(job.clone(), body.clone());
        client.submit(&job, &body).await;
        let pause = client.random.random_range(200..1_500);
        Timer::after(Duration::from_millis(pause)).await;
    }
    client.told.borrow_mut().callers -= 1;
}
