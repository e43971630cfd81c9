//! The outage state sheds, probes and comes back little by little; budgets hold.

use std::time::Duration;

use cases::cases;
use fleet::time::Time;
use platform::backoff::Backoff;
use platform::budget::Bucket;
use platform::budget::Budget;
use platform::budget::Site;
use platform::outage::Admission;
use platform::outage::Class;
use platform::outage::ENOUGH_FAILURES;
use platform::outage::Outage;
use platform::outage::Outcome;
use platform::outage::PROBE_CAP;
use platform::outage::PROBE_TIMEOUT;
use platform::outage::RAMP;
use platform::outage::State;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 7;

/// An outage state that has just seen the platform go.
fn out(now: Time, random: &mut ChaCha8Rng) -> Outage {
    let mut outage = Outage::default();
    for _ in 0..ENOUGH_FAILURES {
        outage.report(now, Admission::Go, Outcome::Failed, random);
    }
    assert_eq!(outage.state(), State::Out);
    outage
}

#[test]
fn single_failures_are_no_outage() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut outage = Outage::default();
    for call in 0..100 {
        let outcome = if call % 2 == 0 { Outcome::Failed } else { Outcome::Answered };
        outage.report(Time::ZERO, Admission::Go, outcome, &mut random);
        assert_eq!(outage.state(), State::Up);
    }
}

cases! {
    while_out_one_probe_is_let_through_at_a_time;
    control: Class::Control,
    request: Class::Request,
    duty: Class::Duty,
}
fn while_out_one_probe_is_let_through_at_a_time(class: Class) {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut outage = out(Time::ZERO, &mut random);
    let Admission::Shed(wait) = outage.admit(Time::ZERO, class, &mut random) else {
        panic!("it must wait for the first probe")
    };
    let then = Time::ZERO + wait;
    assert_eq!(outage.admit(then, class, &mut random), Admission::Probe);
    assert!(matches!(outage.admit(then, class, &mut random), Admission::Shed(_)));
    // A probe whose caller went away does not stop the next one.
    assert_eq!(outage.admit(then + PROBE_TIMEOUT, class, &mut random), Admission::Probe);
}

#[test]
fn probes_grow_rarer_up_to_the_cap_whatever_late_failures_say() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut now = Time::ZERO;
    let mut outage = out(now, &mut random);
    for _ in 0..50 {
        outage.report(now, Admission::Go, Outcome::Failed, &mut random);
    }
    let first = outage.admit(now, Class::Duty, &mut random);
    assert!(matches!(first, Admission::Shed(wait) if wait <= Duration::from_millis(200)));
    let mut waits = Vec::new();
    for _ in 0..12 {
        let Admission::Shed(wait) = outage.admit(now, Class::Duty, &mut random) else {
            panic!("too early for a probe")
        };
        waits.push(wait);
        now = now + wait;
        let probe = outage.admit(now, Class::Duty, &mut random);
        outage.report(now, probe, Outcome::Failed, &mut random);
    }
    assert!(waits[11] >= PROBE_CAP / 2 && waits[11] <= PROBE_CAP);
    assert_eq!(PROBE_CAP, Duration::from_secs(1));
    assert!(waits[0] < waits[3]);
}

#[test]
fn the_way_back_is_a_ramp_for_what_can_wait() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let start = Time::from_secs(100);
    let mut outage = out(start, &mut random);
    outage.report(start, Admission::Probe, Outcome::Answered, &mut random);
    assert_eq!(outage.state(), State::Returning);
    let quarter = start + RAMP / 4;
    let mut passed = |class| {
        let mut admit = || outage.admit(quarter, class, &mut random) == Admission::Go;
        (0..1_000).filter(|_| admit()).count()
    };
    let (duty, request, control) =
        (passed(Class::Duty), passed(Class::Request), passed(Class::Control));
    assert_eq!(duty, 1_000);
    assert_eq!(request, 1_000);
    assert!((30..100).contains(&control), "{control}");
    assert_eq!(outage.admit(start + RAMP, Class::Control, &mut random), Admission::Go);
    assert_eq!(outage.state(), State::Up);
}

