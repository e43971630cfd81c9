//! What a member does with a frame.

use std::net::SocketAddr;

use fleet::config::Revision;
use fleet::time::Time;
use prost::Message;
use wire::Frame;
use wire::Refusal;
use wire::generated::Delta;
use wire::generated::Gossip;
use wire::generated::Hello;
use wire::generated::Offer;
use wire::generated::Records;
use wire::generated::Want;
use wire::generated::frame::Content;

use super::Identity;
use super::Life;
use super::Membership;
use super::Offered;
use super::Outgoing;
use super::WINDOWS_MAX;
use super::timing::RETRY;

/// Members whose records are asked for in one frame.
const RECORDS: usize = 100;
/// Members whose summaries are asked for in one frame.
const SUMMARIES: usize = 64;
/// Bytes of the records in one frame, so that it stays a datagram.
const RECORDS_BYTES: usize = 900;
/// Most entries of other regions that are kept.
const BEYOND_MAX: usize = 128;
/// Frames that answer one want.
const ANSWERS: usize = 32;

impl Membership {
    /// Takes in a frame that was opened with one of the keys.
    pub fn receive(&mut self, now: Time, from: SocketAddr, frame: Frame) -> Received {
        if let Err(refusal) = self.check(&frame) {
            let tell = matches!(refusal, Refusal::OtherLife | Refusal::PastLife);
            let answer = tell.then(|| self.introduce(from, &frame)).flatten();
            return Received { refusal: Some(refusal), answers: answer.into_iter().collect() };
        }
        let Some(content) = frame.content else { return Received::default() };
        let sender = Sender { from, name: frame.sender, incarnation: frame.incarnation };
        let answers = match content {
            Content::Hello(hello) => self.on_hello(now, &sender, frame.receiver, &hello),
            Content::Gossip(gossip) => self.on_gossip(now, &sender, &gossip),
            Content::Want(want) => self.on_want(&sender, &want),
            Content::Records(records) => self.on_records(now, &records),
            Content::Delta(delta) => self.on_delta(&sender, delta),
            Content::Offer(offer) => self.on_offer(now, &sender, &offer).into_iter().collect(),
            // These go over TCP.
            Content::Pull(_) | Content::Document(_) | Content::Busy(_) => Vec::new(),
        };
        Received { refusal: None, answers }
    }

    /// Checks that a frame over TCP is fresh: for this life of the process, and not seen before.
    pub fn check_stream(&mut self, frame: &Frame) -> Result<(), Refusal> {
        if frame.receiver != self.own.incarnation {
            return Err(Refusal::OtherLife);
        }
        self.check_fresh(frame)
    }

    fn check(&mut self, frame: &Frame) -> Result<(), Refusal> {
        if frame.sender == self.own.name {
            return Err(Refusal::OwnName);
        }
        if frame.receiver == self.own.incarnation {
            return self.check_fresh(frame);
        }
        // A first word may be a replay: it is answered, and nothing is believed.
        let first = frame.receiver == 0 && matches!(frame.content, Some(Content::Hello(_)));
        if first { Ok(()) } else { Err(Refusal::OtherLife) }
    }

    fn check_fresh(&mut self, frame: &Frame) -> Result<(), Refusal> {
        if frame.incarnation < self.known_life(&frame.sender) {
            return Err(Refusal::PastLife);
        }
        if self.lives.len() >= WINDOWS_MAX && !self.lives.contains_key(&frame.sender) {
            let entries = &self.entries;
            self.lives.retain(|name, _| entries.contains_key(name));
        }
        let life = self.lives.entry(frame.sender.clone()).or_insert_with(|| Life {
            incarnation: frame.incarnation,
            window: wire::Window::default(),
        });
        if life.incarnation < frame.incarnation {
            *life = Life { incarnation: frame.incarnation, window: wire::Window::default() };
        }
        if life.window.accept(frame.sequence) { Ok(()) } else { Err(Refusal::Replayed) }
    }

