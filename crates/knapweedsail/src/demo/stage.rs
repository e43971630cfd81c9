//! What surrounds the entries of a site: the platform's stand-in and the instances.

use std::collections::BTreeMap;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use fleet::config::Config;
use fleet::config::Service;
use fleet::config::Size;
use fleet::template::Set;
use fleet::view::Route;
use platform::instance::Listed;
use platform::instance::Role;
use platform::table::Row;
use standin::platform::Counters;
use standin::platform::Memory;
use standin::platform::Server;
use standin::upstream;
use standin::upstream::Upstream;
use standin::worker;
use standin::worker::Worker;

use super::Plan;
use crate::settings::Key;
use crate::settings::Settings;

/// Ports on each loopback address.
const CALLERS: u16 = 8_000;
const ADMIN: u16 = 8_001;
const PEERS: u16 = 8_002;
const PLATFORM: u16 = 9_000;
const UPSTREAM: u16 = 9_100;
/// The port that a running site holds on the first address of its block.
const LOCK: u16 = 7_999;
/// Third number of the first address of entries that replace others, and of upstreams.
const REPLACED: u8 = 30;
const UPSTREAMS: u8 = 100;
/// Addresses that share their third number.
const NUMBERS: u32 = 250;
/// Seeds that an entry is told of.
const SEEDS: usize = 3;
/// Where the control loop's rows lie in the table.
const ROWS: &str = "control/";
/// Time between two looks at what the platform is asked to do.
const PAUSE: Duration = Duration::from_millis(50);
/// What each instance can hold.
const CAPACITY: Size = Size { milli_cores: 32_000, memory_mb: 64_000, accelerators: 0 };

/// A running instance of the stand-ins.
#[derive(Clone, Debug)]
pub(super) struct Instance {
    pub(super) listed: Listed,
    pub(super) upstream: Upstream,
}

/// The platform's stand-in and the instances, running. Clones are handles to the same ones.
#[derive(Clone, Debug)]
pub struct Stage {
    executor: Arc<Executor<'static>>,
    plan: Arc<Plan>,
    config: Arc<Config>,
    block: u8,
    _lock: Arc<TcpListener>,
    memory: Memory,
    platform: SocketAddr,
    started: Arc<AtomicU32>,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    instances: BTreeMap<String, Instance>,
    /// Instances that left the list, whose ledgers still count.
    left: Vec<Instance>,
    restarts: u32,
}

impl Stage {
    /// Starts the platform's stand-in and every instance of the plan on `executor`.
    pub fn open(executor: &Arc<Executor<'static>>, plan: &Plan) -> io::Result<Self> {
        let (block, lock) = lock_block()?;
        let set = plan.documents.iter().fold(Set::default(), |set, each| set.with(each.clone()));
        let config = set.render().map_err(|problems| io::Error::other(format!("{problems:?}")))?;
        let memory = Memory::new();
        let platform = SocketAddr::new(address(block, 0, 2), PLATFORM);
        Server::bind(executor, platform, memory.clone())?;
        let stage = Self {
            executor: Arc::clone(executor),
            plan: Arc::new(plan.clone()),
            config: Arc::new(config),
            block,
            _lock: Arc::new(lock),
            memory,
            platform,
            started: Arc::default(),
            state: Arc::default(),
        };
        stage.start_instances()?;
        executor.spawn(stage.clone().restart_instances()).detach();
        Ok(stage)
    }

    /// What the platform's stand-in was asked so far.
    pub fn counters(&self) -> Counters {
        self.memory.counters()
    }

    /// Settings of every entry of the plan, each listed by the platform already.
    pub fn entries(&self) -> Vec<Settings> {
        let mut places = Vec::new();
        for (centre, data_centre) in self.plan.data_centres.iter().enumerate() {
            for number in 0..data_centre.entries {
                let address = address(self.block, centre as u8 + 1, number as u8 + 1);
                places.push((data_centre.name.clone(), address));
            }
        }
        let settings = |(data_centre, address): &(String, IpAddr)| {
            let others = places.iter().filter(|(_, other)| other != address).take(SEEDS);
            let others = others.map(|(_, other)| SocketAddr::new(*other, PEERS)).collect();
            self.enlist_entry(data_centre, *address, others)
        };
        places.iter().map(settings).collect()
    }

    /// Settings of an entry that takes the place of another.
    pub(super) fn replacement(&self, settings: &Settings) -> Settings {
        let address = numbered(self.block, REPLACED, self.next_number());
        self.enlist_entry(&settings.data_centre, address, settings.seeds.clone())
    }

