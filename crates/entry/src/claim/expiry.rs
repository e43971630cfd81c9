//! Removes the rows of keys that have been kept long enough, a few at a time.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use platform::table::Row;
use platform::table::Table;

use super::row;
use super::writer::Purpose;
use super::writer::Writer;
use crate::clock;

/// From one look to the next.
const INTERVAL: Duration = Duration::from_secs(10);

/// Rows looked at each time.
const ROWS: usize = 64;

/// Looks through the keys again and again.
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
            // Another entry may have removed it, or it may have been claimed again: both are fine.
            let _ = writer.settle(&row.key, row.version, None, Purpose::Claim).await;
        }
    }
}

fn last_key(rows: &[Row]) -> String {
    rows.last().map(|row| row.key.clone()).unwrap_or_default()
}
