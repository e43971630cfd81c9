//! Members find each other, notice deaths, and are not fooled, in virtual time.

mod network;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cases::cases;
use fleet::config::Revision;
use fleet::view::Load;
use fleet::view::Route;
use network::Network;
use network::address;
use network::identity;
use network::key;
use network::name;
use peer::Status;
use peer::Summary;
use peer::membership::Timing;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::Refusal;

const SECOND: Duration = Duration::from_secs(1);

/// A region that has found together.
fn whole(members: usize, seed: u64) -> Network {
    let mut network = Network::new(members, seed);
    let took = network.run_until(SECOND * 20, Network::is_whole);
    assert!(took.is_some(), "{members} members did not find together");
    network
}

/// A summary with requests in flight at so many instances.
fn summary(revision: u64, instances: u32, count: u32) -> Summary {
    let in_flight = (0..instances).map(|number| (format!("runner-{number:04}"), count)).collect();
    let route = Route { organisation: "doces".to_owned(), service: "payment".to_owned() };
    Summary {
        revision: Revision(revision),
        load: Load { serial: 4, in_flight, demand: BTreeMap::from([(route, count)]) },
        ready: true,
        platform: true,
        drains: BTreeMap::from([("runner-0001".to_owned(), 3)]),
    }
}

cases! {
    all_find_all;
    find_2: 2,
    find_9: 9,
    find_72: 72,
    find_100: 100,
}
fn all_find_all(members: usize) {
    let network = whole(members, 1);
    assert_eq!(network.members(0).len(), members - 1);
}

#[test]
fn a_dead_member_is_noticed_by_all_and_forgotten_in_time() {
    let mut network = whole(9, 2);
    network.run(SECOND * 3);
    network.kill(4);
    let all_know = |network: &Network| {
        (0..9)
            .filter(|number| *number != 4)
            .all(|number| network.status(number, 4) == Some(Status::Dead))
    };
    let took = network.run_until(SECOND * 5, all_know).expect("it is noticed");
    assert!(took <= Duration::from_millis(2_500), "{took:?}");
    network.run(SECOND * 80);
    assert!((0..9).filter(|number| *number != 4).all(|number| network.status(number, 4).is_none()));
}

#[test]
fn a_member_that_leaves_is_known_to_have_left() {
    let mut network = whole(9, 3);
    let now = network.now;
    let out = network.node(4).membership.leave(now);
    network.send(address(4), out);
    network.run(Duration::from_millis(300));
    network.kill(4);
    network.run(SECOND * 2);
    for number in (0..9).filter(|number| *number != 4) {
        assert_eq!(network.status(number, 4), Some(Status::Left));
    }
}

cases! {
    nobody_is_taken_for_dead;
    healthy_9: Trial { members: 9, loss: 0.0, half_cut: false },
    loss_20_percent_9: Trial { members: 9, loss: 0.2, half_cut: false },
    half_cut_9: Trial { members: 9, loss: 0.0, half_cut: true },
    loss_and_half_cut_9: Trial { members: 9, loss: 0.2, half_cut: true },
    loss_20_percent_72: Trial { members: 72, loss: 0.2, half_cut: false },
    loss_and_half_cut_72: Trial { members: 72, loss: 0.2, half_cut: true },
}
struct Trial {
    members: usize,
    loss: f64,
    half_cut: bool,
}
fn nobody_is_taken_for_dead(trial: Trial) {
    let mut network = whole(trial.members, 4);
    network.loss = trial.loss;
    if trial.half_cut {
        network.cut(0, 1);
    }
    for _ in 0..100 {
        network.run(Duration::from_millis(200));
        for number in 0..trial.members {
            let dead =
                network.members(number).into_iter().find(|member| member.status > Status::Suspect);
            assert!(dead.is_none(), "{number} takes {dead:?} for dead");
        }
    }
}

