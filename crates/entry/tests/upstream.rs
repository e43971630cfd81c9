//! Slots, health and the choice between upstreams.

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
    Upstream::new("runner", SocketAddr::from(([127, 0, 0, 1], 1)))
}

fn event(pool: &mut [Health], index: usize, now: Time, event: Event) -> Transition {
    record_event(&mut pool.iter_mut().collect::<Vec<_>>(), index, now, event)
}

/// A pool that has answered well for a while.
fn well(size: usize) -> Vec<Health> {
    let mut pool = vec![Health::default(); size];
    for index in 0..size {
        for _ in 0..20 {
            event(&mut pool, index, START, Event::Success);
        }
    }
    pool
}

fn fail(pool: &mut [Health], index: usize, now: Time) -> Transition {
    (0..40)
        .map(|_| event(pool, index, now, Event::Failure))
        .find(|it| *it != Transition::Unchanged)
        .unwrap_or(Transition::Unchanged)
}

fn out(pool: &[Health], now: Time) -> usize {
    pool.iter().filter(|health| health.is_ejected(now)).count()
}

#[test]
fn a_full_upstream_has_no_room() {
    let mut upstream = Upstream { in_flight: 7, ..upstream() };
    assert_eq!(upstream.headroom(START), 1);
    upstream.in_flight = 8;
    assert_eq!(upstream.headroom(START), 0);
}

#[test]
fn slots_in_use_elsewhere_are_left_alone_but_for_one_s_own_share() {
    let base = Upstream { entries: 4, ..upstream() };
    assert_eq!(Upstream { used_elsewhere: 5, ..base.clone() }.headroom(START), 3);
    assert_eq!(Upstream { used_elsewhere: 8, ..base.clone() }.headroom(START), 2);
    assert_eq!(Upstream { used_elsewhere: 8, entries: 9, ..base }.headroom(START), 1);
}

#[test]
fn nine_entries_open_no_more_than_the_connections_there_are() {
    let share = Upstream { connections: 64 / 9, entries: 9, ..upstream() };
    assert!(share.headroom(START) * 9 <= 64);
}

#[test]
fn a_leaving_upstream_has_no_room_however_idle() {
    assert_eq!(Upstream { availability: Availability::Leaving, ..upstream() }.headroom(START), 0);
}

#[test]
fn a_refusal_keeps_others_away_for_a_moment_that_grows() {
    let mut upstream = upstream();
    upstream.refused(START);
    let first = upstream.full_until.since(START);
    assert_eq!(upstream.headroom(START), 0);
    assert_eq!(upstream.headroom(upstream.full_until), 8);
    upstream.refused(START);
    assert!(upstream.full_until.since(START) > first);
    upstream.accepted();
    upstream.refused(START);
    assert_eq!(upstream.full_until.since(START), first);
}

#[test]
fn a_new_upstream_starts_slowly() {
    let mut upstream = upstream();
    upstream.begin_slow_start(START);
    assert_eq!(upstream.headroom(START), 1);
    let rooms: Vec<_> =
        (0..=5).map(|secs| upstream.headroom(START + Duration::from_secs(secs))).collect();
    assert!(rooms.is_sorted(), "{rooms:?}");
    assert_eq!(rooms.last(), Some(&8));
}

#[test]
fn an_upstream_that_fails_alone_is_ejected_after_few_requests() {
    let mut pool = vec![Health::default(); 8];
    event(&mut pool, 1, START, Event::Success);
    let transitions: Vec<_> = (0..3).map(|_| event(&mut pool, 0, START, Event::Failure)).collect();
    assert_eq!(transitions[..2], [Transition::Unchanged, Transition::Unchanged]);
    assert!(matches!(transitions[2], Transition::Ejected(_)));
    assert!(!pool[0].allows(START, 0));
}

#[test]
fn good_answers_of_before_do_not_hide_a_row_of_failures() {
    let mut pool = well(10);
    let transitions: Vec<_> = (0..3).map(|_| event(&mut pool, 0, START, Event::Failure)).collect();
    assert!(matches!(transitions[2], Transition::Ejected(_)), "{transitions:?}");
    let mut pool = well(10);
    let transitions: Vec<_> =
        (0..2).map(|_| event(&mut pool, 0, START, Event::FastFailure)).collect();
    assert!(matches!(transitions[1], Transition::Ejected(_)), "{transitions:?}");
}

#[test]
fn a_row_of_failures_is_nothing_special_where_peers_fail_too() {
    let mut pool = well(4);
    for index in 1..4 {
        for _ in 0..10 {
            event(&mut pool, index, START, Event::Failure);
            event(&mut pool, index, START, Event::Success);
        }
    }
    let transitions: Vec<_> = (0..3).map(|_| event(&mut pool, 0, START, Event::Failure)).collect();
    assert_eq!(transitions, [Transition::Unchanged; 3]);
}

#[test]
fn an_upstream_that_fails_half_its_requests_is_ejected() {
    let mut pool = well(8);
    let ejected = (0..200).any(|number| {
        let kind = if number % 2 == 0 { Event::Failure } else { Event::Success };
        matches!(event(&mut pool, 0, START, kind), Transition::Ejected(_))
    });
    assert!(ejected);
}

