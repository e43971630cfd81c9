//! Copies of a write whose answer does not come.

use std::time::Duration;

use fleet::time::Time;
use node::reign::copies::Copies;
use node::reign::copies::Usual;
use node::reign::copies::Verdict;

const START: Time = Time::from_micros(5_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_copy_follows_long_before_the_call_is_given_up() {
    let copies = Copies::open(START, Usual::default());
    assert!(copies.next().is_some_and(|due| due.since(START) <= ms(100)));
}

#[test]
fn a_slow_store_is_not_met_by_many_copies() {
    let mut usual = Usual::default();
    for _ in 0..20 {
        usual.observe(ms(300));
    }
    let mut copies = Copies::open(START, usual);
    let mut sent = 1;
    while let Some(due) = copies.next().filter(|due| due.since(START) < ms(300)) {
        copies.send(due);
        sent += 1;
    }
    assert!(sent <= 2, "{sent} copies of a write that takes what it usually does");
}

#[test]
fn a_silent_store_is_asked_again_and_again_but_by_few_at_once() {
    let mut copies = Copies::open(START, Usual::default());
    let mut sent = 1;
    while let Some(due) = copies.next() {
        copies.send(due);
        sent += 1;
        assert!(sent <= 8);
    }
    // One is given up: another may follow, though not at once.
    assert_eq!(copies.fail(START + ms(1_000), true), Verdict::Open);
    assert!(copies.next().is_some_and(|due| due > START + ms(1_000)));
}

#[test]
fn a_refusal_is_final_only_if_no_copy_can_be_done_any_more() {
    let mut copies = Copies::open(START, Usual::default());
    copies.send(START + ms(40));
    assert_eq!(copies.fail(START + ms(50), false), Verdict::Open, "the first is still under way");
    assert_eq!(copies.fail(START + ms(60), false), Verdict::Not);

    let mut copies = Copies::open(START, Usual::default());
    copies.send(START + ms(40));
    assert_eq!(copies.fail(START + ms(50), true), Verdict::Open);
    assert_eq!(copies.fail(START + ms(60), false), Verdict::Open, "the first may be done later");
}
