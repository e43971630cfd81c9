//! Headroom and health of upstreams, and load balancing between them.

use std::net::SocketAddr;
use std::time::Duration;

use entry::key;
use entry::retry::Budget;
use entry::upstream::Event;
use entry::upstream::Health;
use entry::upstream::Policy;
use entry::upstream::Reason;
use entry::upstream::Tiers;
use entry::upstream::Transition;
use entry::upstream::Upstream;
use entry::upstream::record_event;
use fleet::table::Table;
use fleet::time::Time;
use fleet::view::Availability;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const START: Time = Time::from_secs(1_000);

fn upstream() -> Upstream {
    Upstream::new("instance", SocketAddr::from(([127, 0, 0, 1], 1)))
}

fn record(pool: &mut [Health], index: usize, now: Time, event: Event) -> Transition {
    record_event(&mut pool.iter_mut().collect::<Vec<_>>(), index, now, event)
}

/// A pool whose upstreams have answered 20 requests each without a failure.
fn healthy_pool(size: usize) -> Vec<Health> {
    let mut pool = vec![Health::default(); size];
    for index in 0..size {
        for _ in 0..20 {
            record(&mut pool, index, START, Event::Success);
        }
    }
    pool
}

/// Records up to 40 failures, until the first transition.
fn fail_until_transition(pool: &mut [Health], index: usize, now: Time) -> Transition {
    (0..40)
        .map(|_| record(pool, index, now, Event::Failure))
        .find(|it| *it != Transition::Unchanged)
        .unwrap_or(Transition::Unchanged)
}

fn ejected(pool: &[Health], now: Time) -> usize {
    pool.iter().filter(|health| health.is_ejected(now)).count()
}

#[test]
fn a_full_upstream_has_no_headroom() {
    let mut upstream = Upstream { in_flight: 7, ..upstream() };
    assert_eq!(upstream.headroom(START), 1);
    upstream.in_flight = 8;
    assert_eq!(upstream.headroom(START), 0);
}

#[test]
fn slots_used_by_other_entries_reduce_headroom_down_to_an_even_share() {
    let base = Upstream { entries: 4, ..upstream() };
    assert_eq!(Upstream { used_elsewhere: 5, ..base.clone() }.headroom(START), 3);
    assert_eq!(Upstream { used_elsewhere: 8, ..base.clone() }.headroom(START), 2);
    assert_eq!(Upstream { used_elsewhere: 8, entries: 9, ..base }.headroom(START), 1);
}

#[test]
fn nine_entries_together_stay_within_the_connection_limit() {
    let share = Upstream { connections: 64 / 9, entries: 9, ..upstream() };
    assert!(share.headroom(START) * 9 <= 64);
}

#[test]
fn a_leaving_upstream_has_no_headroom_even_if_idle() {
    assert_eq!(Upstream { availability: Availability::Leaving, ..upstream() }.headroom(START), 0);
}

#[test]
fn repeated_refusals_by_a_full_upstream_lengthen_its_backoff() {
    let mut upstream = upstream();
    upstream.record_refused(START);
    let first = upstream.full_until.since(START);
    assert_eq!(upstream.headroom(START), 0);
    assert_eq!(upstream.headroom(upstream.full_until), 8);
    upstream.record_refused(START);
    assert!(upstream.full_until.since(START) > first);
    upstream.record_accepted();
    upstream.record_refused(START);
    assert_eq!(upstream.full_until.since(START), first);
}

#[test]
fn a_new_upstream_starts_slowly() {
    let mut upstream = upstream();
    upstream.begin_slow_start(START);
    assert_eq!(upstream.headroom(START), 1);
    let headrooms: Vec<_> =
        (0..=5).map(|secs| upstream.headroom(START + Duration::from_secs(secs))).collect();
    assert!(headrooms.is_sorted(), "{headrooms:?}");
    assert_eq!(headrooms.last(), Some(&8));
}

#[test]
fn an_upstream_that_fails_alone_is_ejected_after_few_requests() {
    let mut pool = vec![Health::default(); 8];
    record(&mut pool, 1, START, Event::Success);
    let transitions: Vec<_> = (0..3).map(|_| record(&mut pool, 0, START, Event::Failure)).collect();
    assert_eq!(transitions[..2], [Transition::Unchanged, Transition::Unchanged]);
    assert!(matches!(transitions[2], Transition::Ejected(_)));
    assert!(!pool[0].allows(START, 0));
}

