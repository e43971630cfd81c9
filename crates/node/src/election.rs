//! Elects the leader, through one row of the store.
//!
//! The leader rewrites the row at short intervals. Another node takes over if the leader has
//! stepped down, if its process has ended, if it reports that it can't write to the store, or if
//! the row has not changed for a while although the store answers.

use std::rc::Rc;
use std::time::Duration;

use adapter::Settings;
use adapter::store::Error;
use adapter::store::Transaction;
use async_io::Timer;
use fleet::time::Time;
use futures_lite::FutureExt;
use scheduler::Tuning;
use scheduler::core::Handover;
use scheduler::job::part;
use tracing::info;

use crate::Node;
use crate::clock;
use crate::leader;
use crate::leader::Record;
use crate::rows;
use crate::rows::Leader;
use crate::rpc;

/// Time without a write after which another node may take over from an unresponsive leader: more
/// than the leader's interval between writes, and twice the latency of a write to a slow store.
pub(crate) const ELECTION_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum extra delay of a node with a small share of a core: nodes with a larger share go first,
/// since the leader schedules the jobs of all.
const MAX_SHARE_DELAY: Duration = Duration::from_millis(400);

/// Share of a core that is enough to schedule the jobs of the largest sites that were measured;
/// such nodes have no extra delay.
const FULL_SHARE: f64 = 0.5;

/// Upper limit of the delay that differs by the node's name, in milliseconds, so that nodes of the
/// same share don't all try at once.
const JITTER_MS: u64 = 150;

/// Time within which a stalled leader would write again once the store is back: twice the longest
/// pause between the leader's attempts to write.
const STALL_GRACE: Duration = Duration::from_millis(500);

/// Interval between two reads of the row.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two reads of the row while the leader is unresponsive.
const FAST_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The leader's row as this node read it.
#[derive(Clone, Debug)]
struct Observation {
    /// None if there was no leader yet.
    leader: Option<Leader>,
    /// Version of the row; zero if it doesn't exist.
    version: u64,
    /// Since when the row is known to be unchanged; none if not observed.
    unchanged_since: Option<Time>,
}

/// Takes part in elections for as long as the process runs. While another node is the leader, keeps
/// a connection to it.
pub async fn run(node: Rc<Node>) {
    loop {
        let Some(observed) = read(&node).await else {
            Timer::after(POLL_INTERVAL).await;
            continue;
        };
        let own = node.settings().node.clone();
        match &observed.leader {
            Some(leader) if !leader.stepped_down && leader.node != own => {
                let end = rpc::Client::run(Rc::clone(&node), leader.address).await;
                match end {
                    rpc::End::Stalled => replace_stalled(&node, leader.epoch).await,
                    rpc::End::Gone => replace_ended(&node, leader.epoch).await,
                    rpc::End::Lost | rpc::End::NotLeader => {
                        let ended = async {
                            if !rpc::is_gone(leader.address).await {
                                std::future::pending().await
                            }
                            None
                        };
                        let timed_out =
                            async { Some(wait_for_timeout(&node, observed.version).await) };
                        match ended.or(timed_out).await {
                            None => replace_ended(&node, leader.epoch).await,
                            Some(Some(observed)) => {
                                campaign(&node, observed, "silent holder").await
                            }
                            Some(None) => {}
                        }
                    }
                }
            }
            _ if node.stopping.get() => {
                Timer::after(POLL_INTERVAL).await;
            }
            Some(leader)
                if leader.stepped_down && leader.node == own && node.is_yielding(clock::now()) =>
            {
                Timer::after(POLL_INTERVAL).await;
            }
            Some(leader) if leader.stepped_down => {
                Timer::after(election_delay(&node.settings()) / 2).await;
                campaign(&node, observed, "holder left").await;
            }
            // The row names this node: it was the leader before its process was restarted.
            Some(_) => campaign(&node, observed, "own former life").await,
            None => {
                Timer::after(election_delay(&node.settings())).await;
                campaign(&node, observed, "no holder yet").await;
            }
        }
    }
}

async fn read(node: &Node) -> Option<Observation> {
    let row = node.store.row(rows::LEADERS, rows::PARTITION, rows::LEADER).await.ok()?;
    Some(Observation {
        version: row.as_ref().map_or(0, |row| row.version),
        leader: row.and_then(|row| serde_json::from_slice(&row.value).ok()),
        unchanged_since: None,
    })
}

/// Waits until the row has not changed for the election timeout plus the node's own delay. Returns
/// none if the row has changed, the leader has stepped down, or the node is stopping.
async fn wait_for_timeout(node: &Node, version: u64) -> Option<Observation> {
    let mut first: Option<(Time, u64)> = None;
    let timeout = ELECTION_TIMEOUT + election_delay(&node.settings());
    loop {
        let asked = clock::now();
        match read(node).await {
            // `run` reads the row again and delays the campaign, so that stronger nodes go first.
            Some(observed) if observed.leader.as_ref().is_none_or(|leader| leader.stepped_down) => {
                return None;
            }
            Some(observed) => match first {
                Some((_, first_version)) if first_version != observed.version => return None,
                Some((since, _)) if asked.since(since) >= timeout => {
                    let observed = Observation { unchanged_since: Some(since), ..observed };
                    return (!node.stopping.get()).then_some(observed);
                }
                Some(_) => {}
                None if observed.version != version && version == 0 => return None,
                None => first = Some((clock::now(), observed.version)),
            },
            // While the store doesn't answer this node, the leader may be unable to write as well:
            // the timeout starts anew once it does.
            None => first = None,
        }
        Timer::after(FAST_POLL_INTERVAL).await;
    }
}

