//! Jobs with a gang are due while the store turns the leading node away. Later the node that leads then is stopped
//! and started again, as planned work. The last step of each job comes after the gang and another step.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use super::*;

/// Jobs: each a gang of three tasks that work for 0.5 s together, then three tasks of 8 s, then two of 0.5 s.
const JOBS: usize = 6;

/// When they are due, after they were handed in.
const DUE: Duration = Duration::from_secs(4);

/// When the store begins to turn the leading node away, and for how long.
const REFUSED: Duration = Duration::from_millis(3_500);
const REFUSED_FOR: Duration = Duration::from_secs(7);

/// When the node that leads then is told to stop.
const STOPPED: Duration = Duration::from_millis(12_500);

/// `finish_s`, after the last task could have ended.
const ASKED: Duration = Duration::from_secs(45);

pub fn play(record: &Record, trouble: bool, seed: u64) -> i32 {
    let queues = [Queue { service: "caixa", max_attempts: 4 }];
    let kind = Kind { cpu: 32_000, mem_mb: 65_536, labels: vec!["a".to_owned(), "r1".to_owned()] };
    let Some(mut site) = Site::open(record, &queues, &[("caixa", 9, kind)], 3, 260, seed) else {
        return NOT_RUN;
    };
    let fronts = site.fronts();
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let began = Instant::now();
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let id = format!("{:016x}", 0xa000_0000_u64 + number as u64);
        let phases = "{\"count\":3,\"cpu\":1000,\"memMb\":256,\"estimateMs\":500,\"gang\":true},\
                      {\"count\":3,\"cpu\":1000,\"memMb\":256,\"estimateMs\":8000,\"after\":[0]},\
                      {\"count\":2,\"cpu\":1000,\"memMb\":256,\"estimateMs\":500,\"after\":[0,1]}";
        let rest = format!(",\"repeats\":1,\"firstRunMs\":{},\"intervalMs\":1000", (unix + DUE).as_millis());
        let body = body("cpu=1000;ms=500,8000,500;gang=3,0,0", phases, &rest);
        if submit(&fronts, record, "caixa", &id, &body, 4) == Fate::Accepted {
            accepted.push(id);
        }
    }
    record.tell(&format!("{} jobs accepted", accepted.len()));
    let wait = |until: Duration| std::thread::sleep(until.saturating_sub(began.elapsed()));
    wait(REFUSED);
    let Some(leader) = site.store.writer() else { return NOT_RUN };
    if trouble {
        record.tell(&format!("the store turns {} away", site.nodes[leader].name));
        site.store.refused[leader].store(true, Ordering::SeqCst);
    }
    wait(REFUSED + REFUSED_FOR);
    site.store.refused[leader].store(false, Ordering::SeqCst);
    record.tell("the store serves all nodes");
    wait(STOPPED);
    let Some(leader) = site.store.writer() else { return NOT_RUN };
    if trouble {
        record.tell(&format!("{} gets SIGTERM", site.nodes[leader].name));
        site.nodes[leader].signal("TERM");
        let told = Instant::now();
        while site.nodes[leader].id().is_some() && told.elapsed() < Duration::from_secs(6) {
            std::thread::sleep(Duration::from_millis(20));
        }
        site.nodes[leader].kill();
        std::thread::sleep(Duration::from_millis(500));
        site.nodes[leader].spawn();
        record.tell(&format!("{} is started again", site.nodes[leader].name));
    }
    wait(ASKED);
    let mut lost = 0;
    for id in &accepted {
        let state = state(&fronts, record, "caixa", id, 6).unwrap_or("no answer".to_owned());
        let ends = site.ledger.lock().unwrap().iter().filter(|it| it.job() == id && it.what == "done").count();
        if state != "completed" {
            record.tell(&format!("job {id}, accepted and due for {} s: {state}; {ends} of its 8 tasks have ended done", (ASKED - DUE).as_secs()));
            lost += 1;
        }
    }
    record.tell(&format!("{lost} of {} accepted jobs are not completed", accepted.len()));
    site.keep_logs();
    match (accepted.len(), lost) {
        (0, _) => NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}
