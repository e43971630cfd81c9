//! What one entry knows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use fleet::config::Revision;
use fleet::fact::Fact;
use fleet::job::Index;
use fleet::key;
use fleet::row;
use fleet::template::Set;
use fleet::time::Time;
use fleet::view::View;
use fleet::world::World;
use peer::Member;
use platform::table::Operation;
use platform::table::Row;
use platform::table::Version;

use crate::Settings;
use crate::configuration;
use crate::configuration::Adoption;
use crate::configuration::Startup;
use crate::configuration::Verdict;
use crate::discovery::Discovery;
use crate::drain::Exclusions;
use crate::drain::PeerDrains;
use crate::drain::SenderReport;
use crate::drain::Senders;
use crate::duty;
use crate::duty::Duty;
use crate::lease::Lease;
use crate::lease::Leases;
use crate::lease::Watch;
use crate::member;
use crate::poll::Polls;
use crate::reports::Reports;
use crate::rows::Versions;

/// What one entry knows.
#[derive(Debug)]
pub struct State {
    /// Versions of the rows taken in.
    pub versions: Versions,
    /// The tables.
    pub world: World,
    /// What keeps decisions about jobs from looking at every job.
    pub index: Index,
    /// The documents in force.
    pub adoption: Adoption,
    /// Its part in sharing the duties.
    pub leases: Leases,
    /// Which entries are alive.
    pub watch: Watch,
    /// Which entries could still send.
    pub senders: Senders,
    /// What it acknowledges.
    pub exclusions: Exclusions,
    /// Drains heard of from peers.
    pub peer_drains: PeerDrains,
    /// Whether it may serve callers.
    pub startup: Startup,
    /// What the instance list says.
    pub discovery: Discovery,
    /// What the instances say.
    pub polls: Polls,
    /// What the workers say, and what they were told.
    pub reports: Reports,
    /// Peers as last heard.
    pub members: Vec<Member>,
    /// The last view handed to the request path.
    pub view: View,
    /// Facts that wait for the next decisions.
    pub facts: Vec<Fact>,
    /// Whether all rows have been read once.
    pub restored: bool,
    /// Whether this entry beats and takes duties.
    pub candidate: bool,
    /// Whether this process is about to end.
    pub stopping: bool,
    /// What it last wrote to its own row.
    pub written_row: Option<member::Row>,
    /// When the platform last answered.
    pub last_answer: Option<Time>,
    /// The highest revision that was offered to the peers.
    pub offered_revision: Revision,
    /// Restarts that the platform has taken on.
    pub restarted: BTreeSet<Operation>,
    /// When this entry last wrote a snapshot.
    pub last_snapshot: Option<Time>,
    /// When this entry last removed old rows.
    pub last_collection: Option<Time>,
    operations: u64,
}

impl State {
    /// What an entry knows when it starts at `now`: nothing.
    pub fn new(settings: &Settings, now: Time) -> Self {
        let mut world = World::default();
        world.clock_id = settings.clock_id();
        Self {
            versions: Versions::default(),
            world,
            index: Index::default(),
            adoption: Adoption::default(),
            leases: Leases::new(&settings.name, settings.incarnation),
            watch: Watch::default(),
            senders: Senders::new(settings.list_lag),
            exclusions: Exclusions::default(),
            peer_drains: PeerDrains::default(),
            startup: Startup::new(now, settings.start_limit),
            discovery: Discovery::default(),
            polls: Polls::default(),
            reports: Reports::default(),
            members: Vec::new(),
            view: View::default(),
            facts: Vec::new(),
            restored: false,
            candidate: false,
            stopping: false,
            written_row: None,
            last_answer: None,
            offered_revision: Revision::default(),
            restarted: BTreeSet::new(),
            last_snapshot: None,
            last_collection: None,
            operations: 0,
        }
    }

    /// The next name of an operation of this process.
    pub fn next_operation(&mut self, name: &str) -> String {
        self.operations += 1;
        format!("{name}/{}/{}", self.leases.incarnation(), self.operations)
    }

    /// A seed that was not used before.
    pub fn next_seed(&mut self) -> u64 {
        self.operations += 1;
        self.world.clock_id ^ self.operations
    }

    /// Takes in a row, if it is newer than what is known.
    pub fn apply(&mut self, row: &Row, now: Time) {
        if self.versions.record(&row.key, row.version) {
            self.apply_value(&row.key, row.version, Some(&row.value), now);
        }
    }

    /// Takes in that a row was deleted by the commit at `version`.
    pub fn apply_deleted(&mut self, key: &str, version: Version, now: Time) {
        if self.versions.record_deleted(key, version) {
            self.apply_value(key, version, None, now);
        }
    }

    /// Takes in documents, wherever they come from. Returns whether they are in force now.
    pub fn adopt(&mut self, set: Set) -> bool {
        let revision = set.revision;
        match self.adoption.offer(set) {
            Verdict::Adopted => {
                self.world.configure(self.adoption.config());
                let duties = self.duties();
                self.leases.set_duties(duties);
                tracing::info!(event = "adopt", revision = revision.0);
                true
            }
            Verdict::Known => false,
            Verdict::Invalid(problems) => {
                let first = problems.first().map(ToString::to_string).unwrap_or_default();
                tracing::error!(event = "adopt-failed", revision = revision.0, problem = first);
                false
            }
        }
    }

