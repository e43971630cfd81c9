//! The client against a platform that fails: classes of errors, shedding, stale answers.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use cases::cases;
use futures_lite::StreamExt;
use futures_lite::stream;
use platform::Client;
use platform::Error;
use platform::budget::Site;
use platform::client::Concurrency;
use platform::client::Deadlines;
use platform::client::Settings;
use platform::outage::Class;
use platform::outage::ENOUGH_FAILURES;
use platform::outage::PROBE_CAP;
use platform::outage::State;
use platform::settle;
use platform::settle::Settled;
use platform::table::Condition;
use platform::table::Operation;
use platform::table::Position;
use platform::table::Table;
use platform::table::Transaction;
use platform::table::Version;
use platform::table::Write;
use platform::wait::Timer;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standin::platform::Faults;
use standin::platform::Memory;
use standin::platform::Server;

const ANY: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
/// Short enough to wait for, long enough for loopback.
const SHORT: Deadlines =
    Deadlines { control: Duration::from_millis(500), request: Duration::from_millis(500) };

fn settings(address: SocketAddr) -> Settings {
    Settings { addresses: vec![address], name: "porto/entry-1".to_owned(), ..Settings::default() }
}

fn write(key: &str, version: u64, value: &str) -> Transaction {
    Transaction {
        operation: Operation(format!("write {key} {value}")),
        conditions: vec![Condition { key: key.to_owned(), version: Version(version) }],
        writes: vec![Write { key: key.to_owned(), value: Some(value.to_owned()) }],
    }
}

/// Runs `check` with a client of a stand-in.
fn with_client(adjust: impl Fn(&mut Settings), check: impl AsyncFn(Client, Memory)) {
    let executor = Arc::new(Executor::new());
    let memory = Memory::new();
    let server = Server::bind(&executor, ANY.into(), memory.clone()).expect("loopback");
    let mut settings = settings(server.address());
    adjust(&mut settings);
    async_io::block_on(executor.run(check(Client::open(settings), memory)));
}

struct Failure {
    faults: Faults,
    write_unknown: bool,
}

cases! {
    an_error_is_unknown_only_where_there_may_be_an_effect;
    down: Failure { faults: Faults::DOWN, write_unknown: false },
    cut: Failure { faults: Faults::CUT, write_unknown: false },
    throttled: Failure { faults: Faults::THROTTLED, write_unknown: false },
    slow: Failure { faults: Faults::SLOW, write_unknown: true },
    lost_reply: Failure { faults: Faults::LOST_REPLY, write_unknown: true },
}
fn an_error_is_unknown_only_where_there_may_be_an_effect(failure: Failure) {
    with_client(
        |settings| settings.deadlines = SHORT,
        async |client, memory| {
            memory.set("porto", failure.faults);
            let error = client.commit(&write("a", 0, "one")).await.expect_err("a switch is on");
            assert_eq!(matches!(error, Error::Unknown(_)), failure.write_unknown, "{error}");
            let read = Table::get(&client, "a").await;
            assert!(matches!(read, Ok(_) | Err(Error::Unavailable(_))), "{read:?}");
        },
    );
}

#[test]
fn a_platform_that_is_not_there_is_unavailable_for_certain() {
    let listener = TcpListener::bind(SocketAddr::from(ANY)).expect("loopback");
    let address = listener.local_addr().expect("it is bound");
    drop(listener);
    let client = Client::open(settings(address));
    let error = async_io::block_on(client.commit(&write("a", 0, "one")));
    assert!(matches!(error, Err(Error::Unavailable(_))), "{error:?}");
}

#[test]
fn a_silent_platform_is_given_up_at_the_deadline() {
    let listener = TcpListener::bind(SocketAddr::from(ANY)).expect("loopback");
    let address = listener.local_addr().expect("it is bound");
    let client = Client::open(Settings { deadlines: SHORT, ..settings(address) });
    let error = async_io::block_on(client.commit(&write("a", 0, "one")));
    assert!(matches!(error, Err(Error::Unknown(_))), "{error:?}");
    drop(listener);
}

#[test]
fn an_unreachable_address_is_passed_over() {
    with_client(
        |settings| settings.addresses.insert(0, SocketAddr::from(([127, 0, 0, 1], 1))),
        async |client, _| {
            assert_eq!(Table::get(&client, "a").await, Ok(None));
        },
    );
}

#[test]
fn a_lost_reply_is_settled_over_the_network() {
    with_client(
        |_| (),
        async |client, memory| {
            memory.plan("porto", 0, Faults::LOST_REPLY);
            let mut random = ChaCha8Rng::seed_from_u64(1);
            let transaction = write("a", 0, "one");
            let end = settle::commit(&client, &transaction, &Timer, &mut random).await;
            assert_eq!(end, Ok(Settled::Done(Position(1))));
            assert_eq!(memory.effects(&transaction.operation), 1);
        },
    );
}