#[test]
fn earlier_successes_do_not_hide_consecutive_failures() {
    let mut pool = healthy_pool(10);
    let transitions: Vec<_> = (0..3).map(|_| record(&mut pool, 0, START, Event::Failure)).collect();
    assert!(matches!(transitions[2], Transition::Ejected(_)), "{transitions:?}");
    let mut pool = healthy_pool(10);
    let transitions: Vec<_> =
        (0..2).map(|_| record(&mut pool, 0, START, Event::FastFailure)).collect();
    assert!(matches!(transitions[1], Transition::Ejected(_)), "{transitions:?}");
}

#[test]
fn consecutive_failures_do_not_eject_where_peers_fail_too() {
    let mut pool = healthy_pool(4);
    for index in 1..4 {
        for _ in 0..10 {
            record(&mut pool, index, START, Event::Failure);
            record(&mut pool, index, START, Event::Success);
        }
    }
    let transitions: Vec<_> = (0..3).map(|_| record(&mut pool, 0, START, Event::Failure)).collect();
    assert_eq!(transitions, [Transition::Unchanged; 3]);
}

#[test]
fn an_upstream_that_fails_half_its_requests_is_ejected() {
    let mut pool = healthy_pool(8);
    let ejected = (0..200).any(|number| {
        let kind = if number % 2 == 0 { Event::Failure } else { Event::Success };
        matches!(record(&mut pool, 0, START, kind), Transition::Ejected(_))
    });
    assert!(ejected);
}

#[test]
fn when_all_fail_alike_at_most_one_is_ejected() {
    let mut pool = vec![Health::default(); 8];
    for round in 0..50 {
        for index in 0..8 {
            record(&mut pool, index, START + Duration::from_millis(round), Event::Failure);
        }
    }
    assert!(ejected(&pool, START) <= 1, "{}", ejected(&pool, START));
}

fn ejections_stay_within_limit((size, max): (usize, usize)) {
    let mut pool = healthy_pool(size);
    for index in 0..size {
        fail_until_transition(&mut pool, index, START);
    }
    let out = ejected(&pool, START);
    assert!(out >= 1 && out <= max, "{out}");
}

cases::cases! {
    ejections_stay_within_limit;
    a_pool_of_eight_can_eject_one: (8, 1),
    a_pool_of_ten_can_eject_two: (10, 2),
    a_pool_of_fifty_can_eject_ten: (50, 10),
}

#[test]
fn a_failure_on_probation_ejects_for_longer() {
    let mut pool = healthy_pool(8);
    let Transition::Ejected(first) = fail_until_transition(&mut pool, 0, START) else {
        panic!("the failing upstream was not ejected")
    };
    let back = START + first;
    assert!(pool[0].allows(back, 0) && !pool[0].allows(back, 1));
    let Transition::Ejected(second) = record(&mut pool, 0, back, Event::Failure) else {
        panic!("a failure on probation did not eject the upstream")
    };
    assert!(second > first);
    let again = back + second;
    let transitions: Vec<_> = (0..3).map(|_| record(&mut pool, 0, again, Event::Success)).collect();
    assert_eq!(transitions[2], Transition::Readmitted);
    assert!(pool[0].allows(again, 7));
}

#[test]
fn requests_in_flight_at_an_ejection_do_not_prolong_it() {
    let mut pool = healthy_pool(8);
    let Transition::Ejected(time) = fail_until_transition(&mut pool, 0, START) else {
        panic!("the failing upstream was not ejected")
    };
    assert_eq!(fail_until_transition(&mut pool, 0, START), Transition::Unchanged);
    assert!(!pool[0].is_ejected(START + time));
}

#[test]
fn unreachable_upstreams_are_skipped_without_a_limit() {
    let mut pool = healthy_pool(8);
    for index in 0..6 {
        record(&mut pool, index, START, Event::Unreachable);
    }
    assert_eq!(pool.iter().filter(|health| health.allows(START, 0)).count(), 2);
    let later = START + Duration::from_secs(1);
    assert_eq!(pool.iter().filter(|health| health.allows(later, 0)).count(), 8);
}

