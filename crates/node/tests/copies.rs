//! Copies of a write whose answer does not come.

use std::time::Duration;

use fleet::time::Time;
use node::leader::hedge::Attempts;
use node::leader::hedge::Latency;
use node::leader::hedge::Outcome;

const START: Time = Time::from_micros(5_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_copy_follows_long_before_the_call_is_given_up() {
    let copies = Attempts::open(START, Latency::default());
    assert!(copies.next_due().is_some_and(|due| due.since(START) <= ms(100)));
}

#[test]
fn a_slow_store_is_not_met_by_many_copies() {
    let mut usual = Latency::default();
    for _ in 0..20 {
        usual.observe(ms(300));
    }
    let mut copies = Attempts::open(START, usual);
    let mut sent = 1;
    while let Some(due) = copies.next_due().filter(|due| due.since(START) < ms(300)) {
        copies.send(due);
        sent += 1;
    }
    assert!(sent <= 2, "{sent} copies of a write that takes what it usually does");
}

#[test]
fn a_silent_store_is_asked_again_and_again_but_by_few_at_once() {
    let mut copies = Attempts::open(START, Latency::default());
    let mut sent = 1;
    while let Some(due) = copies.next_due() {
        copies.send(due);
        sent += 1;
        assert!(sent <= 8);
    }
    // One is given up: another may follow, though not at once.
    assert_eq!(copies.record_failure(START + ms(1_000), true), Outcome::Open);
    assert!(copies.next_due().is_some_and(|due| due > START + ms(1_000)));
}

#[test]
fn a_refusal_is_final_only_if_no_copy_can_be_done_any_more() {
    let mut copies = Attempts::open(START, Latency::default());
    copies.send(START + ms(40));
    assert_eq!(
        copies.record_failure(START + ms(50), false),
        Outcome::Open,
        "the first is still under way"
    );
    assert_eq!(copies.record_failure(START + ms(60), false), Outcome::Not);

    let mut copies = Attempts::open(START, Latency::default());
    copies.send(START + ms(40));
    assert_eq!(copies.record_failure(START + ms(50), true), Outcome::Open);
    assert_eq!(
        copies.record_failure(START + ms(60), false),
        Outcome::Open,
        "the first may be done later"
    );
}