#[test]
fn a_paused_member_listens_before_it_judges() {
    let mut network = whole(9, 5);
    network.node(4).paused = true;
    network.run(SECOND * 60);
    assert_eq!(network.status(0, 4), Some(Status::Dead));
    network.node(4).paused = false;
    let taken_for_dead = |network: &Network| {
        network.members(4).iter().filter(|member| member.status > Status::Suspect).count()
    };
    assert_eq!(taken_for_dead(&network), 0);
    for _ in 0..30 {
        network.run(Duration::from_millis(100));
        assert_eq!(taken_for_dead(&network), 0);
    }
    assert!(network.is_whole());
}

#[test]
fn parts_of_a_region_find_each_other_again_after_an_hour() {
    let mut network = whole(8, 6);
    let (one, other) = ([0, 1, 2, 3], [4, 5, 6, 7]);
    network.part(&one, &other);
    network.run(SECOND * 3_600);
    assert_eq!(network.status(4, 0), None);
    assert_eq!(network.status(4, 5), Some(Status::Alive));
    network.cuts.clear();
    assert!(network.run_until(SECOND * 20, Network::is_whole).is_some());
}

#[test]
fn a_restarted_member_is_taken_in_under_its_new_life() {
    let mut network = whole(9, 7);
    network.kill(4);
    network.start(identity(4, 2_000));
    assert!(network.run_until(SECOND * 5, Network::is_whole).is_some());
    let lives = network.members(0);
    assert_eq!(
        lives.iter().find(|member| member.name == name(4)).expect("it is there").incarnation,
        2_000
    );
}

/// The wall clock that gives incarnations went back between two starts.
#[test]
fn a_member_whose_clock_went_back_rises_above_its_old_life() {
    let mut network = whole(9, 8);
    network.kill(4);
    network.start(identity(4, 500));
    assert!(network.run_until(SECOND * 5, Network::is_whole).is_some());
    assert_eq!(network.node(4).membership.identity().incarnation, 1_001);
}

cases! {
    a_summary_reaches_all_whole;
    summary_9_small: (9, 4),
    summary_9_large: (9, 300),
    summary_72: (72, 50),
}
fn a_summary_reaches_all_whole((members, instances): (usize, u32)) {
    let mut network = whole(members, 9);
    let reached = |network: &Network, expected: &Summary| {
        (1..members).all(|number| {
            let heard = network.members(number);
            let first = heard.iter().find(|member| member.name == name(0));
            first.is_some_and(|first| *first.summary == *expected)
        })
    };
    let first = summary(7, instances, 3);
    network.node(0).membership.publish(first.clone());
    assert!(network.run_until(SECOND * 5, |network| reached(network, &first)).is_some());
    let mut second = first;
    second.load.in_flight.retain(|name, _| name.ends_with('0'));
    second.load.demand.clear();
    second.drains = BTreeMap::from([("runner-0002".to_owned(), 9)]);
    network.node(0).membership.publish(second.clone());
    assert!(network.run_until(SECOND * 5, |network| reached(network, &second)).is_some());
    // A member that starts now learns the whole from others, though the author is gone.
    network.kill(0);
    network.start(identity(200, 1_000));
    let learnt = |network: &Network| {
        let heard = network.members(200);
        let first = heard.iter().find(|member| member.name == name(0));
        first.is_some_and(|first| *first.summary == second)
    };
    let until_forgotten = network.node(1).membership.timing().dead;
    assert!(network.run_until(until_forgotten, learnt).is_some());
}

