//! Operators' acts take effect exactly once, whatever happens to the store's answer.

use std::time::Duration;

use control::act::Error;
use control::act::Stamp;
use control::act::WaveCommand;
use fleet::instance::State;
use futures_lite::future::block_on;
use standin::platform::Faults;

use crate::support::Site;

fn stamp(operation: &str) -> Stamp {
    Stamp { operation: operation.to_owned(), author: "rosa".to_owned() }
}

/// What happens to the store's answer to an act.
#[derive(Clone, Copy)]
enum Answer {
    Arrives,
    ReplyLost,
    ArrivesLater,
}

cases::cases! {
    an_act_happens_once;
    an_act_happens_once_in_health: Answer::Arrives,
    an_act_happens_once_with_its_reply_lost: Answer::ReplyLost,
    an_act_happens_once_when_it_arrives_later: Answer::ArrivesLater,
}

fn an_act_happens_once(answer: Answer) {
    let mut site = Site::with_workers(3, 3, 4);
    match answer {
        Answer::Arrives => {}
        Answer::ReplyLost => site.memory.plan("dc0/a", 0, Faults::LOST_REPLY),
        Answer::ArrivesLater => site.memory.plan("dc0/a", 0, Faults::SLOW),
    }
    let now = site.now;
    let start = WaveCommand::Start;
    let engine = site.entry("a").engine.clone();
    let first = block_on(engine.command_wave(&stamp("go"), "lisbon", "kernel", start, now));
    assert!(matches!(first, Ok(_) | Err(Error::Unknown(_))), "{first:?}");
    site.memory.arrive();
    let engine = site.entry("b").engine.clone();
    let again = block_on(engine.command_wave(&stamp("go"), "lisbon", "kernel", start, now));
    again.expect("a repeated act returns the first answer");
    site.run(Duration::from_secs(1));
    let rows = site.memory.rows("control/wave/lisbon/kernel");
    assert!(rows[0].value.contains("\"run\":1"), "{}", rows[0].value);
}

#[test]
fn an_operation_id_cannot_be_reused_for_another_act() {
    let mut site = Site::with_workers(3, 3, 4);
    let now = site.now;
    let engine = site.entry("a").engine.clone();
    block_on(engine.drain(&stamp("x"), "w1", now)).expect("draining w1 is within the budget");
    let other = block_on(engine.drain(&stamp("x"), "w2", now));
    assert!(matches!(other, Err(Error::Refused(_))), "{other:?}");
    site.run(Duration::from_secs(1));
    assert_eq!(site.state("a", "w2"), Some(State::Serving));
}

#[test]
fn an_operators_drain_respects_min_ready() {
    let mut site = Site::with_workers(3, 3, 2);
    let now = site.now;
    let engine = site.entry("a").engine.clone();
    block_on(engine.drain(&stamp("x"), "w0", now)).expect("the budget allows one drain");
    let drained = block_on(engine.drain(&stamp("y"), "w1", now));
    assert!(matches!(drained, Err(Error::Refused(_))), "{drained:?}");
}

#[test]
fn two_operators_cannot_spend_the_same_budget() {
    let mut site = Site::with_workers(3, 3, 3);
    let now = site.now;
    let (first, second) = (site.entry("a").engine.clone(), site.entry("b").engine.clone());
    block_on(first.drain(&stamp("x"), "w0", now)).expect("the budget allows one drain");
    let raced = block_on(second.drain(&stamp("y"), "w1", now));
    assert!(matches!(raced, Err(Error::Refused(_))), "{raced:?}");
}

#[test]
fn with_the_store_down_an_act_is_not_recorded_and_says_so() {
    let mut site = Site::with_workers(3, 3, 4);
    site.memory.set("", Faults::DOWN);
    let now = site.now;
    let engine = site.entry("a").engine.clone();
    let drained = block_on(engine.drain(&stamp("x"), "w0", now));
    assert!(matches!(drained, Err(Error::Unavailable(_))), "{drained:?}");
    site.memory.set("", Faults::NONE);
    site.run(Duration::from_secs(2));
    assert_eq!(site.state("a", "w0"), Some(State::Serving));
}
