//! Jobs of all kinds under faults drawn from a seed: a search, not a case.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use super::*;
use crate::judge::Asked;
use crate::judge::Step;
use crate::store::Mood;

fn job(random: &mut u64) -> (Asked, String) {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64;
    let steps = 1 + draw(random, 3) as usize;
    let (mut phases, mut asked_steps, mut times, mut gangs) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let cpu = 1_000 + draw(random, 3_000);
    let saves = draw(random, 2);
    for step in 0..steps {
        let gang = draw(random, 3) == 0 && std::env::var("NOGANG").is_err();
        let count = 1 + draw(random, if gang { 6 } else { 8 }) as usize;
        let ms = 200 + draw(random, 1_500);
        let requires = if draw(random, 4) == 0 { "b" } else { "" };
        let tight = gang && !requires.is_empty();
        let anti_affinity = if draw(random, 4) == 0 { 1 + usize::from(tight) + draw(random, 2) as usize } else { 0 };
        let after: Vec<usize> = if step > 0 { vec![step - 1] } else { vec![] };
        let mut phase = format!(
            "{{\"count\":{count},\"cpu\":{cpu},\"memMb\":100,\"estimateMs\":{ms},\"after\":{after:?},\
             \"gang\":{gang},\"checkpointing\":{}",
            saves > 0
        );
        if !requires.is_empty() {
            phase += &format!(",\"requires\":\"{requires}\"");
        }
        if anti_affinity > 0 {
            phase += &format!(",\"antiAffinity\":{anti_affinity}");
        }
        phases.push(phase + "}");
        times.push(ms.to_string());
        gangs.push(if gang { count.to_string() } else { "0".to_owned() });
        asked_steps.push(Step { count, after, requires: requires.to_owned(), anti_affinity, lasts: false });
    }
    let fail = if draw(random, 5) == 0 { 8 } else { 0 };
    let spec = format!("cpu={cpu};ms={};gang={};save={saves};fail={fail}", times.join(","), gangs.join(","));
    let repeats = if draw(random, 4) == 0 { 1 + draw(random, 4) as u32 } else { 0 };
    let first_ms = unix + 500 + draw(random, 5_000);
    let interval_ms = 300 + draw(random, 3_000);
    let rest = if repeats > 0 {
        format!(",\"repeats\":{repeats},\"firstRunMs\":{first_ms},\"intervalMs\":{interval_ms}")
    } else {
        String::new()
    };
    let text = body(&spec, &phases.join(","), &rest);
    let asked = Asked {
        spec,
        steps: asked_steps,
        max_attempts: 4,
        repeats,
        first_ms,
        interval_ms,
        ..Asked::default()
    };
    (asked, text)
}