#[test]
fn a_failure_on_the_way_back_is_an_outage_again() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut outage = out(Time::ZERO, &mut random);
    outage.report(Time::ZERO, Admission::Probe, Outcome::Answered, &mut random);
    outage.report(Time::from_secs(1), Admission::Go, Outcome::Failed, &mut random);
    assert_eq!(outage.state(), State::Out);
}

#[test]
fn throttling_holds_control_reads_alone() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut outage = Outage::default();
    outage.report(Time::ZERO, Admission::Go, Outcome::Throttled, &mut random);
    assert_eq!(outage.state(), State::Up);
    assert!(matches!(outage.admit(Time::ZERO, Class::Control, &mut random), Admission::Shed(_)));
    assert_eq!(outage.admit(Time::ZERO, Class::Duty, &mut random), Admission::Go);
    let later = Time::from_millis(200);
    assert_eq!(outage.admit(later, Class::Control, &mut random), Admission::Go);
}

cases! {
    all_entries_together_stay_within_the_site;
    nine: 9,
    seventy_two: 72,
}
fn all_entries_together_stay_within_the_site(entries: u32) {
    const STEP_MS: u64 = 10;
    let site = Site::default();
    let mut budgets = vec![Budget::new(site, entries); entries as usize];
    let (mut reads, mut writes) = (Vec::new(), Vec::new());
    for step in 0..1_000 {
        let now = Time::from_millis(step * STEP_MS);
        let taken = |take: fn(&mut Budget, Time) -> bool, budgets: &mut [Budget]| {
            let mut taken = 0;
            for budget in budgets {
                while take(budget, now) {
                    taken += 1;
                }
            }
            taken
        };
        reads.push(taken(|budget, now| budget.read(now).is_ok(), &mut budgets));
        writes.push(taken(|budget, now| budget.write(now).is_ok(), &mut budgets));
    }
    let steps = (1_000 / STEP_MS) as usize;
    let most = |taken: &[u32]| taken.windows(steps).map(|second| second.iter().sum::<u32>()).max();
    assert!(most(&reads) <= Some(site.reads), "{:?}", most(&reads));
    assert!(most(&writes) <= Some(site.writes), "{:?}", most(&writes));
    let seconds = 10;
    assert!(reads.iter().sum::<u32>() >= seconds * site.reads / 2);
    assert!(writes.iter().sum::<u32>() >= seconds * site.writes / 2);
}

#[test]
fn a_smaller_share_counts_at_once() {
    let mut budget = Budget::new(Site { reads: 100, writes: 100 }, 1);
    budget.share(Time::ZERO, 100);
    assert!(budget.read(Time::ZERO).is_ok());
    assert_eq!(budget.read(Time::ZERO), Err(Duration::from_secs(2)));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_bucket_never_gives_more_than_its_rate(
        steps in proptest::collection::vec(0_u64..50_000, 1..400),
        rate in 1_u32..500,
        burst in 1_u32..50,
    ) {
        let mut bucket = Bucket::new(f64::from(rate), f64::from(burst));
        let mut now = Time::ZERO;
        let mut taken = 0.0;
        for step in steps {
            now = now + Duration::from_micros(step);
            taken += f64::from(u8::from(bucket.take(now).is_ok()));
            let bound = f64::from(burst) + now.since(Time::ZERO).as_secs_f64() * f64::from(rate);
            prop_assert!(taken <= bound + 1e-6);
        }
    }

    #[test]
    fn a_pause_stays_within_its_bounds(seed: u64, rounds in 1_usize..40) {
        let (first, cap) = (Duration::from_millis(100), Duration::from_secs(3));
        let mut backoff = Backoff::new(first, cap);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let pauses: Vec<Duration> = (0..rounds).map(|_| backoff.next(&mut random)).collect();
        prop_assert!(pauses[0] <= first && pauses[0] >= first / 2);
        prop_assert!(pauses.iter().all(|pause| *pause <= cap));
        backoff.reset();
        prop_assert!(backoff.next(&mut random) <= first);
    }
}
