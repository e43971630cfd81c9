//! Replays every shipped trace and holds it to its outcome file.

use std::path::PathBuf;

use replay::Outcome;
use replay::Trace;
use replay::generate;

fn folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces")
}

cases::cases! {
    keeps_its_outcome;
    lisbon_pre_order_peak: "lisbon-pre-order-peak",
    new_england_class_day: "new-england-class-day",
    wave_through_rack_failures: "wave-through-rack-failures",
    black_hole_workers: "black-hole-workers",
    fragmented_accelerators: "fragmented-accelerators",
}
fn keeps_its_outcome(name: &str) {
    let trace = Trace::open(&folder().join(format!("{name}.jsonl"))).expect("the trace is read");
    let outcome =
        Outcome::open(&folder().join(format!("{name}.outcome.json"))).expect("the outcome is read");
    let reports = outcome.replay(&trace, generate::SEED);
    let broken: Vec<_> = outcome.check(&reports).iter().map(ToString::to_string).collect();
    for (run, report) in &reports {
        println!("{name}, {run}:\n{report}\n");
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn shipped_traces_are_the_generator_s() {
    for name in generate::NAMES {
        let shipped = Trace::open(&folder().join(format!("{name}.jsonl"))).expect("it is read");
        let generated = generate::shipped(name, generate::SEED).expect("it is generated");
        assert_eq!(shipped, generated, "{name}");
    }
}
