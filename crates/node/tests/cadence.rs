//! Heartbeats are as frequent as the leader's share of a core allows.

use std::ops::RangeInclusive;
use std::time::Duration;

use cases::cases;
use node::leader::cadence;

/// Busy instances, share of a core, pressure, and bounds of the interval in milliseconds.
struct Leader(usize, f64, f64, RangeInclusive<u128>);

cases! {
    asks_as_often_as_it_can_afford;
    a_large_site: Leader(1_000, 0.5, 1.0, 300..=400),
    a_large_site_and_a_whole_core: Leader(1_000, 1.0, 1.0, 150..=200),
    a_small_site: Leader(40, 0.25, 1.0, 50..=50),
    a_small_share_of_a_core: Leader(130, 0.12, 1.0, 150..=250),
    a_leader_that_lags: Leader(1_000, 0.5, 2.0, 600..=800),
    a_lease_that_has_to_be_renewed: Leader(1_000, 0.12, 9.0, 1_250..=1_250),
    a_share_of_nothing: Leader(1_000, 0.0, 1.0, 1_250..=1_250),
    nothing_runs: Leader(0, 0.5, 1.0, 50..=50),
}

fn asks_as_often_as_it_can_afford(Leader(busy, share, pressure, bounds): Leader) {
    let interval = cadence::interval(busy, share, pressure, Duration::from_secs(5));
    let interval_ms = interval.as_millis();
    assert!(bounds.contains(&interval_ms), "{interval_ms} ms, {bounds:?} expected");
}
