//! Tests of quotas, fair shares and borrowing.

use std::time::Duration;

use fleet::config;
use fleet::config::Priority;

use crate::site::Site;
use crate::site::size;
use crate::site::spec;

fn team(cores: u32, share: u32, borrows: bool) -> config::Team {
    config::Team { quota: size(cores, 4 * cores, 0), share, borrows }
}

fn used(site: &mut Site, team: &str) -> u64 {
    let organisation = site.world.organisation("acme");
    let team = site.world.names.teams[&(organisation, team.to_owned())];
    site.index.used(team).total().milli_cores / 1_000
}

fn burst(site: &mut Site, team: &str, jobs: u32, spec: &config::Job) {
    for number in 0..jobs {
        site.submit(&format!("{team}-{number}"), team, team, spec).expect("fits");
    }
}

#[test]
fn a_burst_takes_what_is_free_and_gives_it_back_to_a_team_within_its_quota() {
    let mut site = Site::new(&[("a", team(32, 1, true)), ("b", team(32, 1, true))]);
    site.add_instances("main", 2, size(32, 256, 0));
    let preemptible = config::Job { preemptible: true, seconds: 6_000, ..spec("main", 4, 4, 0) };
    burst(&mut site, "a", 100, &preemptible);
    site.run(Duration::from_secs(5));
    assert_eq!(used(&mut site, "a"), 64);
    burst(&mut site, "b", 100, &preemptible);
    site.run(Duration::from_secs(30));
    assert_eq!((used(&mut site, "a"), used(&mut site, "b")), (32, 32));
    let settled = site.count("checkpoint");
    site.run(Duration::from_secs(300));
    assert_eq!(
        site.count("checkpoint"),
        settled,
        "preemption goes on after the shares are settled"
    );
}

#[test]
fn a_burst_does_not_starve_another_teams_urgent_work() {
    let mut site = Site::new(&[("a", team(16, 1, true)), ("b", team(16, 1, false))]);
    site.add_instances("main", 1, size(32, 256, 0));
    let preemptible = config::Job { preemptible: true, seconds: 6_000, ..spec("main", 4, 4, 0) };
    burst(&mut site, "a", 1_000, &preemptible);
    site.run(Duration::from_secs(5));
    let urgent = config::Job { priority: Priority::Urgent, ..spec("main", 4, 4, 0) };
    burst(&mut site, "b", 4, &urgent);
    let submitted = site.now;
    site.run(Duration::from_secs(5));
    for number in 0..4 {
        let waited = site.first_start[&format!("b-{number}")].since(submitted);
        assert!(waited < Duration::from_millis(4_600), "b-{number} waited {waited:?}");
    }
}

#[test]
fn borrowing_that_cannot_be_taken_back_leaves_room_for_urgent_work() {
    let mut site = Site::new(&[("a", team(0, 1, true)), ("b", team(16, 1, false))]);
    site.add_instances("main", 5, size(32, 256, 0));
    let non_preemptible = config::Job { seconds: 6_000, ..spec("main", 4, 4, 0) };
    burst(&mut site, "a", 100, &non_preemptible);
    site.run(Duration::from_secs(5));
    assert_eq!(used(&mut site, "a"), 144);
    let urgent = config::Job { priority: Priority::Urgent, ..spec("main", 4, 4, 0) };
    burst(&mut site, "b", 4, &urgent);
    let submitted = site.now;
    site.run(Duration::from_secs(5));
    let waits = (0..4).map(|number| site.first_start[&format!("b-{number}")].since(submitted));
    assert!(waits.max() < Some(Duration::from_millis(4_600)));
}

