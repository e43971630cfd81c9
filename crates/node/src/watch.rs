//! Watches the operators' table of the store: configurations and maintenance waves.

use std::rc::Rc;
use std::time::Duration;

use adapter::operator;
use adapter::store::Error;
use adapter::store::Row;
use async_io::Timer;
use tracing::info;
use tracing::warn;

use crate::Node;
use crate::clock;

/// Long-poll timeout of the change feed. A connection that no longer answers is noticed after it,
/// well within the time limit for new configurations to come into force.
const POLL_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Watches the operators' table for as long as the process runs.
///
/// Reads the whole table first, and again whenever the store has dropped the history that the
/// change feed would need.
pub async fn run(node: Rc<Node>) {
    let mut version = None;
    let mut lost = false;
    loop {
        let asked = clock::now();
        let read = match version {
            None => node.store.rows(operator::TABLE, "", "").await,
            Some(version) => node.store.feed(operator::TABLE, version, POLL_TIMEOUT).await,
        };
        // A store that has dropped the history was reached.
        node.reads_store.set(matches!(read, Ok(_) | Err(Error::HistoryDropped)));
        match read {
            Ok(page) => {
                if lost {
                    info!(event = "dependency", name = "store", state = "regained");
                    lost = false;
                }
                let newest = page.rows.iter().filter_map(|row| apply(&node, row)).max();
                version = Some(page.next_version(version.unwrap_or_default()));
                if confirms(page.more, newest, node.config().version) {
                    node.confirm_config(asked);
                }
            }
            Err(Error::HistoryDropped) => {
                info!(event = "watch", state = "history-dropped", version);
                version = None;
            }
            Err(error) => {
                node.fail_confirmation(asked);
                if !lost {
                    info!(event = "dependency", name = "store", state = "lost", %error);
                    lost = true;
                }
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

/// Whether an answer of the store confirms that the configuration in force is the newest. `more`: whether further rows
/// follow; `read`: the newest version among its rows.
///
/// Handles a store that has dropped its history and answers with rows that have been replaced since.
pub fn confirms(more: bool, read: Option<u64>, in_force: u64) -> bool {
    !more && read.is_none_or(|read| read >= in_force)
}

/// Applies a row, and returns the version of the configuration that it holds.
fn apply(node: &Node, row: &Row) -> Option<u64> {
    match operator::decode(row) {
        Ok(Some(operator::Entry::Config(config))) => {
            let version = config.version;
            node.configure(config, "store");
            return Some(version);
        }
        Ok(Some(operator::Entry::Wave(wave))) => {
            let mut waves = node.waves.borrow_mut();
            if waves.iter().all(|known| known.number != wave.number) {
                waves.push(wave);
                drop(waves);
                if let Some(term) = node.term() {
                    term.set_waves(&node.waves.borrow());
                }
            }
        }
        Ok(None) => {}
        Err(error) => warn!(event = "unreadable", key = row.key, version = row.version, %error),
    }
    None
}
