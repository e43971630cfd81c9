//! The stand-in's switches do what they say.

use cases::cases;
use fleet::time::Time;
use futures_lite::future::block_on;
use platform::Error;
use platform::object::Store as _;
use platform::table::Commit;
use platform::table::Condition;
use platform::table::Operation;
use platform::table::Position;
use platform::table::Table;
use platform::table::Transaction;
use platform::table::Version;
use platform::table::Write;
use standin::platform::Faults;
use standin::platform::Memory;

fn write(key: &str, version: u64, value: &str) -> Transaction {
    Transaction {
        operation: Operation(format!("write {key} {value}")),
        conditions: vec![Condition { key: key.to_owned(), version: Version(version) }],
        writes: vec![Write { key: key.to_owned(), value: Some(value.to_owned()) }],
    }
}

fn value(memory: &Memory, key: &str) -> Option<String> {
    block_on(Table::get(memory, key)).expect("the table is up").map(|row| row.value)
}

struct Refusal {
    faults: Faults,
    /// Whether the write is there after its failure.
    written: bool,
    /// How many held-back writes take effect afterwards.
    arrives: usize,
    unknown: bool,
}

cases! {
    a_failed_write_had_the_effect_that_its_switch_says;
    down: Refusal { faults: Faults::DOWN, written: false, arrives: 0, unknown: false },
    cut: Refusal { faults: Faults::CUT, written: false, arrives: 0, unknown: false },
    throttled: Refusal { faults: Faults::THROTTLED, written: false, arrives: 0, unknown: false },
    slow: Refusal { faults: Faults::SLOW, written: false, arrives: 1, unknown: true },
    lost_reply: Refusal { faults: Faults::LOST_REPLY, written: true, arrives: 0, unknown: true },
}
fn a_failed_write_had_the_effect_that_its_switch_says(refusal: Refusal) {
    let memory = Memory::new();
    let client = memory.client("porto/entry-1");
    memory.set("porto", refusal.faults);
    let failed = block_on(client.commit(&write("a", 0, "one"))).expect_err("a switch is on");
    assert_eq!(matches!(failed, Error::Unknown(_)), refusal.unknown);
    let other = memory.client("lisbon/entry-2");
    assert_eq!(value(&other, "a").is_some(), refusal.written);
    assert_eq!(memory.arrive(), refusal.arrives);
}

#[test]
fn a_scope_covers_its_data_centre_alone() {
    let memory = Memory::new();
    memory.set("porto", Faults::DOWN);
    assert!(memory.client("porto/entry-1").faults().down);
    assert!(!memory.client("portofino/entry-1").faults().down);
    memory.set("porto", Faults::NONE);
    assert!(!memory.client("porto/entry-1").faults().down);
}

#[test]
fn only_the_planned_call_goes_wrong() {
    let memory = Memory::new();
    memory.plan("", 1, Faults::DOWN);
    let outcomes = [0, 1, 2].map(|_| block_on(Table::get(&memory, "a")).is_ok());
    assert_eq!(outcomes, [true, false, true]);
}

#[test]
fn stale_reads_come_from_one_moment() {
    let memory = Memory::new();
    let client = memory.client("porto/entry-1");
    memory.force(&write("a", 0, "one"));
    memory.set("porto", Faults::STALE);
    memory.force(&write("a", 1, "two"));
    assert_eq!(value(&client, "a").as_deref(), Some("one"));
    assert_eq!(value(&memory, "a").as_deref(), Some("two"));
    let changes = block_on(client.changes("", Position(2), 9)).expect("the table is up");
    assert_eq!(changes.position, Position(1));
    memory.set("porto", Faults::NONE);
    assert_eq!(value(&client, "a").as_deref(), Some("two"));
}

#[test]
fn a_transaction_takes_effect_whole_or_not_at_all() {
    let memory = Memory::new();
    memory.force(&write("a", 0, "one"));
    let mut both = write("b", 0, "one");
    both.conditions.push(Condition { key: "a".to_owned(), version: Version(7) });
    both.writes.push(Write { key: "a".to_owned(), value: None });
    assert!(matches!(memory.force(&both), Commit::Conflict(row) if row.key == "a"));
    assert_eq!(memory.rows("").len(), 1);
    both.conditions[1].version = Version(1);
    assert_eq!(memory.force(&both), Commit::Done(Position(2)));
    assert_eq!(memory.rows("")[0].key, "b");
    assert_eq!(memory.force(&write("c", 3, "")), Commit::Missing("c".to_owned()));
}

#[test]
fn changes_never_split_a_transaction() {
    let memory = Memory::new();
    let mut pair = write("a", 0, "one");
    pair.writes.push(Write { key: "b".to_owned(), value: Some("one".to_owned()) });
    memory.force(&pair);
    memory.force(&write("c", 0, "one"));
    let first = block_on(memory.changes("", Position(0), 1)).expect("the table is up");
    assert_eq!((first.changes.len(), first.position), (2, Position(1)));
    let second = block_on(memory.changes("", first.position, 1)).expect("the table is up");
    assert_eq!((second.changes.len(), second.position), (1, Position(2)));
    memory.forget_changes();
    let late = block_on(memory.changes("", Position(1), 1)).expect("the table is up");
    assert!(late.truncated);
}

#[test]
fn calls_beyond_the_capacity_are_throttled_and_counted() {
    let memory = Memory::new();
    memory.limit(2, 1);
    let read = || block_on(Table::get(&memory, "a")).is_ok();
    assert_eq!([read(), read(), read()], [true, true, false]);
    memory.tick(Time::from_secs(1));
    assert!(read());
    assert!(block_on(memory.put("snapshot/1", b"body")).is_ok());
    assert!(block_on(memory.remove("snapshot/1")).is_err());
    let counters = memory.counters();
    assert_eq!((counters.reads.total, counters.reads.peak), (3, 2));
    assert_eq!((counters.writes.total, counters.throttled.total), (1, 2));
}
