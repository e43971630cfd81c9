//! What is known of one member.

use std::sync::Arc;
use std::time::Duration;

use fleet::time::Time;
use wire::generated::Delta;

use crate::Member;
use crate::Status;
use crate::Summary;

use super::Offered;
use super::identity::Identity;
use super::ledger::Ledger;
use super::timing::Timing;

/// The heartbeat of a member that left.
pub(crate) const LEFT: u32 = u32::MAX;

/// What is known of one member.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) identity: Identity,
    pub(crate) id: u32,
    pub(crate) heartbeat: u32,
    /// When the heartbeat last rose here, by this process's own clock.
    pub(crate) heard: Time,
    pub(crate) ledger: Ledger,
    pub(crate) summary: Arc<Summary>,
    /// What it serves, as it said itself.
    pub(crate) offer: Option<Offered>,
    /// Whether a frame came from it directly.
    pub(crate) spoke: bool,
    /// When its summary was last asked for.
    pub(crate) wanted: Option<Time>,
    assembly: Assembly,
}

/// Parts of a delta, as one peer sends them: another may cut the same delta differently.
#[derive(Clone, Debug, Default)]
struct Assembly {
    sender: String,
    parts: Vec<Delta>,
}

impl Entry {
    pub(crate) fn new(identity: Identity, now: Time) -> Self {
        Self {
            id: identity.id(),
            identity,
            heartbeat: 0,
            heard: now,
            ledger: Ledger::default(),
            summary: Arc::default(),
            offer: None,
            spoke: false,
            wanted: None,
            assembly: Assembly::default(),
        }
    }

    pub(crate) fn status(&self, now: Time, timing: &Timing) -> Status {
        let silence = now.since(self.heard);
        match () {
            () if self.heartbeat == LEFT => Status::Left,
            () if silence >= timing.dead => Status::Dead,
            () if silence >= timing.suspect => Status::Suspect,
            () => Status::Alive,
        }
    }

    /// Takes note of a heartbeat, from whatever path.
    pub(crate) fn hear(&mut self, heartbeat: u32, now: Time) {
        if heartbeat > self.heartbeat {
            self.heartbeat = heartbeat;
            self.heard = now;
        }
    }

    /// Treats a pause of this process as no silence of the member's.
    pub(crate) fn forgive(&mut self, pause: Duration, now: Time) {
        self.heard = (self.heard + pause).min(now);
    }

    /// Takes in one part of a delta. Returns whether the summary is newer now.
    pub(crate) fn take(&mut self, sender: &str, part: Delta) -> bool {
        if part.version <= self.ledger.version {
            return false;
        }
        let same = |known: &Delta| {
            known.version == part.version && known.base == part.base && known.parts == part.parts
        };
        let assembly = &mut self.assembly;
        if assembly.sender != sender || !assembly.parts.iter().all(same) {
            *assembly = Assembly { sender: sender.to_owned(), parts: Vec::new() };
        }
        if assembly.parts.iter().any(|known| known.part == part.part) {
            return false;
        }
        let parts = part.parts as usize;
        assembly.parts.push(part);
        if assembly.parts.len() < parts {
            return false;
        }
        let whole = std::mem::take(assembly);
        self.wanted = None;
        let newer = self.ledger.apply(&whole.parts);
        if newer {
            self.summary = Arc::new(self.ledger.summary());
        }
        newer
    }

    pub(crate) fn member(&self, now: Time, timing: &Timing) -> Member {
        Member {
            name: self.identity.name.clone(),
            address: self.identity.address,
            data_centre: self.identity.data_centre.clone(),
            incarnation: self.identity.incarnation,
            status: self.status(now, timing),
            heard: self.heard,
            summary: Arc::clone(&self.summary),
        }
    }
}
