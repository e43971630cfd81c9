//! Peers in memory: everything published is heard at once by all that are not cut off.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use fleet::config::Revision;
use fleet::time::Time;
use peer::Document;
use peer::Member;
use peer::Spread;
use peer::Status;
use peer::Summary;

/// Silence after which a member is suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_000);
/// Silence after which a member is dead.
pub const DEAD_AFTER: Duration = Duration::from_millis(2_000);

/// Peers in memory. Nothing moves but by [`Mesh::tick`].
#[derive(Clone, Debug, Default)]
pub struct Mesh(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    nodes: BTreeMap<String, Peer>,
    cuts: BTreeSet<(String, String)>,
}

#[derive(Debug)]
struct Peer {
    data_centre: String,
    incarnation: u64,
    running: bool,
    left: bool,
    summary: Arc<Summary>,
    offered: Option<Document>,
    adopting: Sender<Document>,
    adopted: Receiver<Document>,
    heard: BTreeMap<String, Member>,
}

/// One peer's handle.
#[derive(Clone, Debug)]
pub struct Node {
    mesh: Mesh,
    name: String,
}

impl Mesh {
    /// No peers yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a peer, or starts it again under the next incarnation.
    pub fn join(&self, name: &str, data_centre: &str) -> Node {
        let mut state = self.lock();
        let incarnation = state.nodes.get(name).map_or(1, |old| old.incarnation + 1);
        let (adopting, adopted) = async_channel::unbounded();
        let peer = Peer {
            data_centre: data_centre.to_owned(),
            incarnation,
            running: true,
            left: false,
            summary: Arc::default(),
            offered: None,
            adopting,
            adopted,
            heard: BTreeMap::new(),
        };
        state.nodes.insert(name.to_owned(), peer);
        Node { mesh: self.clone(), name: name.to_owned() }
    }

    /// Pauses or ends a peer: it neither speaks nor hears.
    pub fn stop(&self, name: &str) {
        self.lock().node(name).running = false;
    }

    /// Lets a paused peer go on.
    pub fn resume(&self, name: &str) {
        self.lock().node(name).running = true;
    }

    /// Cuts the link between two peers, both ways.
    pub fn cut(&self, one: &str, other: &str) {
        self.lock().cuts.insert(pair(one, other));
    }

    /// Mends the link between two peers.
    pub fn mend(&self, one: &str, other: &str) {
        self.lock().cuts.remove(&pair(one, other));
    }

    /// Lets every peer hear what the others publish and offer, if only through others.
    pub fn tick(&self, now: Time) {
        let mut state = self.lock();
        let running = state.nodes.iter().filter(|(_, peer)| peer.running);
        let names: Vec<String> = running.map(|(name, _)| name.clone()).collect();
        for name in names {
            for heard in state.reachable(&name) {
                state.deliver(&heard, &name, now);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder panics")
    }
}

impl State {
    fn node(&mut self, name: &str) -> &mut Peer {
        self.nodes.get_mut(name).expect("it joined")
    }

    /// Running peers that `from` hears, directly or through others.
    fn reachable(&self, from: &str) -> BTreeSet<String> {
        let mut found = BTreeSet::from([from.to_owned()]);
        let mut open = vec![from.to_owned()];
        while let Some(name) = open.pop() {
            let linked = |other: &&String| !self.cuts.contains(&pair(&name, other));
            let running = self.nodes.iter().filter(|(_, peer)| peer.running);
            for other in running.map(|(other, _)| other).filter(linked) {
                if found.insert(other.clone()) {
                    open.push(other.clone());
                }
            }
        }
        found.remove(from);
        found
    }

    fn deliver(&mut self, from: &str, to: &str, now: Time) {
        let sender = &self.nodes[from];
        let member = Member {
            name: from.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: sender.data_centre.clone(),
            incarnation: sender.incarnation,
            status: if sender.left { Status::Left } else { Status::Alive },
            heard: now,
            summary: Arc::clone(&sender.summary),
        };
        let offered = sender.offered.clone();
        let receiver = self.node(to);
        receiver.heard.insert(from.to_owned(), member);
        if let Some((revision, documents)) = offered
            && receiver.raise(revision, &documents)
        {
            let _ = receiver.adopting.try_send((revision, documents));
        }
    }
}

impl Peer {
    /// Offers a higher revision. Returns whether it was higher.
    fn raise(&mut self, revision: Revision, documents: &Arc<str>) -> bool {
        let higher = self.offered.as_ref().is_none_or(|(known, _)| *known < revision);
        if higher {
            self.offered = Some((revision, Arc::clone(documents)));
        }
        higher
    }
}

impl Spread for Node {
    fn publish(&self, summary: Summary) {
        self.mesh.lock().node(&self.name).summary = Arc::new(summary);
    }

    fn members(&self, now: Time) -> Vec<Member> {
        let mut members: Vec<Member> =
            self.mesh.lock().node(&self.name).heard.values().cloned().collect();
        for member in &mut members {
            let silence = now.since(member.heard);
            member.status = match member.status {
                Status::Left => Status::Left,
                _ if silence >= DEAD_AFTER => Status::Dead,
                _ if silence >= SUSPECT_AFTER => Status::Suspect,
                _ => Status::Alive,
            };
        }
        members
    }

    fn offer(&self, revision: Revision, documents: Arc<str>) {
        self.mesh.lock().node(&self.name).raise(revision, &documents);
    }

    fn adopted(&self) -> Receiver<Document> {
        self.mesh.lock().node(&self.name).adopted.clone()
    }

    fn seed(&self, _addresses: Vec<SocketAddr>) {}

    fn leave(&self) {
        self.mesh.lock().node(&self.name).left = true;
    }
}

fn pair(one: &str, other: &str) -> (String, String) {
    (one.min(other).to_owned(), one.max(other).to_owned())
}
