//! Reads what peers report, updates the request path's view and reports to the peers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use fleet::fact::Fact;
use fleet::instance::State as Phase;
use fleet::key;
use fleet::pool;
use fleet::template::Set;
use fleet::time::Time;
use fleet::view;
use fleet::view::Context;
use fleet::view::Load;
use fleet::view::Route;
use peer::Member;
use peer::Spread;
use peer::Status;
use peer::Summary;

use super::Engine;
use super::Environment;
use super::State;
use crate::Path;
use crate::Settings;
use crate::configuration::StartupEvidence;
use crate::drain::SenderReport;
use crate::lease::PeerReport;
use crate::lease::rank_candidates;
use crate::member::Ack;

/// Number of entries per data centre that are candidates for duties by rank. Entries that hold a
/// duty are candidates in addition.
const CANDIDATES: usize = 3;

impl<E: Environment> Engine<E> {
    /// Reads what peers report, rebuilds the view, passes it to the request path if it has changed,
    /// and publishes this entry's summary to the peers.
    pub fn gossip(&self, now: Time) {
        let members = self.core.spread.members(now);
        let documents = self.core.spread.adopted();
        let mut state = self.state();
        while let Ok((_, text)) = documents.try_recv() {
            state.receive_documents(&text);
        }
        let load = self.core.path.load();
        let row_now = self.row_time(now);
        state.receive_members(members);
        state.record_own_drains(self.settings(), &load);
        state.update_demand(&load, row_now);
        if state.rebuild_view() {
            self.core.path.update(state.view.clone());
        }
        state.update_startup(now);
        state.update_candidacy(self.settings());
        self.offer_documents(&mut state);
        self.core.spread.publish(state.summary(load, now));
    }

    /// Offers the documents in force to the peers, once per revision.
    fn offer_documents(&self, state: &mut State) {
        let revision = state.revision();
        if revision <= state.offered_revision {
            return;
        }
        state.offered_revision = revision;
        if let Ok(text) = serde_json::to_string(state.adoption.set()) {
            self.core.spread.offer(revision, Arc::from(text));
        }
    }
}

impl State {
    /// Adopts documents received from a peer, as JSON. Logs those that cannot be parsed.
    pub fn receive_documents(&mut self, text: &str) {
        match serde_json::from_str::<Set>(text) {
            Ok(set) => {
                self.adopt(set);
            }
            Err(error) => tracing::error!(event = "documents-unreadable", error = %error),
        }
    }

    /// Records the status and drain acknowledgements of all peers.
    pub fn receive_members(&mut self, members: Vec<Member>) {
        let mut reports = BTreeMap::new();
        for member in &members {
            reports.insert(member.name.clone(), self.peer_report(member));
            self.senders.record(&member.name, sender_report(member));
            let Member { name, incarnation, summary, .. } = member;
            self.peer_drains.record(name, *incarnation, &summary.drains);
        }
        self.watch.set_peer_reports(reports);
        self.members = members;
        if !self.peer_drains.is_empty() {
            let instances = self.world.instances.iter();
            let epochs = instances.map(|(_, value)| (value.name.as_str(), value.epoch)).collect();
            self.peer_drains.prune(&epochs);
        }
    }

    /// A peer's condition according to gossip; [`PeerReport::Unreachable`] if the peer's row belongs
    /// to a newer process.
    fn peer_report(&self, member: &Member) -> PeerReport {
        let row = self.watch.row(&member.name);
        let outdated = row.is_some_and(|row| row.incarnation > member.incarnation);
        match member.status {
            _ if outdated => PeerReport::Unreachable,
            Status::Left => PeerReport::Left,
            Status::Alive if member.summary.platform => PeerReport::Healthy,
            Status::Alive => PeerReport::Isolated,
            Status::Suspect | Status::Dead => PeerReport::Unreachable,
        }
    }

    /// Records this entry's own drain acknowledgements.
    fn record_own_drains(&mut self, settings: &Settings, load: &Load) {
        let report = SenderReport {
            incarnation: self.leases.incarnation(),
            data_centre: settings.data_centre.clone(),
            ended: false,
            drains: self.exclusions.acknowledge(load),
        };
        self.senders.record(&settings.name, report);
    }

    /// Sums up the demand of all live entries for each pool, in requests, and recomputes the loans
    /// between pools.
    fn update_demand(&mut self, load: &Load, row_now: Time) {
        let mut demand: BTreeMap<key::Pool, u32> = BTreeMap::new();
        let alive = self.members.iter().filter(|member| member.status == Status::Alive);
        let loads = alive.map(|member| &member.summary.load).chain([load]);
        for (route, count) in loads.flat_map(|load| &load.demand) {
            if let Some(pool) = self.pool_of_route(route) {
                *demand.entry(pool).or_default() += count;
            }
        }
        self.world.record(&Fact::Demand(demand), row_now);
        self.world.loans = pool::lend(&self.world, row_now);
    }