    /// The revision in force here.
    pub fn revision(&self) -> Revision {
        self.adoption.revision()
    }

    /// The key of a duty's pool, if it is one of a pool that is known.
    pub fn pool_of(&self, duty: &Duty) -> Option<key::Pool> {
        let Duty::Pool { organisation, pool } = duty else { return None };
        let organisation = *self.world.names.organisations.get(organisation)?;
        self.world.names.pools.get(&(organisation, pool.clone())).copied()
    }

    /// The duty of a pool.
    pub fn duty_of(&self, pool: key::Pool) -> Option<Duty> {
        let pool = self.world.pools.get(pool)?;
        let organisation = self.world.organisations.get(pool.organisation)?;
        Some(Duty::Pool { organisation: organisation.name.clone(), pool: pool.name.clone() })
    }

    /// Whether all that was recorded before a duty changed hands has been read.
    pub fn has_caught_up(&self, held: &Lease) -> bool {
        self.versions.position().is_some_and(|position| position.0 >= held.version.0)
    }

    /// The key of a duty's wave, if it is one of a wave that is known.
    pub fn wave_of(&self, duty: &Duty) -> Option<key::Wave> {
        let Duty::Wave { organisation, wave } = duty else { return None };
        let organisation = *self.world.names.organisations.get(organisation)?;
        self.world.names.waves.get(&(organisation, wave.clone())).copied()
    }

    /// Pools whose duty this entry holds, with the duty.
    pub fn held_pools(&self) -> BTreeMap<key::Pool, Duty> {
        let mine = self.leases.all_held();
        mine.filter_map(|(duty, _)| Some((self.pool_of(duty)?, duty.clone()))).collect()
    }

    /// Waves whose duty this entry holds, with the duty.
    pub fn held_waves(&self) -> BTreeMap<key::Wave, Duty> {
        let mine = self.leases.all_held();
        mine.filter_map(|(duty, _)| Some((self.wave_of(duty)?, duty.clone()))).collect()
    }

    /// The row of a duty that this entry holds.
    pub fn held(&self, duty: &Duty) -> Option<&Lease> {
        self.leases.held(duty)
    }

    /// Whether new decisions may be taken: all rows are known, and lately so.
    pub fn may_decide(&self, now: Time) -> bool {
        self.restored && !self.stopping && self.written_row.is_some() && self.watch.is_fresh(now)
    }

    fn apply_value(&mut self, key: &str, version: Version, value: Option<&str>, now: Time) {
        if key == configuration::row::CURRENT {
            self.apply_documents(value);
        } else if let Some(name) = member::parse(key) {
            self.apply_member(name, version, value, now);
        } else if let Some(duty) = Duty::parse(key) {
            let row = value.and_then(|value| parse::<duty::Row>(key, value));
            self.leases.apply(duty, version, row);
        } else {
            self.apply_entity(key, value);
        }
    }

    fn apply_documents(&mut self, value: Option<&str>) {
        let key = configuration::row::CURRENT;
        let current = value.and_then(|value| parse::<configuration::Current>(key, value));
        if let Some(current) = current {
            self.adopt(current.set);
        }
    }

    fn apply_member(&mut self, name: &str, version: Version, value: Option<&str>, now: Time) {
        let key = member::key(name);
        let row = value.and_then(|value| parse::<member::Row>(&key, value));
        match &row {
            Some(row) => {
                self.senders.reinstate(name);
                self.senders.record(name, SenderReport::from(row.clone()));
            }
            None => self.senders.remove(name),
        }
        self.watch.observe(name, version, row, now);
    }

    fn apply_entity(&mut self, key: &str, value: Option<&str>) {
        match row::read(&mut self.world, key, value) {
            Ok(Some(change)) => {
                self.world.apply(change.clone());
                self.index.apply(&self.world, &change);
            }
            Ok(None) => {}
            Err(error) => tracing::error!(event = "row-unreadable", key, error = %error),
        }
    }

    /// The duties that the documents in force call for.
    pub(super) fn duties(&self) -> BTreeSet<Duty> {
        let mut duties = BTreeSet::from([Duty::Snapshots, Duty::Garbage]);
        for (name, organisation) in &self.adoption.config().organisations {
            for pool in organisation.pools.keys() {
                duties.insert(Duty::Pool { organisation: name.clone(), pool: pool.clone() });
            }
            for wave in organisation.waves.keys() {
                duties.insert(Duty::Wave { organisation: name.clone(), wave: wave.clone() });
            }
        }
        duties
    }
}

fn parse<V: serde::de::DeserializeOwned>(key: &str, value: &str) -> Option<V> {
    serde_json::from_str(value)
        .inspect_err(|error| tracing::error!(event = "row-unreadable", key, error = %error))
        .ok()
}
