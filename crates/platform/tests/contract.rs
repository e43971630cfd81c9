//! What docs/PLATFORM.md asks of a platform, checked through the client.
//!
//! Runs against the stand-in, or against the service at `KNAPWEEDSAIL_PLATFORM=ip:port`, where it
//! writes rows and objects under `contract/`.

use std::net::SocketAddr;
use std::sync::Arc;

use async_executor::Executor;
use cases::cases;
use platform::Client;
use platform::client::Settings;
use platform::instance::List;
use platform::object::Store;
use platform::table::Commit;
use platform::table::Condition;
use platform::table::Operation;
use platform::table::Position;
use platform::table::Row;
use platform::table::Table;
use platform::table::Transaction;
use platform::table::Version;
use platform::table::Write;
use standin::platform::Memory;
use standin::platform::Server;

const ANY: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

struct Subject {
    client: Client,
    /// Keys and names of this check start so.
    prefix: &'static str,
}

impl Subject {
    fn key(&self, name: &str) -> String {
        format!("{}{name}", self.prefix)
    }

    fn set(&self, name: &str, value: &str) -> Write {
        Write { key: self.key(name), value: Some(value.to_owned()) }
    }

    fn delete(&self, name: &str) -> Write {
        Write { key: self.key(name), value: None }
    }

    fn condition(&self, name: &str, version: Version) -> Condition {
        Condition { key: self.key(name), version }
    }

    async fn commit(&self, conditions: Vec<Condition>, writes: Vec<Write>) -> Commit {
        let operation = Operation("contract".to_owned());
        let transaction = Transaction { operation, conditions, writes };
        self.client.commit(&transaction).await.expect("the service is up")
    }

    async fn write(&self, conditions: Vec<Condition>, writes: Vec<Write>) -> Position {
        match self.commit(conditions, writes).await {
            Commit::Done(position) => position,
            refusal => panic!("{refusal:?}"),
        }
    }

    async fn get(&self, name: &str) -> Option<Row> {
        Table::get(&self.client, &self.key(name)).await.expect("the service is up")
    }
}

/// Runs one check against a service.
fn check(prefix: &'static str, check: impl AsyncFn(Subject)) {
    let executor = Arc::new(Executor::new());
    let address = match std::env::var("KNAPWEEDSAIL_PLATFORM") {
        Ok(address) => address.parse::<SocketAddr>().expect("an ip:port"),
        Err(_) => Server::bind(&executor, ANY.into(), Memory::new()).expect("loopback").address(),
    };
    let settings = Settings { addresses: vec![address], ..Settings::default() };
    let client = Client::open(settings);
    async_io::block_on(executor.run(check(Subject { client, prefix })));
}

#[test]
fn a_row_bears_position_operation_and_value() {
    check("contract/row/", async |subject| {
        let position = subject.write(vec![], vec![subject.set("a", "\u{e7} \"quoted\"\n")]).await;
        let row = subject.get("a").await.expect("it was written");
        assert_eq!(row.version, Version(position.0));
        assert_eq!(row.operation, Operation("contract".to_owned()));
        assert_eq!(row.value, "\u{e7} \"quoted\"\n");
        assert_eq!(subject.get("none").await, None);
    });
}

#[test]
fn versions_rise_even_across_a_deletion() {
    check("contract/rise/", async |subject| {
        let first = subject.write(vec![], vec![subject.set("a", "1")]).await;
        let gone = subject.write(vec![], vec![subject.delete("a")]).await;
        assert_eq!(subject.get("a").await, None);
        let again = subject.write(vec![], vec![subject.set("a", "1")]).await;
        assert!(first < gone && gone < again);
    });
}

#[test]
fn a_refusal_names_the_first_row_that_differs_and_writes_nothing() {
    check("contract/refusal/", async |subject| {
        let position = subject.write(vec![], vec![subject.set("a", "1")]).await;
        let fits = subject.condition("a", Version(position.0));
        let differs = subject.condition("a", Version(position.0 + 1_000));
        let refused = subject.commit(vec![fits, differs], vec![subject.set("b", "1")]).await;
        assert!(matches!(refused, Commit::Conflict(row) if row.version.0 == position.0));
        let absent = subject.condition("b", Version(position.0));
        let refused = subject.commit(vec![absent], vec![subject.set("b", "1")]).await;
        assert_eq!(refused, Commit::Missing(subject.key("b")));
        let exists = subject.condition("a", Version::ABSENT);
        let refused = subject.commit(vec![exists], vec![subject.set("b", "1")]).await;
        assert!(matches!(refused, Commit::Conflict(_)));
        assert_eq!(subject.get("b").await, None);
    });
}

