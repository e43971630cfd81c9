//! Settles who is in office, through one row of the store.
//!
//! The node in office rewrites the row all the time. Others take it over once it says that its
//! holder has left, or once it has not changed for a while although the store answers.

use std::rc::Rc;
use std::time::Duration;

use adapter::Settings;
use adapter::store::Error;
use adapter::store::Transaction;
use async_io::Timer;
use fleet::time::Time;
use futures_lite::FutureExt;
use tracing::info;

use crate::Node;
use crate::clock;
use crate::leader;
use crate::leader::Record;
use crate::rows;
use crate::rows::Leader;
use crate::rpc;

/// Time without a write of a silent holder after which the office is free: more than its beat, and
/// twice what a slow store takes over a write.
const VACANCY: Duration = Duration::from_millis(700);

/// Longest time by which nodes differ in that for their share of a core: whoever schedules for all
/// needs the most of it.
const SPREAD: Duration = Duration::from_millis(400);

/// Share of a core that is enough to schedule for the largest sites that were measured.
const FULL_SHARE: f64 = 0.5;

/// Longest time by which nodes of one kind differ, in milliseconds, so that not all of them try at
/// once.
const JITTER_MS: u64 = 150;

/// Time in which a stalled holder would write once the store is back: twice its longest pause.
const RELIEF: Duration = Duration::from_millis(500);

/// Time between two readings of the row.
const LOOK: Duration = Duration::from_millis(250);

/// The same while a holder is silent.
const CLOSE_LOOK: Duration = Duration::from_millis(100);

/// What the row says.
#[derive(Clone, Debug)]
struct Seen {
    holder: Option<Leader>,
    version: u64,
    /// Since when it is known not to have changed.
    since: Option<Time>,
}

/// Takes part in elections, and keeps up the link to whoever is in office.
pub async fn run(node: Rc<Node>) {
    loop {
        let Some(seen) = read(&node).await else {
            Timer::after(LOOK).await;
            continue;
        };
        let own = node.settings().node.clone();
        match &seen.holder {
            Some(holder) if !holder.stepped_down && holder.node != own => {
                let end = rpc::Client::run(Rc::clone(&node), holder.address).await;
                match end {
                    rpc::End::Stalled => relieve(&node, holder.epoch).await,
                    rpc::End::Gone => inherit(&node, holder.epoch).await,
                    rpc::End::Lost | rpc::End::NotLeader => {
                        let gone = async {
                            if !rpc::is_gone(holder.address).await {
                                std::future::pending().await
                            }
                            None
                        };
                        let silent = async { Some(outlast(&node, seen.version).await) };
                        match gone.or(silent).await {
                            None => inherit(&node, holder.epoch).await,
                            Some(Some(seen)) => stand(&node, seen, "silent holder").await,
                            Some(None) => {}
                        }
                    }
                }
            }
            _ if node.stopping.get() => {
                Timer::after(LOOK).await;
            }
            Some(holder)
                if holder.stepped_down && holder.node == own && node.is_yielding(clock::now()) =>
            {
                Timer::after(LOOK).await;
            }
            Some(holder) if holder.stepped_down => {
                Timer::after(spread(&node.settings()) / 2).await;
                stand(&node, seen, "holder left").await;
            }
            Some(_) => stand(&node, seen, "own former life").await,
            None => {
                Timer::after(spread(&node.settings())).await;
                stand(&node, seen, "no holder yet").await;
            }
        }
    }
}

async fn read(node: &Node) -> Option<Seen> {
    let row = node.store.row(rows::LEADERS, rows::PART, rows::LEADER).await.ok()?;
    Some(Seen {
        version: row.as_ref().map_or(0, |row| row.version),
        holder: row.and_then(|row| serde_json::from_slice(&row.value).ok()),
        since: None,
    })
}

