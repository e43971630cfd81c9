//! What the leader spends before each write on instances that have not answered.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use fleet::time::Time;
use node::clock;
use scheduler::Core;
use scheduler::Tuning;
use scheduler::instance::Capacity;
use scheduler::instance::Report;

/// Number of instances that answer on a large site.
const MANY: u32 = 16_384;

/// Number of instances on a small one.
const FEW: u32 = 64;

/// How much more processor time it may take on the large one, which is 256 times as large.
const MAX_RATIO: f64 = 16.0;

const NOW: Time = Time::from_micros(1_000_000);

fn core(instances: u32) -> Core {
    let report = |number: u32| Report {
        id: format!("i-{number}"),
        service: "oven".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000)),
        data_centre: "a".to_owned(),
        capacity: Capacity::default(),
        labels: Vec::new(),
        draining: false,
        remaining: None,
        incarnation: 1,
        sequence: 1,
    };
    let mut core = Core::open(Time::ZERO, Tuning::default());
    core.apply_instances(NOW, NOW, (0..instances).map(report).collect());
    core
}

/// Processor time of a hundred searches.
fn cost(core: &mut Core) -> Duration {
    let began = clock::processor();
    for _ in 0..100 {
        assert!(black_box(&mut *core).take_expiry_changes(NOW, 0, 10).is_empty());
    }
    clock::processor().saturating_sub(began)
}

#[test]
fn it_costs_no_more_to_look_for_unresponsive_instances_among_many_that_answer() {
    let (mut few, mut many) = (core(FEW), core(MANY));
    let costs = (0..50).map(|_| (cost(&mut few), cost(&mut many)));
    let least = |a: (Duration, Duration), b: (Duration, Duration)| (a.0.min(b.0), a.1.min(b.1));
    let (few, many) = costs.reduce(least).expect("costs");
    let ratio = many.div_duration_f64(few.max(Duration::from_micros(1)));
    assert!(ratio <= MAX_RATIO, "{ratio:.0} times as much: {many:?} and {few:?} for 100 searches");
}
