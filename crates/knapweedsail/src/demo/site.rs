//! A running site.

use std::collections::BTreeMap;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use control::act::Stamp;
use control::configuration::Change;
use fleet::config::Config;
use fleet::config::Revision;
use fleet::config::Service;
use fleet::config::Size;
use fleet::template::Set;
use fleet::view::Route;
use platform::client::Client;
use platform::instance::Listed;
use platform::instance::Role;
use platform::table::Row;
use standin::caller::Balancer;
use standin::platform::Memory;
use standin::platform::Server;
use standin::upstream;
use standin::upstream::Upstream;

use super::Plan;
use super::host::Host;
use super::monitor::Seen;
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
/// Where the control loop's rows lie in the table.
const ROWS: &str = "control/";
/// Longest wait for entries to be ready and a configuration to be in force.
const START: Duration = Duration::from_secs(30);
/// Time between two looks while waiting.
const PAUSE: Duration = Duration::from_millis(50);
/// What each instance can hold.
const CAPACITY: Size = Size { milli_cores: 32_000, memory_mb: 64_000, accelerators: 0 };

/// A running instance of the stand-ins.
#[derive(Clone, Debug)]
pub(super) struct Instance {
    pub(super) listed: Listed,
    pub(super) upstream: Upstream,
}

/// A running site. Clones are handles to the same one.
#[derive(Clone, Debug)]
pub struct Site {
    executor: Arc<Executor<'static>>,
    plan: Arc<Plan>,
    config: Arc<Config>,
    block: u8,
    _lock: Arc<TcpListener>,
    memory: Memory,
    platform: SocketAddr,
    balancer: Balancer,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    hosts: BTreeMap<String, Host>,
    instances: BTreeMap<String, Instance>,
    /// Instances that left the list, whose ledgers still count.
    left: Vec<Instance>,
    seen: Seen,
    /// Requests cut off by planned stops of entries.
    cut_off: usize,
    /// Whether an entry was killed: its callers are told nothing.
    killed: bool,
    started: u32,
}

