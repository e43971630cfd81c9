//! Who is there, and what they say: gossip with no sockets and no clock.
//!
//! Frames come in and go out as values, and the present time is an argument, so tests run whole
//! regions in virtual time. [`Peer`](crate::Peer) puts it on sockets.
//!
//! * [`Membership`]: the table of members.
//! * [`Identity`]: who a member is.
//! * [`Timing`]: how often members speak, and how long they may be silent.
//!
//! docs/design/membership.md has the reasons.

mod author;
mod contact;
mod entry;
mod identity;
mod ledger;
mod receive;
mod round;
mod timing;

pub use identity::Identity;
pub use receive::Received;
pub use timing::Timing;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fleet::config::Revision;
use fleet::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wire::Frame;
use wire::Window;
use wire::generated::frame::Content;

use crate::Member;
use crate::Status;
use crate::Summary;

use author::Author;
use contact::Contacts;
use entry::Entry;
use entry::LEFT;

/// Most members that are kept; more are not taken in.
pub const MEMBERS_MAX: usize = 256;
/// Most past lives that are remembered.
const GONE_MAX: usize = 1_024;
/// Most senders whose sequences are followed.
const WINDOWS_MAX: usize = 512;

/// A revision that a peer serves, and the start of its documents' SHA-256.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Offered {
    /// The revision.
    pub revision: Revision,
    /// The first eight bytes of the digest.
    pub digest: u64,
}

/// A frame to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub frame: Frame,
}

/// A peer that serves a higher revision than this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its life.
    pub incarnation: u64,
    /// What it serves.
    pub offered: Offered,
}

/// A past life of a member.
#[derive(Clone, Copy, Debug)]
struct Gone {
    heartbeat: u32,
    at: Time,
}

/// The sequences of one sender's life.
#[derive(Clone, Debug)]
struct Life {
    incarnation: u64,
    window: Window,
}

/// The table of members of a region, as one of them sees it.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Identity,
    own_id: u32,
    heartbeat: u32,
    sequence: u64,
    left: bool,
    author: Author,
    offered: Option<Offered>,
    entries: BTreeMap<String, Entry>,
    /// Names of members by id.
    ids: BTreeMap<u32, String>,
    /// Lives that are over, by id.
    gone: BTreeMap<u32, Gone>,
    lives: BTreeMap<String, Life>,
    contacts: Contacts,
    timing: Timing,
    random: ChaCha8Rng,
    last_tick: Time,
    next_round: Time,
    last_round: Time,
    urgent: bool,
    hellos_left: u32,
    conflicts: u64,
}

impl Membership {
    /// Starts with nobody known. `seeds` are addresses in the region, `beyond` those of entries in
    /// other regions that share the configuration.
    pub fn new(
        own: Identity,
        seeds: Vec<SocketAddr>,
        beyond: Vec<SocketAddr>,
        now: Time,
        seed: u64,
    ) -> Self {
        Self {
            own_id: own.id(),
            own,
            heartbeat: 0,
            sequence: 0,
            left: false,
            author: Author::default(),
            offered: None,
            entries: BTreeMap::new(),
            ids: BTreeMap::new(),
            gone: BTreeMap::new(),
            lives: BTreeMap::new(),
            contacts: Contacts::new(seeds, beyond),
            timing: Timing::among(1),
            random: ChaCha8Rng::seed_from_u64(seed),
            last_tick: now,
            next_round: now,
            last_round: now,
            urgent: false,
            hellos_left: 0,
            conflicts: 0,
        }
    }

    /// Who this is; its incarnation rises if peers remember a higher one.
    pub fn identity(&self) -> &Identity {
        &self.own
    }

    /// Tells the peers about this entry from the next round on.
    pub fn publish(&mut self, summary: Summary) {
        self.author.publish(summary);
        self.urgent |= self.author.is_urgent();
    }

    /// Tells the peers what this entry serves. Returns whether it is higher than before.
    pub fn offer(&mut self, offered: Offered) -> bool {
        let higher = self.offered.is_none_or(|known| known.revision < offered.revision);
        if higher {
            self.offered = Some(offered);
            self.urgent = true;
        }
        higher
    }

    /// What this entry serves.
    pub fn offered(&self) -> Option<Offered> {
        self.offered
    }

