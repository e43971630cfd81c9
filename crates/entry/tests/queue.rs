//! Order of departures, shares, eviction and refusal in the admission queue.

use std::time::Duration;

use entry::queue::Candidate;
use entry::queue::Queue;
use entry::queue::Ticket;
use fleet::config::Priority;
use fleet::time::Time;
use proptest::prelude::*;

const LATER: Time = Time::from_secs(1_000);

fn candidate(team: &str, priority: Priority) -> Candidate<'_> {
    Candidate { team, share: 1, priority, deadline: LATER }
}

fn normal(team: &str) -> Candidate<'_> {
    candidate(team, Priority::Normal)
}

fn push(queue: &mut Queue, candidate: Candidate<'_>) -> Ticket {
    queue.push(Time::ZERO, candidate).expect("the queue has space").ticket
}

/// A queue whose requests have been leaving at one per `interval`, and the present time.
fn queue_with_departures(limit: usize, interval: Duration) -> (Queue, Time) {
    let mut queue = Queue::new(limit);
    let mut now = Time::ZERO;
    for _ in 0..8 {
        queue.push(now, normal("earlier")).expect("the queue has space");
    }
    while queue.pop(now).is_some() {
        now = now + interval;
    }
    (queue, now)
}

#[test]
fn the_earliest_deadline_of_a_lane_goes_first() {
    let mut queue = Queue::new(8);
    let late = push(&mut queue, normal("a"));
    let early = push(&mut queue, Candidate { deadline: Time::from_secs(1), ..normal("a") });
    assert_eq!(queue.pop(Time::ZERO), Some(early));
    assert_eq!(queue.pop(Time::ZERO), Some(late));
    assert_eq!(queue.pop(Time::ZERO), None);
}

#[test]
fn a_burst_of_one_team_does_not_hold_up_another() {
    let mut queue = Queue::new(64);
    for _ in 0..40 {
        push(&mut queue, normal("burst"));
    }
    for _ in 0..10 {
        queue.pop(Time::ZERO);
    }
    let urgent = push(&mut queue, candidate("other", Priority::Urgent));
    let other = push(&mut queue, normal("other"));
    assert_eq!(queue.pop(Time::ZERO), Some(urgent));
    let next: Vec<_> = (0..2).map(|_| queue.pop(Time::ZERO)).collect();
    assert!(next.contains(&Some(other)));
}

#[test]
fn teams_are_served_by_their_shares() {
    let mut queue = Queue::new(64);
    let mut large = Vec::new();
    for _ in 0..30 {
        large.push(push(&mut queue, Candidate { share: 3, ..normal("large") }));
        push(&mut queue, normal("small"));
    }
    let served: Vec<_> = (0..20).filter_map(|_| queue.pop(Time::ZERO)).collect();
    let of_large = served.iter().filter(|ticket| large.contains(ticket)).count();
    assert_eq!(of_large, 15);
}

#[test]
fn batch_work_is_not_starved_for_good() {
    let mut queue = Queue::new(64);
    let batch = push(&mut queue, candidate("a", Priority::Batch));
    for _ in 0..40 {
        push(&mut queue, candidate("a", Priority::Urgent));
    }
    let served: Vec<_> = (0..20).filter_map(|_| queue.pop(Time::ZERO)).collect();
    assert!(served.contains(&batch));
}

#[test]
fn a_full_queue_evicts_from_its_fullest_lane() {
    let mut queue = Queue::new(4);
    let burst: Vec<_> = (0..4).map(|_| push(&mut queue, normal("burst"))).collect();
    let position = queue.push(Time::ZERO, normal("other")).expect("its lane holds less");
    assert_eq!(position.evicted, burst.last().copied());
    assert!(queue.push(Time::ZERO, normal("burst")).is_err());
    assert_eq!(queue.len(), 4);
}

