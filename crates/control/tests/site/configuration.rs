//! Documents in force everywhere, through every fault.

use std::time::Duration;

use control::act::Error;
use control::act::Stamp;
use control::configuration::Cause;
use fleet::config::Revision;
use standin::platform::Faults;

use crate::support::Site;
use crate::support::document;

/// Long enough for documents to come into force in health.
const SOON: Duration = Duration::from_secs(2);

fn stamp(operation: &str) -> Stamp {
    Stamp { operation: operation.to_owned(), author: "rosa".to_owned() }
}

fn revision(site: &mut Site, name: &str) -> u64 {
    site.entry(name).engine.state().revision().0
}

/// Operations of the history, oldest first.
fn history(site: &Site) -> Vec<String> {
    let rows = site.memory.rows("control/config/history/");
    let entries = rows.iter().map(|row| serde_json::from_str(&row.value).expect("an entry"));
    entries.map(|entry: control::configuration::Entry| entry.operation).collect()
}

#[test]
fn of_two_operators_one_wins_and_the_other_sees_what_changed() {
    let mut site = Site::with_workers(3, 3, 4);
    site.apply_as("a", 1, &document(3), &stamp("first")).expect("it is the first");
    let raced = site.apply_as("b", 1, &document(2), &stamp("second"));
    let Err(Error::Raced(difference)) = raced else { panic!("{raced:?}") };
    assert_eq!((difference.seen, difference.current), (Revision(1), Revision(2)));
    assert_eq!(difference.entries[0].operation, "first");
    assert!(!difference.entries[0].changes.is_empty());
    assert_eq!(history(&site).last().map(String::as_str), Some("first"));
}

/// What befalls the store's answer to an apply, and who asks again.
#[derive(Clone, Copy)]
enum Fate {
    DownBefore,
    ReplyLost,
    ArrivesLater,
    NeverArrives,
    ReplyLostAndEntryReplaced,
    ArrivesLaterAndAskedElsewhere,
}

cases::cases! {
    an_apply_happens_once;
    an_apply_happens_once_with_the_store_down_before: Fate::DownBefore,
    an_apply_happens_once_with_its_reply_lost: Fate::ReplyLost,
    an_apply_happens_once_when_it_arrives_later: Fate::ArrivesLater,
    an_apply_happens_once_when_it_never_arrives: Fate::NeverArrives,
    an_apply_happens_once_with_its_entry_replaced: Fate::ReplyLostAndEntryReplaced,
    an_apply_happens_once_when_asked_elsewhere: Fate::ArrivesLaterAndAskedElsewhere,
}

fn an_apply_happens_once(fate: Fate) {
    let mut site = Site::with_workers(3, 3, 4);
    // An apply reads twice before it writes.
    let (calls, faults) = match fate {
        Fate::DownBefore => (0, Faults::DOWN),
        Fate::ReplyLost | Fate::ReplyLostAndEntryReplaced => (2, Faults::LOST_REPLY),
        _ => (2, Faults::SLOW),
    };
    let always = matches!(fate, Fate::DownBefore);
    if always {
        site.set_faults("a", faults);
    } else {
        site.memory.plan("dc0/a", calls, faults);
    }
    let first = site.apply_as("a", 1, &document(3), &stamp("change"));
    match (fate, &first) {
        (Fate::DownBefore, Err(Error::Unavailable(_))) => {}
        (_, Ok(applied)) => assert_eq!(applied.revision, Revision(2)),
        (_, Err(Error::Unknown(_))) => {}
        _ => panic!("{first:?}"),
    }
    site.set_faults("a", Faults::NONE);
    let asked = match fate {
        Fate::ReplyLostAndEntryReplaced => {
            site.restart("a");
            site.run(SOON);
            "a"
        }
        Fate::ArrivesLaterAndAskedElsewhere => "b",
        _ => "a",
    };
    if matches!(fate, Fate::ArrivesLater) {
        site.memory.arrive();
    }
    if matches!(fate, Fate::NeverArrives) {
        site.memory.lose();
    }
    let again = site.apply_as(asked, 1, &document(3), &stamp("change"));
    assert_eq!(again.expect("it is settled").revision, Revision(2));
    site.memory.arrive();
    assert_eq!(history(&site).iter().filter(|operation| *operation == "change").count(), 1);
    site.run(SOON);
    for name in ["a", "b", "c"] {
        assert_eq!(revision(&mut site, name), 2);
    }
}

