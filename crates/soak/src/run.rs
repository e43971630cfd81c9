//! One run: a site, its callers, its faults, and what is checked.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sitestand::Platform;
use sitestand::Subnet;

use crate::Options;
use crate::client::Client;
use crate::client::Odd;
use crate::client::QUEUE;
use crate::client::Stage;
use crate::client::Told;
use crate::count;
use crate::fault::Faults;
use crate::keys;
use crate::keys::Keys;
use crate::load;
use crate::load::Load;
use crate::outage;
use crate::outage::Outage;
use crate::outage::Recovery;
use crate::process::Process;
use crate::proxy::Proxy;
use crate::series;
use crate::series::Series;
use crate::size;
use crate::size::Size;
use crate::strain;
use crate::upkeep;
use crate::upkeep::Upkeep;
use crate::watch::MAX_ATTEMPTS;
use crate::watch::Watch;
use crate::work::Trouble;
use crate::writer;

/// Callers at once.
const CLIENTS: u64 = 4;

/// Place of the caller that asks for counts and states.
const COUNTER: u64 = 1 << 20;

/// Time in which a site has to bring to an end what it accepted, once all faults are over: a change
/// of office, the longest leases, and the jobs themselves.
const SETTLE: Duration = Duration::from_secs(40);

/// Time for which nodes tell of a job that has ended.
pub(crate) const RETENTION: Duration = Duration::from_secs(120);

/// Time for which a site runs before its first fault.
const CALM: Duration = Duration::from_secs(2);

const LOOK: Duration = Duration::from_millis(200);

const PORTS: [u16; 4] = [7_901, 7_902, 7_903, 7_910];

/// What a run has shown.
#[derive(Debug, Default)]
pub(crate) struct Report {
    seed: u64,
    laid: BTreeMap<&'static str, u64>,
    answers: BTreeMap<String, u64>,
    accepted: usize,
    starts: u64,
    /// Number of crashes under tasks that crash their instances, and most starts of one of them.
    crashes: (u64, u64),
    held_up: u64,
    /// Maintenances, moves, runs at work that the system has ended, and those that were the last that could be.
    disruptions: (u64, u64, u64, u64),
    /// What was served around a loss of all nodes, if there was one.
    recovery: Option<Recovery>,
    broken: Vec<String>,
    folder: PathBuf,
}

impl Report {
    /// Whether a promise was broken.
    pub(crate) fn is_broken(&self) -> bool {
        !self.broken.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, accepted, starts, .. } = self;
        writeln!(formatter, "seed {seed}: {accepted} jobs accepted, {starts} tasks started")?;
        writeln!(formatter, "  faults: {:?}", self.laid)?;
        writeln!(formatter, "  answers: {:?}", self.answers)?;
        if self.held_up > 0 {
            writeln!(formatter, "  the watch for standstills was held up {} times", self.held_up)?;
        }
        if let (crashes @ 1.., most) = self.crashes {
            writeln!(formatter, "  {crashes} instances crashed, at most {most} under one task")?;
        }
        if let (maintenances @ 1.., moves, ended, last) = self.disruptions {
            writeln!(
                formatter,
                "  {maintenances} maintenances, {moves} moves, {ended} runs at work ended, {last} of them the last that could be"
            )?;
        }
        if let Some(recovery) = &self.recovery {
            writeln!(formatter, "  {recovery}")?;
        }
        for broken in self.broken.iter().take(20) {
            writeln!(formatter, "  BROKEN {broken}")?;
        }
        if self.is_broken() {
            writeln!(formatter, "  logs: {}", self.folder.display())?;
        }
        Ok(())
    }
}

/// Runs a site under the faults of a seed.
///
/// # Errors
///
/// The node's program can't be started, or addresses are taken.
pub(crate) fn run(options: &Options, seed: u64) -> io::Result<Report> {
    let executor = Rc::new(LocalExecutor::new());
    let site = executor.run(site(options, seed, Rc::clone(&executor)));
    async_io::block_on(site)
}

