//! How often members speak, and how long they may be silent.

use std::time::Duration;

/// Shortest time between two rounds of gossip.
const ROUND_MIN: Duration = Duration::from_millis(200);
/// By how much each member lengthens a round, so that the bytes a second stay bounded.
const ROUND_PER_MEMBER: Duration = Duration::from_micros(3_500);
/// Members that are told in each round.
pub(crate) const FANOUT: usize = 3;
/// Rounds of silence after which a member is suspect.
const SUSPECT_ROUNDS: u32 = 5;
/// So many members more make news take a round longer.
const MEMBERS_PER_ROUND: u32 = 36;
/// Rounds of silence after which a member is dead.
const DEAD_ROUNDS: u32 = 10;
/// Shortest time between two changes of the load in a summary.
const LOAD_MIN: Duration = Duration::from_secs(1);
/// By how much each member lengthens that.
const LOAD_PER_MEMBER: Duration = Duration::from_millis(100);
/// Shortest time between two rounds, even if there is news.
pub(crate) const URGENT_MIN: Duration = Duration::from_millis(50);
/// Time after which something that was asked for is asked for again.
pub(crate) const RETRY: Duration = Duration::from_millis(250);
/// Time after which a dead member or one that left is forgotten.
pub(crate) const FORGET: Duration = Duration::from_secs(60);
/// Time for which a forgotten member's life is not believed in again.
pub(crate) const GONE: Duration = Duration::from_secs(600);
/// Time for which a lost member's address is tried, among others: longer than regions lose each
/// other.
pub(crate) const LOST: Duration = Duration::from_secs(7_200);
/// Time between two first words to addresses that may have a member.
pub(crate) const CONTACT: Duration = Duration::from_secs(1);
/// The same while there is no member at all.
pub(crate) const CONTACT_ALONE: Duration = Duration::from_millis(200);
/// Time between two offers that the entries of a region together make to those of others.
pub(crate) const BEYOND: Duration = Duration::from_millis(500);

/// The pace among so many members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between two rounds of gossip.
    pub round: Duration,
    /// Silence after which a member is suspect.
    pub suspect: Duration,
    /// Silence after which a member is dead.
    pub dead: Duration,
    /// Time between two changes of the load in a summary.
    pub load: Duration,
    /// A gap between ticks after which this process itself was paused.
    pub pause: Duration,
}

impl Timing {
    /// The pace among `members`, this one included.
    pub fn among(members: usize) -> Self {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let round = ROUND_MIN.max(ROUND_PER_MEMBER.saturating_mul(members));
        Self {
            round,
            suspect: round * (SUSPECT_ROUNDS + members / MEMBERS_PER_ROUND),
            dead: round * (DEAD_ROUNDS + members / MEMBERS_PER_ROUND),
            load: LOAD_MIN.max(LOAD_PER_MEMBER.saturating_mul(members)),
            pause: round * 3,
        }
    }
}
