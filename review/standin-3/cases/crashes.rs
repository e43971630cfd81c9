//! Now and then a tenth of the runners goes down and up by turns, under ordinary jobs. No run ends `failed`, and no job is cancelled.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use super::*;

/// Runners of the service.
const RUNNERS: usize = 20;

/// Runners that go down and up.
const FLAPPING: usize = 2;

/// Period with which they do, and for how long.
const PERIOD: Duration = Duration::from_millis(1_400);
const FLAPS: Duration = Duration::from_millis(6_500);

/// Times at which that begins, after the start of traffic.
const EPISODES: [u64; 4] = [4, 12, 20, 28];

const LENGTH: Duration = Duration::from_secs(36);

/// Clients, and jobs a second of all of them.
const CLIENTS: u64 = 24;
const RATE: u64 = 34;

pub fn play(record: &Record, trouble: bool, seed: u64) -> i32 {
    let queues = [Queue { service: "despensa", max_attempts: 4 }];
    let kind = Kind { cpu: 32_000, mem_mb: 65_536, labels: vec!["a".to_owned(), "r1".to_owned()] };
    let Some(mut site) = Site::open(record, &queues, &[("despensa", RUNNERS, kind)], 3, 260, seed) else {
        return NOT_RUN;
    };
    let fronts = site.fronts();
    let stop = AtomicBool::new(false);
    let jobs = Jobs::default();
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (stop, fronts, jobs) = (&stop, &fronts, &jobs);
            scope.spawn(move || {
                let mut random = seed * 1_000 + client;
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    let pause = 1_000 * CLIENTS / RATE;
                    std::thread::sleep(Duration::from_millis(pause / 2 + draw(&mut random, pause)));
                    number += 1;
                    let id = format!("{:016x}", 0xc000_0000_u64 + (client << 20) + number);
                    let two = draw(&mut random, 10) < 6;
                    let count = 3 + draw(&mut random, 7);
                    let step = |after: &str| {
                        format!("{{\"count\":{count},\"cpu\":1800,\"memMb\":3300,\"estimateMs\":800{after}}}")
                    };
                    let phases = if two { format!("{},{}", step(""), step(",\"after\":[0]")) } else { step("") };
                    let body = body("cpu=1800;ms=800", &phases, "");
                    let fate = submit(fronts, record, "despensa", &id, &body, 4);
                    jobs.lock().unwrap().push((id, fate));
                }
            });
        }
        let began = Instant::now();
        for second in EPISODES {
            let at = Duration::from_secs(second);
            std::thread::sleep(at.saturating_sub(began.elapsed()));
            let mut flapping = BTreeSet::new();
            while flapping.len() < FLAPPING {
                flapping.insert(site.draw(RUNNERS as u64) as usize);
            }
            if !trouble {
                continue;
            }
            let flapping: Vec<_> = flapping.into_iter().map(|index| Arc::clone(&site.runners[index])).collect();
            let names: Vec<&str> = flapping.iter().map(|runner| runner.id.as_str()).collect();
            record.tell(&format!("{names:?} go down and up"));
            let since = Instant::now();
            while since.elapsed() < FLAPS {
                flapping.iter().for_each(|runner| runner.crash());
                std::thread::sleep(PERIOD / 2);
                flapping.iter().for_each(|runner| runner.restart());
                std::thread::sleep(PERIOD / 2);
            }
        }
        std::thread::sleep(LENGTH.saturating_sub(began.elapsed()));
        stop.store(true, Ordering::SeqCst);
    });
    record.tell("no more jobs are handed in");
    std::thread::sleep(Duration::from_secs(14));
    let mut ends: BTreeMap<String, BTreeMap<&'static str, usize>> = BTreeMap::new();
    for event in site.ledger.lock().unwrap().iter() {
        *ends.entry(event.job().to_owned()).or_default().entry(event.what).or_default() += 1;
    }
    let failed: usize = ends.values().filter_map(|it| it.get("failed")).sum();
    let jobs = jobs.lock().unwrap().clone();
    let accepted: BTreeSet<&String> =
        jobs.iter().filter(|(_, fate)| *fate == Fate::Accepted).map(|(id, _)| id).collect();
    let mut broken = 0;
    let mut states: BTreeMap<String, usize> = BTreeMap::new();
    for id in &accepted {
        let state = state(&fronts, record, "despensa", id, 6).unwrap_or("none".to_owned());
        *states.entry(state.clone()).or_default() += 1;
        if state != "completed" {
            let runs = ends.get(*id).cloned().unwrap_or_default();
            record.tell(&format!("job {id}, accepted and never cancelled, is shown as {state}; its runs: {runs:?}"));
            broken += 1;
        }
    }
    record.tell(&format!("{} jobs accepted; states {states:?}; {failed} runs have ended failed", accepted.len()));
    site.keep_logs();
    match (accepted.len(), broken) {
        (0, _) => NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}