    pub(super) fn executor(&self) -> &Arc<Executor<'static>> {
        &self.executor
    }

    pub(super) fn plan(&self) -> &Plan {
        &self.plan
    }

    pub(super) fn config(&self) -> &Config {
        &self.config
    }

    pub(super) fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Every service with its route and the slots that its pool has in all.
    pub(super) fn services(&self) -> Vec<(Route, Service, u32)> {
        let mut services = Vec::new();
        for (organisation, spec) in &self.config.organisations {
            for (name, service) in &spec.services {
                let route = Route { organisation: organisation.clone(), service: name.clone() };
                let size = spec.pools.get(&service.pool).map_or(0, |pool| pool.size);
                services.push((route, service.clone(), size * service.slots));
            }
        }
        services
    }

    /// The instances on the list, in order of their names.
    pub(super) fn instances(&self) -> Vec<Instance> {
        self.lock().instances.values().cloned().collect()
    }

    /// All instances that ever were.
    pub(super) fn all_instances(&self) -> Vec<Instance> {
        let state = self.lock();
        state.instances.values().chain(&state.left).cloned().collect()
    }

    /// The control loop's rows that start with `prefix`, as they truly are.
    pub(super) fn rows(&self, prefix: &str) -> Vec<Row> {
        let rows = self.memory.rows(&format!("{ROWS}{prefix}")).into_iter();
        let bare = |row: Row| Row { key: row.key.trim_start_matches(ROWS).to_owned(), ..row };
        rows.map(bare).collect()
    }

    /// Takes an instance off the list for good, and puts a new one on in its place.
    pub(super) fn swap_instance(&self, instance: &Instance) -> io::Result<()> {
        let name = instance.listed.name.clone();
        let number = self.next_number();
        let listed = Listed {
            name: format!("{}-new-{number}", instance.listed.pool),
            address: self.upstream_address(number).to_string(),
            ..instance.listed.clone()
        };
        self.start_instance(listed)?;
        self.memory.list_instance(Listed { leaving: true, ..instance.listed.clone() });
        let mut state = self.lock();
        if let Some(left) = state.instances.remove(&name) {
            state.left.push(left);
        }
        Ok(())
    }

    /// Starts the instances of all pools in turn, so that no rack holds much of one pool.
    fn start_instances(&self) -> io::Result<()> {
        let config = Arc::clone(&self.config);
        let mut places = Vec::new();
        for (organisation, spec) in &config.organisations {
            for (pool, spec) in &spec.pools {
                places.extend((0..spec.size).map(|place| (place, organisation, pool)));
            }
        }
        places.sort();
        for (place, organisation, pool) in places {
            let name = format!("{organisation}-{pool}-{place}");
            self.start_instance(self.place(name, organisation, pool))?;
        }
        Ok(())
    }

    /// The next place in a data centre and rack.
    fn place(&self, name: String, organisation: &str, pool: &str) -> Listed {
        let number = self.next_number();
        let centres = self.plan.data_centres.len() as u32;
        let data_centre = &self.plan.data_centres[(number % centres) as usize].name;
        let rack = number / centres / self.plan.rack;
        Listed {
            name,
            role: Role::Worker,
            address: self.upstream_address(number).to_string(),
            data_centre: data_centre.clone(),
            rack: format!("{data_centre}-rack-{rack}"),
            organisation: organisation.to_owned(),
            pool: pool.to_owned(),
            capacity: CAPACITY,
            leaving: false,
        }
    }

    fn start_instance(&self, listed: Listed) -> io::Result<()> {
        let address = listed.address.parse().map_err(io::Error::other)?;
        let settings =
            upstream::Settings { work_ms: self.plan.work_ms, ..upstream::Settings::default() };
        let worker = Worker::new(worker::Settings::default(), 1);
        let upstream = Upstream::bind_with(&self.executor, address, settings, Some(worker))?;
        self.memory.list_instance(listed.clone());
        self.lock().instances.insert(listed.name.clone(), Instance { listed, upstream });
        Ok(())
    }

    /// The platform's part of a wave: restarts what entries asked to have restarted.
    async fn restart_instances(self) {
        let length = Duration::from_millis(self.plan.restart_ms);
        loop {
            for name in self.memory.take_restarts() {
                let instance = self.lock().instances.get(&name).cloned();
                let Some(instance) = instance else { continue };
                self.lock().restarts += 1;
                let restart = async move {
                    instance.upstream.crash();
                    Timer::after(length).await;
                    let _ = instance.upstream.restart();
                };
                self.executor.spawn(restart).detach();
            }
            Timer::after(PAUSE).await;
        }
    }

    fn next_number(&self) -> u32 {
        self.started.fetch_add(1, Ordering::Relaxed)
    }

    fn upstream_address(&self, number: u32) -> SocketAddr {
        SocketAddr::new(numbered(self.block, UPSTREAMS, number), UPSTREAM)
    }

    /// Instances that waves had restarted so far.
    pub(super) fn restarts(&self) -> u32 {
        self.lock().restarts
    }

    fn enlist_entry(&self, data_centre: &str, address: IpAddr, seeds: Vec<SocketAddr>) -> Settings {
        let settings = Settings {
            name: format!("entry-{address}"),
            region: "demo".to_owned(),
            data_centre: data_centre.to_owned(),
            callers: SocketAddr::new(address, CALLERS),
            admin: SocketAddr::new(address, ADMIN),
            peers: SocketAddr::new(address, PEERS),
            seeds,
            beyond: Vec::new(),
            keys: vec![Key { id: 1, secret: "5a".repeat(32) }],
            platform: self.platform,
            grace_ms: 1_000,
            stop_ms: 10_000,
        };
        self.memory.list_instance(Listed {
            name: settings.name.clone(),
            role: Role::Entry,
            address: settings.peers.to_string(),
            data_centre: data_centre.to_owned(),
            rack: String::new(),
            organisation: String::new(),
            pool: String::new(),
            capacity: Size::default(),
            leaving: false,
        });
        settings
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// A part of 127.0.0.0/8 that no other site on this machine uses.
fn lock_block() -> io::Result<(u8, TcpListener)> {
    let first = (std::process::id() % 180) as u8;
    for step in 0..180 {
        let block = 20 + (first + step) % 180;
        if let Ok(lock) = TcpListener::bind((address(block, 0, 1), LOCK)) {
            return Ok((block, lock));
        }
    }
    Err(io::Error::other("every part of 127.0.0.0/8 is in use"))
}

/// The address of the entry, or the like, that is `number`th of those from `third` on.
fn numbered(block: u8, third: u8, number: u32) -> IpAddr {
    let step = u8::try_from(number / NUMBERS).unwrap_or(u8::MAX);
    address(block, third.saturating_add(step), (number % NUMBERS) as u8 + 1)
}

fn address(block: u8, third: u8, fourth: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, block, third, fourth))
}