struct Pool {
    upstreams: Table<key::Upstream, Upstream>,
    tiers: Tiers,
    random: ChaCha8Rng,
}

/// Two local upstreams, two remote ones and one that is lent.
fn pool() -> Pool {
    let mut upstreams = Table::default();
    let mut add = || upstreams.insert(upstream());
    let tiers = Tiers {
        local: vec![add(), add()],
        remote: vec![add(), add()],
        lent_local: vec![add()],
        lent_remote: Vec::new(),
    };
    Pool { upstreams, tiers, random: ChaCha8Rng::seed_from_u64(7) }
}

impl Pool {
    fn pick(&mut self, avoid: Option<key::Upstream>) -> Option<(key::Upstream, Reason)> {
        let Self { upstreams, tiers, random } = self;
        let picked = Policy::TwoRandom.pick(upstreams, tiers, START, avoid, random)?;
        upstreams.get_mut(picked.upstream).expect("the upstream exists").in_flight += 1;
        Some((picked.upstream, picked.reason))
    }

    fn change_all(&mut self, change: impl Fn(&mut Upstream)) {
        for (_, upstream) in self.upstreams.iter_mut() {
            change(upstream);
        }
    }
}

#[test]
fn local_upstreams_fill_first_then_remote_ones_then_lent_ones() {
    let mut pool = pool();
    let reasons: Vec<_> =
        (0..40).map(|_| pool.pick(None).expect("an upstream has headroom").1).collect();
    assert!(reasons.is_sorted(), "{reasons:?}");
    let count = |wanted| reasons.iter().filter(|reason| **reason == wanted).count();
    assert_eq!((count(Reason::Local), count(Reason::Spill), count(Reason::Lent)), (16, 16, 8));
    assert_eq!(pool.pick(None), None);
}

#[test]
fn a_retry_avoids_the_last_upstream_if_another_is_open() {
    let mut pool = pool();
    let (local, _) = (pool.tiers.local[0], ());
    for _ in 0..20 {
        let (picked, _) = pool.pick(Some(local)).expect("an upstream has headroom");
        assert_ne!(picked, local);
    }
    pool.change_all(|upstream| upstream.availability = Availability::Leaving);
    pool.upstreams.get_mut(local).expect("the upstream exists").availability = Availability::Open;
    assert_eq!(pool.pick(Some(local)).map(|(picked, _)| picked), Some(local));
}

#[test]
fn in_panic_health_is_ignored_but_leaving_is_not() {
    let mut pool = pool();
    pool.change_all(|upstream| {
        record_event(&mut [&mut upstream.health], 0, START, Event::Unreachable);
        upstream.availability = Availability::Leaving;
    });
    assert_eq!(pool.pick(None), None);
    let remote = pool.tiers.remote[0];
    pool.upstreams.get_mut(remote).expect("the upstream exists").availability = Availability::Open;
    assert_eq!(pool.pick(None), Some((remote, Reason::Panic)));
}

#[test]
fn after_a_failure_other_upstreams_with_headroom_are_preferred() {
    let mut pool = pool();
    let failed = pool.tiers.local[0];
    let upstream = pool.upstreams.get_mut(failed).expect("the upstream exists");
    record_event(&mut [&mut upstream.health], 0, START, Event::Failure);
    let picked: Vec<_> = (0..40).filter_map(|_| pool.pick(None)).map(|(key, _)| key).collect();
    assert_eq!(picked.iter().position(|key| *key == failed), Some(32));
}

#[test]
fn a_full_pool_is_no_reason_to_send_to_a_broken_upstream() {
    let mut pool = pool();
    let broken = pool.tiers.local[0];
    pool.change_all(|upstream| upstream.in_flight = 8);
    let upstream = pool.upstreams.get_mut(broken).expect("the upstream exists");
    upstream.in_flight = 0;
    record_event(&mut [&mut upstream.health], 0, START, Event::Unreachable);
    assert_eq!(pool.pick(None), None);
}

#[test]
fn a_retry_budget_follows_the_load() {
    let mut budget = Budget::new(10);
    while budget.spend() {}
    for _ in 0..1_000 {
        budget.earn();
    }
    let retries = (0..).take_while(|_| budget.spend()).count();
    assert!((1..=10).contains(&retries), "{retries}");
    let mut none = Budget::new(0);
    none.earn();
    assert!(!none.spend());
}
