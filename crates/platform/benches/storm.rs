//! A whole site of entries starts at once: reads that the platform sees, and time until the last
//! entry has the table's state. Then an outage ends with thousands of calls waiting.
//!
//! `cargo bench -p platform --bench storm`

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::future;
use platform::Client;
use platform::client::Settings;
use platform::snapshot;
use platform::snapshot::Image;
use platform::table::Operation;
use platform::table::Position;
use platform::table::Table;
use platform::table::Transaction;
use platform::table::Write;
use platform::wait;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standin::platform::Faults;
use standin::platform::Memory;
use standin::platform::Server;

/// Rows of the target's table: instances, jobs, pools, teams, templates.
const ROWS: usize = 5_000;
/// Bytes of a row's value.
const VALUE_BYTES: usize = 250;
/// What the platform gives.
const READS: u64 = 2_000;
const WRITES: u64 = 300;
/// Callers of each entry that wait for the platform's return.
const CALLERS: usize = 100;

fn main() {
    // `cargo test` runs benches too, with no argument of ours.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    for entries in [9, 72] {
        start(entries, true);
        start(entries, false);
        outage_ends(entries);
    }
}

#[expect(clippy::disallowed_methods, reason = "a bench")]
fn now() -> Instant {
    Instant::now()
}

/// A stand-in with a table, served by a thread of its own.
fn serve(with_snapshot: bool) -> Server {
    let memory = Memory::new();
    let value = "x".repeat(VALUE_BYTES);
    for row in 0..ROWS {
        let write = Write { key: format!("row/{row:06}"), value: Some(value.clone()) };
        let operation = Operation(format!("set {row}"));
        memory.force(&Transaction { operation, conditions: vec![], writes: vec![write] });
    }
    if with_snapshot {
        let image = Image::new(memory.position(), memory.rows(""));
        let written = future::block_on(snapshot::write(&memory, &image, 3));
        written.expect("the store is up");
    }
    memory.forget_changes();
    memory.reset_counters();
    memory.limit(READS, WRITES);
    let executor = Arc::new(Executor::new());
    let any = ([127, 0, 0, 1], 0).into();
    let server = Server::bind(&executor, any, memory).expect("loopback");
    thread::spawn(move || async_io::block_on(executor.run(future::pending::<()>())));
    server
}

fn client(server: &Server, entries: u32, number: u32) -> Client {
    Client::open(Settings {
        addresses: vec![server.address()],
        name: format!("porto/entry-{number}"),
        entries,
        seed: u64::from(number),
        ..Settings::default()
    })
}

fn start(entries: u32, with_snapshot: bool) {
    let server = serve(with_snapshot);
    let executor = Executor::new();
    let begin = now();
    let tasks: Vec<_> = (0..entries)
        .map(|number| {
            let client = client(&server, entries, number);
            executor.spawn(async move {
                let mut random = ChaCha8Rng::seed_from_u64(u64::from(number));
                let wait = wait::Timer;
                let restore =
                    snapshot::restore_again(&client, &client, Position(0), &wait, &mut random);
                let restored = restore.await.expect("the store is up");
                assert_eq!(restored.image.len(), ROWS);
                begin.elapsed()
            })
        })
        .collect();
    let last = run(&executor, tasks).into_iter().max().unwrap_or_default();
    let counters = server.memory().counters();
    println!(
        "start entries={entries} snapshot={with_snapshot} rows={ROWS} reads={} peak_reads_per_sec={} \
         throttled={} last_ready_ms={}",
        counters.reads.total,
        counters.reads.peak,
        counters.throttled.total,
        last.as_millis()
    );
    assert!(counters.reads.peak <= READS, "the site's reads are exceeded");
}

/// The platform is down while `CALLERS` callers of each entry want a write each and the control
/// loop reads; then it returns.
fn outage_ends(entries: u32) {
    let server = serve(true);
    server.memory().set("", Faults::DOWN);
    let executor = Executor::new();
    let begin = now();
    let mut tasks = Vec::new();
    for number in 0..entries {
        let client = client(&server, entries, number);
        for caller in 0..CALLERS {
            let client = client.clone();
            tasks.push(executor.spawn(async move {
                wait_for_write(&client, number, caller).await;
                begin.elapsed()
            }));
        }
    }
    let memory = server.memory().clone();
    let mend = executor.spawn(async move {
        Timer::after(Duration::from_secs(5)).await;
        let refused = memory.counters().refused;
        memory.set("", Faults::NONE);
        refused
    });
    let refused = future::block_on(executor.run(mend));
    let last = run(&executor, tasks).into_iter().max().unwrap_or_default();
    let counters = server.memory().counters();
    println!(
        "outage entries={entries} callers={} probes_while_down={} peak_probes_per_sec={} \
         peak_writes_per_sec={} throttled={} last_caller_after_return_ms={}",
        entries as usize * CALLERS,
        refused.total,
        refused.peak,
        counters.writes.peak,
        counters.throttled.total,
        last.saturating_sub(Duration::from_secs(5)).as_millis()
    );
}

/// Asks again as often as it is told to, as a caller would.
async fn wait_for_write(client: &Client, number: u32, caller: usize) {
    let key = format!("claim/{number}/{caller}");
    let writes = vec![Write { key: key.clone(), value: Some("claimed".to_owned()) }];
    let transaction = Transaction { operation: Operation(key), conditions: vec![], writes };
    while client.commit(&transaction).await.is_err() {
        Timer::after(Duration::from_millis(200)).await;
    }
}

fn run<T: Send>(executor: &Executor<'_>, tasks: Vec<async_executor::Task<T>>) -> Vec<T> {
    let all = async {
        let mut ends = Vec::new();
        for task in tasks {
            ends.push(task.await);
        }
        ends
    };
    async_io::block_on(executor.run(all))
}
