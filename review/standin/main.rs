//! Plays a case of the review: `standin CASE FOLDER`, with `TROUBLE=0` in the environment for the same
//! without the disruption. Writes `FOLDER/record.txt`. Exit codes: 0 if the rule held, 1 if it was broken,
//! 2 if the case could not be played.

mod case;
mod http;
mod json;
mod platform;
mod site;

use std::fs;
use std::panic;
use std::panic::AssertUnwindSafe;
use std::path::Path;
use std::process::ExitCode;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use site::Site;

/// Longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(116);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = arguments.as_slice() else {
        eprintln!("standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let Some(case) = case::CASES.iter().find(|case| case.name == name) else {
        eprintln!("no such case: {name}");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Some(site) = Site::start(case.nodes, case.pools, case.latency_ms) else {
        eprintln!("{name}: the nodes did not become ready");
        return ExitCode::from(2);
    };
    let watched = Arc::clone(&site);
    thread::spawn(move || {
        thread::sleep(LIMIT);
        watched.stop();
        exit(2);
    });
    let played = panic::catch_unwind(AssertUnwindSafe(|| (case.play)(&site, trouble)));
    site.stop();
    let Ok(Some(broken)) = played else {
        eprintln!("{name}: could not be played");
        return ExitCode::from(2);
    };
    write_record(&site, &broken, Path::new(folder));
    for line in broken.iter().take(5) {
        println!("broken: {line}");
    }
    println!("{name}, trouble {trouble}: {} breaks of the rule", broken.len());
    ExitCode::from(u8::from(!broken.is_empty()))
}

fn write_record(site: &Arc<Site>, broken: &[String], folder: &Path) {
    let mut lines = site.world.lines.lock().unwrap().clone();
    for (task, runs) in site::runs(&site.world) {
        for run in runs {
            let ended = run.ended.map_or("not ended".to_owned(), |(at, how)| {
                format!("{how} at {:.3}{}", at as f64 / 1e3, if run.noted { ", noted" } else { "" })
            });
            lines.push(format!(
                "{:8.3} run {task} {} on {}: {ended}",
                run.started as f64 / 1e3, run.run, run.runner
            ));
        }
    }
    lines.sort();
    lines.extend(broken.iter().map(|line| format!("broken: {line}")));
    let _ = fs::write(folder.join("record.txt"), lines.join("\n") + "\n");
}
