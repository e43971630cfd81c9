//! Tests of the view for the request path.

use std::collections::BTreeMap;

use fleet::config::Weights;
use fleet::fact::Fact;
use fleet::pool;
use fleet::pool::Decision;
use fleet::pool::Reason;
use fleet::view;
use fleet::view::Availability;
use fleet::view::Context;
use fleet::view::Route;
use fleet::view::View;

use super::site::Pool;
use super::site::Site;

fn site() -> Site {
    let pools =
        [Pool("a", 3, 1, false, &["r0", "r1", "r2"]), Pool("b", 3, 1, false, &["r0", "r1", "r2"])];
    Site::new(&pools, Weights::default())
}

fn build(site: &Site, leaving: &[&str]) -> View {
    let context = Context {
        entries: 9,
        leaving: leaving.iter().map(|&name| name.to_owned()).collect(),
        used: BTreeMap::from([("a1".to_owned(), 5)]),
    };
    view::build(&site.world, &site.config, &context, 7)
}

/// The upstreams of a service's own pool with their availability.
fn upstreams(view: &View, service: &str) -> Vec<(String, Availability)> {
    let route = Route { organisation: "org".to_owned(), service: service.to_owned() };
    let upstreams = view.targets[&route].upstreams.iter();
    upstreams.map(|one| (one.instance.clone(), one.availability)).collect()
}

#[test]
fn shows_each_instance_in_its_one_pool() {
    let view = build(&site(), &[]);
    assert_eq!((view.serial, view.entries, view.revision.0), (7, 9, 1));
    let open = |name: &str| (name.to_owned(), Availability::Open);
    assert_eq!(upstreams(&view, "a"), [open("a0"), open("a1"), open("a2")]);
    assert_eq!(upstreams(&view, "b"), [open("b0"), open("b1"), open("b2")]);
}

#[test]
fn a_leaving_instance_is_shown_as_leaving_before_the_tables_change() {
    let view = build(&site(), &["a1"]);
    assert_eq!(upstreams(&view, "a")[1], ("a1".to_owned(), Availability::Leaving));
}

#[test]
fn drained_instances_are_leaving_and_failed_instances_are_not_shown() {
    let mut site = site();
    let instance = site.key("a0");
    site.decide(Decision::Drain { instance, reason: Reason::Operator })
        .expect("the budget allows the drain");
    site.report(&Fact::Unresponsive(site.key("a2")));
    let leaving = ("a0".to_owned(), Availability::Leaving);
    assert_eq!(
        upstreams(&build(&site, &[]), "a"),
        [leaving, ("a1".to_owned(), Availability::Open)]
    );
}

#[test]
fn lent_instances_are_shown_with_the_pool_they_belong_to() {
    let mut site = site();
    let demand = BTreeMap::from([(site.pool("a"), 40), (site.pool("b"), 0)]);
    site.world.record(&Fact::Demand(demand), site.now);
    site.world.loans = pool::lend(&site.world, site.now);
    let view = build(&site, &["b0"]);
    let route = Route { organisation: "org".to_owned(), service: "a".to_owned() };
    let lent: Vec<_> = view.targets[&route].lent.iter().collect();
    assert_eq!(lent.len(), 1, "one of the two lent is leaving");
    assert_eq!((lent[0].instance.as_str(), lent[0].pool.as_str()), ("b1", "b"));
}

#[test]
fn an_instance_with_an_invalid_address_is_left_out() {
    let mut site = site();
    let mut instance = site.instance("a0").clone();
    instance.address = "nowhere".to_owned();
    site.world.apply(fleet::world::Change::Instance(instance));
    assert_eq!(upstreams(&build(&site, &[]), "a").len(), 2);
}
