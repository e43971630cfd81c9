//! Hedged writes: attempts of a write whose answer is missing.

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
fn a_second_attempt_follows_long_before_the_first_times_out() {
    let attempts = Attempts::open(START, Latency::default());
    assert!(attempts.next_due().is_some_and(|due| due.since(START) <= ms(100)));
}

#[test]
fn a_slow_store_gets_few_attempts() {
    let mut latency = Latency::default();
    for _ in 0..20 {
        latency.observe(ms(300));
    }
    let mut attempts = Attempts::open(START, latency);
    let mut sent = 1;
    while let Some(due) = attempts.next_due().filter(|due| due.since(START) < ms(300)) {
        attempts.record_sent(due);
        sent += 1;
    }
    assert!(sent <= 2, "{sent} attempts of a write within its usual latency");
}

#[test]
fn an_unresponsive_store_gets_further_attempts_but_few_at_once() {
    let mut attempts = Attempts::open(START, Latency::default());
    let mut sent = 1;
    while let Some(due) = attempts.next_due() {
        attempts.record_sent(due);
        sent += 1;
        assert!(sent <= 8);
    }
    // One attempt has timed out: another may follow, though not at once.
    assert_eq!(attempts.record_failure(START + ms(1_000), true), Outcome::Pending);
    assert!(attempts.next_due().is_some_and(|due| due > START + ms(1_000)));
}

#[test]
fn a_failure_is_final_only_if_no_attempt_can_take_effect_any_more() {
    let mut attempts = Attempts::open(START, Latency::default());
    attempts.record_sent(START + ms(40));
    assert_eq!(
        attempts.record_failure(START + ms(50), false),
        Outcome::Pending,
        "the first attempt is still in flight"
    );
    assert_eq!(attempts.record_failure(START + ms(60), false), Outcome::Failed);

    let mut attempts = Attempts::open(START, Latency::default());
    attempts.record_sent(START + ms(40));
    assert_eq!(attempts.record_failure(START + ms(50), true), Outcome::Pending);
    assert_eq!(
        attempts.record_failure(START + ms(60), false),
        Outcome::Pending,
        "the first attempt may still take effect"
    );
}
