//! Discovery: keeps the lists of instances and machines up to date.

use std::rc::Rc;
use std::time::Duration;

use adapter::instance;
use adapter::store::Error;
use adapter::store::Page;
use async_io::Timer;
use fleet::time::Time;
use scheduler::instance::Report;
use tracing::info;

use super::Term;
use crate::Node;
use crate::budget::Activity;
use crate::clock;

/// Long-poll timeout of the change feed. A connection that no longer answers is noticed after it.
const POLL_TIMEOUT: Duration = Duration::from_millis(700);

/// Minimum time between two reads of the change feed, so that one returns more than one change.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Number of full reads of the instance list within the time limit for noticing a draining
/// instance: a change feed may omit changes for a while.
const READS_PER_DRAIN_LIMIT: u32 = 2;

/// Interval between two reads of the machine list while no machine is expected to change.
const MACHINES_INTERVAL: Duration = Duration::from_millis(1_600);

/// Interval between two reads of the machine list while machines are moved or maintained.
const MACHINES_FAST_INTERVAL: Duration = Duration::from_millis(600);

/// Interval between two reads of the machine list while tasks on unresponsive instances may have to
/// be placed elsewhere.
const MACHINES_URGENT_INTERVAL: Duration = Duration::from_millis(150);

/// Pause after a read of the machine list as a multiple of its duration, so that a long list takes
/// up a fifth of a slow link at most.
const MACHINES_PAUSE_FACTOR: u32 = 4;

/// Keeps the instance list up to date until the term is over.
pub(super) async fn run(node: Rc<Node>, term: Rc<Term>) {
    node.spawn(Activity::Discover, watch_machines(Rc::clone(&node), Rc::clone(&term)));
    let mut version = None;
    let mut read_at = Time::ZERO;
    let mut lost = false;
    while !term.is_over() {
        let began = clock::now();
        let refresh_interval = node.settings().parameters.drain / READS_PER_DRAIN_LIMIT;
        let since = version.filter(|_| began.since(read_at) < refresh_interval);
        let result = match since {
            None => read(&node, &term).await,
            Some(version) => follow(&node, &term, version).await,
        };
        match result {
            Ok(next) => {
                if since.is_none() {
                    read_at = began;
                }
                version = Some(next);
                if std::mem::take(&mut lost) {
                    info!(event = "dependency", name = "instance-list", state = "regained");
                }
            }
            Err(Error::HistoryDropped) => version = None,
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    info!(event = "dependency", name = "instance-list", state = "lost", %error);
                }
                Timer::after(RETRY_DELAY).await;
            }
        }
        let took = clock::now().since(began);
        Timer::after(MIN_INTERVAL.saturating_sub(took)).await;
    }
}

/// Reads the whole instance list. Returns the version from which its changes follow.
async fn read(node: &Rc<Node>, term: &Rc<Term>) -> Result<u64, Error> {
    let requested_at = clock::now();
    let page = node.store.rows(instance::TABLE, "", "").await?;
    term.core.borrow_mut().apply_instances(clock::now(), requested_at, decode(&page));
    apply(node, term);
    Ok(page.version)
}

/// Reads the changes of the instance list after `version`, or waits for one. Returns the version
/// from which further changes follow.
async fn follow(node: &Rc<Node>, term: &Rc<Term>, version: u64) -> Result<u64, Error> {
    let page = node.store.feed(instance::TABLE, version, POLL_TIMEOUT).await?;
    if !page.rows.is_empty() {
        // An entry that can't be decoded names no instance that may be used.
        let unusable = page.rows.iter().filter(|row| instance::decode(row).is_none());
        let gone: Vec<String> = unusable.map(|row| row.key.clone()).collect();
        let changed = decode(&page);
        term.core.borrow_mut().apply_instance_changes(clock::now(), changed, &gone);
        apply(node, term);
    }
    Ok(page.next_version(version))
}

/// Starts to call new instances, and has the scheduler use what the list has shown.
fn apply(node: &Rc<Node>, term: &Rc<Term>) {
    term.open_handles(node);
    term.wake_handles();
    term.planner.notify();
}

/// Decodes entries of the instance list. Skips those that can't be decoded, which are from other
/// writers.
fn decode(page: &Page) -> Vec<Report> {
    page.rows.iter().filter_map(instance::decode).collect()
}

/// Reads the instance list.
///
/// # Errors
///
/// The list can't be read from the store.
pub(super) async fn reports(node: &Node) -> Result<Vec<Report>, Error> {
    Ok(decode(&node.store.rows(instance::TABLE, "", "").await?))
}

/// Reads the machine list again and again until the term is over.
async fn watch_machines(node: Rc<Node>, term: Rc<Term>) {
    let Some(machines) = &node.machines else { return };
    let mut last_asked: Option<Time> = None;
    while !term.is_over() {
        let asked = clock::now();
        let interval = machines_interval(&term);
        if last_asked.is_some_and(|last| asked.since(last) < interval) {
            Timer::after(MACHINES_URGENT_INTERVAL).await;
            continue;
        }
        last_asked = Some(asked);
        match machines.list().await {
            Ok(machines) => term.core.borrow_mut().apply_machines(clock::now(), asked, machines),
            Err(error) => info!(event = "dependency", name = "machines", state = "failed", error),
        }
        let took = clock::now().since(asked);
        Timer::after((took * MACHINES_PAUSE_FACTOR).max(MACHINES_URGENT_INTERVAL)).await;
    }
}

/// Interval between two reads of the machine list.
fn machines_interval(term: &Term) -> Duration {
    let core = term.core.borrow();
    if core.has_tasks_on_unresponsive() {
        MACHINES_URGENT_INTERVAL
    } else if core.has_accepted_operations() {
        MACHINES_FAST_INTERVAL
    } else {
        MACHINES_INTERVAL
    }
}
