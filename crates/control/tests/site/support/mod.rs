//! A simulated site of several entries in virtual time.

mod fake;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use control::Engine;
use control::Settings;
use control::act::Stamp;
use control::configuration::Applied;
use control::configuration::Change;
use control::duty::Duty;
use control::engine::Dependencies;
use fleet::config::Revision;
use fleet::config::Size;
use fleet::instance::State;
use fleet::template::Document;
use fleet::time::Time;
use futures_lite::future::block_on;
use platform::instance::Listed;
use platform::instance::Role;
use platform::table::Transaction;
use platform::table::Write;
use platform::wait::Instantly;
use standin::mesh::Mesh;
use standin::platform::Faults;
use standin::platform::Memory;

pub(crate) use fake::Fakes;
pub(crate) use fake::Path;
pub(crate) use fake::Workers;

/// Interval between two ticks.
pub(crate) const TICK: Duration = Duration::from_millis(200);

/// The organisation that all tests use.
pub(crate) const ORGANISATION: &str = "lisbon";

/// A simulated entry.
pub(crate) struct Entry {
    pub(crate) engine: Engine<Fakes>,
    pub(crate) path: Path,
    /// Whether its process is paused.
    pub(crate) paused: bool,
    /// How far its clock is ahead of the site's.
    pub(crate) clock_offset: Duration,
    incarnation: u64,
    data_centre: String,
    last_heartbeat: Option<Time>,
}

/// A simulated site.
pub(crate) struct Site {
    pub(crate) memory: Memory,
    pub(crate) mesh: Mesh,
    pub(crate) workers: Workers,
    pub(crate) entries: BTreeMap<String, Entry>,
    pub(crate) now: Time,
}

impl Site {
    /// A site with the entries `a`, `b`, …, distributed round-robin over the data centres.
    pub(crate) fn new(entries: usize, data_centres: usize) -> Self {
        let now = Time::from_secs(1_000);
        let mut site = Self {
            memory: Memory::new(),
            mesh: Mesh::new(),
            workers: Workers::default(),
            entries: BTreeMap::new(),
            now,
        };
        for index in 0..entries {
            let name = char::from(b'a' + index as u8).to_string();
            site.start(&name, &format!("dc{}", index % data_centres));
        }
        site
    }

    /// The same with documents in force and with the workers `w0`, `w1`, …, all serving.
    pub(crate) fn with_workers(entries: usize, data_centres: usize, workers: usize) -> Self {
        let mut site = Self::new(entries, data_centres);
        for index in 0..workers {
            site.add_worker(index, data_centres);
        }
        site.run(Duration::from_secs(1));
        site.apply("a", 0, &document(workers as u32)).expect("the first documents are valid");
        let done = site.run_until(Duration::from_secs(300), |site| {
            (0..workers).all(|index| site.state("a", &worker(index)) == Some(State::Serving))
        });
        done.expect("all workers serve within 300 s");
        site
    }

    /// Starts the next process of the entry `name`.
    pub(crate) fn start(&mut self, name: &str, data_centre: &str) {
        let incarnation = self.entries.get(name).map_or(1, |entry| entry.incarnation + 1);
        let path = Path::default();
        let client = self.memory.client(&format!("{data_centre}/{name}"));
        let settings = Settings {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            incarnation,
            ..Settings::default()
        };
        let dependencies = Dependencies {
            table: client.clone(),
            objects: client.clone(),
            list: client,
            spread: self.mesh.join(name, data_centre),
            path: path.clone(),
            instances: self.workers.clone(),
            wait: Instantly,
        };
        let engine = Engine::new(settings, dependencies, Duration::ZERO, self.now);
        let data_centre = data_centre.to_owned();
        let (paused, clock_offset, last_heartbeat) = (false, Duration::ZERO, None);
        let entry =
            Entry { engine, path, paused, clock_offset, incarnation, data_centre, last_heartbeat };
        self.entries.insert(name.to_owned(), entry);
        let listed = listed(name, Role::Entry, "127.0.0.1:1", &self.entries[name].data_centre);
        self.memory.list_instance(listed);
    }

    /// Replaces an entry's process by a new one, as after a crash.
    pub(crate) fn restart(&mut self, name: &str) {
        let data_centre = self.entries[name].data_centre.clone();
        self.start(name, &data_centre);
    }