#[test]
fn borrowed_capacity_is_split_by_dominant_share() {
    let mut site = Site::new(&[("cpu", team(0, 1, true)), ("memory", team(0, 2, true))]);
    site.add_instances("main", 8, size(32, 128, 0));
    let cores = config::Job { preemptible: true, seconds: 6_000, ..spec("main", 4, 1, 0) };
    let memory = config::Job { preemptible: true, seconds: 6_000, ..spec("main", 1, 16, 0) };
    burst(&mut site, "cpu", 200, &cores);
    burst(&mut site, "memory", 200, &memory);
    site.run(Duration::from_secs(10));
    // Team `memory` has twice the weight, so its dominant share (memory) is twice that of team
    // `cpu` (cores) until one resource is used up. That is memory, with 16 GB for each job.
    let cpu_share = used(&mut site, "cpu") as f64 / 256.0;
    let organisation = site.world.organisation("acme");
    let key = site.world.names.teams[&(organisation, "memory".to_owned())];
    let memory_share = site.index.used(key).total().memory_mb as f64 / (8.0 * 128.0 * 1_024.0);
    assert!(memory_share >= 0.9, "memory is not used up: {memory_share}");
    assert!(cpu_share >= memory_share / 2.0 - 0.05, "{cpu_share} against {memory_share}");
}

#[test]
fn a_team_that_does_not_borrow_stays_within_its_quota() {
    let mut site = Site::new(&[("a", team(8, 1, false))]);
    site.add_instances("main", 2, size(32, 256, 0));
    burst(&mut site, "a", 20, &spec("main", 4, 4, 0));
    for _ in 0..400 {
        site.tick();
        assert!(used(&mut site, "a") <= 8);
    }
}

#[test]
fn a_teams_urgent_work_comes_before_its_own_other_work() {
    for borrows in [false, true] {
        let mut site = Site::new(&[("a", team(16, 1, borrows)), ("b", team(16, 1, true))]);
        site.add_instances("main", 1, size(32, 256, 0));
        let preemptible =
            config::Job { preemptible: true, seconds: 6_000, ..spec("main", 4, 4, 0) };
        burst(&mut site, "a", 20, &preemptible);
        burst(&mut site, "b", 20, &preemptible);
        site.run(Duration::from_secs(5));
        assert_eq!(used(&mut site, "a"), 16);
        let urgent = config::Job { priority: Priority::Urgent, ..spec("main", 4, 4, 0) };
        for number in 0..4 {
            site.submit(&format!("urgent-{number}"), "a", "urgent", &urgent).expect("fits");
        }
        let submitted = site.now;
        for _ in 0..40 {
            site.tick();
            assert!(borrows || used(&mut site, "a") <= 16);
        }
        for number in 0..4 {
            let waited = site.first_start[&format!("urgent-{number}")].since(submitted);
            assert!(waited < Duration::from_millis(4_600), "urgent-{number} waited {waited:?}");
        }
    }
}

/// A pool for eight teams, to be saturated with jobs of one, two, four and eight accelerators.
fn saturated() -> Site {
    let names: Vec<_> = (0..8).map(|number| format!("team-{number}")).collect();
    let spec = config::Team { quota: size(110, 400, 10), share: 1, borrows: true };
    let teams: Vec<_> = names.iter().map(|name| (name.as_str(), spec.clone())).collect();
    let mut site = Site::new(&teams);
    site.add_instances("main", 6, size(64, 256, 8));
    site.add_instances("main", 9, size(32, 128, 4));
    site.add_instances("main", 6, size(32, 128, 2));
    site
}

#[test]
fn a_saturated_pool_does_not_thrash() {
    let mut site = saturated();
    let kinds = [("infer", 1, 120, true), ("tune", 2, 180, false), ("train", 4, 240, true)];
    let kinds = kinds.into_iter().chain([("pretrain", 8, 300, false)]);
    let kinds: Vec<_> = kinds.collect();
    for round in 0..900 {
        let (kind, accelerators, seconds, preemptible) = kinds[round * 7 % 11 % 4];
        let batch = if kind == "pretrain" { Priority::Batch } else { Priority::Normal };
        let (cores, memory) = (4 * accelerators, 16 * accelerators);
        let spec = spec("main", cores, memory, accelerators);
        let spec = config::Job { preemptible, seconds, priority: batch, ..spec };
        let (name, team) = (format!("{kind}-{round}"), format!("team-{}", round * 5 % 8));
        site.submit(&name, &team, kind, &spec).expect("fits");
        site.run(Duration::from_secs(2));
    }
    let (ended, preempted) = (site.count("finish"), site.count("checkpoint"));
    assert!(ended > 200, "{ended} ended");
    assert!(preempted < ended, "{preempted} preempted, {ended} ended");
    site.check();
}