#[test]
fn a_delayed_apply_does_not_undo_a_later_one() {
    let mut site = Site::with_workers(3, 3, 4);
    // An apply reads twice before it writes; from then on all is slow.
    for calls in 2..60 {
        site.memory.plan("dc0/a", calls, Faults::SLOW);
    }
    let first = site.apply_as("a", 1, &document(3), &stamp("delayed"));
    assert!(matches!(first, Err(Error::Unknown(_))), "{first:?}");
    site.apply_as("b", 1, &document(2), &stamp("later")).expect("nothing came between");
    assert_eq!(site.memory.arrive(), 0, "the delayed one has no effect any more");
    assert_eq!(history(&site).last().map(String::as_str), Some("later"));
    let again = site.apply_as("c", 1, &document(3), &stamp("delayed"));
    assert!(matches!(again, Err(Error::Raced(_))), "{again:?}");
}

/// How an entry is cut off while a change is applied.
#[derive(Clone, Copy)]
enum Cut {
    Platform,
    Peers,
    Both,
    Paused,
}

cases::cases! {
    a_change_reaches_whom_it_can;
    a_change_reaches_those_cut_from_the_platform: Cut::Platform,
    a_change_reaches_those_cut_from_peers: Cut::Peers,
    a_change_reaches_those_cut_from_both_once_they_are_back: Cut::Both,
    a_change_reaches_the_paused_once_they_go_on: Cut::Paused,
}

fn a_change_reaches_whom_it_can(cut: Cut) {
    let mut site = Site::with_workers(3, 3, 4);
    if matches!(cut, Cut::Platform | Cut::Both) {
        site.set_faults("c", Faults::CUT);
    }
    if matches!(cut, Cut::Peers | Cut::Both) {
        site.cut_peers("c");
    }
    if matches!(cut, Cut::Paused) {
        site.pause("c");
    }
    site.run(Duration::from_secs(4));
    site.apply("a", 1, &document(3)).expect("nothing came between");
    site.run(SOON);
    let reached = matches!(cut, Cut::Platform | Cut::Peers);
    assert_eq!(revision(&mut site, "c"), if reached { 2 } else { 1 });
    let now = site.now;
    let settings = site.entry("a").engine.settings().clone();
    let reach = site.entry("a").engine.state().rollout(&settings, Revision(2), now);
    assert_eq!(reach.is_complete(), reached, "{reach:?}");
    if !reached {
        assert_eq!(reach.missing[0].entry, "c");
        assert_eq!(reach.missing[0].cause, Cause::Unreachable);
    }
    site.set_faults("c", Faults::NONE);
    site.mend_peers("c");
    site.resume("c");
    site.run(SOON);
    assert_eq!(revision(&mut site, "c"), 2);
}

#[test]
fn an_old_state_of_the_store_pulls_no_one_back() {
    let mut site = Site::with_workers(3, 3, 4);
    site.memory.set("dc2", Faults::STALE);
    site.apply("a", 1, &document(3)).expect("nothing came between");
    site.run(SOON);
    assert_eq!(revision(&mut site, "c"), 2, "peers told it");
    site.run(Duration::from_secs(5));
    assert_eq!(revision(&mut site, "c"), 2, "and the store's old state changed nothing");
    site.restart("c");
    site.run(Duration::from_secs(5));
    assert_eq!(revision(&mut site, "c"), 2, "nor at a new start");
}

#[test]
fn a_process_that_starts_while_the_store_is_out_takes_its_peers_word() {
    let mut site = Site::with_workers(3, 3, 4);
    site.apply("a", 1, &document(3)).expect("nothing came between");
    site.run(SOON);
    site.memory.set("", Faults::DOWN);
    site.start("d", "dc0");
    site.tick();
    assert!(!site.entry("d").engine.state().startup.is_ready(), "it has heard too little");
    site.run(Duration::from_secs(4));
    assert_eq!(revision(&mut site, "d"), 2);
    assert!(site.entry("d").engine.state().startup.is_ready());
}

#[test]
fn a_process_that_knows_nothing_serves_no_one() {
    let mut site = Site::with_workers(3, 3, 4);
    site.memory.set("", Faults::DOWN);
    site.start("d", "dc0");
    site.cut_peers("d");
    site.run(Duration::from_secs(30));
    assert!(!site.entry("d").engine.state().startup.is_ready());
}

#[test]
fn documents_that_cannot_be_read_change_nothing() {
    let mut site = Site::with_workers(3, 3, 4);
    let broken = r#"{"operation":"x","set":{"revision":9,"documents":{"lisbon":{
        "organisation":"lisbon","uses":{"all":{"template":"missing"}}}}}}"#;
    site.write("control/config/current", broken);
    site.run(SOON);
    assert_eq!(revision(&mut site, "a"), 1);
    assert!(site.is_open("a", "w0"));
}
