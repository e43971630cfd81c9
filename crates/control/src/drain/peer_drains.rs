//! Drains that this entry has heard of from peers alone.

use std::collections::BTreeMap;

/// What a peer acknowledged when it was last heard.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Peer {
    incarnation: u64,
    drains: BTreeMap<String, u64>,
}

/// Drains that peers act on and that this entry's own rows may not show yet.
///
/// A drain that was heard of is acted on until there is proof that it is over: the instance's row
/// at a higher epoch, or a peer which acted on that drain and no longer does. A peer that restarts,
/// or is heard of no more, proves nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerDrains {
    peers: BTreeMap<String, Peer>,
    closed: BTreeMap<String, u64>,
    /// Drains up to these epochs are over.
    over: BTreeMap<String, u64>,
}

impl PeerDrains {
    /// Notes what a peer acts on, epochs by instance name.
    pub fn record(&mut self, name: &str, incarnation: u64, drains: &BTreeMap<String, u64>) {
        let peer = self.peers.entry(name.to_owned()).or_default();
        if incarnation < peer.incarnation {
            return;
        }
        if incarnation == peer.incarnation {
            let ended = peer.drains.iter().filter(|(name, _)| !drains.contains_key(*name));
            for (instance, &epoch) in ended {
                raise(&mut self.over, instance, epoch);
            }
        }
        *peer = Peer { incarnation, drains: drains.clone() };
        for (instance, &epoch) in drains {
            raise(&mut self.closed, instance, epoch);
        }
    }

    /// The epoch of a drain that is newer than the instance's epoch as this entry's rows have it.
    pub fn newer_epoch(&self, instance: &str, epoch: u64) -> Option<u64> {
        let over = self.over.get(instance).copied().unwrap_or(0);
        self.closed.get(instance).copied().filter(|&heard| heard > epoch && heard > over)
    }

    /// Whether nothing was heard that the rows may not show.
    pub fn is_empty(&self) -> bool {
        self.closed.is_empty() && self.over.is_empty()
    }

    /// Drops what the rows have overtaken: `epochs` has each instance's epoch as the rows have it.
    pub fn prune(&mut self, epochs: &BTreeMap<&str, u64>) {
        let is_news = |name: &String, heard: &mut u64| {
            epochs.get(name.as_str()).is_none_or(|&epoch| *heard > epoch)
        };
        self.closed.retain(is_news);
        self.over.retain(is_news);
    }
}

fn raise(epochs: &mut BTreeMap<String, u64>, instance: &str, epoch: u64) {
    let known = epochs.entry(instance.to_owned()).or_default();
    *known = epoch.max(*known);
}
