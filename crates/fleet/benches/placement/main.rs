//! Cost and quality of job placement.
//!
//! `cargo bench -p fleet --bench placement [-- cost|pack|urgent]`

mod clock;
mod cost;
mod mix;
mod pack;
#[path = "../../tests/jobs/site.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod site;
mod urgent;
#[path = "../../tests/jobs/worker.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod worker;

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).filter(|arg| arg != "--bench").collect();
    let runs = |name: &str| wanted.is_empty() || wanted.iter().any(|one| one == name);
    if runs("cost") {
        cost::run();
    }
    if runs("pack") {
        pack::run();
    }
    if runs("urgent") {
        urgent::run();
    }
}