#[test]
fn an_outage_sheds_calls_unsent_and_a_probe_ends_it() {
    with_client(
        |_| (),
        async |client, memory| {
            memory.set("", Faults::DOWN);
            for _ in 0..ENOUGH_FAILURES {
                assert!(Table::get(&client, "a").await.is_err());
            }
            assert_eq!(client.state(), State::Out);
            let sent = memory.counters().refused.total;
            let start = http::clock::now();
            for _ in 0..500 {
                assert!(client.commit(&write("a", 0, "one")).await.is_err());
            }
            // Three pauses grow; after them no two probes are closer than half the cap.
            let pauses = start.elapsed().as_secs_f64() / (PROBE_CAP / 2).as_secs_f64();
            let most = 3 + pauses.ceil() as u64;
            let probes = memory.counters().refused.total - sent;
            assert!(probes <= most, "{probes} probes, {most} at most");
            assert_eq!(client.counters().shed_outage, 500 - probes);
            memory.set("", Faults::NONE);
            while client.state() == State::Out {
                async_io::Timer::after(Duration::from_millis(20)).await;
                let _ = client.commit(&write("a", 0, "one")).await;
            }
            assert_eq!(memory.effects(&Operation("write a one".to_owned())), 1);
        },
    );
}

#[test]
fn control_reads_do_not_pile_up_behind_a_slow_platform() {
    with_client(
        |_| (),
        async |client, memory| {
            memory.set("", Faults { latency: Duration::from_millis(100), ..Faults::NONE });
            let reads = stream::iter(0..40).map(|_| Table::get(&client, "a"));
            let reads: Vec<_> = reads.collect().await;
            let ends = join(reads).await;
            let answered = ends.iter().filter(|end| end.is_ok()).count();
            assert_eq!(answered, Concurrency::default().control);
            assert_eq!(memory.counters().reads.total, 4);
            // Duties have places of their own.
            assert!(client.of_class(Class::Duty).commit(&write("a", 0, "one")).await.is_ok());
        },
    );
}

/// Runs all to their ends at once.
async fn join<F: Future>(futures: Vec<F>) -> Vec<F::Output> {
    let executor = async_executor::LocalExecutor::new();
    let tasks: Vec<_> = futures.into_iter().map(|future| executor.spawn(future)).collect();
    let ends = async {
        let mut ends = Vec::new();
        for task in tasks {
            ends.push(task.await);
        }
        ends
    };
    executor.run(ends).await
}

#[test]
fn a_spent_budget_is_waited_for_or_shed_within_the_deadline() {
    with_client(
        |settings| {
            settings.site = Site { reads: 20, writes: 1 };
            settings.deadlines = SHORT;
        },
        async |client, memory| {
            for _ in 0..6 {
                assert!(Table::get(&client, "a").await.is_ok());
            }
            assert!(client.commit(&write("a", 0, "one")).await.is_ok());
            let spent = client.commit(&write("a", 1, "two")).await;
            assert!(matches!(spent, Err(Error::Unavailable(_))));
            assert_eq!(client.counters().shed_budget, 1);
            assert_eq!(memory.counters().writes.total, 1);
        },
    );
}

/// One that has just started sees nobody else yet, and must not spend the whole site's budget.
#[test]
fn an_entry_that_sees_no_others_keeps_to_its_share() {
    with_client(
        |settings| {
            settings.site = Site { reads: 10, writes: 10 };
            settings.entries = 10;
            settings.deadlines = SHORT;
        },
        async |client, memory| {
            client.share(1);
            assert!(Table::get(&client, "a").await.is_ok());
            assert!(Table::get(&client, "a").await.is_err());
            assert_eq!(memory.counters().reads.total, 1);
        },
    );
}

#[test]
fn an_answer_older_than_one_before_is_refused() {
    with_client(
        |_| (),
        async |client, memory| {
            memory.force(&write("a", 0, "one"));
            memory.set("porto", Faults::STALE);
            assert!(client.commit(&write("b", 0, "one")).await.is_ok());
            let stale = Table::get(&client, "b").await;
            assert!(matches!(stale, Err(Error::Unavailable(_))), "{stale:?}");
            assert_eq!((client.counters().stale, client.known()), (1, Position(2)));
            memory.set("porto", Faults::NONE);
            assert!(matches!(Table::get(&client, "b").await, Ok(Some(_))));
        },
    );
}

#[test]
fn a_position_learnt_from_others_refuses_older_answers() {
    with_client(
        |_| (),
        async |client, _| {
            client.learn(Position(5));
            assert!(matches!(Table::get(&client, "a").await, Err(Error::Unavailable(_))));
        },
    );
}

#[test]
fn a_broken_contract_is_told_apart() {
    with_client(
        |_| (),
        async |client, _| {
            let put = platform::object::Store::put(&client, "a/../b", b"").await;
            assert!(matches!(put, Err(Error::Malformed(_))));
            let large = vec![0; platform::rest::OBJECT_BYTES + 1];
            let put = platform::object::Store::put(&client, "a", &large).await;
            assert!(matches!(put, Err(Error::Malformed(_))));
        },
    );
}
