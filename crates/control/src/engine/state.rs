//! The in-memory state of one entry's control loop.

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

/// The in-memory state of one entry's control loop: what it has read from the table, the instance
/// list, peers and instances.
#[derive(Debug)]
pub struct State {
    /// Versions of the rows applied to `world`.
    pub versions: Versions,
    /// The fleet as of the applied rows.
    pub world: World,
    /// Job index, so that decisions about jobs need not scan all jobs.
    pub index: Index,
    /// The configuration documents in force.
    pub adoption: Adoption,
    /// Leases on duties: who holds which, and which to acquire or transfer.
    pub leases: Leases,
    /// Which entries are alive.
    pub watch: Watch,
    /// Entries that may still send requests to instances, and the drains that they acknowledged.
    pub senders: Senders,
    /// Instances that this entry's views exclude, for its drain acknowledgements.
    pub exclusions: Exclusions,
    /// Drains reported by peers that the applied rows may not contain yet.
    pub peer_drains: PeerDrains,
    /// Whether this entry may serve callers.
    pub startup: Startup,
    /// The instance list as last read.
    pub discovery: Discovery,
    /// Polls of instances: when each is due and what it last answered.
    pub polls: Polls,
    /// Reports of instances about their attempts, and starts sent to them.
    pub reports: Reports,
    /// Peers as of the last gossip step.
    pub members: Vec<Member>,
    /// The last view passed to the request path.
    pub view: View,
    /// Facts for the next decide step.
    pub facts: Vec<Fact>,
    /// Whether all rows have been read at least once.
    pub restored: bool,
    /// Whether this entry sends heartbeats and acquires duties.
    pub candidate: bool,
    /// Whether this process is shutting down.
    pub stopping: bool,
    /// The member row that this process last wrote.
    pub written_row: Option<member::Row>,
    /// When the table last answered, in monotonic time.
    pub last_answer: Option<Time>,
    /// The highest revision offered to peers.
    pub offered_revision: Revision,
    /// Restarts that the platform has accepted.
    pub restarted: BTreeSet<Operation>,
    /// When this entry last wrote a snapshot, in monotonic time.
    pub last_snapshot: Option<Time>,
    /// When this entry last collected garbage, in monotonic time.
    pub last_collection: Option<Time>,
    /// Number of operation names and seeds given out by this process.
    operations: u64,
}

impl State {
    /// Creates the empty state of an entry that starts at `now`.
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

    /// Returns an operation name that no other call and no other process of the entry `name` uses.
    pub fn next_operation(&mut self, name: &str) -> String {
        self.operations += 1;
        format!("{name}/{}/{}", self.leases.incarnation(), self.operations)
    }

    /// Returns a seed for random numbers that this process has not used before.
    pub fn next_seed(&mut self) -> u64 {
        self.operations += 1;
        self.world.clock_id ^ self.operations
    }

    /// Applies a row, if it is newer than the known version.
    pub fn apply(&mut self, row: &Row, now: Time) {
        if self.versions.record(&row.key, row.version) {
            self.apply_value(&row.key, row.version, Some(&row.value), now);
        }
    }

    /// Applies the deletion of a row by the commit at `version`, if it is newer than the known
    /// version.
    pub fn apply_deleted(&mut self, key: &str, version: Version, now: Time) {
        if self.versions.record_deleted(key, version) {
            self.apply_value(key, version, None, now);
        }
    }

    /// Offers documents from the table or from a peer. Returns whether they came into force.
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

    /// The configuration revision in force at this entry.
    pub fn revision(&self) -> Revision {
        self.adoption.revision()
    }

    /// The pool of a duty; `None` for other kinds of duty and unknown pools.
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

    /// Whether the table has been read up to the commit that gave out `lease`, and so everything
    /// that previous holders of the duty recorded.
    pub fn has_caught_up(&self, lease: &Lease) -> bool {
        self.versions.position().is_some_and(|position| position.0 >= lease.version.0)
    }

    /// The wave of a duty; `None` for other kinds of duty and unknown waves.
    pub fn wave_of(&self, duty: &Duty) -> Option<key::Wave> {
        let Duty::Wave { organisation, wave } = duty else { return None };
        let organisation = *self.world.names.organisations.get(organisation)?;
        self.world.names.waves.get(&(organisation, wave.clone())).copied()
    }

    /// The pools whose duty this entry holds, each with the duty.
    pub fn held_pools(&self) -> BTreeMap<key::Pool, Duty> {
        let held = self.leases.all_held();
        held.filter_map(|(duty, _)| Some((self.pool_of(duty)?, duty.clone()))).collect()
    }

    /// The waves whose duty this entry holds, each with the duty.
    pub fn held_waves(&self) -> BTreeMap<key::Wave, Duty> {
        let held = self.leases.all_held();
        held.filter_map(|(duty, _)| Some((self.wave_of(duty)?, duty.clone()))).collect()
    }

    /// This entry's lease on `duty`, if it holds the duty.
    pub fn held(&self, duty: &Duty) -> Option<&Lease> {
        self.leases.held(duty)
    }

    /// Whether this entry may make decisions: it has read all rows and keeps up with their changes,
    /// has written its member row, and is not shutting down.
    pub fn may_decide(&self, now: Time) -> bool {
        self.restored && !self.stopping && self.written_row.is_some() && self.watch.is_fresh(now)
    }

    /// Applies the value of a row that is new, or its deletion if `value` is `None`.
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

    /// All duties that exist under the documents in force.
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

/// Parses a row's value; logs one that cannot be parsed.
fn parse<V: serde::de::DeserializeOwned>(key: &str, value: &str) -> Option<V> {
    serde_json::from_str(value)
        .inspect_err(|error| tracing::error!(event = "row-unreadable", key, error = %error))
        .ok()
}
