//! Load balancing: picks the upstream for the next request.

use derive_more::Display;
use fleet::table::Table;
use fleet::time::Time;
use rand::Rng;

use super::Upstream;
use crate::key;

/// How to pick among upstreams with headroom.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The less utilized of two drawn at random ("power of two choices").
    #[default]
    TwoRandom,
    /// The least utilized; the first among equals.
    LeastBusy,
    /// A random one.
    Random,
}

/// Why an upstream was picked.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// It is an upstream of the service's own pool in this data centre. Also given for the upstream
    /// to avoid, which is picked only if no other one is open and healthy.
    #[display("local")]
    Local,
    /// No upstream in this data centre had headroom.
    #[display("spill")]
    Spill,
    /// No upstream of the service's own pool had headroom.
    #[display("lent")]
    Lent,
    /// No upstream is open and healthy, so health was ignored.
    #[display("panic")]
    Panic,
}

/// The upstream that was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Picked {
    /// Key of the upstream.
    pub upstream: key::Upstream,
    /// Why it was picked.
    pub reason: Reason,
}

/// The upstreams of a service in tiers, preferred ones first. Within a tier none is preferred.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tiers {
    /// Upstreams of the service's own pool in this data centre.
    pub local: Vec<key::Upstream>,
    /// Upstreams of the service's own pool in other data centres.
    pub remote: Vec<key::Upstream>,
    /// Upstreams lent by other pools in this data centre.
    pub lent_local: Vec<key::Upstream>,
    /// Upstreams lent by other pools in other data centres.
    pub lent_remote: Vec<key::Upstream>,
}

impl Tiers {
    /// All upstreams, preferred ones first.
    pub fn iter(&self) -> impl Iterator<Item = key::Upstream> {
        let own = self.own();
        own.chain(self.lent_local.iter().copied()).chain(self.lent_remote.iter().copied())
    }

    /// The upstreams of the service's own pool.
    pub fn own(&self) -> impl Iterator<Item = key::Upstream> {
        self.local.iter().chain(&self.remote).copied()
    }

    fn tiers(&self) -> [(&[key::Upstream], Reason); 4] {
        [
            (&self.local, Reason::Local),
            (&self.remote, Reason::Spill),
            (&self.lent_local, Reason::Lent),
            (&self.lent_remote, Reason::Lent),
        ]
    }
}

impl Policy {
    /// Picks an upstream with headroom, other than `avoid` if another one is open and healthy.
    ///
    /// Upstreams that are ejected or unreachable are picked only if no other upstream is open, full
    /// or not: a full pool is no reason to send to a broken upstream. Upstreams that are leaving
    /// are never picked.
    pub fn pick(
        self,
        upstreams: &Table<key::Upstream, Upstream>,
        tiers: &Tiers,
        now: Time,
        avoid: Option<key::Upstream>,
        random: &mut impl Rng,
    ) -> Option<Picked> {
        let healthy = |upstream: &Upstream| upstream.health.allows(now, upstream.in_flight);
        let excluded = |key: key::Upstream| Some(key) == avoid;
        // First upstreams without a recent failure, then those with one.
        for recent_failure in [false, true] {
            for (tier, reason) in tiers.tiers() {
                let wanted = |key, upstream: &Upstream| {
                    upstream.health.has_recent_failure(now) == recent_failure
                        && healthy(upstream)
                        && !excluded(key)
                };
                let eligible = with_headroom(upstreams, tier, now, wanted);
                if let Some(upstream) = self.select(upstreams, &eligible, now, random) {
                    return Some(Picked { upstream, reason });
                }
            }
        }
        let others_open = tiers.iter().any(|key| {
            upstreams.get(key).is_some_and(|upstream| !excluded(key) && is_open(upstream, now))
        });
        if others_open {
            return None;
        }
        let all: Vec<_> = tiers.iter().collect();
        let eligible = with_headroom(upstreams, &all, now, |_, _| true);
        let upstream = self.select(upstreams, &eligible, now, random)?;
        let reason = if excluded(upstream) { Reason::Local } else { Reason::Panic };
        Some(Picked { upstream, reason })
    }

    /// Selects one of `eligible` by the policy.
    fn select(
        self,
        upstreams: &Table<key::Upstream, Upstream>,
        eligible: &[key::Upstream],
        now: Time,
        random: &mut impl Rng,
    ) -> Option<key::Upstream> {
        let utilization = |key: key::Upstream| {
            upstreams.get(key).map_or(f64::MAX, |upstream| upstream.utilization(now))
        };
        let less_utilized = |one: &key::Upstream, other: &key::Upstream| {
            utilization(*one).total_cmp(&utilization(*other))
        };
        match (eligible, self) {
            ([], _) => None,
            ([only], _) => Some(*only),
            (_, Self::LeastBusy) => eligible.iter().copied().min_by(less_utilized),
            (_, Self::Random) => Some(eligible[random.random_range(0..eligible.len())]),
            (_, Self::TwoRandom) => {
                let one = random.random_range(0..eligible.len());
                let other = (one + random.random_range(1..eligible.len())) % eligible.len();
                [eligible[one], eligible[other]].into_iter().min_by(less_utilized)
            }
        }
    }
}

/// Whether an upstream is open and neither ejected nor unreachable, with or without headroom.
fn is_open(upstream: &Upstream, now: Time) -> bool {
    let health = &upstream.health;
    let out = health.is_ejected(now) || health.is_unreachable(now);
    upstream.availability == fleet::view::Availability::Open && !out
}

/// The upstreams of a tier that have headroom and are `wanted`.
fn with_headroom(
    upstreams: &Table<key::Upstream, Upstream>,
    tier: &[key::Upstream],
    now: Time,
    wanted: impl Fn(key::Upstream, &Upstream) -> bool,
) -> Vec<key::Upstream> {
    let eligible = |key: &key::Upstream| {
        upstreams
            .get(*key)
            .is_some_and(|upstream| upstream.headroom(now) > 0 && wanted(*key, upstream))
    };
    tier.iter().copied().filter(eligible).collect()
}