/// Takes over from a leader that reports that it can't write to the store.
///
/// The store may have come back just now, for that leader as well as for this node. So this waits
/// for the time in which the leader would write again, and gives up if it has.
async fn replace_stalled(node: &Rc<Node>, epoch: u64) {
    let Some(first) = read(node).await else { return };
    Timer::after(STALL_GRACE + election_delay(&node.settings())).await;
    let Some(observed) = read(node).await else { return };
    let same = observed.leader.as_ref().is_some_and(|leader| leader.epoch == epoch);
    if same && observed.version == first.version && !node.stopping.get() {
        campaign(node, observed, "stalled holder").await;
    }
}

/// Takes over from a leader whose process has ended, unless another node already has.
///
/// Handles a process that was killed: its host refuses connections at once, so there is no need
/// to wait for the election timeout.
async fn replace_ended(node: &Rc<Node>, epoch: u64) {
    Timer::after(election_delay(&node.settings())).await;
    let Some(observed) = read(node).await else { return };
    let same = observed
        .leader
        .as_ref()
        .is_some_and(|leader| leader.epoch == epoch && !leader.stepped_down);
    if same && !node.stopping.get() {
        campaign(node, observed, "holder gone").await;
    }
}

/// The time by which a node delays its campaign: longer for a smaller share of a core, and
/// different for each name.
fn election_delay(settings: &Settings) -> Duration {
    let shortfall = (FULL_SHARE - settings.cpu_share).max(0.0) / FULL_SHARE;
    let bytes = settings.node.bytes();
    let hash = bytes.fold(0_u64, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte.into()));
    MAX_SHARE_DELAY.mul_f64(shortfall) + Duration::from_millis(hash % JITTER_MS)
}

/// Tries to become the leader; if it does, schedules until the term ends.
async fn campaign(node: &Rc<Node>, observed: Observation, reason: &'static str) {
    let settings = node.settings();
    let previous = observed.leader.as_ref();
    let previous_inactive =
        previous.is_none_or(|last| last.stepped_down || last.node == settings.node);
    // Leaders before the previous one may still be active.
    let overlap = previous.map_or(Duration::ZERO, |last| Duration::from_millis(last.overlap_ms));
    let own_overlap =
        if previous_inactive { overlap } else { overlap.max(Tuning::default().leader_lease) };
    let leader = Leader {
        node: settings.node.clone(),
        address: settings.rpc,
        epoch: previous.map_or(0, |last| last.epoch) + 1,
        writes: 0,
        stepped_down: false,
        unrecorded: false,
        overlap_ms: own_overlap.as_millis() as u64,
        excess_ms: previous.map_or(0, |last| last.excess_ms),
        slow_ms: previous.map_or(0, |last| last.slow_ms),
    };
    let lease_excess = Duration::from_millis(leader.excess_ms);
    let key = rows::LEADER.to_owned();
    let transaction = Transaction {
        partition: rows::PARTITION.to_owned(),
        conditions: vec![(rows::LEADERS, key.clone(), observed.version)],
        puts: vec![(rows::LEADERS, key, part::encode(&leader))],
        deletes: Vec::new(),
    };
    let sent = clock::now();
    let commit = match node.store.transact(&transaction).await {
        Ok(commit) => commit,
        Err(Error::Unknown(_)) => match read(node).await {
            // The write was done although its answer was lost.
            Some(now) if now.leader.as_ref() == Some(&leader) => {
                adapter::store::Commit { version: now.version, clock_ms: 0 }
            }
            _ => return,
        },
        Err(error) => {
            info!(event = "election", outcome = "lost", %error, epoch = leader.epoch);
            Timer::after(POLL_INTERVAL).await;
            return;
        }
    };
    let all_recorded = previous.is_none_or(|last| last.stepped_down && !last.unrecorded);
    let unwritten_for = observed.unchanged_since.map_or(Duration::ZERO, |since| sent.since(since));
    info!(
        event = "election",
        outcome = "won",
        reason,
        epoch = leader.epoch,
        version = commit.version,
        unrecorded = !all_recorded,
        overlap_ms = overlap.as_millis(),
        excess_ms = lease_excess.as_millis(),
    );
    let record = Record { leader, version: commit.version };
    let previous = leader::Previous {
        unwritten_for: (!previous_inactive).then_some(unwritten_for),
        handover: Handover { unrecorded: !all_recorded, overlap, lease_excess },
    };
    leader::run(Rc::clone(node), record, sent, previous).await;
}
