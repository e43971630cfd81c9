//! Replays a trace and prints its decisions and its report:
//! `cargo run --release -p replay --example replay -- TRACE [product|naive|BUFFER:ROLLOUT:MOVES]`.

use std::path::PathBuf;

use fleet::config::Weights;
use replay::Policy;
use replay::Trace;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    tracing_subscriber::fmt().without_time().with_ansi(false).with_target(false).init();
    let mut args = std::env::args().skip(1);
    let path = PathBuf::from(args.next().ok_or("which trace?")?);
    let policy = policy(args.next().as_deref())?;
    println!("{}", replay::run(&Trace::open(&path)?, policy, replay::generate::SEED));
    Ok(())
}

fn policy(name: Option<&str>) -> Result<Policy, Box<dyn std::error::Error>> {
    let Some(weights) = name.filter(|&name| name != "product") else {
        return Ok(Policy::Product);
    };
    if weights == "naive" {
        return Ok(Policy::Naive);
    }
    let parts: Result<Vec<f64>, _> = weights.split(':').map(str::parse).collect();
    match parts?.as_slice() {
        &[buffer, rollout, moves] => Ok(Policy::Weighted(Weights { buffer, rollout, moves })),
        _ => Err("weights are BUFFER:ROLLOUT:MOVES".into()),
    }
}