pub fn play(record: &Record, trouble: bool, seed: u64) -> i32 {
    let length = std::env::var("LENGTH").ok().and_then(|text| text.parse().ok()).unwrap_or(60);
    let queues = [Queue { service: "caixa", max_attempts: 4 }];
    let kind = |label: &str| Kind { cpu: 32_000, mem_mb: 65_536, labels: vec![label.to_owned(), "r1".to_owned()] };
    let runners = [("caixa", 6, kind("a")), ("caixa", 4, kind("b"))];
    let Some(mut site) = Site::open(record, &queues, &runners, 3, 260, seed) else { return NOT_RUN };
    let fronts = site.fronts();
    let stop = AtomicBool::new(false);
    let jobs = Jobs::default();
    let judge = Arc::clone(&site.judge);
    std::thread::scope(|scope| {
        for client in 0..10_u64 {
            let (stop, fronts, jobs, judge) = (&stop, &fronts, &jobs, &judge);
            scope.spawn(move || {
                let mut random = seed * 1_000 + client;
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(200 + draw(&mut random, 1_200)));
                    number += 1;
                    let id = format!("{:016x}", 0xf000_0000_u64 + (client << 20) + number);
                    let (asked, text) = job(&mut random);
                    judge.asked(&id, asked);
                    let fate = submit(fronts, record, "caixa", &id, &text, 4);
                    if fate == Fate::Rejected {
                        judge.rejected(&id);
                    }
                    jobs.lock().unwrap().push((id.clone(), fate));
                    if fate == Fate::Accepted && draw(&mut random, 12) == 0 {
                        std::thread::sleep(Duration::from_millis(draw(&mut random, 1_500)));
                        let host = [("host", "caixa.example"), ("x-deadline-ms", "3000")];
                        for front in fronts.iter().cycle().take(6) {
                            let target = format!("/caixa/{id}");
                            let answer = wire::call(*front, "DELETE", &target, &host, "", Duration::from_secs(3));
                            record.say(&format!("DELETE {id}: {:?}", answer.as_ref().map(|it| it.0)));
                            if answer.is_some_and(|(status, _)| status == 200 || status == 410) {
                                judge.cancelled(&id);
                                break;
                            }
                        }
                        jobs.lock().unwrap().iter_mut().filter(|it| it.0 == id).for_each(|it| it.1 = Fate::Unknown);
                    } else if fate == Fate::Accepted && draw(&mut random, 6) == 0 {
                        std::thread::sleep(Duration::from_millis(draw(&mut random, 2_500)));
                        submit(fronts, record, "caixa", &id, &text, 1);
                    }
                }
            });
        }
        let began = Instant::now();
        let mut random = seed;
        let mut undo: Vec<(Instant, u64, usize)> = Vec::new();
        let mut next = Instant::now() + Duration::from_secs(2);
        while began.elapsed() < Duration::from_secs(length) {
            std::thread::sleep(Duration::from_millis(10));
            let now = Instant::now();
            let due: Vec<_> = undo.extract_if(.., |it| it.0 <= now).collect();
            for (_, what, index) in due {
                match what {
                    0 => site.nodes[index].spawn(),
                    1 => site.nodes[index].signal("CONT"),
                    2 => site.runners[index].restart(),
                    3 => site.runners[index].cut.store(false, Ordering::SeqCst),
                    4 => site.runners[index].late.store(0, Ordering::SeqCst),
                    _ => *site.store.mood.lock().unwrap() = Mood::Sound,
                }
            }
            for index in 0..3 {
                if site.nodes[index].id().is_none() && undo.iter().all(|it| it.1 != 0 || it.2 != index) {
                    let how = site.nodes[index].ended();
                    record.tell(&format!("{} has ended: {how:?}", site.nodes[index].name));
                    undo.push((now + Duration::from_millis(500), 0, index));
                }
            }
            if !trouble || now < next {
                continue;
            }
            next = now + Duration::from_millis(300 + draw(&mut random, 2_200));
            let (node, runner) = (draw(&mut random, 3) as usize, draw(&mut random, 10) as usize);
            let ms = |random: &mut u64, least: u64, more: u64| now + Duration::from_millis(least + draw(random, more));
            let marks: Vec<(u64, usize)> = undo.iter().map(|it| (it.1, it.2)).collect();
            let busy = |what: u64, index: usize| marks.iter().any(|it| it.0 == what && it.1 == index);
            match draw(&mut random, 9) {
                0 if !busy(0, node) && !busy(1, node) => {
                    record.say(&format!("kill node {node}"));
                    site.nodes[node].kill();
                    undo.push((ms(&mut random, 300, 1_500), 0, node));
                }
                1 if !busy(0, node) && !busy(1, node) => {
                    record.say(&format!("term node {node}"));
                    site.nodes[node].signal("TERM");
                }
                2 if !busy(0, node) && !busy(1, node) => {
                    record.say(&format!("freeze node {node}"));
                    site.nodes[node].signal("STOP");
                    undo.push((ms(&mut random, 300, 3_700), 1, node));
                }
                3 => {
                    site.runners[runner].crash();
                    undo.push((ms(&mut random, 200, 3_000), 2, runner));
                }
                4 if !busy(3, runner) => {
                    record.say(&format!("cut runner {runner}"));
                    site.runners[runner].cut.store(true, Ordering::SeqCst);
                    undo.push((ms(&mut random, 500, 5_000), 3, runner));
                }
                5 if !busy(4, runner) => {
                    record.say(&format!("late orders at runner {runner}"));
                    site.runners[runner].late.store(30, Ordering::SeqCst);
                    undo.push((ms(&mut random, 500, 4_000), 4, runner));
                }
                6 if !busy(5, 0) => {
                    let moods = [Mood::Busy, Mood::Silent, Mood::Loses, Mood::Late, Mood::Slow];
                    let mood = moods[draw(&mut random, 5) as usize];
                    record.say(&format!("store {mood:?}"));
                    *site.store.mood.lock().unwrap() = mood;
                    undo.push((ms(&mut random, 300, 4_200), 5, 0));
                }
                7 => {
                    // The one that leads, which the store knows best.
                    for index in 0..3 {
                        if !busy(0, index) && !busy(1, index) && site.store.writer() == Some(index) {
                            record.say(&format!("kill leading node {index}"));
                            site.nodes[index].kill();
                            undo.push((ms(&mut random, 300, 1_500), 0, index));
                        }
                    }
                }
                _ => {}
            }
        }
        for (_, what, index) in undo {
            match what {
                0 => site.nodes[index].spawn(),
                1 => site.nodes[index].signal("CONT"),
                2 => site.runners[index].restart(),
                3 => site.runners[index].cut.store(false, Ordering::SeqCst),
                4 => site.runners[index].late.store(0, Ordering::SeqCst),
                _ => *site.store.mood.lock().unwrap() = Mood::Sound,
            }
        }
        stop.store(true, Ordering::SeqCst);
    });
    for node in &mut site.nodes {
        std::thread::sleep(Duration::from_millis(100));
        node.spawn();
    }
    record.say("no more jobs are handed in");
    std::thread::sleep(Duration::from_secs(26));
    for node in &mut site.nodes {
        node.spawn();
    }
    let jobs = jobs.lock().unwrap().clone();
    let mut states: BTreeMap<String, usize> = BTreeMap::new();
    let mut broken = 0;
    for (id, fate) in jobs.iter().filter(|(_, fate)| *fate == Fate::Accepted) {
        let state = state(&fronts, record, "caixa", id, 6).unwrap_or("none".to_owned());
        *states.entry(state.clone()).or_default() += 1;
        let cause = match state.as_str() {
            "completed" => judge.is_done(id),
            "failed" => judge.most_failures(id) >= 4,
            _ => false,
        };
        if !cause {
            let most = judge.most_failures(id);
            record.tell(&format!("BROKEN job {id} ({fate:?}) is shown as {state}; most failures {most}"));
            broken += 1;
        }
    }
    let found = judge.all_broken();
    record.tell(&format!("{} jobs, states {states:?}, {} broken by starts, {broken} by states", jobs.len(), found.len()));
    site.keep_logs();
    if found.is_empty() && broken == 0 { HELD } else { BROKEN }
}
