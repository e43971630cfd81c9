//! Configuration changes reach every entry exactly once, during failures.

use std::time::Duration;

use control::act::Error;
use control::act::Stamp;
use control::configuration::Cause;
use fleet::config::Revision;
use standin::platform::Faults;

use crate::support::Site;
use crate::support::document;

/// Maximum time until documents are in force everywhere without failures.
const ROLLOUT_TIME: Duration = Duration::from_secs(2);

fn stamp(operation: &str) -> Stamp {
    Stamp { operation: operation.to_owned(), author: "rosa".to_owned() }
}

fn revision(site: &mut Site, name: &str) -> u64 {
    site.entry(name).engine.state().revision().0
}

/// Operations in the history, oldest first.
fn history(site: &Site) -> Vec<String> {
    let rows = site.memory.rows("control/config/history/");
    let entries = rows.iter().map(|row| serde_json::from_str(&row.value).expect("an entry"));
    entries.map(|entry: control::configuration::Entry| entry.operation).collect()
}

#[test]
fn of_two_operators_one_wins_and_the_other_sees_what_changed() {
    let mut site = Site::with_workers(3, 3, 4);
    site.apply_as("a", 1, &document(3), &stamp("first")).expect("no other change came between");
    let raced = site.apply_as("b", 1, &document(2), &stamp("second"));
    let Err(Error::Raced(difference)) = raced else { panic!("{raced:?}") };
    assert_eq!((difference.seen, difference.current), (Revision(1), Revision(2)));
    assert_eq!(difference.entries[0].operation, "first");
    assert!(!difference.entries[0].changes.is_empty());
    assert_eq!(history(&site).last().map(String::as_str), Some("first"));
}

/// What happens to an apply's calls to the store, and which entry is asked again.
#[derive(Clone, Copy)]
enum Fault {
    DownBefore,
    ReplyLost,
    ArrivesLater,
    NeverArrives,
    ReplyLostAndEntryReplaced,
    ArrivesLaterAndAskedElsewhere,
}

cases::cases! {
    an_apply_happens_once;
    an_apply_happens_once_with_the_store_down_before: Fault::DownBefore,
    an_apply_happens_once_with_its_reply_lost: Fault::ReplyLost,
    an_apply_happens_once_when_it_arrives_later: Fault::ArrivesLater,
    an_apply_happens_once_when_it_never_arrives: Fault::NeverArrives,
    an_apply_happens_once_with_its_entry_replaced: Fault::ReplyLostAndEntryReplaced,
    an_apply_happens_once_when_asked_elsewhere: Fault::ArrivesLaterAndAskedElsewhere,
}

fn an_apply_happens_once(fault: Fault) {
    let mut site = Site::with_workers(3, 3, 4);
    // An apply reads twice before it writes.
    let (calls, faults) = match fault {
        Fault::DownBefore => (0, Faults::DOWN),
        Fault::ReplyLost | Fault::ReplyLostAndEntryReplaced => (2, Faults::LOST_REPLY),
        _ => (2, Faults::SLOW),
    };
    let always = matches!(fault, Fault::DownBefore);
    if always {
        site.set_faults("a", faults);
    } else {
        site.memory.plan("dc0/a", calls, faults);
    }
    let first = site.apply_as("a", 1, &document(3), &stamp("change"));
    match (fault, &first) {
        (Fault::DownBefore, Err(Error::Unavailable(_))) => {}
        (_, Ok(applied)) => assert_eq!(applied.revision, Revision(2)),
        (_, Err(Error::Unknown(_))) => {}
        _ => panic!("{first:?}"),
    }
    site.set_faults("a", Faults::NONE);
    let asked = match fault {
        Fault::ReplyLostAndEntryReplaced => {
            site.restart("a");
            site.run(ROLLOUT_TIME);
            "a"
        }
        Fault::ArrivesLaterAndAskedElsewhere => "b",
        _ => "a",
    };
    if matches!(fault, Fault::ArrivesLater) {
        site.memory.arrive();
    }
    if matches!(fault, Fault::NeverArrives) {
        site.memory.lose();
    }
    let again = site.apply_as(asked, 1, &document(3), &stamp("change"));
    assert_eq!(again.expect("the second attempt settles the change").revision, Revision(2));
    site.memory.arrive();
    assert_eq!(history(&site).iter().filter(|operation| *operation == "change").count(), 1);
    site.run(ROLLOUT_TIME);
    for name in ["a", "b", "c"] {
        assert_eq!(revision(&mut site, name), 2);
    }
}