    /// The highest life of this name that was heard of.
    fn known_life(&self, name: &str) -> u64 {
        let member = self.entries.get(name).map(|entry| entry.identity.incarnation);
        let sender = self.lives.get(name).map(|life| life.incarnation);
        member.max(sender).unwrap_or(0)
    }

    fn introduce(&mut self, from: SocketAddr, frame: &Frame) -> Option<Outgoing> {
        let (name, incarnation) = (frame.sender.clone(), frame.incarnation);
        self.introduce_to(&Sender { from, name, incarnation })
    }

    /// Tells a sender who this is by now, and the sender's highest life that is known; not too often.
    fn introduce_to(&mut self, sender: &Sender) -> Option<Outgoing> {
        self.hellos_left = self.hellos_left.checked_sub(1)?;
        let known = self.known_life(&sender.name);
        Some(self.hello(sender.from, sender.incarnation, known))
    }

    fn on_hello(
        &mut self,
        now: Time,
        sender: &Sender,
        receiver: u64,
        hello: &Hello,
    ) -> Vec<Outgoing> {
        let Some(identity) = hello.record.as_ref().and_then(Identity::from_record) else {
            return Vec::new();
        };
        if receiver != self.own.incarnation {
            return self.introduce_to(sender).into_iter().collect();
        }
        if hello.known > self.own.incarnation {
            self.rise(hello.known);
            return vec![self.hello(sender.from, sender.incarnation, 0)];
        }
        if identity.region != self.own.region {
            return self.on_hello_beyond(now, sender);
        }
        let incarnation = identity.incarnation;
        self.learn(identity, now);
        self.gossip_to(now, sender.from, incarnation)
    }

    /// Peers remember a higher life of this name: the wall clock went back between the two. Begins a
    /// life above it.
    fn rise(&mut self, known: u64) {
        self.own.incarnation = known + 1;
        self.own_id = self.own.id();
        self.heartbeat = 0;
        tracing::warn!(event = "incarnation-raised", incarnation = self.own.incarnation);
    }

    fn on_hello_beyond(&mut self, now: Time, sender: &Sender) -> Vec<Outgoing> {
        let Some(beyond) = self.contacts.beyond.get_mut(&sender.from) else { return Vec::new() };
        beyond.incarnation = sender.incarnation;
        beyond.heard = now;
        let offer = self.offered.unwrap_or_default().to_offer();
        vec![self.send(sender.from, sender.incarnation, Content::Offer(offer))]
    }

    fn on_offer(&mut self, now: Time, sender: &Sender, offer: &Offer) -> Option<Outgoing> {
        let offered = Offered { revision: Revision(offer.revision), digest: offer.digest };
        let own = self.offered.unwrap_or_default();
        self.note_conflict(offered);
        let known = self.contacts.beyond.contains_key(&sender.from);
        if !known && self.contacts.beyond.len() >= BEYOND_MAX {
            return None;
        }
        let beyond = self.contacts.beyond.entry(sender.from).or_default();
        beyond.incarnation = sender.incarnation;
        beyond.heard = now;
        beyond.offered = (offered.revision > Revision(0)).then_some(offered);
        let answer = Content::Offer(own.to_offer());
        (own.revision > offered.revision)
            .then(|| self.send(sender.from, sender.incarnation, answer))
    }

    fn note_conflict(&mut self, offered: Offered) {
        let same = |own: Offered| own.revision == offered.revision && own.digest != offered.digest;
        if self.offered.is_some_and(same) {
            self.conflicts += 1;
            tracing::error!(event = "revision-conflict", revision = %offered.revision);
        }
    }

