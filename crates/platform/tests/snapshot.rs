//! Snapshots: what is refused, what is used instead, and that nothing goes back.

use std::sync::Arc;

use async_executor::Executor;
use cases::cases;
use futures_lite::future::block_on;
use platform::Client;
use platform::Error;
use platform::client::Settings;
use platform::object::Store;
use platform::snapshot;
use platform::snapshot::Image;
use platform::snapshot::Refusal;
use platform::snapshot::Source;
use platform::snapshot::Written;
use platform::table::Operation;
use platform::table::Position;
use platform::table::Row;
use platform::table::Table;
use platform::table::Transaction;
use platform::table::Version;
use platform::table::Write;
use platform::wait::Instantly;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standin::platform::Faults;
use standin::platform::Memory;
use standin::platform::Server;

const KEEP: usize = 3;

fn set(memory: &Memory, key: &str, value: Option<&str>) {
    let write = Write { key: key.to_owned(), value: value.map(str::to_owned) };
    let operation = Operation(format!("set {key}"));
    memory.force(&Transaction { operation, conditions: vec![], writes: vec![write] });
}

/// A table of so many rows, and its image.
fn table(rows: usize) -> (Memory, Image) {
    let memory = Memory::new();
    for row in 0..rows {
        set(&memory, &format!("row/{row:05}"), Some("first"));
    }
    let image = Image::new(memory.position(), memory.rows(""));
    (memory, image)
}

/// Writes snapshots at three positions, a change of `row/00000` between them.
fn three_snapshots() -> Memory {
    let (memory, _) = table(5);
    for value in ["one", "two", "three"] {
        set(&memory, "row/00000", Some(value));
        let image = Image::new(memory.position(), memory.rows(""));
        block_on(snapshot::write(&memory, &image, KEEP)).expect("the store is up");
    }
    memory
}

fn present(memory: &Memory) -> Vec<Row> {
    memory.rows("")
}

fn restored_rows(restored: &snapshot::Restored) -> Vec<Row> {
    restored.image.rows().cloned().collect()
}

fn at(position: u64) -> String {
    snapshot::name(Position(position))
}

#[test]
fn a_snapshot_and_the_changes_since_are_the_present_state() {
    let (memory, image) = table(1_200);
    block_on(snapshot::write(&memory, &image, KEEP)).expect("the store is up");
    set(&memory, "row/00007", Some("second"));
    set(&memory, "row/00008", None);
    memory.reset_counters();
    let restored =
        block_on(snapshot::restore(&memory, &memory, Position(0))).expect("the store is up");
    assert_eq!(restored.source, Source::Snapshot(Position(1_200)));
    assert_eq!(restored_rows(&restored), present(&memory));
    assert_eq!(restored.image.position(), memory.position());
    assert_eq!((memory.counters().reads.total, restored.reads), (3, 3));
}

cases! {
    a_bad_newest_snapshot_is_passed_over;
    cut_short: (|object: &mut Vec<u8>| object.truncate(object.len() - 5), Refusal::Length),
    half_written: (|object| object.truncate(object.len() / 2), Refusal::Length),
    empty: (|object| object.clear(), Refusal::Header),
    header_alone: (|object| object.truncate(20), Refusal::Header),
    one_bit: (
        |object| {
            let last = object.len() - 9;
            object[last] ^= 1;
        },
        Refusal::Checksum,
    ),
    other_format: (|object| object[10] = b'9', Refusal::Format(9)),
    other_position: (
        |object| {
            let (memory, image) = table(9);
            drop(memory);
            *object = snapshot::encode(&image);
        },
        Refusal::Name,
    ),
}
fn a_bad_newest_snapshot_is_passed_over((spoil, reason): (fn(&mut Vec<u8>), Refusal)) {
    let memory = three_snapshots();
    let mut object = block_on(Store::get(&memory, &at(8))).expect("it is up").expect("it is there");
    spoil(&mut object);
    block_on(Store::put(&memory, &at(8), &object)).expect("the store is up");
    let restored =
        block_on(snapshot::restore(&memory, &memory, Position(0))).expect("the store is up");
    assert_eq!(restored.source, Source::Snapshot(Position(7)));
    assert_eq!(restored.refused, [(at(8), reason)]);
    assert_eq!(restored_rows(&restored), present(&memory));
}

