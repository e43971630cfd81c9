//! Drains that this entry knows from peers, but not yet from the table.

use std::collections::BTreeMap;

/// The drains in a peer's latest summary.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Peer {
    incarnation: u64,
    drains: BTreeMap<String, u64>,
}

/// Drains that peers apply and that this entry's own rows may not show yet.
///
/// This entry applies such a drain until it has proof that the drain has ended: the instance's row
/// at a higher epoch, or a peer that applied the drain and no longer does. A peer that restarts or
/// becomes unreachable proves nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerDrains {
    peers: BTreeMap<String, Peer>,
    /// The highest epoch of a drain reported by a peer, by instance name.
    draining: BTreeMap<String, u64>,
    /// The highest epoch of a drain that has ended, by instance name.
    ended: BTreeMap<String, u64>,
}

impl PeerDrains {
    /// Records the drains that a peer applies: epochs by instance name.
    pub fn record(&mut self, name: &str, incarnation: u64, drains: &BTreeMap<String, u64>) {
        let peer = self.peers.entry(name.to_owned()).or_default();
        if incarnation < peer.incarnation {
            return;
        }
        if incarnation == peer.incarnation {
            let no_longer = peer.drains.iter().filter(|(name, _)| !drains.contains_key(*name));
            for (instance, &epoch) in no_longer {
                raise(&mut self.ended, instance, epoch);
            }
        }
        *peer = Peer { incarnation, drains: drains.clone() };
        for (instance, &epoch) in drains {
            raise(&mut self.draining, instance, epoch);
        }
    }

    /// The epoch of a current drain that is newer than `epoch`, the instance's epoch in this
    /// entry's rows.
    pub fn newer_epoch(&self, instance: &str, epoch: u64) -> Option<u64> {
        let ended = self.ended.get(instance).copied().unwrap_or(0);
        self.draining
            .get(instance)
            .copied()
            .filter(|&reported| reported > epoch && reported > ended)
    }

    /// Whether no drain is recorded.
    pub fn is_empty(&self) -> bool {
        self.draining.is_empty() && self.ended.is_empty()
    }

    /// Drops drains that are not newer than `epochs`, the instances' epochs in this entry's rows.
    pub fn prune(&mut self, epochs: &BTreeMap<&str, u64>) {
        let is_newer = |name: &String, reported: &mut u64| {
            epochs.get(name.as_str()).is_none_or(|&epoch| *reported > epoch)
        };
        self.draining.retain(is_newer);
        self.ended.retain(is_newer);
    }
}

/// Raises the instance's epoch in `epochs` to `epoch` if it is lower.
fn raise(epochs: &mut BTreeMap<String, u64>, instance: &str, epoch: u64) {
    let known = epochs.entry(instance.to_owned()).or_default();
    *known = epoch.max(*known);
}
