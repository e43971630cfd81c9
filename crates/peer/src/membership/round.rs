//! What a member does on its own: rounds of gossip, first words, forgetting.

use std::net::SocketAddr;

use fleet::time::Time;
use rand::Rng;
use rand::seq::IndexedRandom;
use wire::generated::Gossip;
use wire::generated::Hello;
use wire::generated::Offer;
use wire::generated::frame::Content;

use crate::Status;

use super::Membership;
use super::Offered;
use super::Outgoing;
use super::Timing;
use super::entry::LEFT;
use super::timing::BEYOND;
use super::timing::CONTACT;
use super::timing::CONTACT_ALONE;
use super::timing::FANOUT;
use super::timing::FORGET;
use super::timing::GONE;
use super::timing::URGENT_MIN;

/// Bytes of a frame of gossip that are left for its rows and the sender's name.
const GOSSIP_BYTES: usize = 1_060;
/// Bytes of one member's row, at most.
const ROW_BYTES: usize = 14;
/// Addresses that are tried at once while there is no member at all.
const CONTACTS_ALONE: usize = 3;
/// Answers to first words in each round.
const HELLOS: u32 = 32;
/// Members that are told of a leave at once.
const LEAVE_FANOUT: usize = 6;

impl Offered {
    pub(crate) fn to_offer(self) -> Offer {
        Offer { revision: self.revision.0, digest: self.digest }
    }
}

impl Membership {
    /// When to call [`Self::tick`] next.
    pub fn due(&self) -> Time {
        let urgent = self.last_round + URGENT_MIN;
        if self.urgent { urgent.min(self.next_round) } else { self.next_round }
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now: Time) -> Vec<Outgoing> {
        self.notice_pause(now);
        self.last_tick = self.last_tick.max(now);
        if now < self.due() {
            return Vec::new();
        }
        let full = now >= self.next_round;
        self.urgent = false;
        self.last_round = now;
        self.hellos_left = HELLOS;
        if full {
            let part = self.random.random_range(0.9..=1.1);
            self.next_round = now + self.timing.round.mul_f64(part);
            self.heartbeat = if self.left { LEFT } else { (self.heartbeat + 1).min(LEFT - 1) };
            self.forget(now);
        }
        self.author.fold(now, &self.timing);
        let mut out = self.gossip(now, FANOUT);
        out.extend(self.contact(now));
        out.extend(self.contact_beyond(now));
        out
    }

    /// Tells some members that this one stops for good.
    pub fn leave(&mut self, now: Time) -> Vec<Outgoing> {
        self.left = true;
        self.heartbeat = LEFT;
        self.gossip(now, LEAVE_FANOUT)
    }

    /// After a pause of this process nobody was silent; its own clock ran on while it heard nothing.
    fn notice_pause(&mut self, now: Time) {
        let gap = now.since(self.last_tick);
        if gap <= self.timing.pause {
            return;
        }
        tracing::warn!(event = "paused", millis = gap.as_millis());
        for entry in self.entries.values_mut() {
            entry.forgive(gap, now);
        }
    }

    fn forget(&mut self, now: Time) {
        let over = |entry: &super::Entry| {
            let gone = entry.status(now, &self.timing) > Status::Suspect;
            gone && now.since(entry.heard) >= self.timing.dead + FORGET
        };
        let over: Vec<String> =
            self.entries.values().filter(|entry| over(entry)).map(name_of).collect();
        for name in over {
            let Some(entry) = self.entries.remove(&name) else { continue };
            tracing::info!(event = "member-forgotten", name);
            self.ids.remove(&entry.id);
            self.lives.remove(&name);
            self.remember_gone(entry.id, entry.heartbeat, now);
            if entry.heartbeat != LEFT {
                self.contacts.lose(entry.identity.address, now);
            }
        }
        self.gone.retain(|_, gone| now.since(gone.at) < GONE);
        self.timing = Timing::among(self.present(now));
    }