    /// Pauses a process with all its connections.
    pub(crate) fn pause(&mut self, name: &str) {
        self.mesh.stop(name);
        self.entry(name).paused = true;
    }

    /// Resumes a paused process.
    pub(crate) fn resume(&mut self, name: &str) {
        self.mesh.resume(name);
        self.entry(name).paused = false;
    }

    /// Disconnects an entry from all peers.
    pub(crate) fn cut_peers(&self, name: &str) {
        for other in self.entries.keys().filter(|other| *other != name) {
            self.mesh.cut(name, other);
        }
    }

    /// Reconnects an entry to all peers.
    pub(crate) fn mend_peers(&self, name: &str) {
        for other in self.entries.keys().filter(|other| *other != name) {
            self.mesh.mend(name, other);
        }
    }

    /// Sets the faults of an entry's calls to the platform.
    pub(crate) fn set_faults(&self, name: &str, faults: Faults) {
        let data_centre = &self.entries[name].data_centre;
        self.memory.set(&format!("{data_centre}/{name}"), faults);
    }

    /// Starts a worker and adds it to the instance list.
    pub(crate) fn add_worker(&mut self, index: usize, data_centres: usize) {
        let name = worker(index);
        let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16));
        self.workers.start(address);
        let data_centre = format!("dc{}", index % data_centres);
        let mut entry = listed(&name, Role::Worker, &address.to_string(), &data_centre);
        entry.rack = format!("rack{index}");
        self.memory.list_instance(entry);
    }

    /// Marks a worker as leaving in the instance list.
    pub(crate) fn mark_leaving(&self, index: usize) {
        let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16));
        let data_centre = format!("dc{}", index % 3);
        let entry = listed(&worker(index), Role::Worker, &address.to_string(), &data_centre);
        let rack = format!("rack{index}");
        self.memory.list_instance(Listed { rack, leaving: true, ..entry });
    }

    /// Writes a row directly to the table, without any entry.
    pub(crate) fn write(&self, key: &str, value: &str) {
        self.memory.force(&Transaction {
            writes: vec![Write { key: key.to_owned(), value: Some(value.to_owned()) }],
            ..Transaction::default()
        });
    }

    /// Runs one tick of the platform, the peers and every entry that is not paused.
    pub(crate) fn tick(&mut self) {
        self.now = self.now + TICK;
        self.memory.tick(self.now);
        self.mesh.tick(self.now);
        let now = self.now;
        for entry in self.entries.values_mut().filter(|entry| !entry.paused) {
            block_on(entry.step(now));
        }
    }

    /// Runs ticks for `duration`.
    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until `holds` returns true. Returns the time that took, or `None` if `limit` passed
    /// first.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        mut holds: impl FnMut(&mut Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) <= limit {
            if holds(self) {
                return Some(self.now.since(start));
            }
            self.tick();
        }
        None
    }

    /// The entry `name`.
    pub(crate) fn entry(&mut self, name: &str) -> &mut Entry {
        self.entries.get_mut(name).expect("the entry was started")
    }

    /// Applies `document` through an entry, with a new stamp.
    pub(crate) fn apply(
        &mut self,
        name: &str,
        seen: u64,
        document: &Document,
    ) -> Result<Applied, control::act::Error> {
        let stamp = self.stamp();
        self.apply_as(name, seen, document, &stamp)
    }

    /// Applies `document` through an entry, with a given stamp.
    pub(crate) fn apply_as(
        &mut self,
        name: &str,
        seen: u64,
        document: &Document,
        stamp: &Stamp,
    ) -> Result<Applied, control::act::Error> {
        let change = Change { seen: Revision(seen), document: document.clone() };
        let now = self.now;
        block_on(self.entry(name).engine.apply(stamp, change, now))
    }

    /// A new, unused stamp.
    pub(crate) fn stamp(&self) -> Stamp {
        let operation = format!("op-{}-{}", self.now.as_micros(), self.memory.position());
        Stamp { operation, author: "rosa".to_owned() }
    }

    /// The state of an instance as `entry` knows it.
    pub(crate) fn state(&mut self, entry: &str, instance: &str) -> Option<State> {
        let state = self.entry(entry).engine.state();
        let key = *state.world.names.instances.get(instance)?;
        state.world.instances.get(key).map(|value| value.state)
    }

    /// The holder of a duty by its row in the table.
    pub(crate) fn holder(&self, duty: &Duty) -> Option<String> {
        let rows = self.memory.rows(&format!("control/{}", duty.key()));
        let row: control::duty::Row = serde_json::from_str(&rows.first()?.value).ok()?;
        Some(row.holder).filter(|holder| !holder.is_empty())
    }

    /// Whether an entry routes new requests to an instance.
    pub(crate) fn is_open(&mut self, entry: &str, instance: &str) -> bool {
        self.entry(entry).path.is_open(instance)
    }
}

