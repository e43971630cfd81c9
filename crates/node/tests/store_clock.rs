//! Times on the store's clock while the store is slow. In the review (case 7) leases were recorded as over before they were.

mod site;

use std::time::Duration;

use cases::cases;
use fleet::time::Time;
use node::leader::store_clock::Reading;
use site::long_running;
use site::name;

/// Latency of a store that is 65 times slower than usual, and takes longest to answer after it has read its clock.
const LATENCY: Duration = Duration::from_millis(300);

#[test]
fn leases_are_not_recorded_as_over_early_while_the_store_is_slow() {
    site::run(1, |site| async move {
        site.ready().await;
        assert_eq!(site.submit(0, &name(1), &long_running(1)).await.status, 200);
        let instance = &site.platform.instances[0];
        site.until(async || instance.runs() == 1).await;
        site.platform.store.transaction_latency.set(LATENCY);
        // The leader has read the store's clock by several slow calls.
        async_io::Timer::after(LATENCY * 5).await;
        // It hears the leader to the end of the last call, so that its lease is as long as the leader believes.
        instance.drops_answers.set(true);
        let recorded = || site.platform.store.get("sail_silences", "main", &instance.id);
        site.until(async || recorded().is_some()).await;
        let recorded_ms = recorded().and_then(|value| value.as_u64()).expect("a time");
        let leased_ms = instance.leased_until_ms();
        println!("leased until {leased_ms}, recorded {recorded_ms}");
        assert!(recorded_ms >= leased_ms, "recorded {} ms early", leased_ms - recorded_ms);
    });
}

/// What the clock showed, when it was asked and when it answered, and the bounds at 5,000 ms.
struct Case(u64, [u64; 2], [u64; 2]);

cases! {
    bounds_contain_the_clock;
    an_answer_at_once: Case(70_000, [4_000, 4_000], [71_000, 71_000]),
    a_slow_answer: Case(70_000, [3_700, 4_000], [71_000, 71_300]),
    an_answer_just_now: Case(70_000, [4_500, 5_000], [70_000, 70_500]),
    the_largest_clock: Case(u64::MAX, [0, 1], [u64::MAX, u64::MAX]),
}

fn bounds_contain_the_clock(Case(clock_ms, [sent, received], [earliest, latest]): Case) {
    let at = |ms: u64| Time::from_micros(ms * 1_000);
    let reading = Reading { clock_ms, sent: at(sent), received: at(received) };
    assert_eq!(reading.earliest_ms(at(5_000)), earliest);
    assert_eq!(reading.latest_ms(at(5_000)), latest);
}
