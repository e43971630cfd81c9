//! Runs jobs through each kind of fault of a worker or its network. Half of the jobs may not run
//! twice.

use std::time::Duration;

use cases::cases;
use fleet::config;

use crate::site::Site;
use crate::site::size;
use crate::site::spec;
use crate::worker::Faults;

/// Runs 120 jobs, half of them not idempotent, while one of six workers has the fault half of the
/// time.
fn with_fault(case: (Faults, Duration)) {
    let (faults, lag) = case;
    let mut site = Site::unlimited();
    site.add_instances("main", 6, size(16, 64, 2));
    site.lag = lag;
    for number in 0..120 {
        let once = number % 2 == 0;
        let spec = config::Job {
            idempotent: !once,
            preemptible: number % 3 == 0,
            seconds: 5 + number % 40,
            ..spec("main", 2 + number % 3, 4, number % 2)
        };
        let name = if once { format!("once-{number}") } else { format!("job-{number}") };
        site.submit(&name, "all", &format!("kind-{}", number % 5), &spec).expect("fits");
    }
    for round in 0..6 {
        site.worker("main-2").faults = if round % 2 == 0 { faults } else { Faults::default() };
        for _ in 0..120 {
            site.tick();
            if !faults.outlives_lease {
                site.check_not_concurrent();
            }
        }
        if faults == Faults::default() {
            site.worker("main-2").restart();
        }
        site.check();
        site.check_once();
    }
}

cases! {
    with_fault;
    restarts: (Faults::default(), Duration::ZERO),
    restarts_under_lag: (Faults::default(), Duration::from_secs(5)),
    fails_all: (Faults { fails_all: true, ..Faults::default() }, Duration::ZERO),
    unreachable: (Faults { unreachable: true, ..Faults::default() }, Duration::ZERO),
    unreachable_under_lag: (
        Faults { unreachable: true, ..Faults::default() },
        Duration::from_secs(5),
    ),
    paused: (Faults { paused: true, ..Faults::default() }, Duration::ZERO),
    drops_commands: (Faults { drops_commands: true, ..Faults::default() }, Duration::ZERO),
    outlives_its_lease: (
        Faults { unreachable: true, outlives_lease: true, ..Faults::default() },
        Duration::ZERO,
    ),
    ignores_checkpoints_and_throttles: (
        Faults { ignores_checkpoints: true, ignores_throttles: true, ..Faults::default() },
        Duration::ZERO,
    ),
}