#[test]
fn names_of_other_formats_are_not_listed() {
    let memory = three_snapshots();
    for name in ["snapshots/2/00000000000000000099", "snapshots/1/99", "snapshots/1/x"] {
        block_on(Store::put(&memory, name, b"")).expect("the store is up");
    }
    let restored =
        block_on(snapshot::restore(&memory, &memory, Position(0))).expect("the store is up");
    assert_eq!(restored.source, Source::Snapshot(Position(8)));
    assert!(restored.refused.is_empty());
}

#[test]
fn forgotten_changes_lead_to_a_scan() {
    let memory = three_snapshots();
    set(&memory, "row/00001", None);
    memory.forget_changes();
    let restored =
        block_on(snapshot::restore(&memory, &memory, Position(0))).expect("the store is up");
    assert_eq!(restored.source, Source::Scan);
    assert_eq!(restored_rows(&restored), present(&memory));
}

#[test]
fn an_object_store_that_is_out_leads_to_a_scan() {
    let (memory, _) = table(1_100);
    memory.forget_changes();
    memory.plan("", 0, Faults::DOWN);
    let restored =
        block_on(snapshot::restore(&memory, &memory, Position(0))).expect("the table is up");
    assert_eq!((restored.source, restored.image.len()), (Source::Scan, 1_100));
}

#[test]
fn only_the_newest_are_kept_and_an_older_image_is_not_written() {
    let memory = three_snapshots();
    let old = Image::new(Position(6), memory.rows(""));
    let older = block_on(snapshot::write(&memory, &old, KEEP));
    assert_eq!(older, Ok(Written::Older(Position(8))));
    set(&memory, "row/00000", Some("four"));
    let image = Image::new(memory.position(), memory.rows(""));
    let written = block_on(snapshot::write(&memory, &image, KEEP));
    assert_eq!(written, Ok(Written::Done { removed: 1 }));
    let names = block_on(Store::list(&memory, snapshot::PREFIX)).expect("the store is up");
    assert_eq!(names, [at(7), at(8), at(9)]);
}

#[test]
fn nothing_is_removed_for_a_snapshot_that_is_not_there() {
    for calls in 0..3 {
        for faults in [Faults::DOWN, Faults::SLOW, Faults::LOST_REPLY, Faults::STALE] {
            let memory = three_snapshots();
            set(&memory, "row/00000", Some("four"));
            let image = Image::new(memory.position(), memory.rows(""));
            memory.plan("", calls, faults);
            let end = block_on(snapshot::write(&memory, &image, 1));
            let names = block_on(Store::list(&memory, snapshot::PREFIX)).expect("it is up");
            let there = names.contains(&at(9));
            assert!(names.len() >= 3 || (there && end.is_ok()), "{calls} {faults:?} {end:?}");
        }
    }
}

#[test]
fn a_state_older_than_what_is_known_is_refused() {
    let memory = three_snapshots();
    memory.set("", Faults::STALE);
    set(&memory, "row/00000", Some("four"));
    let stale = block_on(snapshot::restore(&memory, &memory, Position(9)));
    assert!(matches!(stale, Err(Error::Unavailable(_))), "{stale:?}");
    memory.set("", Faults::NONE);
    assert!(block_on(snapshot::restore(&memory, &memory, Position(9))).is_ok());
}

#[test]
fn changes_from_an_older_state_add_nothing() {
    let (memory, _) = table(3);
    memory.set("stale", Faults::STALE);
    set(&memory, "row/00000", Some("second"));
    set(&memory, "row/00001", None);
    let mut image = Image::new(memory.position(), memory.rows(""));
    let before = image.clone();
    let stale = memory.client("stale");
    image.apply(block_on(stale.changes("", Position(0), 500)).expect("the table is up"));
    assert_eq!(image, before);
}

