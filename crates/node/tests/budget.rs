//! Accounting of the time that tasks spend.

use std::time::Duration;

use futures_lite::future::block_on;
use node::budget;
use node::budget::Activity;
use node::budget::Span;
use node::clock;

const WORK: Duration = Duration::from_millis(2);

fn work() {
    let began = clock::now();
    while clock::now().since(began) < WORK {}
}

/// Time spent on each activity, in microseconds.
fn spent(activity: Activity) -> u64 {
    budget::spent()[activity as usize]
}

/// The time of an inner activity counts for it alone, and that of a wait for none.
#[test]
fn activities_nest() {
    let began = clock::now();
    block_on(budget::track(Activity::Plan, async {
        work();
        {
            let _span = Span::enter(Activity::Place, clock::now());
            work();
        }
        futures_lite::future::yield_now().await;
        work();
    }));
    let elapsed = clock::now().since(began).as_micros() as u64;
    let (plan, place) = (spent(Activity::Plan), spent(Activity::Place));
    let work = WORK.as_micros() as u64;
    assert!(plan >= 2 * work, "{plan}");
    assert!(place >= work, "{place}");
    assert!(plan + place <= elapsed, "{plan} + {place} of {elapsed}");
}

/// Times are indexed by activity.
#[test]
fn activities_are_in_order() {
    for (index, activity) in Activity::ALL.into_iter().enumerate() {
        assert_eq!(activity as usize, index, "{activity}");
    }
}