#[test]
fn a_transaction_without_writes_checks_its_conditions() {
    check("contract/question/", async |subject| {
        let position = subject.write(vec![], vec![subject.set("a", "1")]).await;
        let fits = subject.condition("a", Version(position.0));
        assert!(matches!(subject.commit(vec![fits], vec![]).await, Commit::Done(_)));
        let differs = subject.condition("a", Version::ABSENT);
        assert!(matches!(subject.commit(vec![differs], vec![]).await, Commit::Conflict(_)));
    });
}

#[test]
fn a_scan_is_in_key_order_and_goes_on_after_a_key() {
    check("contract/scan/", async |subject| {
        let writes = ["b", "a", "c"].map(|name| subject.set(name, "1"));
        subject.write(vec![], writes.to_vec()).await;
        let prefix = subject.prefix;
        let first = subject.client.scan(prefix, "", 2).await.expect("the service is up");
        let keys: Vec<&str> = first.iter().map(|row| row.key.as_str()).collect();
        assert_eq!(keys, ["contract/scan/a", "contract/scan/b"]);
        let rest = subject.client.scan(prefix, keys[1], 2).await.expect("the service is up");
        assert_eq!(rest[0].key, "contract/scan/c");
        assert_eq!(rest.len(), 1);
    });
}

#[test]
fn changes_come_in_order_whole_and_under_the_prefix_alone() {
    check("contract/changes/", async |subject| {
        let start = subject.write(vec![], vec![subject.set("a", "0")]).await;
        let pair = subject.write(vec![], vec![subject.set("a", "1"), subject.set("b", "1")]).await;
        let elsewhere = Write { key: "contract/else".to_owned(), value: Some("1".to_owned()) };
        subject.write(vec![], vec![elsewhere]).await;
        let gone = subject.write(vec![], vec![subject.delete("a")]).await;
        let read = async |position| {
            let changes = subject.client.changes(subject.prefix, position, 1).await;
            changes.expect("the service is up")
        };
        let first = read(start).await;
        assert!(!first.truncated);
        assert_eq!(first.changes.len(), 2);
        assert!(first.changes.iter().all(|change| change.position == pair));
        let second = read(first.position).await;
        assert_eq!((second.changes[0].position, second.changes[0].row.as_ref()), (gone, None));
        assert!(read(second.position).await.changes.is_empty());
    });
}

#[test]
fn of_racing_transactions_one_wins() {
    check("contract/race/", async |subject| {
        let position = subject.write(vec![], vec![subject.set("a", "0")]).await;
        let version = Version(position.0);
        let race = |value| {
            let condition = subject.condition("a", version);
            subject.commit(vec![condition], vec![subject.set("a", value)])
        };
        let (one, other) = futures_lite::future::zip(race("1"), race("2")).await;
        let wins = [&one, &other].map(|end| u8::from(matches!(end, Commit::Done(_))));
        assert_eq!(wins[0] + wins[1], 1, "{one:?} {other:?}");
    });
}

#[test]
fn objects_are_whole_listed_in_order_and_removed() {
    check("contract/object/", async |subject| {
        let body: Vec<u8> = (0..=u8::MAX).cycle().take(300_000).collect();
        let client = &subject.client;
        for name in ["2", "1"] {
            client.put(&subject.key(name), &body).await.expect("the service is up");
        }
        let one = subject.key("1");
        let read = Store::get(client, &one).await.expect("the service is up");
        assert_eq!(read, Some(body));
        let names = Store::list(client, subject.prefix).await.expect("the service is up");
        assert_eq!(names, [subject.key("1"), subject.key("2")]);
        for name in names {
            client.remove(&name).await.expect("the service is up");
            client.remove(&name).await.expect("a second removal is no error");
        }
        assert_eq!(Store::get(client, &one).await, Ok(None));
    });
}

#[test]
fn the_instance_list_is_served() {
    check("contract/list/", async |subject| {
        List::list(&subject.client).await.expect("the service is up");
    });
}

cases! {
    an_object_name_stays_within_its_alphabet;
    plain: ("snapshots/1/0001-a", true),
    empty: ("", false),
    dots: ("a/../b", false),
    blank_step: ("a//b", false),
    space: ("a b", false),
    query: ("a?b", false),
    long: (&"a".repeat(201), false),
}
fn an_object_name_stays_within_its_alphabet((name, good): (&str, bool)) {
    assert_eq!(platform::rest::is_object_name(name), good);
}