    fn on_gossip(&mut self, now: Time, sender: &Sender, gossip: &Gossip) -> Vec<Outgoing> {
        if let Some(offer) = &gossip.offer {
            let offered = Offered { revision: Revision(offer.revision), digest: offer.digest };
            self.note_conflict(offered);
            if let Some(entry) = self.entries.get_mut(&sender.name) {
                entry.offer = Some(offered);
            }
        }
        let mut answers = match self.entries.get_mut(&sender.name) {
            Some(entry) => {
                entry.spoke = true;
                Vec::new()
            }
            // One that nobody here knows is new, and told of all at once.
            None => self.gossip_to(now, sender.from, sender.incarnation),
        };
        let mut want = Want::default();
        let rows = gossip.ids.iter().zip(&gossip.heartbeats).zip(&gossip.versions);
        for ((id, heartbeat), version) in rows {
            self.on_row(now, *id, *heartbeat, *version, &mut want);
        }
        let wants = !want.records.is_empty() || !want.ids.is_empty();
        if wants {
            answers.push(self.send(sender.from, sender.incarnation, Content::Want(want)));
        }
        answers
    }

    /// Takes note of one member's heartbeat, and of what is to be asked for.
    fn on_row(&mut self, now: Time, id: u32, heartbeat: u32, version: u32, want: &mut Want) {
        if id == self.own_id {
            return;
        }
        if let Some(entry) = self.entry_of(id) {
            entry.hear(heartbeat, now);
            let waits = entry.wanted.is_some_and(|at| now.since(at) < RETRY);
            if version > entry.ledger.version && !waits && want.ids.len() < SUMMARIES {
                entry.wanted = Some(now);
                want.ids.push(id);
                want.versions.push(entry.ledger.version);
            }
            return;
        }
        let over = self.gone.get(&id).is_some_and(|gone| heartbeat <= gone.heartbeat);
        if !over && want.records.len() < RECORDS {
            want.records.push(id);
        }
    }

    fn on_want(&mut self, sender: &Sender, want: &Want) -> Vec<Outgoing> {
        let mut contents = self.records(want);
        for (id, version) in want.ids.iter().zip(&want.versions) {
            let ledger = if *id == self.own_id {
                Some(&self.author.ledger)
            } else {
                self.entry_of(*id).map(|entry| &entry.ledger)
            };
            let parts = ledger.map(|ledger| ledger.delta(*id, *version)).unwrap_or_default();
            if contents.len() + parts.len() > ANSWERS && !contents.is_empty() {
                break;
            }
            contents.extend(parts.into_iter().map(Content::Delta));
        }
        let send = |content| self.send(sender.from, sender.incarnation, content);
        contents.into_iter().map(send).collect()
    }

    /// The wanted records, as many to a frame as a datagram holds.
    fn records(&self, want: &Want) -> Vec<Content> {
        let mut frames: Vec<Records> = Vec::new();
        let mut bytes = RECORDS_BYTES;
        for id in want.records.iter().take(RECORDS) {
            let Some(record) = self.identity_of(*id).map(Identity::to_record) else { continue };
            bytes += record.encoded_len();
            if bytes >= RECORDS_BYTES {
                frames.push(Records::default());
                bytes = record.encoded_len();
            }
            if let Some(open) = frames.last_mut() {
                open.records.push(record);
            }
        }
        frames.into_iter().map(Content::Records).collect()
    }

    fn identity_of(&self, id: u32) -> Option<&Identity> {
        if id == self.own_id {
            return Some(&self.own);
        }
        let name = self.ids.get(&id)?;
        self.entries.get(name).map(|entry| &entry.identity)
    }

    fn on_records(&mut self, now: Time, records: &Records) -> Vec<Outgoing> {
        for identity in records.records.iter().filter_map(Identity::from_record) {
            if identity.name == self.own.name && identity.incarnation > self.own.incarnation {
                self.rise(identity.incarnation);
            } else {
                self.learn(identity, now);
            }
        }
        Vec::new()
    }

    fn on_delta(&mut self, sender: &Sender, delta: Delta) -> Vec<Outgoing> {
        if let Some(entry) = self.entry_of(delta.id) {
            entry.take(&sender.name, delta);
        }
        Vec::new()
    }
}

/// What became of a frame.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Received {
    /// Why it was not taken, if it was not.
    pub refusal: Option<Refusal>,
    /// What to send because of it.
    pub answers: Vec<Outgoing>,
}

/// Where a frame came from.
struct Sender {
    from: SocketAddr,
    name: String,
    incarnation: u64,
}
