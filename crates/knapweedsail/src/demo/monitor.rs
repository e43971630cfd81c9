//! Watches the rows and the entries of a running site for promises that only show over time.

use std::collections::BTreeMap;
use std::time::Duration;

use async_io::Timer;
use fleet::config::Revision;
use serde::Deserialize;

use super::Site;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(100);

/// Longest wait for an entry's answer: one that was killed never gives any.
const ASK: Duration = Duration::from_millis(500);

/// What was seen while the site ran.
#[derive(Clone, Debug, Default)]
pub(super) struct Seen {
    /// Planned absences that began while the pool was at or below its promise.
    pub(super) breaches: Vec<String>,
    /// Looks at which some pool had fewer serving than promised, planned or not.
    pub(super) short_looks: u32,
    /// Looks at all pools, and what was held beyond the promises, summed over them.
    pub(super) looks: u32,
    pub(super) held: u64,
    /// Entries that were seen with a lower revision than before.
    pub(super) reversals: Vec<String>,
    /// Instances that changed pools.
    pub(super) moves: u32,
    /// When each wave was first seen running and first seen done, since the first look.
    pub(super) waves: BTreeMap<String, (Duration, Option<Duration>)>,
    revisions: BTreeMap<String, Revision>,
    planned: BTreeMap<String, Vec<String>>,
    pools: BTreeMap<String, String>,
}

#[derive(Debug, Deserialize)]
struct PoolRow {
    members: u32,
    out: BTreeMap<String, String>,
}

#[derive(Debug, Deserialize)]
struct InstanceRow {
    pool: serde_json::Value,
}

#[derive(Debug, Deserialize)]
struct WaveRow {
    phase: String,
}

/// Looks until it is dropped.
pub(super) async fn watch(site: Site) {
    let start = control::clock::instant();
    loop {
        look_at_pools(&site);
        look_at_instances(&site);
        look_at_waves(&site, start.elapsed());
        look_at_revisions(&site).await;
        Timer::after(LOOK).await;
    }
}

/// Waits until every wave that was seen running is done, for `limit` at most.
pub(super) async fn wait_for_waves(site: &Site, limit: Duration) {
    let start = control::clock::instant();
    let is_done = |(_, done): &(Duration, Option<Duration>)| done.is_some();
    while start.elapsed() < limit && !site.seen().waves.values().all(is_done) {
        Timer::after(LOOK).await;
    }
}

fn look_at_pools(site: &Site) {
    site.note(|seen| seen.looks += 1);
    for row in site.rows("pool/") {
        let Ok(pool) = serde_json::from_str::<PoolRow>(&row.value) else { continue };
        let Some(promise) = promise(site, &row.key) else { continue };
        let serving = pool.members.saturating_sub(pool.out.len() as u32);
        let planned = pool.out.iter().filter(|(_, absence)| *absence == "planned");
        let planned: Vec<String> = planned.map(|(name, _)| name.clone()).collect();
        site.note(|seen| {
            let before = seen.planned.insert(row.key.clone(), planned.clone()).unwrap_or_default();
            let began = planned.iter().any(|name| !before.contains(name));
            seen.held += u64::from(serving.saturating_sub(promise));
            if serving < promise {
                seen.short_looks += 1;
            }
            if began && serving < promise {
                let line = format!("{}: {serving} serve, {promise} are promised", row.key);
                seen.breaches.push(line);
            }
        });
    }
}

fn promise(site: &Site, key: &str) -> Option<u32> {
    let (organisation, pool) = key.strip_prefix("pool/")?.split_once('/')?;
    let spec = site.config().organisations.get(organisation)?;
    spec.pools.get(pool).map(|pool| pool.min_ready)
}

fn look_at_instances(site: &Site) {
    for row in site.rows("instance/") {
        let Ok(instance) = serde_json::from_str::<InstanceRow>(&row.value) else { continue };
        let pool = instance.pool.to_string();
        site.note(|seen| {
            let before = seen.pools.insert(row.key.clone(), pool.clone());
            if before.is_some_and(|before| before != pool) {
                seen.moves += 1;
            }
        });
    }
}

fn look_at_waves(site: &Site, now: Duration) {
    for row in site.rows("wave/") {
        let Ok(wave) = serde_json::from_str::<WaveRow>(&row.value) else { continue };
        site.note(|seen| match wave.phase.as_str() {
            "running" => {
                seen.waves.entry(row.key.clone()).or_insert((now, None));
            }
            "done" => {
                if let Some((_, done)) = seen.waves.get_mut(&row.key) {
                    done.get_or_insert(now);
                }
            }
            _ => {}
        });
    }
}

async fn look_at_revisions(site: &Site) {
    for host in site.hosts() {
        let name = host.settings().name.clone();
        let documents = super::within(ASK, host.daemon().control().documents()).await;
        let Some(Ok(set)) = documents else { continue };
        site.note(|seen| {
            let before = seen.revisions.insert(name.clone(), set.revision).unwrap_or_default();
            if set.revision < before {
                seen.reversals.push(format!("{name}: from {before} to {}", set.revision));
            }
        });
    }
}
