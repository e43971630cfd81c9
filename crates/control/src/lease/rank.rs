//! The order of preference of entries for a duty.

use sha2::Digest;
use sha2::Sha256;

use crate::duty::Duty;

/// The names in their order of preference for `duty`. Rendezvous hashing: an entry that joins or
/// leaves does not change the relative order of the others.
pub fn rank<'a>(duty: &Duty, names: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<_> = names.into_iter().map(|name| (score(duty, name), name)).collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored.into_iter().map(|(_, name)| name).collect()
}

/// Rendezvous score of an entry for a duty; the highest score comes first.
pub(super) fn score(duty: &Duty, name: &str) -> u64 {
    let digest = Sha256::digest(format!("{duty}\n{name}"));
    digest.iter().take(8).fold(0, |score, &byte| score << 8 | u64::from(byte))
}

/// The names in the order of preference in which candidates for duties are selected. The order is
/// that for [`Duty::Garbage`], so that all entries compute the same one.
pub fn rank_candidates<'a>(names: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    rank(&Duty::Garbage, names)
}
