//! What membership costs one entry on real sockets, and how long a revision takes to reach all.
//!
//! The measured entry is a process of its own; all others share this one and load it.
//!
//! `cargo bench -p peer --bench cost`

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use fleet::config::Revision;
use fleet::time::Time;
use fleet::view::Load;
use fleet::view::Route;
use peer::Peer;
use peer::Settings;
use peer::Spread;
use peer::Status;
use peer::Summary;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wire::Key;

const ANY: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
/// Time for the members to find each other.
const SETTLE: Duration = Duration::from_secs(8);
/// Time that is measured.
const WINDOW: Duration = Duration::from_secs(20);
/// How often the load that an entry publishes changes.
const LOAD_STEP: Duration = Duration::from_millis(250);
/// How often the control loop looks at its peers.
const LOOK_STEP: Duration = Duration::from_millis(100);
/// UDP and IP headers of a datagram.
const HEADER_BYTES: u64 = 28;
/// Bytes of the documents that are spread.
const DOCUMENT_BYTES: usize = 200_000;
/// Revisions that are spread, one after the other.
const REVISIONS: u64 = 20;
/// What tells the measured process its part.
const MEASURED: &str = "--measured";

/// What an entry has to tell.
#[derive(Clone, Copy, Debug)]
struct Shape {
    members: usize,
    /// Instances with requests in flight.
    instances: usize,
    /// Services with demand.
    pools: usize,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let Some(at) = arguments.iter().position(|argument| argument == MEASURED) {
        return measured(&arguments[at + 1..]);
    }
    // `cargo test` runs benches too, with no argument of ours.
    if !arguments.iter().any(|argument| argument == "--bench") {
        return;
    }
    for (members, instances, pools) in
        [(9, 50, 5), (36, 50, 5), (72, 50, 5), (72, 100, 5), (72, 50, 35), (72, 150, 35)]
    {
        run(Shape { members, instances, pools });
    }
}

#[expect(clippy::disallowed_methods, reason = "a bench")]
fn instant() -> Instant {
    Instant::now()
}

fn start(
    executor: &Arc<Executor<'static>>,
    origin: Instant,
    number: usize,
    seeds: Vec<SocketAddr>,
) -> Peer {
    let settings = Settings {
        name: format!("entry-{number:03}"),
        region: "south".to_owned(),
        data_centre: format!("dc-{}", number / 9),
        bind: ANY.into(),
        seeds,
        beyond: Vec::new(),
        keys: vec![Key::new(1, [1; 32]).expect("it is long enough")],
        origin,
    };
    Peer::bind(executor, settings).expect("loopback")
}

/// Publishes a load that changes all the time, as requests come and go.
async fn publish(peer: Peer, shape: Shape, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let organisation = "doces-deepavali";
    loop {
        let mut load = Load { serial: 1, ..Load::default() };
        for number in 0..shape.instances {
            load.in_flight.insert(format!("runner-{number:04}"), random.random_range(1..=8));
        }
        for number in 0..shape.pools {
            let (organisation, service) = (organisation.to_owned(), format!("service-{number}"));
            load.demand.insert(Route { organisation, service }, random.random_range(1..=64));
        }
        let revision = Revision(1);
        peer.publish(Summary {
            revision,
            load,
            ready: true,
            platform: true,
            drains: BTreeMap::new(),
        });
        Timer::after(LOAD_STEP).await;
    }
}

fn run(shape: Shape) {
    let executor = Arc::new(Executor::new());
    let origin = instant();
    let mut peers: Vec<Peer> = Vec::new();
    for number in 1..shape.members {
        let seeds = peers.iter().take(2).map(Peer::address).collect();
        let peer = start(&executor, origin, number, seeds);
        executor.spawn(publish(peer.clone(), shape, number as u64)).detach();
        peers.push(peer);
    }
    let child = Command::new(std::env::current_exe().expect("this program"))
        .arg(MEASURED)
        .args([shape.members, shape.instances, shape.pools].map(|number| number.to_string()))
        .args(peers.iter().take(2).map(|peer| peer.address().to_string()))
        .stdout(Stdio::inherit())
        .spawn();
    let mut child = child.expect("this program starts again");
    let waited = async {
        while child.try_wait().expect("it is ours").is_none() {
            Timer::after(Duration::from_millis(50)).await;
        }
        spread(&peers).await
    };
    let times = async_io::block_on(executor.run(waited));
    let mid = times[times.len() / 2];
    let max = times[times.len() - 1];
    println!(
        "spread members={} bytes={DOCUMENT_BYTES} revisions={REVISIONS} median_ms={} max_ms={}",
        shape.members - 1,
        mid.as_millis(),
        max.as_millis()
    );
}

