//! A pool is full but for one runner, which turns unhealthy: it refuses all starts with 503, and does nothing.
//! Clients hand in jobs, which wait, and ask how many do.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use super::*;

/// Runners of the service.
const RUNNERS: usize = 9;

/// Jobs that are handed in as the runner turns unhealthy.
const JOBS: usize = 14;

/// For how long the runner is unhealthy.
const UNHEALTHY: Duration = Duration::from_millis(6_500);

/// Age from which a waiting job has to be counted: `visible_ms` and 2 s.
const COUNTED: Duration = Duration::from_millis(5_000);

pub fn play(record: &Record, trouble: bool, seed: u64) -> i32 {
    let queues = [Queue { service: "entrega", max_attempts: 3 }];
    let kind = Kind { cpu: 32_000, mem_mb: 65_536, labels: vec!["a".to_owned(), "r1".to_owned()] };
    let Some(site) = Site::open(record, &queues, &[("entrega", RUNNERS, kind)], 3, 260, seed) else {
        return NOT_RUN;
    };
    let fronts = site.fronts();
    let lasting = |count: usize, cpu: u64, apart: &str| {
        let phase = format!(
            "{{\"count\":{count},\"cpu\":{cpu},\"memMb\":100,\"estimateMs\":700,\"longRunning\":true{apart}}}"
        );
        body(&format!("cpu={cpu}"), &phase, "")
    };
    // Each job of the load runs on eight runners, so that one runner stays free.
    for number in 0..RUNNERS - 1 {
        let id = format!("{:016x}", 0xd000_0000_u64 + number as u64);
        if submit(&fronts, record, "entrega", &id, &lasting(2, 15_500, ""), 4) != Fate::Accepted {
            return NOT_RUN;
        }
    }
    std::thread::sleep(Duration::from_secs(3));
    let free: Vec<usize> = (0..RUNNERS).filter(|&index| site.runners[index].load() == 0).collect();
    record.tell(&format!("{} runners are free", free.len()));
    let [free] = free[..] else { return NOT_RUN };
    if trouble {
        site.runners[free].unhealthy.store(true, Ordering::SeqCst);
        record.tell(&format!("{} turns unhealthy", site.runners[free].id));
    }
    let began = Instant::now();
    let mut accepted: Vec<(String, Instant)> = Vec::new();
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..JOBS)
            .map(|number| {
                let (fronts, lasting) = (&fronts, &lasting);
                scope.spawn(move || {
                    let id = format!("{:016x}", 0xe000_0000_u64 + number as u64);
                    let fate = submit(fronts, record, "entrega", &id, &lasting(1, 2_000, ""), 2);
                    (id, fate, Instant::now())
                })
            })
            .collect();
        for client in clients {
            let (id, fate, at) = client.join().unwrap();
            if fate == Fate::Accepted {
                accepted.push((id, at));
            }
        }
    });
    record.tell(&format!("{} jobs accepted", accepted.len()));
    let mut broken = 0;
    while began.elapsed() < UNHEALTHY {
        std::thread::sleep(Duration::from_millis(200));
        let asked = Instant::now();
        let counts: Vec<Option<u64>> = fronts.iter().map(|&front| count(front, record, "entrega")).collect();
        // Looked at after the answer, so that a job that has begun meanwhile counts as begun.
        let begun: BTreeSet<String> =
            site.ledger.lock().unwrap().iter().filter(|it| it.what == "start").map(|it| it.job().to_owned()).collect();
        let waiting =
            accepted.iter().filter(|(id, at)| !begun.contains(id) && asked.duration_since(*at) > COUNTED).count() as u64;
        for (front, count) in fronts.iter().zip(&counts) {
            if let Some(count) = count
                && count * 2 < waiting
            {
                record.tell(&format!("{front} gives {count} as waiting; {waiting} jobs have waited for over 5 s"));
                broken += 1;
            }
        }
    }
    if trouble {
        site.runners[free].unhealthy.store(false, Ordering::SeqCst);
    }
    record.tell(&format!("{broken} wrong counts"));
    site.keep_logs();
    match (accepted.len(), broken) {
        (0, _) => NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}
