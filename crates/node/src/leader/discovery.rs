//! Discovery: reads the lists of instances and machines.

use std::rc::Rc;
use std::time::Duration;

use adapter::instance;
use adapter::store::Error;
use async_io::Timer;
use scheduler::instance::Report;
use tracing::info;

use super::Term;
use crate::Node;
use crate::clock;

/// Interval between two reads of the instance list: a fifth of the time limit for noticing a
/// draining instance.
const INTERVAL: Duration = Duration::from_millis(400);

/// Interval between two reads of the instance list while machines are being moved or maintained, or
/// tasks may have to be placed elsewhere: the sooner a change is seen, the sooner work starts.
const FAST_INTERVAL: Duration = Duration::from_millis(150);

/// Number of reads of the instance list for each read of the machine list.
const READS_PER_MACHINE_READ: u32 = 4;

/// Reads the lists until the term is over.
pub(super) async fn run(node: Rc<Node>, term: Rc<Term>) {
    let mut round = 0;
    let mut lost = false;
    while !term.is_over() {
        match reports(&node).await {
            Ok(reports) => {
                if std::mem::take(&mut lost) {
                    info!(event = "dependency", name = "instance-list", state = "regained");
                }
                term.core.borrow_mut().apply_instances(clock::now(), reports);
                term.open_handles(&node);
                term.wake_handles();
                term.planner.notify();
            }
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    info!(event = "dependency", name = "instance-list", state = "lost", %error);
                }
            }
        }
        if round % READS_PER_MACHINE_READ == 0 || term.core.borrow().has_tasks_on_unresponsive() {
            read_machines(&node, &term).await;
        }
        round += 1;
        let fast = expects_changes(&term);
        Timer::after(if fast { FAST_INTERVAL } else { INTERVAL }).await;
    }
}

/// Whether machine operations are in progress, or tasks on unresponsive instances may have to be
/// placed elsewhere.
fn expects_changes(term: &Term) -> bool {
    let core = term.core.borrow();
    core.has_accepted_operations() || core.has_tasks_on_unresponsive()
}

/// Reads the instance list. Skips entries that can't be decoded, which are from other writers.
///
/// # Errors
///
/// The list can't be read from the store.
pub(super) async fn reports(node: &Node) -> Result<Vec<Report>, Error> {
    let page = node.store.rows(instance::TABLE, "", "").await?;
    Ok(page.rows.iter().filter_map(instance::decode).collect())
}

async fn read_machines(node: &Node, term: &Term) {
    let Some(machines) = &node.machines else { return };
    let asked = clock::now();
    match machines.list().await {
        Ok(machines) => term.core.borrow_mut().apply_machines(clock::now(), asked, machines),
        Err(error) => info!(event = "dependency", name = "machines", state = "failed", error),
    }
}
