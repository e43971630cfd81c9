//! Clients hand in many jobs of legal size with long chains of steps, due in an hour. The platform kills a process
//! that takes up more memory than its machine has, and starts it again.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use super::*;

/// `memoryMb` of the sheet.
const MEMORY_MB: u64 = 260;

/// Steps of a large job, each with one task, one after the other.
const STEPS: usize = 250;

/// Large jobs that clients hand in.
const LARGE: usize = 900;

/// Ordinary jobs, of four tasks that take 0.8 s, that are due [`DUE`] after they were handed in.
const ORDINARY: usize = 20;
const DUE: Duration = Duration::from_secs(25);

/// When the traffic ends, and from when on jobs are asked for.
const END: Duration = Duration::from_secs(45);
const FINISH: Duration = Duration::from_secs(14);

pub fn play(record: &Record, trouble: bool, seed: u64) -> i32 {
    let queues = [Queue { service: "caixa", max_attempts: 4 }];
    let kind = Kind { cpu: 32_000, mem_mb: 65_536, labels: vec!["a".to_owned(), "r1".to_owned()] };
    let Some(mut site) = Site::open(record, &queues, &[("caixa", 9, kind)], 3, MEMORY_MB, seed) else {
        return NOT_RUN;
    };
    let fronts = site.fronts();
    let unix = || SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let timed = |after: Duration| {
        format!(",\"repeats\":1,\"firstRunMs\":{},\"intervalMs\":1000", (unix() + after).as_millis())
    };
    let ordinary = "{\"count\":4,\"cpu\":1000,\"memMb\":256,\"estimateMs\":800}";
    let mut accepted = Vec::new();
    for number in 0..ORDINARY {
        let id = format!("{:016x}", 0xa000_0000_u64 + number as u64);
        let body = body("cpu=1000;ms=800", ordinary, &timed(DUE));
        if submit(&fronts, record, "caixa", &id, &body, 4) == Fate::Accepted {
            accepted.push(id);
        }
    }
    record.tell(&format!("{} ordinary jobs accepted, due in {} s", accepted.len(), DUE.as_secs()));
    let phases: Vec<String> = (0..STEPS)
        .map(|step| {
            let after = if step > 0 { format!(",\"after\":[{}]", step - 1) } else { String::new() };
            format!("{{\"count\":1,\"cpu\":100,\"memMb\":16,\"estimateMs\":50{after}}}")
        })
        .collect();
    let large = body("cpu=100;ms=50", &phases.join(","), &timed(Duration::from_secs(3_600)));
    record.tell(&format!("a large job has {STEPS} steps and {} bytes", large.len()));
    let (stop, taken, number) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    let mut kills = vec![0; site.nodes.len()];
    let mut ends = vec![0; site.nodes.len()];
    let mut peak: f64 = 0.0;
    let mut lost = 0;
    let mut told = false;
    let seen: &AtomicBool = &AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                while trouble && !stop.load(Ordering::SeqCst) {
                    let number = number.fetch_add(1, Ordering::SeqCst);
                    if number >= LARGE {
                        return;
                    }
                    let id = format!("{:016x}", 0xb000_0000_u64 + number as u64);
                    if submit(&fronts, record, "caixa", &id, &large, 4) == Fate::Accepted {
                        taken.fetch_add(1, Ordering::SeqCst);
                    }
                }
            });
        }
        let asking = scope.spawn(|| {
            std::thread::sleep(END + FINISH);
            let mut lost = 0;
            for id in &accepted {
                let state = state(&fronts, record, "caixa", id, 6);
                if state.as_deref() != Some("completed") {
                    record.tell(&format!("ordinary job {id}, accepted and due: {}", state.unwrap_or("no answer".to_owned())));
                    lost += 1;
                }
            }
            seen.store(true, Ordering::SeqCst);
            lost
        });
        let began = Instant::now();
        let mut restarts: Vec<(usize, Instant)> = Vec::new();
        while !seen.load(Ordering::SeqCst) && began.elapsed() < Duration::from_secs(100) {
            for (index, node) in site.nodes.iter_mut().enumerate() {
                if restarts.iter().any(|(other, _)| *other == index) {
                    continue;
                }
                match node.memory_mb() {
                    Some((now, most)) => {
                        peak = peak.max(most);
                        if now <= MEMORY_MB as f64 {
                            continue;
                        }
                        kills[index] += 1;
                        let text = format!("{} takes up {now:.0} MB of {MEMORY_MB}: killed", node.name);
                        if told { record.say(&text) } else { record.tell(&text) }
                        node.kill();
                    }
                    None => {
                        ends[index] += 1;
                        let how = node.ended();
                        record.tell(&format!("{} has ended by itself: {how:?}", node.name));
                    }
                }
                told = kills.iter().sum::<i32>() > 5;
                restarts.push((index, Instant::now()));
            }
            let due: Vec<_> = restarts.extract_if(.., |it| it.1.elapsed() >= Duration::from_millis(500)).collect();
            due.into_iter().for_each(|(index, _)| site.nodes[index].spawn());
            if began.elapsed() > END {
                stop.store(true, Ordering::SeqCst);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        stop.store(true, Ordering::SeqCst);
        lost = asking.join().unwrap_or(usize::MAX);
    });
    let taken = taken.into_inner();
    record.tell(&format!("{taken} of {LARGE} large jobs accepted; killed for memory, by node: {kills:?}; highest {peak:.0} MB"));
    record.tell(&format!("{lost} of {} ordinary jobs that were accepted are not completed", accepted.len()));
    site.keep_logs();
    let fault = (0..kills.len()).filter(|&index| kills[index] + ends[index] >= 3).count() >= 2;
    record.tell(&format!("processes of two nodes have ended three times or more: {fault}"));
    match (accepted.len(), lost, fault) {
        (0, ..) => NOT_RUN,
        (_, 0, false) => HELD,
        _ => BROKEN,
    }
}
