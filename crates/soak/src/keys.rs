//! Keys that come and go while a site is under faults, and probes with keys that are in force, withdrawn or
//! never were in a configuration.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use fleet::time::Time;
use http::Limits;
use http::Request;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use sitestand::Platform;
use sitestand::Tenant;

use crate::client::Stage;
use crate::client::Told;

/// Key of the usual callers, in every version.
pub(crate) const CALLERS: &str = "k-callers";

/// Time within which a version is in force, as the nodes' settings have it.
const APPLY: Duration = Duration::from_secs(2);

/// Time within which a withdrawn key is out of use on strict nodes.
const REVOKE: Duration = Duration::from_secs(5);

/// Longest wait for an answer to a probe.
const TIMEOUT: Duration = Duration::from_secs(3);

/// A key that was added, and until when it was in force.
#[derive(Clone, Debug)]
struct Key {
    text: String,
    added: Time,
    withdrawn: Option<Time>,
}

/// Versions that add and withdraw keys, and probes.
pub(crate) struct Keys {
    platform: Rc<Platform>,
    doors: Vec<SocketAddr>,
    told: Rc<RefCell<Told>>,
    stage: Rc<Cell<Stage>>,
    keys: RefCell<Vec<Key>>,
    strict: bool,
}

/// Whether nodes that can't learn of new versions refuse keys: in every other seed.
const fn is_strict(seed: u64) -> bool {
    seed % 2 == 1
}

/// Gives a site tenants, before its nodes start.
pub(crate) fn open(platform: &Platform) {
    configure(platform, Vec::new());
}

/// Sets the bounds in a node's settings.
pub(crate) fn set(settings: &mut Value, seed: u64) {
    settings["bounds"]["strictRevoke"] = is_strict(seed).into();
    settings["bounds"]["configApplyMs"] = (APPLY.as_millis() as u64).into();
    settings["bounds"]["revokeMs"] = (REVOKE.as_millis() as u64).into();
}

fn configure(platform: &Platform, changing: Vec<String>) {
    let tenant = |keys| Tenant { keys, weight: 1.0, ..Tenant::default() };
    let tenants = [
        ("callers".to_owned(), tenant(vec![CALLERS.to_owned()])),
        ("changing".to_owned(), tenant(changing)),
    ];
    *platform.tenants.borrow_mut() = Some(BTreeMap::from(tenants));
    platform.reconfigure();
}

impl Keys {
    /// Nothing is added yet.
    pub(crate) fn new(
        platform: Rc<Platform>,
        doors: Vec<SocketAddr>,
        told: Rc<RefCell<Told>>,
        stage: Rc<Cell<Stage>>,
        seed: u64,
    ) -> Rc<Self> {
        let (keys, strict) = (RefCell::default(), is_strict(seed));
        Rc::new(Self { platform, doors, told, stage, keys, strict })
    }

    /// Replaces keys, now and then some in quick succession, until callers are to stop.
    pub(crate) async fn change(self: Rc<Self>, mut random: ChaCha8Rng) {
        random.set_stream(u64::MAX - 7);
        while self.stage.get() != Stage::Over {
            for _ in 0..random.random_range(1..4) {
                self.replace(&mut random);
                Timer::after(Duration::from_millis(330)).await;
            }
            let pause = random.random_range(500..6_000);
            Timer::after(Duration::from_millis(pause)).await;
        }
    }

    /// Adds a key, and may withdraw the others.
    fn replace(&self, random: &mut ChaCha8Rng) {
        let now = node::clock::now();
        let mut keys = self.keys.borrow_mut();
        if random.random_bool(0.5) {
            let in_force = keys.iter_mut().filter(|key| key.withdrawn.is_none());
            in_force.for_each(|key| key.withdrawn = Some(now));
        }
        let text = format!("k-{:016x}", random.random::<u64>());
        keys.push(Key { text, added: now, withdrawn: None });
        let in_force = keys.iter().filter(|key| key.withdrawn.is_none());
        configure(&self.platform, in_force.map(|key| key.text.clone()).collect());
    }

    /// Calls nodes with keys, until callers are to stop.
    pub(crate) async fn probe(self: Rc<Self>, mut random: ChaCha8Rng) {
        random.set_stream(u64::MAX - 8);
        while self.stage.get() != Stage::Over {
            let known = self.keys.borrow().len();
            let last = known.saturating_sub(random.random_range(0..6) + 1);
            let text = match self.keys.borrow().get(last) {
                Some(key) if random.random_bool(0.8) => key.text.clone(),
                _ => format!("k-{:016x}", random.random::<u64>()),
            };
            let door = self.doors[random.random_range(0..self.doors.len())];
            let request = Request::new("GET", "/oven/").with_header("host", "site.example");
            let request = request.with_header("x-credential", &text);
            let sent = node::clock::now();
            let answer = http::call(door, &request, Limits::default(), TIMEOUT).await;
            if let Ok(answer) = answer {
                self.check(&text, sent, answer.status, door);
            }
            Timer::after(Duration::from_millis(random.random_range(20..120))).await;
        }
    }

    /// Checks the answer to a probe that was sent at `sent`.
    fn check(&self, text: &str, sent: Time, status: u16, door: SocketAddr) {
        let key = self.keys.borrow().iter().find(|key| key.text == text).cloned();
        let broken = match (&key, status) {
            (None, 200) => Some("served under a key that never was"),
            (Some(Key { withdrawn: Some(at), .. }), 200)
                if self.strict && sent.since(*at) > REVOKE =>
            {
                Some("served under a withdrawn key")
            }
            (Some(Key { withdrawn: None, added, .. }), 401) if sent.since(*added) > APPLY => {
                Some("refused for good under a key in force")
            }
            _ => None,
        };
        let mut told = self.told.borrow_mut();
        let kind = match &key {
            None => "never",
            Some(Key { withdrawn: None, .. }) => "in-force",
            Some(_) => "withdrawn",
        };
        *told.answers.entry(format!("key {kind} {status}")).or_default() += 1;
        if let Some(broken) = broken {
            let age = key.map(|key| sent.since(key.withdrawn.unwrap_or(key.added)));
            told.broken.push(format!("{door} has {broken}, {age:?} after its last version"));
        }
    }
}
