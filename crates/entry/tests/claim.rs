//! How the row of an idempotency key decides about a repeat, and how writes are batched.

use std::collections::VecDeque;
use std::time::Duration;

use entry::claim::batch::Batch;
use entry::claim::batch::Item;
use entry::claim::batch::Settled;
use entry::claim::row;
use entry::claim::row::Fingerprint;
use entry::claim::row::Resolution;
use entry::claim::row::State;
use entry::claim::row::Value;
use fleet::error::Kind;
use http::Request;
use http::Response;
use platform::table::Commit;
use platform::table::Operation;
use platform::table::Position;
use platform::table::Row;
use platform::table::Version;

/// Time since the Unix epoch at which the key was claimed.
const WALL: Duration = Duration::from_secs(1_000_000);

fn request(body: &str) -> Request {
    Request::new("POST", "/a/b").with_body(body)
}

fn row(state: State) -> Row {
    let value = Value {
        at_ms: WALL.as_millis() as u64,
        request: "first".to_owned(),
        fingerprint: Fingerprint::new(&request("order")),
        state,
    };
    Row {
        key: "key/a/b/k".to_owned(),
        version: Version(7),
        operation: Operation::default(),
        value: value.to_text(),
    }
}

fn claimed() -> State {
    State::Claimed { until_ms: WALL.as_millis() as u64 + 1_000 }
}

fn resolves_to((state, body, later_secs, expected): (State, &str, u64, Resolution)) {
    let fingerprint = Fingerprint::new(&request(body));
    let wall = WALL + Duration::from_secs(later_secs);
    assert_eq!(row::resolve(&row(state), &fingerprint, wall), expected);
}

cases::cases! {
    resolves_to;
    running: (claimed(), "order", 0, Resolution::Refused(Kind::KeyRunning)),
    claimed_by_a_crashed_entry: (claimed(), "order", 60, Resolution::Refused(Kind::KeyUnknown)),
    claimed_by_another_request: (claimed(), "other", 0, Resolution::Refused(Kind::KeyMismatch)),
    ended_unknown: (State::Unknown, "order", 0, Resolution::Refused(Kind::KeyUnknown)),
    answer_not_kept: (State::AnswerNotKept, "order", 0, Resolution::Refused(Kind::AnswerNotKept)),
    not_run: (State::NotRun, "order", 0, Resolution::Reclaim(Version(7))),
    not_run_and_changed: (State::NotRun, "other", 0, Resolution::Reclaim(Version(7))),
}

#[test]
fn an_answer_is_kept_byte_for_byte() {
    let fingerprint = Fingerprint::new(&request("order"));
    for body in [b"whole \"answer\"\n".to_vec(), vec![0, 255, 128], Vec::new()] {
        let answer = Response::new(201).with_header("x", "y").with_body(body);
        let kept = row::resolve(&row(State::from_response(&answer)), &fingerprint, WALL);
        let expected = answer.with_header(row::REPLAY_OF, "first");
        assert_eq!(kept, Resolution::Answered(expected));
    }
    let large = Response::new(200).with_body(vec![b'x'; row::MAX_ANSWER + 1]);
    assert_eq!(State::from_response(&large), State::AnswerNotKept);
}

#[test]
fn a_malformed_row_is_never_run_again() {
    let mut odd = row(State::NotRun);
    odd.value = "{}".to_owned();
    let fingerprint = Fingerprint::new(&request("order"));
    assert_eq!(row::resolve(&odd, &fingerprint, WALL), Resolution::Refused(Kind::KeyUnknown));
    assert!(!row::is_expired(&odd, Duration::ZERO, WALL * 2));
}

#[test]
fn keys_are_kept_for_their_retention() {
    let day = Duration::from_secs(86_400);
    assert!(!row::is_expired(&row(State::NotRun), day, WALL + day));
    assert!(row::is_expired(&row(State::NotRun), day, WALL + day + Duration::from_millis(1)));
}

fn item(key: &str, tag: u32) -> Item<u32> {
    Item { key: key.to_owned(), version: Version::ABSENT, value: Some(String::new()), tag }
}

#[test]
fn writes_to_one_row_keep_their_order() {
    let mut waiting = VecDeque::from([item("a", 1), item("a", 2), item("b", 3)]);
    let first = Batch::take(&mut waiting).transaction(Operation::default());
    assert_eq!(first.writes.len(), 2);
    assert_eq!(waiting, VecDeque::from([item("a", 2)]));
}

#[test]
fn a_batch_is_bounded_and_keeps_the_rest_in_order() {
    let all: VecDeque<_> = (0..200).map(|number| item(&format!("{number:03}"), number)).collect();
    let mut waiting = all.clone();
    let batch = Batch::take(&mut waiting).transaction(Operation::default());
    assert!(batch.writes.len() < 100);
    assert_eq!(waiting, all.into_iter().skip(batch.writes.len()).collect::<VecDeque<_>>());
    let large = "x".repeat(200 << 10);
    let mut waiting: VecDeque<_> = (0..3)
        .map(|tag| Item { value: Some(large.clone()), ..item(&tag.to_string(), tag) })
        .collect();
    assert_eq!(Batch::take(&mut waiting).transaction(Operation::default()).writes.len(), 1);
}

#[test]
fn a_conflict_settles_one_write_and_leaves_the_others() {
    let mut waiting = VecDeque::from([item("a", 1), item("b", 2), item("c", 3)]);
    let mut batch = Batch::take(&mut waiting);
    let theirs = Row { key: "b".to_owned(), ..row(State::Unknown) };
    let settled = batch.settle(Commit::Conflict(theirs.clone()));
    assert_eq!(settled, [(item("b", 2), Settled::Conflict(theirs))]);
    assert_eq!(batch.settle(Commit::Missing("c".to_owned())), [(item("c", 3), Settled::Missing)]);
    let done = batch.settle(Commit::Done(Position(9)));
    assert_eq!(done, [(item("a", 1), Settled::Done(Version(9)))]);
    assert!(batch.is_empty());
}