impl Entry {
    /// Suppresses heartbeats until about `time`.
    pub(crate) fn skip_heartbeats_until(&mut self, time: Time) {
        self.last_heartbeat = Some(time);
    }

    async fn step(&mut self, now: Time) {
        let now = now + self.clock_offset;
        while let Ok(true) = self.engine.follow(now).await {}
        self.engine.gossip(now);
        if self
            .last_heartbeat
            .is_none_or(|last| now.since(last) >= control::lease::HEARTBEAT_PERIOD)
        {
            self.engine.heartbeat(now).await;
            self.last_heartbeat = Some(now);
        }
        self.engine.rebalance(now).await;
        self.engine.snapshot(now).await;
        self.engine.collect_garbage(now).await;
        self.engine.discover(now).await;
        for name in self.engine.due(now) {
            self.engine.poll(&name, now).await;
        }
        for (name, renew) in self.engine.decide(now).await.instruct {
            self.engine.instruct(&name, renew, now).await;
        }
    }
}

/// The name of the worker `index`.
pub(crate) fn worker(index: usize) -> String {
    format!("w{index}")
}

/// The duty of the only pool.
pub(crate) fn pool_duty() -> Duty {
    Duty::Pool { organisation: ORGANISATION.to_owned(), pool: "web".to_owned() }
}

/// Documents with one pool of `size` instances, a service, job kinds, a team and a maintenance
/// wave.
pub(crate) fn document(size: u32) -> Document {
    let text = format!(
        r#"{{
            "organisation": "{ORGANISATION}",
            "templates": {{
                "web": {{
                    "kind": "pool",
                    "body": {{
                        "pools": {{
                            "web": {{ "size": {size}, "min_ready": 1 }}
                        }},
                        "services": {{ "orders": {{ "pool": "web" }} }}
                    }}
                }},
                "jobs": {{
                    "kind": "job",
                    "body": {{
                        "jobs": {{
                            "urgent": {{
                                "pool": "web", "size": {{ "milli_cores": 1000, "memory_mb": 1000 }},
                                "seconds": 60, "priority": "urgent", "idempotent": true
                            }},
                            "once": {{
                                "pool": "web", "size": {{ "milli_cores": 1000, "memory_mb": 1000 }},
                                "seconds": 60
                            }},
                            "huge": {{ "pool": "web", "size": {{ "milli_cores": 9000, "memory_mb": 1 }}, "seconds": 60 }}
                        }}
                    }}
                }},
                "site": {{
                    "kind": "organisation",
                    "body": {{
                        "teams": {{
                            "planning": {{
                                "quota": {{ "milli_cores": 8000, "memory_mb": 16000 }}, "share": 1
                            }}
                        }}
                    }}
                }},
                "wave": {{
                    "kind": "wave",
                    "body": {{
                        "waves": {{
                            "kernel": {{ "pools": ["web"], "restart_secs": 5, "deadline_secs": 3600 }}
                        }}
                    }}
                }}
            }},
            "uses": {{
                "all": {{ "template": "web" }}, "kernel": {{ "template": "wave" }},
                "jobs": {{ "template": "jobs" }}, "site": {{ "template": "site" }}
            }}
        }}"#
    );
    serde_json::from_str(&text).expect("the documents of the tests are valid JSON")
}

fn listed(name: &str, role: Role, address: &str, data_centre: &str) -> Listed {
    Listed {
        name: name.to_owned(),
        role,
        address: address.to_owned(),
        data_centre: data_centre.to_owned(),
        rack: String::new(),
        organisation: ORGANISATION.to_owned(),
        pool: "web".to_owned(),
        capacity: Size { milli_cores: 32_000, memory_mb: 64_000, accelerators: 0 },
        leaving: false,
    }
}