/// A summary is never seen half: whoever sees the new drain sees the load that was told with it.
#[test]
fn a_summary_is_never_seen_in_part() {
    let mut network = whole(9, 10);
    network.loss = 0.3;
    for round in 1..20 {
        let mut next = summary(round, 200, u32::try_from(round).expect("few"));
        next.drains = BTreeMap::from([("runner-0001".to_owned(), round)]);
        network.node(0).membership.publish(next);
        for _ in 0..10 {
            network.run(Duration::from_millis(150));
            for number in 1..9 {
                let heard = network.members(number);
                let Some(first) = heard.iter().find(|member| member.name == name(0)) else {
                    continue;
                };
                let epoch = first.summary.drains.get("runner-0001").copied().unwrap_or(0);
                let counts: Vec<u32> = first.summary.load.in_flight.values().copied().collect();
                assert!(counts.iter().all(|count| u64::from(*count) == epoch));
                assert_eq!(first.summary.revision.0, epoch);
            }
        }
    }
}

cases! {
    a_revision_reaches_all_and_none_goes_back;
    revision_9: (9, 0.0),
    revision_9_lossy: (9, 0.2),
    revision_72: (72, 0.0),
}
fn a_revision_reaches_all_and_none_goes_back((members, loss): (usize, f64)) {
    let mut network = whole(members, 11);
    network.loss = loss;
    network.offer(0, 5);
    network.offer(1, 4);
    let all = |network: &Network| (0..members).all(|number| network.revision(number) == 5);
    assert!(network.run_until(SECOND * 5, all).is_some());
    network.offer(3, 2);
    network.run(SECOND);
    assert!(all(&network));
}

#[test]
fn a_new_member_takes_the_highest_revision_of_its_peers() {
    let mut network = whole(9, 12);
    network.offer(0, 5);
    network.run(SECOND * 2);
    network.kill(0);
    network.start(identity(10, 1_000));
    let took = network.run_until(SECOND * 5, |network| network.revision(10) == 5);
    assert!(took.expect("its peers have it") < SECOND, "{took:?}");
}

#[test]
fn the_same_revision_with_other_documents_is_a_conflict_and_not_taken() {
    let mut network = whole(3, 13);
    network.offer(0, 5);
    network.run(SECOND);
    let other = peer::membership::Offered { revision: Revision(5), digest: 99 };
    let mut stranger = network.node(1).membership.clone();
    stranger.offer(other);
    assert!(!network.node(1).membership.offer(other));
    network.kill(2);
    network.start(identity(2, 2_000));
    network.node(2).membership.offer(other);
    network.run(SECOND * 2);
    assert!(network.node(0).membership.conflicts() > 0);
    assert_eq!(network.revision(0), 5);
}

#[test]
fn entries_of_other_regions_get_revisions_alone() {
    let mut network = Network::new(3, 14);
    for number in 20..23 {
        let mut north = identity(number, 1_000);
        north.region = "north".to_owned();
        let beyond = vec![address(0), address(1)];
        network.start_with(north, vec![address(20), address(21)], beyond);
    }
    network.run(SECOND * 3);
    assert_eq!(network.members(20).len(), 2);
    assert_eq!(network.members(0).len(), 2);
    network.offer(1, 5);
    let north = |network: &Network| (20..23).all(|number| network.revision(number) == 5);
    assert!(network.run_until(SECOND * 6, north).is_some());
    network.offer(22, 6);
    let south = |network: &Network| (0..3).all(|number| network.revision(number) == 6);
    assert!(network.run_until(SECOND * 6, south).is_some());
    assert_eq!(network.members(0).len(), 2);
}

#[test]
fn replayed_frames_are_refused_and_wake_nobody() {
    let mut network = whole(4, 15);
    network.record = true;
    network.run(SECOND * 2);
    network.record = false;
    let recorded = std::mem::take(&mut network.recorded);
    let before = network.node(0).refused.clone();
    for (from, to, bytes) in recorded.iter().filter(|(_, to, _)| *to == address(0)) {
        network.inject(*from, *to, bytes.clone());
    }
    network.run(Duration::from_millis(50));
    let after = network.node(0).refused.clone();
    assert!(after.get(&Refusal::Replayed) > before.get(&Refusal::Replayed));
    // A member that died does not come back by its old frames, not even for a new life of ours.
    network.kill(3);
    network.run(SECOND * 3);
    network.kill(0);
    network.start(identity(0, 2_000));
    network.run(SECOND * 3);
    for (from, to, bytes) in recorded.iter().filter(|(from, ..)| *from == address(3)) {
        network.inject(*from, *to, bytes.clone());
    }
    network.run(Duration::from_millis(200));
    let fooled =
        |number| matches!(network.status(number, 3), Some(Status::Alive | Status::Suspect));
    assert!(!fooled(0) && !fooled(1) && !fooled(2));
    assert!(network.node(0).refused.contains_key(&Refusal::OtherLife));
}

