//! Applies a new view of the fleet to the tables.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use fleet::time::Time;
use fleet::view;
use fleet::view::Availability;
use fleet::view::View;

use super::Service;
use super::State;
use crate::key;
use crate::upstream::Tiers;
use crate::upstream::Upstream;

impl State {
    /// Applies a view, unless a newer one is in force. Later decisions use the applied view.
    pub fn apply(&mut self, now: Time, view: &View) {
        if view.serial < self.serial {
            return;
        }
        let first = self.routes.is_empty();
        self.pause.record_refresh();
        self.serial = view.serial;
        self.revision = self.revision.max(view.revision);
        self.remove_missing_routes(now, view);
        self.routes_by_upstream.clear();
        let mut seen = BTreeSet::new();
        for (route, target) in &view.targets {
            self.apply_target(now, view, route, target, first, &mut seen);
        }
        self.remove_missing_upstreams(&seen);
        let routes: Vec<_> = self.routes.values().copied().collect();
        for route in routes {
            self.dispatch(now, route);
        }
    }

    /// Applies a service and its upstreams. `first` says whether this is the first view, `seen`
    /// collects the upstreams of the view.
    fn apply_target(
        &mut self,
        now: Time,
        view: &View,
        route: &view::Route,
        target: &view::Target,
        first: bool,
        seen: &mut BTreeSet<key::Upstream>,
    ) {
        let mut tiers = Tiers::default();
        let own = target.upstreams.iter().map(|upstream| (upstream, false));
        let lent = target.lent.iter().map(|upstream| (upstream, true));
        for (upstream, is_lent) in own.chain(lent) {
            let key = self.apply_upstream(now, upstream, first);
            self.set_limits(key, target, view.entries, !seen.insert(key));
            let near = upstream.data_centre == self.data_centre;
            let tier = match (is_lent, near) {
                (false, true) => &mut tiers.local,
                (false, false) => &mut tiers.remote,
                (true, true) => &mut tiers.lent_local,
                (true, false) => &mut tiers.lent_remote,
            };
            tier.push(key);
        }
        let key = match self.routes.get(route) {
            Some(key) => *key,
            None => {
                let key = self.services.insert(Service::new(route.clone(), target));
                self.routes.insert(route.clone(), key);
                key
            }
        };
        for upstream in tiers.iter() {
            self.routes_by_upstream.entry(upstream).or_default().push(key);
        }
        if let Some(service) = self.services.get_mut(key) {
            service.set_target(target);
            service.tiers = tiers;
        }
    }

    /// Adds or updates an upstream. Slow start begins if it is new (except in the first view), has
    /// another address, or has returned after leaving.
    fn apply_upstream(
        &mut self,
        now: Time,
        in_view: &view::Upstream,
        first: bool,
    ) -> key::Upstream {
        let key = match self.instances.get(&in_view.instance) {
            Some(key) => *key,
            None => {
                let mut fresh = Upstream::new(in_view.instance.clone(), in_view.address);
                fresh.slow_start_since = (!first).then_some(now);
                let key = self.upstreams.insert(fresh);
                self.instances.insert(in_view.instance.clone(), key);
                key
            }
        };
        if let Some(upstream) = self.upstreams.get_mut(key) {
            let replaced = upstream.address != in_view.address;
            let returned = upstream.availability == Availability::Leaving
                && in_view.availability == Availability::Open;
            if replaced || returned {
                upstream.health = Default::default();
                upstream.echoes_id = false;
                upstream.begin_slow_start(now);
            }
            upstream.address = in_view.address;
            upstream.data_centre.clone_from(&in_view.data_centre);
            upstream.availability = in_view.availability;
            upstream.used_elsewhere = in_view.used_elsewhere;
        }
        key
    }

    /// Sets how many slots and connections of an upstream this entry may use. If several services
    /// share the upstream, the lowest limits apply; `seen` says whether another one set them
    /// before.
    fn set_limits(&mut self, key: key::Upstream, target: &view::Target, entries: u32, seen: bool) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let entries = entries.max(1);
        let slots = target.service.slots.max(1);
        let connections = (target.service.connections / entries).max(1);
        upstream.entries = entries;
        upstream.slots = if seen { upstream.slots.min(slots) } else { slots };
        upstream.connections =
            if seen { upstream.connections.min(connections) } else { connections };
    }

    /// Removes the routes that are not in the view, and refuses their queued requests.
    fn remove_missing_routes(&mut self, now: Time, view: &View) {
        let missing: Vec<_> =
            self.routes.iter().filter(|(route, _)| !view.targets.contains_key(route)).collect();
        let missing: BTreeMap<_, _> =
            missing.into_iter().map(|(route, key)| (route.clone(), *key)).collect();
        for (route, key) in missing {
            self.refuse_all(now, key);
            if let Some(service) = self.services.get_mut(key) {
                service.tiers = Tiers::default();
            }
            // Requests in flight refer to the service: it is removed with the last of them.
            self.routes.remove(&route);
            self.drop_idle_service(key);
        }
    }

    /// Marks the upstreams that are not in the view as leaving, and removes those that are idle.
    fn remove_missing_upstreams(&mut self, seen: &BTreeSet<key::Upstream>) {
        let missing = |key: &key::Upstream| !seen.contains(key);
        let gone: Vec<_> = self.upstreams.iter().map(|(key, _)| key).filter(missing).collect();
        for key in gone {
            if let Some(upstream) = self.upstreams.get_mut(key) {
                upstream.availability = Availability::Leaving;
            }
            self.drop_idle_upstream(key);
        }
    }

    /// Removes a service that has no route in the view and no requests in flight.
    pub(super) fn drop_idle_service(&mut self, key: key::Route) {
        let Some(service) = self.services.get(key) else { return };
        if service.in_flight == 0 && self.routes.get(&service.route) != Some(&key) {
            self.services.remove(key);
        }
    }

    /// Removes an upstream that is not in the view and has no requests in flight.
    pub(super) fn drop_idle_upstream(&mut self, key: key::Upstream) {
        let Some(upstream) = self.upstreams.get(key) else { return };
        if upstream.in_flight == 0 && !self.routes_by_upstream.contains_key(&key) {
            self.instances.remove(&upstream.instance);
            self.upstreams.remove(key);
        }
    }
}
