//! The other entries, as the control loop sees them.

use fleet::template::Set;
use peer::Member;
use peer::Summary;

/// What the control loop needs of the membership between entries.
pub trait Peers: Send + Sync + 'static {
    /// All entries that are known of, this one left out.
    fn members(&self) -> Vec<Member>;

    /// Tells the others about this entry.
    fn publish(&self, summary: Summary);

    /// Passes documents on to those that have older ones.
    fn offer(&self, set: &Set);

    /// The newest documents that others passed on, if any came.
    fn offered(&self) -> Option<Set>;
}
