//! Reads the lists of instances and machines.

use std::rc::Rc;
use std::time::Duration;

use adapter::runner;
use adapter::store::Error;
use async_io::Timer;
use scheduler::instance::Report;
use tracing::info;

use super::Term;
use crate::Node;
use crate::clock;

/// Time between two readings of the instance list: a fifth of the bound on draining instances.
const INSTANCES: Duration = Duration::from_millis(400);

/// The same while machines are on their way: each reading that comes sooner has them at work
/// sooner.
const EXPECTANT: Duration = Duration::from_millis(150);

/// Readings of the instance list for each reading of the machines.
const MACHINES: u32 = 4;

/// Reads lists until the reign is over.
pub(super) async fn run(node: Rc<Node>, reign: Rc<Term>) {
    let mut round = 0;
    let mut lost = false;
    while !reign.is_over() {
        match reports(&node).await {
            Ok(reports) => {
                if std::mem::take(&mut lost) {
                    info!(event = "dependency", name = "instance-list", state = "regained");
                }
                reign.core.borrow_mut().apply_instances(clock::now(), reports);
                reign.ensure_ports(&node);
                reign.wake_ports();
                reign.planning.set();
            }
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    info!(event = "dependency", name = "instance-list", state = "lost", %error);
                }
            }
        }
        if round % MACHINES == 0 || reign.core.borrow().has_tasks_on_unresponsive() {
            read_machines(&node, &reign).await;
        }
        round += 1;
        let expectant = is_expectant(&reign);
        Timer::after(if expectant { EXPECTANT } else { INSTANCES }).await;
    }
}

/// Whether a sooner reading has machines at work, or work elsewhere, sooner.
fn is_expectant(reign: &Term) -> bool {
    let core = reign.core.borrow();
    core.has_accepted_operations() || core.has_tasks_on_unresponsive()
}

/// The instance list as it stands. Entries of foreign writers name no instance.
pub(super) async fn reports(node: &Node) -> Result<Vec<Report>, Error> {
    let page = node.store.rows(runner::TABLE, "", "").await?;
    Ok(page.rows.iter().filter_map(runner::decode).collect())
}

async fn read_machines(node: &Node, reign: &Term) {
    let Some(machines) = &node.machines else { return };
    let asked = clock::now();
    match machines.list().await {
        Ok(machines) => reign.core.borrow_mut().apply_machines(clock::now(), asked, machines),
        Err(error) => info!(event = "dependency", name = "machines", state = "failed", error),
    }
}