impl Site {
    /// Starts the platform's stand-in, the instances and the entries, applies the documents and
    /// waits until they are in force.
    pub(super) async fn open(executor: &Arc<Executor<'static>>, plan: &Plan) -> io::Result<Self> {
        let (block, lock) = lock_block()?;
        let set = plan.documents.iter().fold(Set::default(), |set, each| set.with(each.clone()));
        let config = set.render().map_err(|problems| io::Error::other(format!("{problems:?}")))?;
        let memory = Memory::new();
        let platform = SocketAddr::new(address(block, 0, 2), PLATFORM);
        Server::bind(executor, platform, memory.clone())?;
        let site = Self {
            executor: Arc::clone(executor),
            plan: Arc::new(plan.clone()),
            config: Arc::new(config),
            block,
            _lock: Arc::new(lock),
            memory,
            platform,
            balancer: Balancer::default(),
            state: Arc::default(),
        };
        site.start_instances()?;
        site.start_hosts()?;
        executor.spawn(site.clone().balance()).detach();
        executor.spawn(site.clone().restart_instances()).detach();
        site.apply_documents().await?;
        site.wait_until_ready().await?;
        Ok(site)
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

    pub(super) fn balancer(&self) -> &Balancer {
        &self.balancer
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

    /// The entries that run, in order of their names.
    pub(super) fn hosts(&self) -> Vec<Host> {
        self.lock().hosts.values().cloned().collect()
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

    pub(super) fn seen(&self) -> Seen {
        self.lock().seen.clone()
    }

    pub(super) fn note(&self, note: impl FnOnce(&mut Seen)) {
        note(&mut self.lock().seen);
    }

    pub(super) fn cut_off(&self) -> usize {
        self.lock().cut_off
    }

    pub(super) fn was_killed(&self) -> bool {
        self.lock().killed
    }

    /// The control loop's rows that start with `prefix`, as they truly are.
    pub(super) fn rows(&self, prefix: &str) -> Vec<Row> {
        let rows = self.memory.rows(&format!("{ROWS}{prefix}")).into_iter();
        let bare = |row: Row| Row { key: row.key.trim_start_matches(ROWS).to_owned(), ..row };
        rows.map(bare).collect()
    }

    /// Ends an entry with no warning, and starts another.
    pub(super) async fn kill(&self, host: &Host) -> io::Result<()> {
        self.lock().killed = true;
        self.lock().hosts.remove(&host.settings().name);
        host.kill().await;
        self.memory.unlist_instance(&host.settings().name);
        self.replace(host)
    }

    /// Starts another entry, then stops this one in order.
    pub(super) async fn stop(&self, host: &Host) -> io::Result<()> {
        self.replace(host)?;
        let cut_off = host.stop().await;
        let mut state = self.lock();
        state.cut_off += cut_off;
        state.hosts.remove(&host.settings().name);
        self.memory.unlist_instance(&host.settings().name);
        Ok(())
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

    /// Stops everything in order.
    pub(super) async fn close(&self) {
        for host in self.hosts() {
            host.stop().await;
        }
    }

    fn start_instances(&self) -> io::Result<()> {
        let centres = self.plan.data_centres.len() as u32;
        let config = Arc::clone(&self.config);
        for (organisation, spec) in &config.organisations {
            for (pool, spec) in &spec.pools {
                for place in 0..spec.size {
                    let number = self.next_number();
                    let centre = number % centres;
                    let name = &self.plan.data_centres[centre as usize].name;
                    let rack = number / centres / self.plan.rack;
                    self.start_instance(Listed {
                        name: format!("{organisation}-{pool}-{place}"),
                        role: Role::Worker,
                        address: self.upstream_address(number).to_string(),
                        data_centre: name.clone(),
                        rack: format!("{name}-rack-{rack}"),
                        organisation: organisation.clone(),
                        pool: pool.clone(),
                        capacity: CAPACITY,
                        leaving: false,
                    })?;
                }
            }
        }
        Ok(())
    }

    fn start_instance(&self, listed: Listed) -> io::Result<()> {
        let address = listed.address.parse().map_err(io::Error::other)?;
        let settings =
            upstream::Settings { work_ms: self.plan.work_ms, ..upstream::Settings::default() };
        let upstream = Upstream::bind(&self.executor, address, settings)?;
        self.memory.list_instance(listed.clone());
        self.lock().instances.insert(listed.name.clone(), Instance { listed, upstream });
        Ok(())
    }

    fn start_hosts(&self) -> io::Result<()> {
        let plan = Arc::clone(&self.plan);
        let mut seeds = Vec::new();
        for (centre, data_centre) in plan.data_centres.iter().enumerate() {
            for number in 0..data_centre.entries {
                let address = address(self.block, centre as u8 + 1, number as u8 + 1);
                seeds.push((data_centre.name.clone(), address));
            }
        }
        for (data_centre, address) in &seeds {
            let others = seeds.iter().filter(|(_, other)| other != address).take(3);
            let others = others.map(|(_, other)| SocketAddr::new(*other, PEERS)).collect();
            self.start_host(data_centre, *address, others)?;
        }
        Ok(())
    }

    fn start_host(
        &self,
        data_centre: &str,
        address: IpAddr,
        seeds: Vec<SocketAddr>,
    ) -> io::Result<()> {
        let name = format!("entry-{address}");
        let settings = Settings {
            name: name.clone(),
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
        let client = Client::open(platform::client::Settings {
            addresses: vec![self.platform],
            name: format!("{data_centre}/{name}"),
            entries: self.plan.entries(),
            seed: u64::from(self.next_number()),
            ..platform::client::Settings::default()
        });
        self.memory.list_instance(Listed {
            name: name.clone(),
            role: Role::Entry,
            address: settings.peers.to_string(),
            data_centre: data_centre.to_owned(),
            rack: String::new(),
            organisation: String::new(),
            pool: String::new(),
            capacity: Size::default(),
            leaving: false,
        });
        let host = Host::spawn(settings, client)?;
        self.lock().hosts.insert(name, host);
        Ok(())
    }

    fn replace(&self, host: &Host) -> io::Result<()> {
        let number = self.next_number();
        let data_centre = host.settings().data_centre.clone();
        let address = numbered(self.block, REPLACED, number);
        self.start_host(&data_centre, address, host.settings().seeds.clone())
    }

    /// The platform's balancer: new connections go to the entries that are ready.
    async fn balance(self) {
        loop {
            let ready = self.hosts().into_iter().filter(|host| host.daemon().is_ready());
            self.balancer.set(ready.map(|host| host.daemon().callers()));
            Timer::after(PAUSE).await;
        }
    }

    /// The platform's part of a wave: restarts what entries asked to have restarted.
    async fn restart_instances(self) {
        let length = Duration::from_millis(self.plan.restart_ms);
        loop {
            for name in self.memory.take_restarts() {
                let instance = self.lock().instances.get(&name).cloned();
                let Some(instance) = instance else { continue };
                self.note(|seen| seen.restarts += 1);
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

    async fn apply_documents(&self) -> io::Result<()> {
        let hosts = self.hosts();
        let control = hosts.first().ok_or_else(|| io::Error::other("a site needs an entry"))?;
        let control = control.daemon().control().clone();
        let start = control::clock::instant();
        for (index, document) in self.plan.documents.iter().enumerate() {
            let seen = Revision(index as u64);
            let change = Change { seen, document: document.clone() };
            let operation = format!("site-{}", document.organisation);
            let stamp = Stamp { operation, author: "demo".to_owned() };
            while let Err(error) = control.apply(stamp.clone(), change.clone()).await {
                if start.elapsed() > START {
                    return Err(io::Error::other(format!("apply: {error}")));
                }
                Timer::after(PAUSE).await;
            }
        }
        Ok(())
    }

    async fn wait_until_ready(&self) -> io::Result<()> {
        let start = control::clock::instant();
        let serving = self.lock().instances.len();
        loop {
            let ready = self.hosts().iter().all(|host| host.daemon().is_ready());
            let rows = self.rows("instance/");
            let there = rows.iter().filter(|row| row.value.contains("\"serving\"")).count();
            if ready && there >= serving {
                return Ok(());
            }
            if start.elapsed() > START {
                let what = format!("not ready: {there} of {serving} instances serve");
                return Err(io::Error::other(what));
            }
            Timer::after(PAUSE).await;
        }
    }

    fn next_number(&self) -> u32 {
        let mut state = self.lock();
        state.started += 1;
        state.started
    }

    fn upstream_address(&self, number: u32) -> SocketAddr {
        SocketAddr::new(numbered(self.block, UPSTREAMS, number), UPSTREAM)
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
