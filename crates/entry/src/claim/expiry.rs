//! Deletes the rows of expired idempotency keys, a few at a time.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use platform::table::Row;
use platform::table::Table;

use super::row;
use super::writer::Purpose;
use super::writer::Writer;
use crate::clock;

/// Interval between scans.
const INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of rows per scan.
const ROWS: usize = 64;

/// Scans all keys repeatedly and deletes the expired ones. Never returns.
pub(super) async fn run<T: Table>(writer: Rc<Writer<T>>, retention: Duration) {
    let mut after = String::new();
    loop {
        Timer::after(INTERVAL).await;
        if writer.is_down() {
            continue;
        }
        let Ok(rows) = writer.table().scan(row::PREFIX, &after, ROWS).await else { continue };
        after = if rows.len() < ROWS { String::new() } else { last_key(&rows) };
        let wall = clock::wall();
        for row in rows.iter().filter(|row| row::is_expired(row, retention, wall)) {
            // This fails if another entry has deleted or reclaimed the row, which is fine.
            let _ = writer.write_row(&row.key, row.version, None, Purpose::Claim).await;
        }
    }
}

fn last_key(rows: &[Row]) -> String {
    rows.last().map(|row| row.key.clone()).unwrap_or_default()
}
