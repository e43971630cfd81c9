//! Which upstream gets the next request.

use derive_more::Display;
use fleet::table::Table;
use fleet::time::Time;
use rand::Rng;

use super::Upstream;
use crate::key;

/// How to choose among upstreams with room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The less busy of two drawn at random.
    #[default]
    TwoRandom,
    /// The least busy of all, the first of equals.
    LeastBusy,
    /// Any.
    Random,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// It is in this data centre.
    #[display("local")]
    Local,
    /// No upstream in this data centre has room.
    #[display("spill")]
    Spill,
    /// No upstream of the service's own pool has room.
    #[display("lent")]
    Lent,
    /// No upstream that looks well has room for it: health is passed over.
    #[display("panic")]
    Panic,
}

/// A choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Picked {
    /// Which upstream.
    pub upstream: key::Upstream,
    /// Why.
    pub reason: Reason,
}

/// The upstreams of a service, nearest first; within a tier all are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tiers {
    /// Of its own pool, in this data centre.
    pub local: Vec<key::Upstream>,
    /// Of its own pool, elsewhere.
    pub remote: Vec<key::Upstream>,
    /// Lent by other pools, in this data centre.
    pub lent_local: Vec<key::Upstream>,
    /// Lent by other pools, elsewhere.
    pub lent_remote: Vec<key::Upstream>,
}

impl Tiers {
    /// All, nearest first.
    pub fn iter(&self) -> impl Iterator<Item = key::Upstream> {
        let own = self.own();
        own.chain(self.lent_local.iter().copied()).chain(self.lent_remote.iter().copied())
    }

    /// Those of its own pool: the peers that health is compared among.
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
    /// Chooses an upstream with room, other than `avoid` if there is another.
    ///
    /// Upstreams that look unwell come in only where none of the others is open at all: a full
    /// pool is no reason to send to a broken one. Those that are leaving never do.
    pub fn pick(
        self,
        upstreams: &Table<key::Upstream, Upstream>,
        tiers: &Tiers,
        now: Time,
        avoid: Option<key::Upstream>,
        random: &mut impl Rng,
    ) -> Option<Picked> {
        let well = |upstream: &Upstream| upstream.health.allows(now, upstream.in_flight);
        let tried = |key: key::Upstream| Some(key) == avoid;
        for shunned in [false, true] {
            for (tier, reason) in tiers.tiers() {
                let wanted = |key, it: &Upstream| {
                    it.health.is_avoided(now) == shunned && well(it) && !tried(key)
                };
                let able = with_headroom(upstreams, tier, now, wanted);
                if let Some(upstream) = self.select(upstreams, &able, now, random) {
                    return Some(Picked { upstream, reason });
                }
            }
        }
        let others_open = tiers
            .iter()
            .any(|key| upstreams.get(key).is_some_and(|it| !tried(key) && is_open(it, now)));
        if others_open {
            return None;
        }
        let all: Vec<_> = tiers.iter().collect();
        let able = with_headroom(upstreams, &all, now, |_, _| true);
        let upstream = self.select(upstreams, &able, now, random)?;
        let reason = if tried(upstream) { Reason::Local } else { Reason::Panic };
        Some(Picked { upstream, reason })
    }

    fn select(
        self,
        upstreams: &Table<key::Upstream, Upstream>,
        able: &[key::Upstream],
        now: Time,
        random: &mut impl Rng,
    ) -> Option<key::Upstream> {
        let pressure =
            |key: key::Upstream| upstreams.get(key).map_or(f64::MAX, |it| it.utilization(now));
        let less_busy = |one: &key::Upstream, other: &key::Upstream| {
            pressure(*one).total_cmp(&pressure(*other))
        };
        match (able, self) {
            ([], _) => None,
            ([only], _) => Some(*only),
            (_, Self::LeastBusy) => able.iter().copied().min_by(less_busy),
            (_, Self::Random) => Some(able[random.random_range(0..able.len())]),
            (_, Self::TwoRandom) => {
                let one = random.random_range(0..able.len());
                let other = (one + random.random_range(1..able.len())) % able.len();
                [able[one], able[other]].into_iter().min_by(less_busy)
            }
        }
    }
}

/// Whether an upstream that looks well is there, with or without room.
fn is_open(upstream: &Upstream, now: Time) -> bool {
    let health = &upstream.health;
    let out = health.is_ejected(now) || health.is_unreachable(now);
    upstream.availability == fleet::view::Availability::Open && !out
}

fn with_headroom(
    upstreams: &Table<key::Upstream, Upstream>,
    tier: &[key::Upstream],
    now: Time,
    wanted: impl Fn(key::Upstream, &Upstream) -> bool,
) -> Vec<key::Upstream> {
    let able = |key: &key::Upstream| {
        upstreams.get(*key).is_some_and(|it| it.headroom(now) > 0 && wanted(*key, it))
    };
    tier.iter().copied().filter(able).collect()
}
