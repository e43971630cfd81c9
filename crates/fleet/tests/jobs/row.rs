//! Rows of jobs and workers: writing and reading them back.

use std::time::Duration;

use fleet::job::Index;
use fleet::job::Trust;
use fleet::job::Worker;
use fleet::row;
use fleet::time::Time;
use fleet::world::Change;
use fleet::world::World;

use crate::site::Site;
use crate::site::size;
use crate::site::spec;

/// The rows of everything in a world.
fn rows(world: &World) -> Vec<row::Update> {
    let instances = world.instances.iter().map(|(_, value)| Change::Instance(value.clone()));
    let jobs = world.jobs.iter().map(|(_, value)| Change::Job(value.clone()));
    let workers = world.workers.values().map(|value| Change::Worker(value.clone()));
    let changes: Vec<_> = instances.chain(jobs).chain(workers).collect();
    changes.iter().map(|change| row::write(world, change)).collect()
}

fn busy() -> Site {
    let mut site = Site::unlimited();
    site.add_instances("main", 4, size(8, 16, 2));
    for number in 0..20 {
        let spec = fleet::config::Job {
            idempotent: number % 2 == 0,
            preemptible: number % 3 == 0,
            seconds: 5 + number * 5,
            ..spec("main", 2, 2, number % 2)
        };
        site.submit(&format!("job-{number}"), "all", "kind", &spec).expect("fits");
    }
    site.run(Duration::from_secs(20));
    site.worker("main-1").faults.unreachable = true;
    site.run(Duration::from_secs(10));
    let worker = Worker {
        instance: "main-2".to_owned(),
        trust: Trust::Quarantine,
        since: Time::from_secs(5),
        until: Time::from_secs(9),
        quarantines: 3,
    };
    site.apply_change(Change::Worker(worker));
    site
}

#[test]
fn rows_read_in_any_order_restore_the_same_world() {
    let site = busy();
    let mut written = rows(&site.world);
    written.reverse();
    let mut world = World::default();
    world.clock_id = site.world.clock_id;
    let mut index = Index::default();
    for entry in &written {
        let change = row::read(&mut world, &entry.key, entry.value.as_deref());
        let change = change.expect("well formed").expect("of a known kind");
        world.apply(change.clone());
        index.apply(&world, &change);
    }
    let mut again = rows(&world);
    written.sort_by(|a, b| a.key.cmp(&b.key));
    again.sort_by(|a, b| a.key.cmp(&b.key));
    assert_eq!(written, again);
    assert_eq!(index, Index::build(&world));
}

#[test]
fn fields_of_a_newer_version_are_ignored() {
    let mut world = World::default();
    let value = r#"{"organisation":"acme","team":"all","pool":"main","kind":"kind","colour":"red",
        "spec":{"size":{"milli_cores":5,"hats":1},"idempotent":true,"hue":7},
        "state":{"is":"running","why":"x","attempt":{"number":2,"instance":"i","mood":"good"}}}"#;
    let change = row::read(&mut world, "job/a", Some(value)).expect("readable").expect("a job");
    let Change::Job(job) = change else { panic!("a job") };
    assert_eq!(job.spec.size.milli_cores, 5);
    assert_eq!(job.state.placed().map(|attempt| attempt.number), Some(2));
}
