//! When a node in office counts as slow.

use std::time::Duration;

use cases::cases;
use fleet::time::Time;
use node::slowness::Detector;
use node::slowness::may_step_down;

/// Beats at these distances, in milliseconds, and whether they end in slowness.
struct Beats(&'static [u64], bool);

cases! {
    judges;
    even_beats: Beats(&[100, 100, 100, 100, 100], false),
    one_late_beat: Beats(&[100, 900, 100, 100], false),
    late_beats_with_others_between: Beats(&[900, 100, 900, 100, 900], false),
    late_beats_in_a_row: Beats(&[100, 500, 500, 500], true),
    a_suspension: Beats(&[100, 8_000, 100], false),
}

fn judges(Beats(distances, slow): Beats) {
    let mut pulse = Detector::default();
    let mut now = Time::from_secs(1);
    pulse.observe_tick(now);
    let mut judged = false;
    for distance in distances {
        now = now + Duration::from_millis(*distance);
        judged = pulse.observe_tick(now);
    }
    assert_eq!(judged, slow);
}

#[test]
fn nodes_leave_for_slowness_only_now_and_then() {
    assert!(may_step_down(0, 5));
    assert!(!may_step_down(1_000, 15_000));
    assert!(may_step_down(1_000, 21_000));
}
