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
use crate::configuration::Start;
use crate::configuration::Verdict;
use crate::drain::Census;
use crate::drain::Closures;
use crate::drain::Evidence;
use crate::drain::Notice;
use crate::duty;
use crate::duty::Duty;
use crate::lease::Held;
use crate::lease::Lease;
use crate::lease::Watch;
use crate::member;
use crate::poll::Polls;
use crate::rows::Mirror;
use crate::survey::Survey;
use crate::work::Work;

/// What one entry knows.
#[derive(Debug)]
pub struct State {
    /// Versions of the rows taken in.
    pub mirror: Mirror,
    /// The tables.
    pub world: World,
    /// What keeps decisions about jobs from looking at every job.
    pub index: Index,
    /// The documents in force.
    pub adoption: Adoption,
    /// Its part in sharing the duties.
    pub lease: Lease,
    /// Which entries are alive.
    pub watch: Watch,
    /// Which entries could still send.
    pub census: Census,
    /// What it acknowledges.
    pub closures: Closures,
    /// Drains heard of from peers.
    pub notice: Notice,
    /// Whether it may serve callers.
    pub start: Start,
    /// What the instance list says.
    pub survey: Survey,
    /// What the instances say.
    pub polls: Polls,
    /// What the workers say, and what they were told.
    pub work: Work,
    /// Peers as last heard.
    pub members: Vec<Member>,
    /// The last view handed to the request path.
    pub view: View,
    /// Facts that wait for the next decisions.
    pub facts: Vec<Fact>,
    /// Whether all rows have been read once.
    pub restored: bool,
    /// Whether this entry beats and takes duties.
    pub wants: bool,
    /// Whether this process is about to end.
    pub ending: bool,
    /// What it last wrote to its own row.
    pub written: Option<member::Row>,
    /// When the platform last answered.
    pub answered: Option<Time>,
    /// The highest revision that was offered to the peers.
    pub offered: Revision,
    /// Restarts that the platform has taken on.
    pub restarted: BTreeSet<Operation>,
    /// When this entry last wrote a snapshot.
    pub snapshot: Option<Time>,
    /// When this entry last removed old rows.
    pub tidied: Option<Time>,
    operations: u64,
}

impl State {
    /// What an entry knows when it starts at `now`: nothing.
    pub fn new(settings: &Settings, now: Time) -> Self {
        let mut world = World::default();
        world.clock_id = settings.clock();
        Self {
            mirror: Mirror::default(),
            world,
            index: Index::default(),
            adoption: Adoption::default(),
            lease: Lease::new(&settings.name, settings.incarnation),
            watch: Watch::default(),
            census: Census::new(settings.list_lag),
            closures: Closures::default(),
            notice: Notice::default(),
            start: Start::new(now, settings.start_limit),
            survey: Survey::default(),
            polls: Polls::default(),
            work: Work::default(),
            members: Vec::new(),
            view: View::default(),
            facts: Vec::new(),
            restored: false,
            wants: false,
            ending: false,
            written: None,
            answered: None,
            offered: Revision::default(),
            restarted: BTreeSet::new(),
            snapshot: None,
            tidied: None,
            operations: 0,
        }
    }

    /// The next name of an operation of this process.
    pub fn next_operation(&mut self, name: &str) -> String {
        self.operations += 1;
        format!("{name}/{}/{}", self.lease.incarnation(), self.operations)
    }

    /// A seed that was not used before.
    pub fn next_seed(&mut self) -> u64 {
        self.operations += 1;
        self.world.clock_id ^ self.operations
    }

    /// Takes in a row, if it is newer than what is known.
    pub fn absorb(&mut self, row: &Row, now: Time) {
        if self.mirror.note(&row.key, row.version) {
            self.take_in(&row.key, row.version, Some(&row.value), now);
        }
    }

    /// Takes in that a row was deleted by the commit at `version`.
    pub fn absorb_deleted(&mut self, key: &str, version: Version, now: Time) {
        if self.mirror.note_deleted(key, version) {
            self.take_in(key, version, None, now);
        }
    }

    /// Takes in documents, wherever they come from. Returns whether they are in force now.
    pub fn adopt(&mut self, set: Set) -> bool {
        let revision = set.revision;
        match self.adoption.offer(set) {
            Verdict::Adopted => {
                self.world.configure(self.adoption.config());
                let duties = self.duties();
                self.lease.want(duties);
                tracing::info!(event = "adopt", revision = revision.0);
                true
            }
            Verdict::Known => false,
            Verdict::Unreadable(problems) => {
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
    pub fn has_caught_up(&self, held: &Held) -> bool {
        self.mirror.position().is_some_and(|position| position.0 >= held.version.0)
    }

    /// The key of a duty's wave, if it is one of a wave that is known.
    pub fn wave_of(&self, duty: &Duty) -> Option<key::Wave> {
        let Duty::Wave { organisation, wave } = duty else { return None };
        let organisation = *self.world.names.organisations.get(organisation)?;
        self.world.names.waves.get(&(organisation, wave.clone())).copied()
    }

    /// Pools whose duty this entry holds, with the duty.
    pub fn held_pools(&self) -> BTreeMap<key::Pool, Duty> {
        let mine = self.lease.mine();
        mine.filter_map(|(duty, _)| Some((self.pool_of(duty)?, duty.clone()))).collect()
    }

    /// Waves whose duty this entry holds, with the duty.
    pub fn held_waves(&self) -> BTreeMap<key::Wave, Duty> {
        let mine = self.lease.mine();
        mine.filter_map(|(duty, _)| Some((self.wave_of(duty)?, duty.clone()))).collect()
    }

    /// The row of a duty that this entry holds.
    pub fn held(&self, duty: &Duty) -> Option<&Held> {
        self.lease.held(duty)
    }

    /// Whether new decisions may be taken: all rows are known, and lately so.
    pub fn may_decide(&self, now: Time) -> bool {
        self.restored && !self.ending && self.written.is_some() && self.watch.is_fresh(now)
    }

    fn take_in(&mut self, key: &str, version: Version, value: Option<&str>, now: Time) {
        if key == configuration::row::CURRENT {
            self.take_in_documents(value);
        } else if let Some(name) = member::parse(key) {
            self.take_in_member(name, version, value, now);
        } else if let Some(duty) = Duty::parse(key) {
            let row = value.and_then(|value| parse::<duty::Row>(key, value));
            self.lease.absorb(duty, version, row);
        } else {
            self.take_in_entity(key, value);
        }
    }

    fn take_in_documents(&mut self, value: Option<&str>) {
        let key = configuration::row::CURRENT;
        let current = value.and_then(|value| parse::<configuration::Current>(key, value));
        if let Some(current) = current {
            self.adopt(current.set);
        }
    }

    fn take_in_member(&mut self, name: &str, version: Version, value: Option<&str>, now: Time) {
        let key = member::key(name);
        let row = value.and_then(|value| parse::<member::Row>(&key, value));
        match &row {
            Some(row) => {
                self.census.admit(name);
                self.census.hear(name, Evidence::from(row.clone()));
            }
            None => self.census.dismiss(name),
        }
        self.watch.sight(name, version, row, now);
    }

    fn take_in_entity(&mut self, key: &str, value: Option<&str>) {
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
