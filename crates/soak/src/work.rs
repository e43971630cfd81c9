//! What goes wrong with work alone, drawn from a seed: instances that fail, hang or slow their runs,
//! while processes and connections are left in peace.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sitestand::Platform;

/// Usual duration of a run.
pub(crate) const RUN_TIME: Duration = Duration::from_millis(100);

/// Duration of a run on a slow instance.
const SLOW_RUN_TIME: Duration = Duration::from_millis(900);

/// Lays faults on the work of a site.
pub(crate) struct Trouble {
    /// The stand-ins.
    pub(crate) platform: Rc<Platform>,
    /// Where its choices come from.
    pub(crate) random: ChaCha8Rng,
    /// What was laid on, by kind.
    pub(crate) laid: BTreeMap<&'static str, u64>,
}

impl Trouble {
    /// Lays faults in series that overlap, for so long, and ends them all.
    pub(crate) async fn run(&mut self, time: Duration) {
        let end = node::clock::now() + time;
        while node::clock::now() < end {
            self.lay();
            let pause = self.random.random_range(300..2_000);
            Timer::after(Duration::from_millis(pause)).await;
            self.heal(false);
        }
        self.heal(true);
    }

    fn lay(&mut self) {
        let instances = &self.platform.instances;
        let victim = &instances[self.random.random_range(0..instances.len())];
        let kind = match self.random.random_range(0..8) {
            0..3 => {
                victim.fails_runs.set(true);
                "instance-fails"
            }
            3 | 4 => {
                victim.hangs.set(true);
                "instance-hangs"
            }
            5 | 6 => {
                victim.task_duration.set(SLOW_RUN_TIME);
                "instance-slow"
            }
            _ => {
                instances.iter().for_each(|instance| instance.fails_runs.set(true));
                "all-instances-fail"
            }
        };
        *self.laid.entry(kind).or_default() += 1;
    }

    /// Ends the trouble of some instances, each with one chance in three; of all if `all`.
    fn heal(&mut self, all: bool) {
        for instance in &self.platform.instances {
            if all || self.random.random_ratio(1, 3) {
                instance.fails_runs.set(false);
                instance.hangs.set(false);
                instance.task_duration.set(RUN_TIME);
            }
        }
    }
}