/// Offers one revision after the other from changing entries. Returns the times until all had each,
/// in order.
async fn spread(peers: &[Peer]) -> Vec<Duration> {
    let documents: Arc<str> = Arc::from("x".repeat(DOCUMENT_BYTES));
    let mut times = Vec::new();
    for revision in 1..=REVISIONS {
        let begin = instant();
        let first = revision as usize % peers.len();
        peers[first].offer(Revision(revision), Arc::clone(&documents));
        let others = peers.iter().enumerate().filter(|(number, _)| *number != first);
        for (_, peer) in others {
            let adopted = peer.adopted();
            while adopted.recv().await.expect("it runs").0 != Revision(revision) {}
        }
        times.push(begin.elapsed());
    }
    times.sort();
    times
}

/// The measured entry: members, instances, pools and two seeds are its arguments.
fn measured(arguments: &[String]) {
    let number = |at: usize| arguments[at].parse::<usize>().expect("a number");
    let shape = Shape { members: number(0), instances: number(1), pools: number(2) };
    let seeds = arguments[3..].iter().filter_map(|seed| seed.parse().ok()).collect();
    let executor = Arc::new(Executor::new());
    let origin = instant();
    let peer = start(&executor, origin, 0, seeds);
    executor.spawn(publish(peer.clone(), shape, 0)).detach();
    let look = async {
        let mut alive = 0;
        loop {
            Timer::after(LOOK_STEP).await;
            let now = Time::ZERO + origin.elapsed();
            let members = peer.members(now);
            alive = alive.max(count_alive(&members));
            if now >= Time::ZERO + SETTLE {
                return alive;
            }
        }
    };
    let measure = async {
        let alive = look.await;
        let (cpu, counters) = (cpu(), peer.counters());
        let begin = instant();
        while begin.elapsed() < WINDOW {
            Timer::after(LOOK_STEP).await;
            let members = peer.members(Time::ZERO + origin.elapsed());
            std::hint::black_box(count_alive(&members));
        }
        let seconds = begin.elapsed().as_secs_f64();
        let after = peer.counters();
        let datagrams = after.frames_sent + after.frames_received
            - counters.frames_sent
            - counters.frames_received;
        let sent = (after.bytes_sent - counters.bytes_sent) as f64;
        let received = (after.bytes_received - counters.bytes_received) as f64;
        let headers = (datagrams * HEADER_BYTES) as f64;
        let busy = (self::cpu() - cpu).as_secs_f64();
        println!(
            "cost members={} instances={} pools={} heard={alive} core_percent={:.3} \
             sent_bytes_per_sec={:.0} received_bytes_per_sec={:.0} with_headers={:.0} \
             datagrams_per_sec={:.1} resident_kb={}",
            shape.members,
            shape.instances,
            shape.pools,
            100.0 * busy / seconds,
            sent / seconds,
            received / seconds,
            (sent + received + headers) / seconds,
            datagrams as f64 / seconds,
            resident_kb()
        );
    };
    async_io::block_on(executor.run(measure));
}

fn count_alive(members: &[peer::Member]) -> usize {
    members.iter().filter(|member| member.status == Status::Alive).count()
}

/// Processor time of all threads of this process.
fn cpu() -> Duration {
    let tasks = std::fs::read_dir("/proc/self/task").expect("Linux");
    let nanos = tasks.flatten().map(|task| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        text.split(' ').next().and_then(|nanos| nanos.parse::<u64>().ok()).unwrap_or(0)
    });
    Duration::from_nanos(nanos.sum())
}

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}