#[test]
fn a_restore_goes_on_after_failures() {
    let memory = three_snapshots();
    memory.set("", Faults::DOWN);
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let restore = snapshot::restore_again(&memory, &memory, Position(0), &Instantly, &mut random);
    assert!(block_on(restore).is_err());
    memory.set("", Faults::NONE);
    memory.plan("", 2, Faults::DOWN);
    memory.plan("", 4, Faults::SLOW);
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let restore = snapshot::restore_again(&memory, &memory, Position(0), &Instantly, &mut random);
    assert_eq!(block_on(restore).map(|restored| restored.image.position()), Ok(Position(8)));
}

/// One page of a scan answered from an older state would leave out rows for good: the position that
/// each answer states gives it away.
#[test]
fn a_stale_page_of_a_scan_is_refused() {
    for calls in 0..6 {
        let executor = Arc::new(Executor::new());
        let (memory, _) = table(600);
        let any = ([127, 0, 0, 1], 0).into();
        let server = Server::bind(&executor, any, memory.clone()).expect("loopback");
        memory.plan("porto", calls, Faults::STALE);
        for row in 600..1_300 {
            set(&memory, &format!("row/{row:05}"), Some("late"));
        }
        memory.forget_changes();
        let client = Client::open(Settings {
            addresses: vec![server.address()],
            name: "porto/entry-1".to_owned(),
            ..Settings::default()
        });
        let restore = snapshot::restore(&client, &client, Position(0));
        match async_io::block_on(executor.run(restore)) {
            Ok(restored) => assert_eq!(restored_rows(&restored), present(&memory)),
            Err(error) => assert!(matches!(error, Error::Unavailable(_)), "{error}"),
        }
    }
}

/// Some commits of a few keys: key, and whether it is written or deleted.
fn commits() -> impl Strategy<Value = Vec<(u8, bool)>> {
    proptest::collection::vec((0_u8..12, any::<bool>()), 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// A scan with commits between its pages, and the changes since, are the present state.
    #[test]
    fn rows_of_different_moments_and_the_changes_since_are_the_present(
        commits in commits(),
        cut in 0_usize..60,
        second in 0_usize..60,
    ) {
        let memory = Memory::new();
        let (cut, second) = (cut.min(commits.len()), second.clamp(cut.min(commits.len()), commits.len()));
        let apply = |part: &[(u8, bool)]| {
            for (key, written) in part {
                set(&memory, &format!("{key:02}"), written.then_some("value"));
            }
        };
        apply(&commits[..cut]);
        let start = memory.position();
        let low: Vec<Row> = memory.rows("0");
        apply(&commits[cut..second]);
        let high: Vec<Row> = memory.rows("1");
        apply(&commits[second..]);
        let mut image = Image::new(start, low.into_iter().chain(high));
        image.apply(block_on(memory.changes("", start, 500)).expect("the table is up"));
        prop_assert_eq!(image.rows().cloned().collect::<Vec<_>>(), memory.rows(""));
        let decoded = snapshot::decode(&snapshot::encode(&image));
        prop_assert_eq!(decoded, Ok(image));
    }

    /// No change of any byte of a snapshot passes.
    #[test]
    fn a_changed_byte_is_noticed(index: prop::sample::Index, flip in 1_u8..) {
        let (_, image) = table(3);
        let mut object = snapshot::encode(&image);
        let index = index.index(object.len());
        object[index] ^= flip;
        prop_assert!(snapshot::decode(&object).is_err() || snapshot::decode(&object) == Ok(image));
    }

    /// Bytes from anywhere are refused without a panic.
    #[test]
    fn any_bytes_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(snapshot::decode(&bytes).is_err());
    }
}

#[test]
fn a_row_newer_than_the_whole_is_refused() {
    let row = Row {
        key: "a".to_owned(),
        version: Version(9),
        operation: Operation::default(),
        value: String::new(),
    };
    let object = snapshot::encode(&Image::new(Position(8), [row]));
    assert_eq!(snapshot::decode(&object), Err(Refusal::Row(0)));
}
