//! Tests of placement, preemption and evictions.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::config;
use fleet::config::Priority;
use fleet::instance;
use fleet::job;
use fleet::job::Condition;
use fleet::job::State;

use crate::site::Site;
use crate::site::size;
use crate::site::spec;

#[test]
fn jobs_of_a_kind_are_spread_over_racks() {
    let mut site = Site::unlimited();
    site.add_instances("main", 16, size(32, 64, 0));
    for number in 0..8 {
        site.submit(&format!("job-{number}"), "all", "kind", &spec("main", 2, 2, 0)).expect("fits");
    }
    site.tick();
    let mut racks: BTreeMap<String, u32> = BTreeMap::new();
    for number in 0..8 {
        let place = site.placement(&format!("job-{number}")).expect("placed").to_owned();
        let instance = site.world.instances.get(site.instance(&place)).expect("known");
        let rack = site.world.racks.get(instance.rack).expect("known").clone();
        *racks.entry(rack).or_default() += 1;
    }
    assert_eq!(racks.values().copied().collect::<Vec<_>>(), [2, 2, 2, 2]);
}

#[test]
fn small_accelerator_jobs_leave_whole_instances_to_large_ones() {
    let mut site = Site::unlimited();
    site.add_instances("main", 4, size(64, 256, 8));
    for number in 0..8 {
        let name = format!("small-{number}");
        site.submit(&name, "all", "small", &spec("main", 1, 1, 1)).expect("fits");
        site.tick();
    }
    for number in 0..3 {
        let name = format!("large-{number}");
        site.submit(&name, "all", "large", &spec("main", 8, 32, 8)).expect("fits");
    }
    site.tick();
    for number in 0..3 {
        assert!(
            site.placement(&format!("large-{number}")).is_some(),
            "large-{number} is not placed"
        );
    }
}

#[test]
fn jobs_without_accelerators_keep_off_instances_that_have_them() {
    let mut site = Site::unlimited();
    site.add_instances("main", 2, size(32, 64, 4));
    site.add_instances("main", 2, size(32, 64, 0));
    for number in 0..8 {
        let name = format!("job-{number}");
        site.submit(&name, "all", "kind", &spec("main", 8, 16, 0)).expect("fits");
    }
    site.tick();
    for number in 0..8 {
        let place = site.placement(&format!("job-{number}")).expect("placed").to_owned();
        assert!(["main-2", "main-3"].contains(&place.as_str()), "{place}");
    }
}

#[test]
fn urgent_work_preempts_as_few_attempts_as_possible() {
    let mut site = Site::unlimited();
    site.add_instances("main", 2, size(16, 32, 0));
    let preemptible = config::Job { preemptible: true, seconds: 600, ..spec("main", 4, 8, 0) };
    for number in 0..8 {
        site.submit(&format!("soft-{number}"), "all", "soft", &preemptible).expect("fits");
    }
    site.run(Duration::from_secs(5));
    let urgent = config::Job { priority: Priority::Urgent, ..spec("main", 8, 8, 0) };
    site.submit("urgent", "all", "urgent", &urgent).expect("fits");
    let submitted = site.now;
    site.run(Duration::from_secs(4));
    assert_eq!(site.count("checkpoint"), 2);
    let waited = site.first_start["urgent"].since(submitted);
    assert!(waited < Duration::from_millis(4_600), "{waited:?}");
    site.run(Duration::from_secs(700));
    for number in 0..8 {
        assert!(matches!(site.job(&format!("soft-{number}")).state, State::Done(_)));
    }
    assert_eq!(site.fresh_runs.values().max(), Some(&1), "preempted jobs resume from checkpoints");
}

#[test]
fn urgent_work_preempts_others_if_a_checkpoint_does_not_complete() {
    let mut site = Site::unlimited();
    site.add_instances("main", 2, size(8, 32, 0));
    let preemptible = config::Job { preemptible: true, seconds: 600, ..spec("main", 8, 8, 0) };
    for number in 0..2 {
        site.submit(&format!("soft-{number}"), "all", "soft", &preemptible).expect("fits");
    }
    site.run(Duration::from_secs(5));
    for worker in site.workers.values_mut() {
        worker.faults.ignores_checkpoints = true;
    }
    let urgent = config::Job { priority: Priority::Urgent, ..spec("main", 8, 8, 0) };
    site.submit("urgent", "all", "urgent", &urgent).expect("fits");
    let submitted = site.now;
    site.run(Duration::from_secs(5));
    let waited = site.first_start["urgent"].since(submitted);
    assert!(waited < Duration::from_millis(4_600), "{waited:?}");
}