/// Waits until the row has not changed for long enough; nothing where it has changed.
async fn outlast(node: &Node, version: u64) -> Option<Seen> {
    let mut first: Option<(Time, u64)> = None;
    let vacancy = VACANCY + spread(&node.settings());
    loop {
        let asked = clock::now();
        match read(node).await {
            // The caller lets stronger nodes go first.
            Some(seen) if seen.holder.as_ref().is_none_or(|holder| holder.stepped_down) => {
                return None;
            }
            Some(seen) => match first {
                Some((_, version)) if version != seen.version => return None,
                Some((since, _)) if asked.since(since) >= vacancy => {
                    let seen = Seen { since: Some(since), ..seen };
                    return (!node.stopping.get()).then_some(seen);
                }
                Some(_) => {}
                None if seen.version != version && version == 0 => return None,
                None => first = Some((clock::now(), seen.version)),
            },
            // The holder may be unable to write, too: start again once the store answers.
            None => first = None,
        }
        Timer::after(CLOSE_LOOK).await;
    }
}

/// Takes over from a holder that says itself that it can't write to the store, unless it has
/// written by the time it could have if the store had only now come back for all.
async fn relieve(node: &Rc<Node>, epoch: u64) {
    let Some(first) = read(node).await else { return };
    Timer::after(RELIEF + spread(&node.settings())).await;
    let Some(seen) = read(node).await else { return };
    let same = seen.holder.as_ref().is_some_and(|holder| holder.epoch == epoch);
    if same && seen.version == first.version && !node.stopping.get() {
        stand(node, seen, "stalled holder").await;
    }
}

/// Takes over from a holder whose process has ended, unless another node has.
///
/// Answers a process that is killed: its machine refuses connections at once, and there is nothing
/// to wait for.
async fn inherit(node: &Rc<Node>, epoch: u64) {
    Timer::after(spread(&node.settings())).await;
    let Some(seen) = read(node).await else { return };
    let same =
        seen.holder.as_ref().is_some_and(|holder| holder.epoch == epoch && !holder.stepped_down);
    if same && !node.stopping.get() {
        stand(node, seen, "holder gone").await;
    }
}

/// How long a node lets others go first: those with more of a core, then by their names.
fn spread(settings: &Settings) -> Duration {
    let lack = (FULL_SHARE - settings.cpu_share).max(0.0) / FULL_SHARE;
    let bytes = settings.node.bytes();
    let sum = bytes.fold(0_u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
    SPREAD.mul_f64(lack) + Duration::from_millis(sum % JITTER_MS)
}

/// Tries to take the office, and reigns for as long as it lasts.
async fn stand(node: &Rc<Node>, seen: Seen, reason: &'static str) {
    let settings = node.settings();
    let former = seen.holder.as_ref();
    let holder = Leader {
        node: settings.node.clone(),
        address: settings.peer,
        epoch: former.map_or(0, |holder| holder.epoch) + 1,
        writes: 0,
        stepped_down: false,
        unrecorded: false,
        slow_ms: former.map_or(0, |holder| holder.slow_ms),
    };
    let key = rows::LEADER.to_owned();
    let transaction = Transaction {
        part: rows::PART.to_owned(),
        conditions: vec![(rows::LEADERS, key.clone(), seen.version)],
        puts: vec![(rows::LEADERS, key, serde_json::to_vec(&holder).unwrap_or_default())],
        drops: Vec::new(),
    };
    let proven = clock::now();
    let done = match node.store.transact(&transaction).await {
        Ok(done) => done,
        Err(Error::Unknown(_)) => match read(node).await {
            // It was done all the same.
            Some(now) if now.holder.as_ref() == Some(&holder) => {
                adapter::store::Done { version: now.version, clock_ms: 0 }
            }
            _ => return,
        },
        Err(error) => {
            info!(event = "election", outcome = "lost", %error, epoch = holder.epoch);
            Timer::after(LOOK).await;
            return;
        }
    };
    let ended = former.is_none_or(|former| former.stepped_down || former.node == holder.node);
    let word = former.is_none_or(|former| former.stepped_down && !former.unrecorded);
    let vacant = seen.since.map_or(Duration::ZERO, |since| proven.since(since));
    info!(
        event = "election",
        outcome = "won",
        reason,
        epoch = holder.epoch,
        version = done.version
    );
    let office = Record { holder, version: done.version };
    let former = leader::Previous { unwritten_for: (!ended).then_some(vacant), all_recorded: word };
    leader::run(Rc::clone(node), office, proven, former).await;
}
