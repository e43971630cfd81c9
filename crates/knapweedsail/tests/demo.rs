//! A small site on loopback keeps every promise, with and without faults.

use std::sync::Arc;

use async_executor::Executor;
use cases::cases;
use knapweedsail::demo;
use knapweedsail::demo::DataCentre;
use knapweedsail::demo::Fault;
use knapweedsail::demo::Kind;
use knapweedsail::demo::Load;
use knapweedsail::demo::Plan;
use knapweedsail::demo::Run;
use knapweedsail::demo::Schedule;

/// Two data centres with an entry each, one organisation, a few seconds of callers.
fn keeps_every_promise(faults: Vec<Fault>) {
    let data_centre = |name: &str| DataCentre { name: name.to_owned(), entries: 1 };
    let data_centres = vec![data_centre("lisbon-1"), data_centre("lisbon-2")];
    let run = Run {
        plan: Plan { data_centres, ..Plan::lisbon() },
        load: Load { length_ms: 4_000, share: 0.04, burst_ms: 500, ..Load::default() },
        schedule: Schedule(faults),
        seed: 1,
    };
    let executor = Arc::new(Executor::new());
    let report = async_io::block_on(executor.run(demo::run(&executor, &run)));
    let report = report.expect("loopback is there");
    assert!(report.kept(), "{report:?}");
}

fn fault(at_ms: u64, for_ms: u64, kind: Kind) -> Vec<Fault> {
    vec![Fault { at_ms, for_ms, kind, pick: 5 }]
}

cases! {
    keeps_every_promise;
    in_health: Vec::new(),
    upstream_crashes: fault(1_000, 1_000, Kind::UpstreamCrash),
    entry_replaced: fault(1_000, 0, Kind::EntryReplaced),
    store_down: fault(1_000, 1_500, Kind::StoreDown),
}
