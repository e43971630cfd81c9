//! What goes wrong, drawn from a seed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use sitestand::Platform;

use crate::process::Process;
use crate::proxy::Mood;
use crate::proxy::Proxy;

/// Kinds of faults, as reports and `--only` name them.
pub(crate) const KINDS: [&str; 12] = [
    "kill",
    "term",
    "pause",
    "hup",
    "store-down",
    "store-mute",
    "store-slow",
    "store-forgets",
    "store-link",
    "instance-restart",
    "instance-link",
    "config",
];

/// A kind that only `--only` asks for, so that seeds draw what they always drew.
const STORE_LOSES: &str = "store-loses";

/// Lays faults on a site.
pub(crate) struct Faults {
    /// The nodes.
    pub(crate) nodes: Rc<RefCell<Vec<Process>>>,
    /// Before the store, one for each node.
    pub(crate) stores: Vec<Rc<Proxy>>,
    /// Before the instances.
    pub(crate) instances: Vec<Rc<Proxy>>,
    /// The stand-ins.
    pub(crate) platform: Rc<Platform>,
    /// Where its choices come from.
    pub(crate) random: ChaCha8Rng,
    /// Only faults of this kind.
    pub(crate) only: Option<String>,
    /// What was laid on, by kind.
    pub(crate) laid: BTreeMap<&'static str, u64>,
}

impl Faults {
    /// One fault, which may last while others follow: its end comes with [`Faults::heal`] or with
    /// the next fault on the same part.
    pub(crate) fn lay(&mut self) {
        let drawn = KINDS[self.random.random_range(0..KINDS.len())];
        let kind = match self.only.as_deref() {
            Some(STORE_LOSES) => STORE_LOSES,
            Some(only) if only != drawn => return,
            _ => drawn,
        };
        *self.laid.entry(kind).or_default() += 1;
        let node = self.random.random_range(0..self.stores.len());
        let instance = self.random.random_range(0..self.instances.len());
        let mood =
            [Mood::Slow, Mood::Silent, Mood::Deaf, Mood::Reset][self.random.random_range(0..4)];
        match kind {
            "kill" => self.nodes.borrow_mut()[node].kill(),
            "term" => self.nodes.borrow_mut()[node].signal(Signal::TERM),
            "pause" => {
                let mut nodes = self.nodes.borrow_mut();
                nodes[node].signal(Signal::STOP);
                nodes[node].paused = true;
            }
            "hup" => self.nodes.borrow_mut()[node].signal(Signal::HUP),
            "store-down" => self.platform.store.down.set(true),
            "store-mute" => self.platform.store.drops_answers.set(true),
            "store-slow" => self.platform.store.delay.set(Duration::from_millis(250)),
            STORE_LOSES => self.platform.store.loses_first_answers.set(true),
            "store-forgets" => self.platform.store.drop_history(),
            "store-link" => self.stores[node].mood.set(mood),
            "instance-restart" => self.platform.instances[instance].restart(),
            "instance-link" => self.instances[instance].mood.set(mood),
            _ => self.platform.rename_queues(),
        }
    }

    /// Ends some of what was laid on, each with one chance in three; all of it if `all`.
    pub(crate) fn heal(&mut self, all: bool) -> std::io::Result<()> {
        for place in 0..self.stores.len() {
            if all || self.random.random_ratio(1, 3) {
                self.stores[place].mood.set(Mood::Sound);
            }
            if all || self.random.random_ratio(1, 3) {
                let node = &mut self.nodes.borrow_mut()[place];
                if node.paused {
                    node.signal(Signal::CONT);
                    node.paused = false;
                }
                node.start()?;
            }
        }
        for proxy in &self.instances {
            if all || self.random.random_ratio(1, 3) {
                proxy.mood.set(Mood::Sound);
            }
        }
        if all || self.random.random_ratio(1, 3) {
            self.platform.store.down.set(false);
            self.platform.store.drops_answers.set(false);
            self.platform.store.loses_first_answers.set(false);
            self.platform.store.delay.set(Duration::ZERO);
        }
        Ok(())
    }

    /// Lays faults in series that overlap, for so long.
    pub(crate) async fn run(&mut self, time: Duration) -> std::io::Result<()> {
        let end = node::clock::now() + time;
        while node::clock::now() < end {
            for _ in 0..self.random.random_range(1..4) {
                self.lay();
            }
            let pause = self.random.random_range(200..1_800);
            Timer::after(Duration::from_millis(pause)).await;
            self.heal(false)?;
        }
        self.heal(true)
    }
}
