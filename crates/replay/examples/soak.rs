//! Replays many random traces and prints each that breaks what must never happen:
//! `cargo run --release -p replay --example soak -- FIRST_SEED COUNT`.

use replay::Policy;
use replay::generate;

/// Most events of a random trace.
const MAX_EVENTS: u64 = 60;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = std::env::args().skip(1);
    let first: u64 = args.next().ok_or("which seed first?")?.parse()?;
    let count: u64 = args.next().ok_or("how many?")?.parse()?;
    let mut unsound = 0;
    for seed in first..first + count {
        let events = (seed % MAX_EVENTS) as u32;
        let report = replay::run(&generate::random(seed, events), Policy::Product, seed);
        if !report.is_sound() {
            unsound += 1;
            println!("seed {seed}, {events} events:\n{report}\n");
        }
    }
    println!("{count} traces, {unsound} unsound");
    if unsound > 0 { Err("unsound".into()) } else { Ok(()) }
}