    /// Tells some members who was heard of.
    fn gossip(&mut self, now: Time, fanout: usize) -> Vec<Outgoing> {
        let timing = self.timing;
        let present = self.entries.values();
        let present = present.filter(|entry| entry.status(now, &timing) <= Status::Suspect);
        let addresses = present.map(|entry| (entry.identity.address, entry.identity.incarnation));
        let addresses: Vec<(SocketAddr, u64)> = addresses.collect();
        let chosen: Vec<(SocketAddr, u64)> =
            addresses.choose_multiple(&mut self.random, fanout).copied().collect();
        let told = chosen.into_iter();
        told.flat_map(|(to, receiver)| self.gossip_to(now, to, receiver)).collect()
    }

    /// Tells one member who was heard of. Those that count as dead here are left out, so that they
    /// are forgotten everywhere.
    pub(crate) fn gossip_to(&mut self, now: Time, to: SocketAddr, receiver: u64) -> Vec<Outgoing> {
        let mut rows = vec![(self.own_id, self.heartbeat, self.author.ledger.version)];
        let known = self.entries.values();
        let known = known.filter(|entry| entry.status(now, &self.timing) != Status::Dead);
        rows.extend(known.map(|entry| (entry.id, entry.heartbeat, entry.ledger.version)));
        let rows_max = (GOSSIP_BYTES - self.own.name.len()) / ROW_BYTES;
        let frames: Vec<Gossip> = rows.chunks(rows_max).map(|rows| self.digest(rows)).collect();
        let send = |gossip| self.send(to, receiver, Content::Gossip(gossip));
        frames.into_iter().map(send).collect()
    }

    fn digest(&self, rows: &[(u32, u32, u32)]) -> Gossip {
        Gossip {
            ids: rows.iter().map(|row| row.0).collect(),
            heartbeats: rows.iter().map(|row| row.1).collect(),
            versions: rows.iter().map(|row| row.2).collect(),
            offer: self.offered.map(Offered::to_offer),
        }
    }

    /// First words to addresses where no member is known to be.
    fn contact(&mut self, now: Time) -> Vec<Outgoing> {
        if now < self.contacts.next {
            return Vec::new();
        }
        let alone = self.present(now) == 1;
        let (pause, contacts) = if alone { (CONTACT_ALONE, CONTACTS_ALONE) } else { (CONTACT, 1) };
        self.contacts.next = now + pause;
        let timing = self.timing;
        let is_present = |entry: &&super::Entry| entry.status(now, &timing) <= Status::Suspect;
        let present = self.entries.values().filter(is_present);
        let mut known: Vec<SocketAddr> = present.map(|entry| entry.identity.address).collect();
        known.push(self.own.address);
        let mut out = Vec::new();
        for _ in 0..contacts {
            let picked = self.contacts.pick(|address| known.contains(address), &mut self.random);
            let Some(to) = picked else { break };
            known.push(to);
            out.push(self.hello(to, 0, 0));
        }
        out
    }

    /// Tells one entry beyond the region what is served here.
    fn contact_beyond(&mut self, now: Time) -> Option<Outgoing> {
        if now < self.contacts.next_beyond {
            return None;
        }
        let members = u32::try_from(self.present(now)).unwrap_or(u32::MAX);
        self.contacts.next_beyond = now + BEYOND.saturating_mul(members);
        let (to, beyond) = self.contacts.pick_beyond(&mut self.random)?;
        if beyond.incarnation == 0 {
            return Some(self.hello(to, 0, 0));
        }
        let offer = self.offered.unwrap_or_default().to_offer();
        Some(self.send(to, beyond.incarnation, Content::Offer(offer)))
    }

    pub(crate) fn hello(&mut self, to: SocketAddr, receiver: u64, known: u64) -> Outgoing {
        let record = Some(self.own.to_record());
        self.send(to, receiver, Content::Hello(Hello { record, known }))
    }
}

fn name_of(entry: &super::Entry) -> String {
    entry.identity.name.clone()
}