#[test]
fn a_large_job_is_not_starved_by_small_ones() {
    let mut site = Site::unlimited();
    site.add_instances("main", 2, size(16, 64, 4));
    let mut next = 0;
    let mut feed = |site: &mut Site| {
        while site.index.queued(*site.pools.first().expect("one pool")) < 6 {
            let small = config::Job { seconds: 20 + next % 7, ..spec("main", 2, 2, 1) };
            site.submit(&format!("small-{next}"), "all", "small", &small).expect("fits");
            next += 1;
        }
    };
    feed(&mut site);
    site.run(Duration::from_secs(10));
    site.submit("large", "all", "large", &spec("main", 4, 4, 4)).expect("fits");
    for _ in 0..600 {
        feed(&mut site);
        site.tick();
    }
    assert!(site.first_start.contains_key("large"));
}

#[test]
fn a_draining_instance_accepts_no_jobs_and_evicts_its_attempts() {
    let mut site = Site::unlimited();
    site.add_instances("main", 1, size(16, 32, 0));
    let preemptible = config::Job { preemptible: true, seconds: 6_000, ..spec("main", 4, 8, 0) };
    let non_preemptible = config::Job { seconds: 6_000, ..spec("main", 4, 8, 0) };
    let once = config::Job { idempotent: false, ..non_preemptible.clone() };
    site.submit("soft", "all", "soft", &preemptible).expect("fits");
    site.submit("firm", "all", "firm", &non_preemptible).expect("fits");
    site.submit("once", "all", "once", &once).expect("fits");
    site.run(Duration::from_secs(5));
    site.set_state("main-0", instance::State::Draining);
    site.submit("late", "all", "late", &non_preemptible).expect("fits");
    site.run(Duration::from_secs(60));
    assert!(site.is_queued("late") && site.is_queued("soft"));
    let blockers: Vec<_> = job::drain_blockers(&site.index, site.instance("main-0"));
    assert_eq!(blockers, [site.key("firm"), site.key("once")]);
    let alerts = job::alerts(&site.world, &site.index, site.now);
    let alerts = alerts.iter().filter(|one| matches!(one.condition, Condition::BlocksDrain { .. }));
    assert_eq!(alerts.count(), 2);
    site.run(Duration::from_secs(1_800));
    assert!(site.is_queued("firm"), "it is not stopped after the time limit for drains");
    assert_eq!(job::drain_blockers(&site.index, site.instance("main-0")), [site.key("once")]);
}

#[test]
fn ten_thousand_cancellations_at_once_leave_nothing_behind() {
    let mut site = Site::new(&[
        ("one", config::Team { quota: size(8, 8, 0), share: 1, borrows: false }),
        ("two", config::Team { quota: size(8, 8, 0), share: 1, borrows: false }),
    ]);
    site.add_instances("main", 1, size(16, 32, 0));
    for number in 0..10_000 {
        let (team, kind) = if number % 2 == 0 { ("one", "even") } else { ("two", "odd") };
        let spec = config::Job { seconds: 600, ..spec("main", 4, 4, 0) };
        site.submit(&format!("job-{number}"), team, kind, &spec).expect("fits");
    }
    site.run(Duration::from_secs(2));
    for team in ["one", "two"] {
        let organisation = site.world.organisation("acme");
        let team = site.world.names.teams[&(organisation, team.to_owned())];
        let decisions = job::cancel_team(&site.world, &site.index, team, None);
        assert_eq!(decisions.len(), 5_000);
        for decision in decisions {
            assert!(site.apply(&decision));
        }
    }
    site.run(Duration::from_secs(2));
    assert_eq!(site.index.open_jobs(), 0);
    site.check();
    site.run(Duration::from_secs(620));
    assert_eq!(site.world.jobs.len(), 0);
    site.check();
}

#[test]
fn decisions_taken_on_the_same_world_do_not_oversubscribe_an_instance() {
    let mut site = Site::unlimited();
    site.add_instances("main", 1, size(16, 32, 0));
    site.tick();
    for number in 0..2 {
        site.submit(&format!("job-{number}"), "all", "kind", &spec("main", 10, 8, 0))
            .expect("fits");
    }
    let instance = site.instance("main-0");
    let start = |job| job::Decision::Start {
        job,
        number: 1,
        instance,
        epoch: 1,
        boot: 0,
        booked: size(10, 8, 0),
    };
    let both = [start(site.key("job-0")), start(site.key("job-1"))];
    assert!(site.apply(&both[0]));
    assert!(!site.apply(&both[1]));
    let (job, number) = (site.key("job-0"), 1);
    assert!(!site.apply(&job::Decision::Resize { job, number, booked: size(17, 8, 0) }));
    assert!(site.apply(&job::Decision::Resize { job, number, booked: size(16, 8, 0) }));
    site.check();
}
