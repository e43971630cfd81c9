//! Behaviour of a site without failures.

use std::time::Duration;

use fleet::instance::State;
use futures_lite::future::block_on;

use crate::support::Site;
use crate::support::pool_duty;

#[test]
fn documents_come_into_force_and_workers_serve() {
    let mut site = Site::with_workers(3, 3, 4);
    for name in ["a", "b", "c"] {
        assert_eq!(site.entry(name).engine.state().revision().0, 1);
        assert!(site.is_open(name, "w0"), "{name} does not route to w0");
    }
    assert!(site.holder(&pool_duty()).is_some());
}

#[test]
fn an_operator_drains_an_instance_and_puts_it_back() {
    let mut site = Site::with_workers(3, 3, 4);
    let stamp = site.stamp();
    let now = site.now;
    block_on(site.entry("b").engine.drain(&stamp, "w1", now))
        .expect("draining w1 is within the budget");
    let drained = site
        .run_until(Duration::from_secs(3), |site| site.state("c", "w1") == Some(State::Drained));
    assert!(drained.is_some(), "w1 is {:?} instead of drained", site.state("c", "w1"));
    for name in ["a", "b", "c"] {
        assert!(!site.is_open(name, "w1"), "{name} still routes to w1");
    }
    let stamp = site.stamp();
    let now = site.now;
    block_on(site.entry("c").engine.put_back(&stamp, "w1", now)).expect("w1 is drained");
    site.run(Duration::from_secs(1));
    assert!(site.is_open("a", "w1"));
}
