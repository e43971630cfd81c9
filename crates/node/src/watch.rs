//! Follows what operators write.

use std::rc::Rc;
use std::time::Duration;

use adapter::operator;
use adapter::store::Error;
use adapter::store::Row;
use async_io::Timer;
use tracing::info;
use tracing::warn;

use crate::Node;

/// How long one reading of the feed waits for a change: a connection that has gone silent is
/// noticed after it, well within the bound on configurations.
const WAIT: Duration = Duration::from_millis(700);

/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(150);

/// Follows what operators write for as long as the process runs.
pub async fn run(node: Rc<Node>) {
    let mut version = None;
    let mut lost = false;
    loop {
        let read = match version {
            None => node.store.rows(operator::TABLE, "", "").await,
            Some(version) => node.store.feed(operator::TABLE, version, WAIT).await,
        };
        match read {
            Ok(page) => {
                if lost {
                    info!(event = "dependency", name = "store", state = "regained");
                    lost = false;
                }
                page.rows.iter().for_each(|row| take(&node, row));
                version = Some(page.version.max(version.unwrap_or_default()));
            }
            Err(Error::Forgotten) => {
                info!(event = "watch", state = "history-dropped", version);
                version = None;
            }
            Err(error) => {
                if !lost {
                    info!(event = "dependency", name = "store", state = "lost", %error);
                    lost = true;
                }
                Timer::after(PAUSE).await;
            }
        }
    }
}

fn take(node: &Node, row: &Row) {
    match operator::decode(row) {
        Ok(Some(operator::Entry::Config(config))) => node.configure(config, "store"),
        Ok(Some(operator::Entry::Wave(wave))) => {
            let mut waves = node.waves.borrow_mut();
            if waves.iter().all(|known| known.number != wave.number) {
                waves.push(wave);
                drop(waves);
                if let Some(reign) = node.term() {
                    reign.set_waves(&node.waves.borrow());
                }
            }
        }
        Ok(None) => {}
        Err(error) => warn!(event = "unreadable", key = row.key, version = row.version, %error),
    }
}
