//! Whatever happens, in whatever order: what must never happen doesn't.

use fleet::config::Weights;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use replay::Policy;
use replay::Report;
use replay::generate;
use replay::trace::Event;
use replay::trace::Line;

/// The same cases each time.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 32,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn assert_sound(report: &Report, what: &str) {
    assert!(report.is_sound(), "{what}\n{report}");
}

// Seeds that once failed, and the number of their events.
cases::cases! {
    stays_sound;
    an_entry_is_cut_off_before_it_acknowledges: (696, 36),
    a_suspect_is_drained_below_the_promise: (9_424_198_832_834_346_185, 4),
}
fn stays_sound((seed, events): (u64, u32)) {
    let report = replay::run(&generate::random(seed, events), Policy::Product, seed);
    assert_sound(&report, &format!("seed {seed}, {events} events"));
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_product_keeps_its_promises(seed in any::<u64>(), events in 1_u32..40) {
        let report = replay::run(&generate::random(seed, events), Policy::Product, seed);
        assert_sound(&report, &format!("seed {seed}, {events} events"));
    }

    #[test]
    fn no_weights_break_a_promise(
        seed in any::<u64>(),
        buffer in 0.0..10.0,
        rollout in 0.0..10.0,
        moves in 0.0..10.0,
    ) {
        let policy = Policy::Weighted(Weights { buffer, rollout, moves });
        let report = replay::run(&generate::random(seed, 20), policy, seed);
        assert_sound(&report, &format!("seed {seed}, weights {buffer}:{rollout}:{moves}"));
    }

    #[test]
    fn the_baseline_is_held_to_the_same(seed in any::<u64>(), events in 1_u32..40) {
        let report = replay::run(&generate::random(seed, events), Policy::Naive, seed);
        assert_eq!(report.budget_breaches, 0, "seed {seed}, {events} events");
        assert_eq!(report.two_pools, 0, "seed {seed}, {events} events");
    }

    /// New holders that know nothing but the rows go on as the old ones would have.
    #[test]
    fn a_new_holder_goes_on_from_the_rows(seed in any::<u64>(), at_secs in 0_u64..1200) {
        let mut trace = generate::random(seed, 15);
        trace.setup.lags.table_ms = 0;
        trace.lines.retain(|line| line.event != Event::Handover);
        let kept = replay::run(&trace, Policy::Product, seed);
        trace.lines.push(Line { at_ms: at_secs * 1_000, event: Event::Handover });
        trace.lines.sort_by_key(|line| line.at_ms);
        let handed_over = replay::run(&trace, Policy::Product, seed);
        assert_sound(&handed_over, &format!("seed {seed}, handed over at {at_secs} s"));
        prop_assert_eq!(kept.rollouts.len(), handed_over.rollouts.len(), "seed {}", seed);
        for (kept, handed_over) in kept.rollouts.iter().zip(&handed_over.rollouts) {
            prop_assert_eq!(kept.done, handed_over.done, "seed {}, at {} s", seed, at_secs);
            prop_assert_eq!(kept.lost, handed_over.lost, "seed {}, at {} s", seed, at_secs);
        }
    }
}

#[test]
fn the_same_seed_gives_the_same_report() {
    let trace = generate::random(7, 30);
    let first = replay::run(&trace, Policy::Product, 7);
    let second = replay::run(&trace, Policy::Product, 7);
    assert_eq!(first, second);
    assert!(first.decisions > 0);
}