async fn site(
    options: &Options,
    seed: u64,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<Report> {
    let mut services = vec![(QUEUE, options.instances)];
    if options.upkeep_seconds > 0 {
        services.push((upkeep::QUEUE, upkeep::INSTANCES));
    }
    let platform = Platform::spawn(Rc::clone(&executor), node::clock::now, &services);
    if options.keys {
        keys::open(&platform);
    }
    let mut instances = Vec::new();
    for instance in &platform.instances {
        let proxy = Proxy::spawn(&executor, instance.address)?;
        instance.advertised.set(Some(proxy.address));
        instances.push(proxy);
    }
    let folder = folder(options, seed)?;
    let subnet = Subnet::reserve();
    let (nodes, stores) = nodes(options, seed, &platform, &executor, &folder, &subnet)?;
    let doors: Vec<SocketAddr> =
        nodes.iter().map(|node| SocketAddr::from((node.ip, PORTS[0]))).collect();
    let nodes = Rc::new(RefCell::new(nodes));
    let told = Rc::new(RefCell::new(Told::default()));
    let stage = Rc::new(Cell::new(Stage::Busy));
    let odd = Rc::new(Cell::new(Odd::None));
    let random = ChaCha8Rng::seed_from_u64(seed);
    let client = |place: u64| {
        let mut random = random.clone();
        random.set_stream(place + 1);
        let (told, platform) = (Rc::clone(&told), Rc::clone(&platform));
        let (stage, odd) = (Rc::clone(&stage), Rc::clone(&odd));
        Client::new(place, doors.clone(), told, platform, stage, odd, random)
    };
    for place in 0..CLIENTS {
        executor.spawn(client(place).run()).detach();
    }
    executor.spawn(count::run(client(COUNTER))).detach();
    if options.keys {
        let (told, stage) = (Rc::clone(&told), Rc::clone(&stage));
        let keys = Keys::new(Rc::clone(&platform), doors.clone(), told, stage, seed);
        executor.spawn(Rc::clone(&keys).change(random.clone())).detach();
        executor.spawn(keys.probe(random.clone())).detach();
    }
    let now = node::clock::now();
    let watch = Watch::new(now, &platform, &nodes, &stores, &instances, &told);
    executor.spawn(watch.run()).detach();
    executor.spawn(writer::run(Rc::clone(&platform), random.clone())).detach();
    Timer::after(CALM).await;
    let only = options.only.clone();
    let laid = BTreeMap::new();
    let mut faults = Faults {
        nodes,
        stores,
        instances,
        platform: Rc::clone(&platform),
        random: random.clone(),
        only,
        laid,
    };
    faults.run(Duration::from_secs(options.seconds)).await?;
    if options.work_seconds > 0 {
        trouble_work(options, seed, &mut faults, client(CLIENTS + 1), &executor).await;
    }
    if options.load_seconds > 0 {
        let clients = (0..load::CLIENTS).map(|place| client(CLIENTS + 2 + place)).collect();
        let load = Load::new(&platform, random.clone(), &stage);
        load.run(Duration::from_secs(options.load_seconds), clients, &mut faults, &executor)
            .await?;
    }
    if options.series_seconds > 0 {
        let first = CLIENTS + 2 + load::CLIENTS + outage::CLIENTS;
        let clients = (first..first + series::CLIENTS).map(client).collect();
        let time = Duration::from_secs(options.series_seconds);
        Series::new(random.clone()).run(time, clients, &mut faults, &executor).await?;
    }
    if options.deadly_seconds > 0 {
        odd.set(Odd::Deadly);
        strain::deadly(Duration::from_secs(options.deadly_seconds), &random, &mut faults).await?;
        odd.set(Odd::None);
    }
    if options.capacity_seconds > 0 {
        let first = CLIENTS + 2 + load::CLIENTS + outage::CLIENTS + series::CLIENTS;
        let clients = (first..first + outage::CLIENTS).map(client).collect();
        let time = Duration::from_secs(options.capacity_seconds);
        strain::shrink(time, &random, clients, &platform, &executor).await;
    }
    if options.refusal_seconds > 0 {
        let time = Duration::from_secs(options.refusal_seconds);
        strain::refuse(time, &random, &mut faults).await?;
    }
    if options.upkeep_seconds > 0 {
        let first = CLIENTS + 2 + load::CLIENTS + 2 * outage::CLIENTS + series::CLIENTS;
        let clients = (first..first + upkeep::CLIENTS).map(client).collect();
        let time = Duration::from_secs(options.upkeep_seconds);
        Upkeep::new(&platform, random.clone()).run(time, clients, &mut faults, &executor).await?;
    }
    if options.size_seconds > 0 {
        let first = CLIENTS + 2 + load::CLIENTS + 2 * outage::CLIENTS + series::CLIENTS;
        let clients =
            (first + upkeep::CLIENTS..first + upkeep::CLIENTS + size::CLIENTS).map(client);
        let time = Duration::from_secs(options.size_seconds);
        Size::new(&platform, random.clone())
            .run(time, clients.collect(), &mut faults, &executor)
            .await?;
    }
    let mut recovery = None;
    if options.outage_seconds > 0 {
        let first = CLIENTS + 2 + load::CLIENTS;
        let clients = (first..first + outage::CLIENTS).map(client).collect();
        let outage = Outage {
            platform: Rc::clone(&platform),
            told: Rc::clone(&told),
            random: random.clone(),
            bound: Duration::from_secs(options.recovery_bound),
        };
        let time = Duration::from_secs(options.outage_seconds);
        recovery = Some(outage.run(time, clients, &mut faults, &executor).await?);
    }
    stage.set(Stage::Quiet);
    rest(Duration::from_secs(options.quiet_seconds), &mut faults).await?;
    stage.set(Stage::Over);
    settle(client(CLIENTS), &mut faults, &platform, &told).await;
    // Detached tasks of the executor still refer to the nodes, so that dropping them ends none.
    faults.nodes.borrow_mut().iter_mut().for_each(Process::kill);
    let mut report = report(seed, &faults, &platform, &told, folder);
    report.broken.extend(recovery.as_ref().and_then(Recovery::violation));
    report.recovery = recovery;
    Ok(report)
}

/// Leaves processes and connections in peace, and lets only work fail.
async fn trouble_work(
    options: &Options,
    seed: u64,
    faults: &mut Faults,
    resident: Client,
    executor: &Rc<LocalExecutor<'static>>,
) {
    resident.odd.set(Odd::Impossible);
    let odd = Rc::clone(&resident.odd);
    executor.spawn(resident.reside()).detach();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(CLIENTS + 3);
    let platform = Rc::clone(&faults.platform);
    let mut trouble = Trouble { platform, random, laid: BTreeMap::new() };
    let troubled = trouble.run(Duration::from_secs(options.work_seconds));
    let healing = async {
        // A node that was told to stop in the last moment ends now, and starts again.
        while faults.heal(true).is_ok() {
            Timer::after(LOOK).await;
        }
        std::future::pending().await
    };
    troubled.or(healing).await;
    odd.set(Odd::None);
    faults.laid.extend(trouble.laid);
}

/// Waits until all nodes run and none is about to end, and then for `time`.
async fn rest(time: Duration, faults: &mut Faults) -> io::Result<()> {
    let mut rested_at = node::clock::now();
    while node::clock::now().since(rested_at) < time {
        faults.heal(true)?;
        if faults.nodes.borrow().iter().any(|node| node.leaving) {
            rested_at = node::clock::now();
        }
        Timer::after(LOOK).await;
    }
    Ok(())
}

fn folder(options: &Options, seed: u64) -> io::Result<PathBuf> {
    let parent = options.folder.clone().unwrap_or_else(std::env::temp_dir);
    let folder = parent.join(format!("knapweedsail-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

type Nodes = (Vec<Process>, Vec<Rc<Proxy>>);

fn nodes(
    options: &Options,
    seed: u64,
    platform: &Rc<Platform>,
    executor: &Rc<LocalExecutor<'static>>,
    folder: &std::path::Path,
    subnet: &Subnet,
) -> io::Result<Nodes> {
    let beside = std::env::current_exe()?.with_file_name("knapweedsail-node");
    let program = options.program.clone().unwrap_or(beside);
    let (mut nodes, mut stores) = (Vec::new(), Vec::new());
    for place in 0..options.nodes {
        let ip = Ipv4Addr::new(127, subnet.octet, place as u8 + 1, 1);
        let name = format!("node-{place}");
        let proxy = Proxy::spawn(executor, platform.store_address)?;
        let mut settings = platform.settings(&name, ip, PORTS);
        settings["platform"]["address"] = proxy.address.to_string().into();
        if options.keys {
            keys::set(&mut settings, seed);
        }
        let mut node = Process::new(&program, folder, &name, ip);
        node.write_settings(&settings)?;
        node.start()?;
        nodes.push(node);
        stores.push(proxy);
    }
    Ok((nodes, stores))
}

/// Waits until all that was accepted has come to its end, and says what has not.
async fn settle(
    mut client: Client,
    faults: &mut Faults,
    platform: &Rc<Platform>,
    told: &Rc<RefCell<Told>>,
) {
    let end = node::clock::now() + SETTLE;
    // What callers still ask for belongs to the run, and its end has to be waited for, too.
    while told.borrow().callers > 0 && node::clock::now() < end {
        if faults.heal(true).is_err() {
            break;
        }
        Timer::after(LOOK).await;
    }
    let mut open: Vec<String> = told.borrow().accepted.iter().cloned().collect();
    while !open.is_empty() && node::clock::now() < end {
        // A node that was told to stop in the last moment ends now.
        if faults.heal(true).is_err() {
            break;
        }
        let mut left = Vec::new();
        for job in open {
            let lasts = told.borrow().lasting.contains(&job);
            let state = client.state(&job).await;
            // A job has failed for good once a task has used up its attempts.
            let failed = platform.monitor.borrow().most_failures(&job) >= MAX_ATTEMPTS;
            let failed = failed || platform.monitor.borrow().is_deadly(&job);
            let wanted = match (lasts, failed) {
                (true, _) => "cancelled",
                (false, true) => "failed",
                (false, false) => "completed",
            };
            let cancelled = platform.monitor.borrow().cancelled.contains(&job);
            if state == "completed" && !lasts && !platform.monitor.borrow().is_done(&job) {
                let broken = format!("{job} is shown as completed, and is not done");
                told.borrow_mut().broken.push(broken);
            }
            let runs_on = cancelled && platform.monitor.borrow().running(&job) > 0;
            let ended_at = told.borrow().ended.get(&job).copied();
            if state == "410"
                && ended_at.is_some_and(|at| node::clock::now().since(at) >= RETENTION)
            {
                continue;
            }
            if runs_on || (state != wanted && (!lasts || cancelled)) {
                left.push(job);
            }
        }
        open = left;
        Timer::after(LOOK).await;
    }
    for job in open {
        let state = client.state(&job).await;
        told.borrow_mut().broken.push(format!("{job} was accepted and is {state} at the end"));
    }
}

fn report(
    seed: u64,
    faults: &Faults,
    platform: &Rc<Platform>,
    told: &Rc<RefCell<Told>>,
    folder: PathBuf,
) -> Report {
    let told = told.borrow();
    let monitor = platform.monitor.borrow();
    let mut broken = told.broken.clone();
    broken.extend(monitor.violations.iter().cloned());
    for job in &told.refused {
        if monitor.has_started(job) {
            broken.push(format!("{job} was refused each time, and ran"));
        }
    }
    let refused = platform.store.refused_sizes.get();
    if refused > 0 {
        broken.push(format!("the store has refused {refused} writes for their size"));
    }
    for job in &monitor.cancelled {
        if monitor.running(job) > 0 {
            broken.push(format!("{job} was cancelled, and runs"));
        }
    }
    Report {
        seed,
        laid: faults.laid.clone(),
        answers: told.answers.clone(),
        accepted: told.accepted.len(),
        starts: monitor.starts,
        crashes: (
            monitor.crashes().values().sum(),
            monitor.crashes().values().copied().max().unwrap_or_default(),
        ),
        held_up: told.held_up,
        disruptions: (
            platform.machines.maintenances.get(),
            platform.machines.moves.get(),
            monitor.availability.disruptions,
            monitor.availability.exhausted,
        ),
        recovery: None,
        broken,
        folder,
    }
}