#[test]
fn a_request_that_would_be_late_is_refused_on_arrival() {
    let (mut queue, now) = queue_with_departures(100, Duration::from_millis(10));
    for _ in 0..20 {
        queue.push(now, normal("a")).expect("the deadline can be met");
    }
    let soon = Candidate { deadline: now + Duration::from_millis(100), ..normal("a") };
    assert!(queue.push(now, soon).is_ok(), "it goes first in its lane");
    let batch = Candidate { deadline: soon.deadline, ..candidate("a", Priority::Batch) };
    let pushed: Vec<_> = (0..4).map(|_| queue.push(now, batch)).collect();
    let queued = pushed.iter().filter(|pushed| pushed.is_ok()).count();
    assert_eq!(queued, 2, "one departure in five is of batch priority: the third would be late");
    let refusal = *pushed.last().expect("four were pushed");
    let wait = refusal.expect_err("it would be late").retry_after;
    assert!(wait > Duration::from_millis(100), "{wait:?}");
}

#[test]
fn a_stall_makes_the_expected_wait_longer() {
    let (mut queue, now) = queue_with_departures(100, Duration::from_millis(10));
    queue.push(now, normal("a")).expect("the deadline can be met");
    let before = queue.expected_wait(now, &normal("a"));
    let after = queue.expected_wait(now + Duration::from_secs(2), &normal("a"));
    assert!(after > before * 10, "{before:?} {after:?}");
}

#[test]
fn a_queued_request_is_dropped_as_soon_as_it_would_be_late() {
    let mut queue = Queue::new(8);
    for _ in 0..200 {
        queue.record_service_time(Duration::from_millis(50));
    }
    let due = Candidate { deadline: Time::from_millis(200), ..normal("a") };
    let ticket = push(&mut queue, due);
    assert_eq!(queue.pop_late(Time::from_millis(140)), None);
    assert_eq!(queue.pop_late(Time::from_millis(151)), Some(ticket));
    assert!(queue.is_empty());
}

#[test]
fn a_request_whose_caller_disconnected_leaves_the_queue() {
    let mut queue = Queue::new(8);
    let gone = push(&mut queue, normal("a"));
    let stays = push(&mut queue, normal("a"));
    assert!(queue.remove(gone));
    assert!(!queue.remove(gone));
    assert_eq!(queue.pop(Time::ZERO), Some(stays));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Pushes a request: number of its team, index of its priority, milliseconds to its deadline.
    Push(u8, u8, u16),
    Pop,
    /// Removes one late request.
    Late,
    /// Removes one of the requests pushed so far, by index.
    Remove(u8),
    /// Advances the time, in milliseconds.
    Wait(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u8..5, 0u8..3, 1u16..500).prop_map(|(team, level, due)| Step::Push(team, level, due)),
        3 => Just(Step::Pop),
        1 => Just(Step::Late),
        1 => any::<u8>().prop_map(Step::Remove),
        1 => (0u16..200).prop_map(Step::Wait),
    ]
}

proptest! {
    /// Every queued request leaves the queue exactly once, and the queue never exceeds its limit.
    #[test]
    fn no_request_is_lost_or_served_twice(steps in proptest::collection::vec(step(), 0..300)) {
        let mut queue = Queue::new(16);
        let mut now = Time::ZERO;
        let mut queued = std::collections::BTreeSet::new();
        let mut all = Vec::new();
        for step in steps {
            let removed = match step {
                Step::Push(team, level, due) => {
                    let team = format!("team-{team}");
                    let priority = [Priority::Urgent, Priority::Normal, Priority::Batch][level as usize];
                    let deadline = now + Duration::from_millis(due.into());
                    let candidate = Candidate { team: &team, share: 1, priority, deadline };
                    let Ok(position) = queue.push(now, candidate) else { continue };
                    prop_assert!(queued.insert(position.ticket));
                    all.push(position.ticket);
                    position.evicted
                }
                Step::Pop => queue.pop(now),
                Step::Late => queue.pop_late(now),
                Step::Remove(index) => {
                    let ticket = all.get(usize::from(index) % all.len().max(1)).copied();
                    ticket.filter(|ticket| queue.remove(*ticket))
                }
                Step::Wait(millis) => {
                    now = now + Duration::from_millis(millis.into());
                    None
                }
            };
            if let Some(ticket) = removed {
                prop_assert!(queued.remove(&ticket));
            }
            prop_assert_eq!(queue.len(), queued.len());
            prop_assert!(queue.len() <= 16);
        }
        while let Some(ticket) = queue.pop(now) {
            prop_assert!(queued.remove(&ticket));
        }
        prop_assert!(queued.is_empty());
    }
}