    /// The pool that serves a route.
    fn pool_of_route(&self, route: &Route) -> Option<key::Pool> {
        let spec = self.adoption.config().organisations.get(&route.organisation)?;
        let service = spec.services.get(&route.service)?;
        let organisation = *self.world.names.organisations.get(&route.organisation)?;
        self.world.names.pools.get(&(organisation, service.pool.clone())).copied()
    }

    /// Rebuilds the view and records which instances it excludes. Returns whether the view has
    /// changed and must be passed to the request path.
    pub fn rebuild_view(&mut self) -> bool {
        let context = self.view_context();
        let config = self.adoption.config();
        let serial = self.view.serial + 1;
        let view = view::build(&self.world, config, &context, serial);
        let excluded = self.excluded_instances(&context.leaving);
        let unchanged = view::View { serial: self.view.serial, ..view.clone() } == self.view;
        if unchanged {
            self.exclusions.record_view(self.view.serial, &excluded);
            return false;
        }
        self.exclusions.record_view(serial, &excluded);
        self.view = view;
        true
    }

    /// The inputs of the view other than rows: the number of live entries, leaving instances
    /// and the requests that peers have in flight.
    fn view_context(&self) -> Context {
        let alive = self.members.iter().filter(|member| member.status == Status::Alive);
        let mut used: BTreeMap<String, u32> = BTreeMap::new();
        for (name, count) in alive.clone().flat_map(|member| &member.summary.load.in_flight) {
            *used.entry(name.clone()).or_default() += count;
        }
        let entries = u32::try_from(alive.count()).unwrap_or(u32::MAX).saturating_add(1);
        Context { entries, leaving: self.leaving(), used }
    }

    /// Names of instances that must get no new requests even if their row says that they serve: the
    /// platform is removing them, or a peer applies a newer drain.
    fn leaving(&self) -> BTreeSet<String> {
        let listed = self.discovery.leaving().into_iter().map(str::to_owned);
        let instances = self.world.instances.iter().map(|(_, value)| value);
        let drained_by_peers = instances
            .filter(|value| self.peer_drains.newer_epoch(&value.name, value.epoch).is_some());
        listed.chain(drained_by_peers.map(|value| value.name.clone())).collect()
    }

    /// Instances that the view excludes from new requests, each with the epoch of its drain.
    fn excluded_instances(&self, leaving: &BTreeSet<String>) -> BTreeMap<String, u64> {
        let listed = self.discovery.leaving();
        let mut excluded = BTreeMap::new();
        for (_, value) in self.world.instances.iter() {
            let serves = value.state == Phase::Serving;
            if serves && !leaving.contains(&value.name) {
                continue;
            }
            let by_peers = self.peer_drains.newer_epoch(&value.name, value.epoch);
            let by_list =
                (serves && listed.contains(value.name.as_str())).then_some(value.epoch + 1);
            let epoch = by_peers.max(by_list).unwrap_or(value.epoch);
            excluded.insert(value.name.clone(), epoch);
        }
        excluded
    }

    /// Re-evaluates whether this entry may serve callers.
    fn update_startup(&mut self, now: Time) {
        let alive = self.members.iter().filter(|member| member.status == Status::Alive);
        let evidence = StartupEvidence {
            store: self.restored,
            revision: self.revision(),
            peers: alive.clone().filter(|member| member.summary.ready).count(),
            peers_revision: alive.map(|member| member.summary.revision).max().unwrap_or_default(),
        };
        self.startup.update(evidence, now);
    }

    /// Re-evaluates whether this entry is a candidate for duties: the [`CANDIDATES`] live entries
    /// of its data centre that rank first are, and every entry that holds a duty.
    fn update_candidacy(&mut self, settings: &Settings) {
        let is_local = |member: &&Member| {
            member.data_centre == settings.data_centre && member.status == Status::Alive
        };
        let others = self.members.iter().filter(is_local).map(|member| member.name.as_str());
        let ranked = rank_candidates(others.chain([settings.name.as_str()]));
        let rank = ranked.iter().position(|name| *name == settings.name);
        let chosen = rank.is_some_and(|rank| rank < CANDIDATES);
        self.candidate = chosen || self.leases.all_held().next().is_some();
    }

    /// The summary of this entry that gossip sends to the peers.
    fn summary(&self, load: Load, now: Time) -> Summary {
        let acks = self.exclusions.acknowledge(&load);
        Summary {
            revision: self.revision(),
            drains: acks.into_iter().map(|(name, ack)| (name, ack.epoch)).collect(),
            load,
            ready: self.startup.is_ready() && !self.stopping,
            platform: self.watch.is_fresh(now),
        }
    }
}

/// The drain acknowledgements in a peer's summary.
fn sender_report(member: &Member) -> SenderReport {
    let Summary { drains, load, .. } = &*member.summary;
    let ack = |(name, &epoch): (&String, &u64)| {
        let in_flight = load.in_flight.get(name).copied().unwrap_or(0);
        (name.clone(), Ack { epoch, in_flight })
    };
    SenderReport {
        incarnation: member.incarnation,
        data_centre: member.data_centre.clone(),
        ended: false,
        drains: drains.iter().map(ack).collect(),
    }
}
