//! Stand-ins of the platform, its runners and its clients, and the cases that are played against them.
//!
//! `standin-3 CASE DIR` plays a case, writes `DIR/record.txt`, and exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod judge;
mod json;
mod node;
mod record;
mod runner;
mod store;
mod wire;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let seed = std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let (Some(case), Some(dir)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin-3 CASE DIR");
        std::process::exit(2);
    };
    // No case takes longer than two minutes.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(116));
        eprintln!("the case takes too long");
        node::kill_all();
        std::process::exit(2);
    });
    let code = std::panic::catch_unwind(|| cases::play(case, dir, trouble, seed)).unwrap_or(2);
    // Child processes that a panic has left behind.
    node::kill_all();
    std::process::exit(code);
}
