//! What goes wrong with a site, and when.

use std::time::Duration;

use derive_more::Display;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

/// One way in which something goes wrong, or is done on purpose.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// An upstream crashes, and comes back.
    #[display("upstream-crash")]
    UpstreamCrash,
    /// An upstream fails every request at once.
    #[display("upstream-fails-fast")]
    UpstreamFailsFast,
    /// An upstream's open connections go silent for good; new ones work.
    #[display("upstream-silent")]
    UpstreamSilent,
    /// All instances of a rack crash together, and come back.
    #[display("rack-loss")]
    RackLoss,
    /// An operator starts the maintenance wave of every organisation.
    #[display("wave")]
    Wave,
    /// An entry dies; another takes its place.
    #[display("entry-killed")]
    EntryKilled,
    /// An entry is stopped in order; another takes its place.
    #[display("entry-replaced")]
    EntryReplaced,
    /// An entry does not run for a while.
    #[display("entry-paused")]
    EntryPaused,
    /// The instance list stays as it is.
    #[display("list-lag")]
    ListLag,
    /// The platform refuses everything.
    #[display("store-down")]
    StoreDown,
    /// The platform answers after the callers' deadlines.
    #[display("store-slow")]
    StoreSlow,
    /// The platform's writes take effect and their replies are lost.
    #[display("store-lost-reply")]
    StoreLostReply,
    /// A data centre is cut off from the platform.
    #[display("cut-from-platform")]
    CutFromPlatform,
    /// An instance leaves the platform's list, and another comes.
    #[display("instance-leaves")]
    InstanceLeaves,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 14] = [
        Self::UpstreamCrash,
        Self::UpstreamFailsFast,
        Self::UpstreamSilent,
        Self::RackLoss,
        Self::Wave,
        Self::EntryKilled,
        Self::EntryReplaced,
        Self::EntryPaused,
        Self::ListLag,
        Self::StoreDown,
        Self::StoreSlow,
        Self::StoreLostReply,
        Self::CutFromPlatform,
        Self::InstanceLeaves,
    ];
}

/// Something that goes wrong at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, milliseconds from the start of the load.
    pub at_ms: u64,
    /// How long it lasts, milliseconds, where it lasts.
    #[serde(default)]
    pub for_ms: u64,
    /// What it is.
    pub kind: Kind,
    /// Picks what it hits: the same number hits the same thing in the same site.
    #[serde(default)]
    pub pick: u32,
}

/// Everything that goes wrong in a run, in order of time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Schedule(pub Vec<Fault>);

impl Schedule {
    /// What README's demo shows: an upstream fails, an entry is replaced, a wave runs.
    pub fn demo() -> Self {
        let fault = |at_ms, for_ms, kind, pick| Fault { at_ms, for_ms, kind, pick };
        Self(vec![
            fault(1_000, 0, Kind::Wave, 0),
            fault(4_000, 4_000, Kind::UpstreamCrash, 3),
            fault(8_000, 0, Kind::EntryReplaced, 1),
            fault(12_000, 3_000, Kind::UpstreamFailsFast, 7),
        ])
    }

    /// `count` faults of the given kinds, spread over the first two thirds of `length`.
    pub fn draw(seed: u64, kinds: &[Kind], count: usize, length: Duration) -> Self {
        if kinds.is_empty() {
            return Self::default();
        }
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let length_ms = length.as_millis() as u64;
        let mut faults = Vec::new();
        for _ in 0..count {
            faults.push(Fault {
                at_ms: random.random_range(0..=length_ms * 2 / 3),
                for_ms: random.random_range(length_ms / 20..=length_ms / 5),
                kind: kinds[random.random_range(0..kinds.len())],
                pick: random.random_range(0..u32::MAX),
            });
        }
        faults.sort_by_key(|fault| fault.at_ms);
        Self(faults)
    }

    /// Whether a maintenance wave is among them.
    pub(super) fn has_wave(&self) -> bool {
        self.0.iter().any(|fault| fault.kind == Kind::Wave)
    }
}
