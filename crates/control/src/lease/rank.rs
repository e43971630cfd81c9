//! In which order entries have a claim on a duty.

use sha2::Digest;
use sha2::Sha256;

use crate::duty::Duty;

/// The names in the order of their claim on `duty`: rendezvous hashing, so that an entry that comes
/// or goes changes nothing between the others.
pub fn rank<'a>(duty: &Duty, names: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<_> = names.into_iter().map(|name| (score(duty, name), name)).collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored.into_iter().map(|(_, name)| name).collect()
}

/// How strong a claim an entry has on a duty.
pub(super) fn score(duty: &Duty, name: &str) -> u64 {
    let digest = Sha256::digest(format!("{duty}\n{name}"));
    digest.iter().take(8).fold(0, |score, &byte| score << 8 | u64::from(byte))
}

/// The names in an order of their own, for choosing a few of them.
pub fn rank_candidates<'a>(names: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    rank(&Duty::Garbage, names)
}