#[test]
fn a_delayed_apply_does_not_undo_a_later_one() {
    let mut site = Site::with_workers(3, 3, 4);
    // An apply reads twice before it writes; from then on all calls are slow.
    for calls in 2..60 {
        site.memory.plan("dc0/a", calls, Faults::SLOW);
    }
    let first = site.apply_as("a", 1, &document(3), &stamp("delayed"));
    assert!(matches!(first, Err(Error::Unknown(_))), "{first:?}");
    site.apply_as("b", 1, &document(2), &stamp("later")).expect("no other change came between");
    assert_eq!(site.memory.arrive(), 0, "the delayed commit took effect");
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
    a_change_reaches_reachable_entries;
    a_change_reaches_those_cut_from_the_platform: Cut::Platform,
    a_change_reaches_those_cut_from_peers: Cut::Peers,
    a_change_reaches_an_entry_cut_from_both_once_it_reconnects: Cut::Both,
    a_change_reaches_a_paused_entry_once_it_resumes: Cut::Paused,
}

fn a_change_reaches_reachable_entries(cut: Cut) {
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
    site.apply("a", 1, &document(3)).expect("no other change came between");
    site.run(ROLLOUT_TIME);
    let reached = matches!(cut, Cut::Platform | Cut::Peers);
    assert_eq!(revision(&mut site, "c"), if reached { 2 } else { 1 });
    let now = site.now;
    let settings = site.entry("a").engine.settings().clone();
    let rollout = site.entry("a").engine.state().rollout(&settings, Revision(2), now);
    assert_eq!(rollout.is_complete(), reached, "{rollout:?}");
    if !reached {
        assert_eq!(rollout.missing[0].entry, "c");
        assert_eq!(rollout.missing[0].cause, Cause::Unreachable);
    }
    site.set_faults("c", Faults::NONE);
    site.mend_peers("c");
    site.resume("c");
    site.run(ROLLOUT_TIME);
    assert_eq!(revision(&mut site, "c"), 2);
}

#[test]
fn stale_reads_do_not_revert_a_revision() {
    let mut site = Site::with_workers(3, 3, 4);
    site.memory.set("dc2", Faults::STALE);
    site.apply("a", 1, &document(3)).expect("no other change came between");
    site.run(ROLLOUT_TIME);
    assert_eq!(revision(&mut site, "c"), 2, "c did not adopt the revision from its peers");
    site.run(Duration::from_secs(5));
    assert_eq!(revision(&mut site, "c"), 2, "stale reads reverted the revision");
    site.restart("c");
    site.run(Duration::from_secs(5));
    assert_eq!(revision(&mut site, "c"), 2, "stale reads reverted the revision at a restart");
}

#[test]
fn a_process_starts_with_its_peers_revision_during_a_store_outage() {
    let mut site = Site::with_workers(3, 3, 4);
    site.apply("a", 1, &document(3)).expect("no other change came between");
    site.run(ROLLOUT_TIME);
    site.memory.set("", Faults::DOWN);
    site.start("d", "dc0");
    site.tick();
    assert!(
        !site.entry("d").engine.state().startup.is_ready(),
        "the process serves before it has heard enough peers"
    );
    site.run(Duration::from_secs(4));
    assert_eq!(revision(&mut site, "d"), 2);
    assert!(site.entry("d").engine.state().startup.is_ready());
}

#[test]
fn a_process_without_documents_does_not_serve() {
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
    site.run(ROLLOUT_TIME);
    assert_eq!(revision(&mut site, "a"), 1);
    assert!(site.is_open("a", "w0"));
}
