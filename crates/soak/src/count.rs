//! Asks nodes how many jobs wait and which have begun, and holds the answers against what instances have started.

use std::collections::BTreeMap;
use std::time::Duration;

use async_io::Timer;
use fleet::time::Time;
use rand::Rng;

use crate::client::Client;
use crate::client::QUEUE;
use crate::client::Stage;
use crate::watch::SETTLING_TIME;

/// Age from which a job that waits has to be counted: a change may take 3 s to show, and a count may be 2 s old.
const COUNTED_AGE: Duration = Duration::from_secs(5);

/// Asks until the run is over.
pub(crate) async fn run(mut client: Client) {
    let mut accepted: BTreeMap<String, Time> = BTreeMap::new();
    while client.stage.get() != Stage::Over {
        let pause = client.random.random_range(50..300);
        Timer::after(Duration::from_millis(pause)).await;
        let now = node::clock::now();
        for job in &client.told.borrow().accepted {
            accepted.entry(job.clone()).or_insert(now);
        }
        if client.random.random_ratio(1, 2) {
            check_count(&mut client, &accepted).await;
        } else if let Some(place) = accepted.len().checked_sub(1) {
            // Those that were accepted last are most likely to wait.
            let place = place - client.random.random_range(0..=place.min(20));
            let mut jobs: Vec<_> = accepted.iter().map(|(job, at)| (*at, job)).collect();
            jobs.sort_unstable();
            check_state(&mut client, &jobs[place].1.clone()).await;
        }
    }
}

/// A job is shown as running only if a task of it has started.
async fn check_state(client: &mut Client, job: &str) {
    let state = client.state(job).await;
    client.note(&format!("shown {state}"));
    if state == "running" && !client.platform.monitor.borrow().has_started(job) {
        let broken = format!("{job} is shown as running, and none of its tasks has started");
        client.told.borrow_mut().broken.push(broken);
    }
}

/// A node that is in touch counts at least half of the jobs that have waited for long.
async fn check_count(client: &mut Client, accepted: &BTreeMap<String, Time>) {
    let asked = node::clock::now();
    let Some(count) = client.count(QUEUE).await else { return };
    let (told, monitor) = (client.told.borrow(), client.platform.monitor.borrow());
    // Jobs that have started since the answer do not count as waiting.
    let waits = |job: &str, at: Time| {
        told.queue(job) == QUEUE
            && !told.leaving.contains(job)
            && asked.since(at) > COUNTED_AGE
            && !monitor.has_started(job)
    };
    let waiting = accepted.iter().filter(|(job, at)| waits(job, **at)).count() as u64;
    let calm = told.calm_since + SETTLING_TIME <= asked;
    drop((told, monitor));
    client.note(if waiting > 0 && calm { "counted" } else { "counted nothing" });
    if calm && count * 2 < waiting {
        let broken = format!("{count} jobs are said to wait, and {waiting} have for over 5 s");
        client.told.borrow_mut().broken.push(broken);
    }
}