#[test]
fn when_all_fail_alike_none_stands_out() {
    let mut pool = vec![Health::default(); 8];
    for round in 0..50 {
        for index in 0..8 {
            event(&mut pool, index, START + Duration::from_millis(round), Event::Failure);
        }
    }
    assert!(out(&pool, START) <= 1, "{}", out(&pool, START));
}

fn cap_holds((size, most): (usize, usize)) {
    let mut pool = well(size);
    for index in 0..size {
        fail(&mut pool, index, START);
    }
    let out = out(&pool, START);
    assert!(out >= 1 && out <= most, "{out}");
}

cases::cases! {
    cap_holds;
    a_pool_of_eight_can_eject_one: (8, 1),
    a_pool_of_ten_can_eject_two: (10, 2),
    a_pool_of_fifty_can_eject_ten: (50, 10),
}

#[test]
fn an_ejected_upstream_comes_back_on_probation_and_goes_for_longer() {
    let mut pool = well(8);
    let Transition::Ejected(first) = fail(&mut pool, 0, START) else { panic!("it stands out") };
    let back = START + first;
    assert!(pool[0].allows(back, 0) && !pool[0].allows(back, 1));
    let Transition::Ejected(second) = event(&mut pool, 0, back, Event::Failure) else {
        panic!("it still fails")
    };
    assert!(second > first);
    let again = back + second;
    let transitions: Vec<_> = (0..3).map(|_| event(&mut pool, 0, again, Event::Success)).collect();
    assert_eq!(transitions[2], Transition::Readmitted);
    assert!(pool[0].allows(again, 7));
}

#[test]
fn what_was_in_flight_at_an_ejection_does_not_make_it_longer() {
    let mut pool = well(8);
    let Transition::Ejected(time) = fail(&mut pool, 0, START) else { panic!("it stands out") };
    assert_eq!(fail(&mut pool, 0, START), Transition::Unchanged);
    assert!(!pool[0].is_ejected(START + time));
}

#[test]
fn unreachable_upstreams_are_passed_over_without_a_cap() {
    let mut pool = well(8);
    for index in 0..6 {
        event(&mut pool, index, START, Event::Unreachable);
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

/// Two local upstreams, two remote ones, one lent.
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
        upstreams.get_mut(picked.upstream).expect("it is there").in_flight += 1;
        Some((picked.upstream, picked.reason))
    }

    fn all(&mut self, change: impl Fn(&mut Upstream)) {
        for (_, upstream) in self.upstreams.iter_mut() {
            change(upstream);
        }
    }
}

#[test]
fn near_upstreams_fill_first_then_far_ones_then_lent_ones() {
    let mut pool = pool();
    let reasons: Vec<_> = (0..40).map(|_| pool.pick(None).expect("there is room").1).collect();
    assert!(reasons.is_sorted(), "{reasons:?}");
    let count = |wanted| reasons.iter().filter(|reason| **reason == wanted).count();
    assert_eq!((count(Reason::Local), count(Reason::Spill), count(Reason::Lent)), (16, 16, 8));
    assert_eq!(pool.pick(None), None);
}

#[test]
fn a_retry_goes_elsewhere_if_there_is_anywhere_else() {
    let mut pool = pool();
    let (local, _) = (pool.tiers.local[0], ());
    for _ in 0..20 {
        let (picked, _) = pool.pick(Some(local)).expect("there is room");
        assert_ne!(picked, local);
    }
    pool.all(|upstream| upstream.availability = Availability::Leaving);
    pool.upstreams.get_mut(local).expect("it is there").availability = Availability::Open;
    assert_eq!(pool.pick(Some(local)).map(|(picked, _)| picked), Some(local));
}

#[test]
fn in_panic_health_is_passed_over_but_leaving_is_not() {
    let mut pool = pool();
    pool.all(|upstream| {
        record_event(&mut [&mut upstream.health], 0, START, Event::Unreachable);
        upstream.availability = Availability::Leaving;
    });
    assert_eq!(pool.pick(None), None);
    let remote = pool.tiers.remote[0];
    pool.upstreams.get_mut(remote).expect("it is there").availability = Availability::Open;
    assert_eq!(pool.pick(None), Some((remote, Reason::Panic)));
}

#[test]
fn after_a_failure_others_with_room_are_preferred() {
    let mut pool = pool();
    let failed = pool.tiers.local[0];
    let upstream = pool.upstreams.get_mut(failed).expect("it is there");
    record_event(&mut [&mut upstream.health], 0, START, Event::Failure);
    let picked: Vec<_> = (0..40).filter_map(|_| pool.pick(None)).map(|(key, _)| key).collect();
    assert_eq!(picked.iter().position(|key| *key == failed), Some(32));
}

#[test]
fn a_full_pool_is_no_reason_to_send_to_a_broken_upstream() {
    let mut pool = pool();
    let broken = pool.tiers.local[0];
    pool.all(|upstream| upstream.in_flight = 8);
    let upstream = pool.upstreams.get_mut(broken).expect("it is there");
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
