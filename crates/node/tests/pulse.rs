//! Detection of leaders that are too slow.

use std::time::Duration;

use cases::cases;
use fleet::time::Time;
use node::slowness::Detector;
use node::slowness::may_step_down;

/// Times between ticks in milliseconds, and whether the leader counts as slow after the last one.
struct Ticks(&'static [u64], bool);

cases! {
    detects_slowness;
    regular_ticks: Ticks(&[100, 100, 100, 100, 100], false),
    one_late_tick: Ticks(&[100, 900, 100, 100], false),
    late_ticks_with_timely_ones_between: Ticks(&[900, 100, 900, 100, 900], false),
    late_ticks_in_a_row: Ticks(&[100, 500, 500, 500], true),
    a_suspension: Ticks(&[100, 8_000, 100], false),
}

fn detects_slowness(Ticks(intervals, expected): Ticks) {
    let mut detector = Detector::default();
    let mut now = Time::from_secs(1);
    detector.observe_tick(now);
    let mut slow = false;
    for interval in intervals {
        now = now + Duration::from_millis(*interval);
        slow = detector.observe_tick(now);
    }
    assert_eq!(slow, expected);
}

#[test]
fn a_step_down_for_slowness_prevents_others_for_twenty_seconds() {
    assert!(may_step_down(0, 5));
    assert!(!may_step_down(1_000, 15_000));
    assert!(may_step_down(1_000, 21_000));
}