    /// Sets where members may be, from the instance list.
    pub fn seed(&mut self, addresses: Vec<SocketAddr>) {
        self.contacts.listed = addresses;
    }

    /// All members but this one. Silence counts only up to the last [tick](Self::tick): a process
    /// that was paused must listen before it judges.
    pub fn members(&self, now: Time) -> Vec<Member> {
        let judged = now.min(self.last_tick + self.timing.round);
        self.entries.values().map(|entry| entry.member(judged, &self.timing)).collect()
    }

    /// How many members are alive or suspect, this one included.
    pub fn present(&self, now: Time) -> usize {
        let present = |entry: &&Entry| entry.status(now, &self.timing) <= Status::Suspect;
        1 + self.entries.values().filter(present).count()
    }

    /// How many members spoke to this life of the process directly, and say what they serve.
    pub fn answered(&self) -> usize {
        self.entries.values().filter(|entry| entry.spoke).count()
    }

    /// The present pace.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// How often two peers served the same revision with different documents.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// A peer to pull documents from: any one of those that serve the highest revision, if that is
    /// higher than what is served here.
    pub fn source(&mut self, now: Time) -> Option<Source> {
        use rand::seq::IndexedRandom;
        let timing = self.timing;
        let present = self.entries.values().filter(|entry| {
            entry.status(now, &timing) <= Status::Suspect && entry.heartbeat != LEFT
        });
        let members = present.filter_map(|entry| {
            let (address, incarnation) = (entry.identity.address, entry.identity.incarnation);
            entry.offer.map(|offered| Source { address, incarnation, offered })
        });
        let own = self.offered.map(|offered| offered.revision);
        let higher = |source: &Source| Some(source.offered.revision) > own;
        let sources = members.chain(self.contacts.sources(now)).filter(higher);
        let sources: Vec<Source> = sources.collect();
        let highest = sources.iter().map(|source| source.offered.revision).max()?;
        let best: Vec<Source> =
            sources.into_iter().filter(|source| source.offered.revision == highest).collect();
        best.choose(&mut self.random).copied()
    }

    /// The next frame to a receiver of this life; nought where it is not known.
    pub fn frame(&mut self, receiver: u64, content: Content) -> Frame {
        self.sequence += 1;
        Frame {
            sender: self.own.name.clone(),
            incarnation: self.own.incarnation,
            sequence: self.sequence,
            receiver,
            content: Some(content),
        }
    }

    fn send(&mut self, to: SocketAddr, receiver: u64, content: Content) -> Outgoing {
        Outgoing { to, frame: self.frame(receiver, content) }
    }

    /// Takes a member in, or its next life. Lower lives are passed over.
    fn learn(&mut self, identity: Identity, now: Time) {
        if identity.region != self.own.region || identity.name == self.own.name {
            return;
        }
        let known = self.entries.get(&identity.name);
        if known.is_some_and(|known| known.identity == identity) {
            return;
        }
        if known.is_some_and(|known| known.identity.incarnation >= identity.incarnation) {
            if known.is_some_and(|known| known.identity.incarnation > identity.incarnation) {
                self.remember_gone(identity.id(), LEFT, now);
            }
            return;
        }
        if known.is_none() && self.entries.len() >= MEMBERS_MAX {
            return;
        }
        if let Some(old) = self.entries.remove(&identity.name) {
            self.ids.remove(&old.id);
            self.remember_gone(old.id, LEFT, now);
        }
        let entry = Entry::new(identity, now);
        tracing::info!(
            event = "member",
            name = entry.identity.name,
            incarnation = entry.identity.incarnation,
            address = %entry.identity.address
        );
        self.ids.insert(entry.id, entry.identity.name.clone());
        self.entries.insert(entry.identity.name.clone(), entry);
        self.timing = Timing::among(self.present(now));
        self.urgent = true;
    }

    fn remember_gone(&mut self, id: u32, heartbeat: u32, now: Time) {
        if self.gone.len() >= GONE_MAX
            && let Some(oldest) = self.gone.iter().min_by_key(|(_, gone)| gone.at)
        {
            let oldest = *oldest.0;
            self.gone.remove(&oldest);
        }
        self.gone.insert(id, Gone { heartbeat, at: now });
    }

    fn entry_of(&mut self, id: u32) -> Option<&mut Entry> {
        let name = self.ids.get(&id)?;
        self.entries.get_mut(name)
    }
}
