//! Jobs that can never run are rejected with the reason, and nothing is stored for them.

use cases::cases;
use fleet::config;
use fleet::instance;
use fleet::job;
use fleet::job::Obstacle;
use fleet::job::Rejection;

use crate::site::Site;
use crate::site::size;
use crate::site::spec;

fn site() -> Site {
    let quota = size(16, 64, 4);
    let mut site = Site::new(&[
        ("quota", config::Team { quota, share: 1, borrows: false }),
        ("borrower", config::Team { share: 1, borrows: true, ..config::Team::default() }),
        ("nothing", config::Team::default()),
    ]);
    site.add_instances("main", 2, size(32, 64, 4));
    site.add_pool("empty");
    site
}

fn rejected(case: (&str, &str, config::Job, Rejection)) {
    let (name, team, spec, reason) = case;
    let mut site = site();
    assert_eq!(site.submit(name, team, "kind", &spec), Err(reason));
    assert_eq!(site.world.jobs.len(), 0);
    assert_eq!(site.index, job::Index::build(&site.world));
}

cases! {
    rejected;
    no_name: ("", "quota", spec("main", 1, 1, 0), Rejection::BadName),
    slash_in_name: ("a/b", "quota", spec("main", 1, 1, 0), Rejection::BadName),
    unknown_team: ("a", "nobody", spec("main", 1, 1, 0), Rejection::NoSuchTeam("nobody".to_owned())),
    unknown_pool: ("a", "quota", spec("nowhere", 1, 1, 0), Rejection::NoSuchPool("nowhere".to_owned())),
    empty_pool: ("a", "quota", spec("empty", 1, 1, 0), Rejection::NoInstances("empty".to_owned())),
    too_many_accelerators: (
        "a", "borrower", spec("main", 1, 1, 8), Rejection::Accelerators { asked: 8, max: 4 },
    ),
    too_much_memory: (
        "a",
        "borrower",
        spec("main", 1, 65, 0),
        Rejection::TooBig { asked: size(1, 65, 0), nearest: size(32, 64, 4) },
    ),
    quota_of_zero: ("a", "nothing", spec("main", 1, 1, 0), Rejection::NoQuota("nothing".to_owned())),
    over_the_whole_quota: (
        "a",
        "quota",
        spec("main", 17, 1, 0),
        Rejection::OverQuota { asked: size(17, 1, 0), quota: size(16, 64, 4) },
    ),
}

#[test]
fn submitting_a_job_again_is_a_no_op_and_a_different_job_is_rejected() {
    let mut site = site();
    assert_eq!(site.submit("a", "quota", "kind", &spec("main", 1, 1, 0)), Ok(()));
    let again = site.submit("a", "quota", "kind", &spec("main", 1, 1, 0));
    assert_eq!(again, Err(Rejection::Known));
    let other = site.submit("a", "quota", "kind", &spec("main", 2, 1, 0));
    assert_eq!(other, Err(Rejection::NameTaken));
}

#[test]
fn a_job_that_no_longer_fits_is_reported_and_blocks_no_other_job() {
    let mut site = Site::unlimited();
    site.add_instances("main", 1, size(32, 64, 4));
    site.add_instances("main", 1, size(8, 16, 0));
    site.set_state("main-0", instance::State::Draining);
    site.submit("big", "all", "big", &spec("main", 16, 16, 1)).expect("fits the draining instance");
    site.set_state("main-0", instance::State::Gone);
    site.run(std::time::Duration::from_secs(70));
    assert!(site.is_queued("big"));
    site.submit("small", "all", "small", &spec("main", 8, 16, 0)).expect("fits");
    site.tick();
    assert_eq!(site.placement("small"), Some("main-1"));
    let explained = job::explain(&site.world, &site.index, site.key("big"), site.now);
    let obstacles = explained.expect("known").obstacles;
    assert!(matches!(
        obstacles[..],
        [Obstacle::Never(Rejection::Accelerators { asked: 1, max: 0 })]
    ));
    let alerts = job::alerts(&site.world, &site.index, site.now);
    let texts: Vec<_> = alerts.iter().map(ToString::to_string).collect();
    assert_eq!(texts, ["1 queued big jobs of pool main fit on none of its serving instances"]);
}

#[test]
fn explanations_name_the_obstacles() {
    let mut site = Site::new(&[
        ("small", config::Team { quota: size(4, 8, 0), share: 1, borrows: false }),
        ("big", config::Team { quota: size(64, 64, 0), share: 1, borrows: false }),
    ]);
    site.add_instances("main", 1, size(8, 16, 0));
    site.submit("a", "small", "kind", &spec("main", 4, 4, 0)).expect("fits");
    site.tick();
    site.submit("b", "small", "kind", &spec("main", 4, 4, 0)).expect("fits");
    site.submit("c", "big", "kind", &spec("main", 8, 4, 0)).expect("fits");
    site.tick();
    let first = |name| {
        let explained = job::explain(&site.world, &site.index, site.key(name), site.now);
        explained.expect("known").obstacles.remove(0)
    };
    assert!(matches!(first("a"), Obstacle::Runs { number: 1, .. }));
    assert!(matches!(first("b"), Obstacle::Quota { .. }));
    assert!(matches!(first("c"), Obstacle::NoRoom { .. }));
    assert!(first("c").remedy().is_some());
}
