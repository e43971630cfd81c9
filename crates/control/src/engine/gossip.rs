//! Hears peers, hands a view to the request path, tells peers.

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

/// Entries of one data centre that take duties, beside those that hold some already.
const CANDIDATES: usize = 3;

impl<P: Environment> Engine<P> {
    /// Hears the peers, builds the view that follows from all that is known, hands it to the request
    /// path if it differs, and tells the peers what this entry acts on.
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

    /// Offers the documents in force once for each revision.
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
    /// Takes in documents that peers passed on.
    pub fn receive_documents(&mut self, text: &str) {
        match serde_json::from_str::<Set>(text) {
            Ok(set) => {
                self.adopt(set);
            }
            Err(error) => tracing::error!(event = "documents-unreadable", error = %error),
        }
    }

    /// Takes in what the peers say.
    pub fn receive_members(&mut self, members: Vec<Member>) {
        let mut hearsay = BTreeMap::new();
        for member in &members {
            hearsay.insert(member.name.clone(), self.peer_report(member));
            self.senders.record(&member.name, sender_report(member));
            let Member { name, incarnation, summary, .. } = member;
            self.peer_drains.record(name, *incarnation, &summary.drains);
        }
        self.watch.set_peer_reports(hearsay);
        self.members = members;
        if !self.peer_drains.is_empty() {
            let epochs = self.world.instances.iter();
            let epochs = epochs.map(|(_, value)| (value.name.as_str(), value.epoch)).collect();
            self.peer_drains.prune(&epochs);
        }
    }

    fn peer_report(&self, member: &Member) -> PeerReport {
        let row = self.watch.row(&member.name);
        let outdated = row.is_some_and(|row| row.incarnation > member.incarnation);
        match member.status {
            _ if outdated => PeerReport::Unheard,
            Status::Left => PeerReport::Left,
            Status::Alive if member.summary.platform => PeerReport::Healthy,
            Status::Alive => PeerReport::Isolated,
            Status::Suspect | Status::Dead => PeerReport::Unheard,
        }
    }

    fn record_own_drains(&mut self, settings: &Settings, load: &Load) {
        let evidence = SenderReport {
            incarnation: self.leases.incarnation(),
            data_centre: settings.data_centre.clone(),
            ended: false,
            drains: self.exclusions.acknowledge(load),
        };
        self.senders.record(&settings.name, evidence);
    }

    /// Takes in how many requests each pool has, here and elsewhere, and what may be lent for it.
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

    fn pool_of_route(&self, route: &Route) -> Option<key::Pool> {
        let spec = self.adoption.config().organisations.get(&route.organisation)?;
        let service = spec.services.get(&route.service)?;
        let organisation = *self.world.names.organisations.get(&route.organisation)?;
        self.world.names.pools.get(&(organisation, service.pool.clone())).copied()
    }

    /// Builds the view anew and notes what it closes. Returns whether it is to be handed over.
    pub fn rebuild_view(&mut self) -> bool {
        let surroundings = self.view_context();
        let config = self.adoption.config();
        let serial = self.view.serial + 1;
        let view = view::build(&self.world, config, &surroundings, serial);
        let closed = self.excluded_instances(&surroundings.leaving);
        let same = view::View { serial: self.view.serial, ..view.clone() } == self.view;
        if same {
            self.exclusions.record_view(self.view.serial, &closed);
            return false;
        }
        self.exclusions.record_view(serial, &closed);
        self.view = view;
        true
    }

    fn view_context(&self) -> Context {
        let alive = self.members.iter().filter(|member| member.status == Status::Alive);
        let mut used: BTreeMap<String, u32> = BTreeMap::new();
        for (name, count) in alive.clone().flat_map(|member| &member.summary.load.in_flight) {
            *used.entry(name.clone()).or_default() += count;
        }
        let entries = u32::try_from(alive.count()).unwrap_or(u32::MAX).saturating_add(1);
        Context { entries, leaving: self.leaving(), used }
    }

    /// Instances that are serving by their rows, and leaving by the list or by what peers say.
    fn leaving(&self) -> BTreeSet<String> {
        let listed = self.discovery.leaving().into_iter().map(str::to_owned);
        let instances = self.world.instances.iter().map(|(_, value)| value);
        let heard = instances
            .filter(|value| self.peer_drains.newer_epoch(&value.name, value.epoch).is_some());
        listed.chain(heard.map(|value| value.name.clone())).collect()
    }

    /// Instances that the view closes, with the epoch that this acts on.
    fn excluded_instances(&self, leaving: &BTreeSet<String>) -> BTreeMap<String, u64> {
        let listed = self.discovery.leaving();
        let mut closed = BTreeMap::new();
        for (_, value) in self.world.instances.iter() {
            let serves = value.state == Phase::Serving;
            if serves && !leaving.contains(&value.name) {
                continue;
            }
            let heard = self.peer_drains.newer_epoch(&value.name, value.epoch);
            let by_list =
                (serves && listed.contains(value.name.as_str())).then_some(value.epoch + 1);
            let epoch = heard.max(by_list).unwrap_or(value.epoch);
            closed.insert(value.name.clone(), epoch);
        }
        closed
    }

    fn update_startup(&mut self, now: Time) {
        let alive = self.members.iter().filter(|member| member.status == Status::Alive);
        let found = StartupEvidence {
            store: self.restored,
            revision: self.revision(),
            peers: alive.clone().filter(|member| member.summary.ready).count(),
            peers_revision: alive.map(|member| member.summary.revision).max().unwrap_or_default(),
        };
        self.startup.update(found, now);
    }

    /// Whether this entry is to take duties: the few of its data centre that come first do, and
    /// those that hold some.
    fn update_candidacy(&mut self, settings: &Settings) {
        let here = |member: &&Member| {
            member.data_centre == settings.data_centre && member.status == Status::Alive
        };
        let others = self.members.iter().filter(here).map(|member| member.name.as_str());
        let order = rank_candidates(others.chain([settings.name.as_str()]));
        let place = order.iter().position(|name| *name == settings.name);
        let chosen = place.is_some_and(|place| place < CANDIDATES);
        self.candidate = chosen || self.leases.all_held().next().is_some();
    }

    /// What the peers are told.
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

/// What a peer says of itself.
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