#[test]
fn a_frame_under_this_process_own_name_is_refused() {
    let mut network = whole(2, 16);
    let mut twin = network.node(0).membership.clone();
    let frame = twin.frame(1_000, wire::generated::frame::Content::Busy(wire::generated::Busy {}));
    network.inject(address(1), address(0), wire::seal(&frame, &key()));
    network.run(Duration::from_millis(100));
    assert_eq!(network.node(0).refused.get(&Refusal::OwnName), Some(&1));
}

#[test]
fn bytes_from_anywhere_change_nothing() {
    let mut network = whole(3, 17);
    let members = network.members(0).len();
    for length in 0..1_300 {
        network.inject(address(9), address(0), vec![(length % 251) as u8; length]);
    }
    network.run(SECOND);
    let refused: u64 = network.node(0).refused.values().sum();
    assert!(refused >= 1_300);
    assert_eq!(network.members(0).len(), members);
    assert!(network.is_whole());
}

#[test]
fn the_pace_slows_with_members_and_deaths_are_noticed_within_the_target() {
    for members in 1..=72 {
        let timing = Timing::among(members);
        assert!(timing.suspect < timing.dead);
        assert!(timing.pause < timing.dead);
        assert!(timing.dead <= Duration::from_millis(4_600));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, rng_seed: RngSeed::Fixed(31), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is published, in whatever order frames are lost, what is heard in the end is what
    /// was published last.
    #[test]
    fn summaries_converge(
        steps in proptest::collection::vec((0_u32..400, 1_u32..9, any::<bool>()), 1..12),
        seed: u64,
    ) {
        let mut network = whole(4, seed);
        network.loss = 0.25;
        let mut last = Summary::default();
        for (instances, count, ready) in steps {
            last = Summary { ready, ..summary(u64::from(instances), instances, count) };
            network.node(0).membership.publish(last.clone());
            network.run(Duration::from_millis(700));
        }
        network.loss = 0.0;
        network.run(SECOND * 4);
        for number in 1..4 {
            let members = network.members(number);
            let first = members.iter().find(|member| member.name == name(0));
            prop_assert_eq!(first.map(|first| Arc::clone(&first.summary)), Some(Arc::new(last.clone())));
        }
    }

    /// Random kills, restarts, cuts and losses: once they end, all alive find all alive.
    #[test]
    fn a_region_heals(
        faults in proptest::collection::vec((0_usize..7, 0_u8..5, 100_u64..3_000), 1..14),
        seed: u64,
    ) {
        let mut network = whole(7, seed);
        let mut life = 2_000;
        for (number, fault, millis) in faults {
            match fault {
                0 => network.kill(number),
                1 => {
                    life += 1;
                    network.start(identity(number, life));
                }
                2 => network.cut(number, (number + 1) % 7),
                3 => network.loss = 0.4,
                _ => if network.nodes.contains_key(&address(number)) {
                    let node = network.node(number);
                    node.paused = !node.paused;
                },
            }
            network.run(Duration::from_millis(millis));
        }
        network.loss = 0.0;
        network.cuts.clear();
        for number in 0..7 {
            if !network.nodes.contains_key(&address(number)) {
                network.start(identity(number, 9_000));
            }
            network.node(number).paused = false;
        }
        prop_assert!(network.run_until(SECOND * 30, Network::is_whole).is_some());
    }
}
