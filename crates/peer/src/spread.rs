//! What the control loop asks of its peers.

use std::net::SocketAddr;
use std::sync::Arc;

use fleet::config::Revision;
use fleet::time::Time;

use crate::Member;
use crate::Summary;

/// A revision and its documents as JSON.
pub type Document = (Revision, Arc<str>);

/// What the control loop asks of its peers: implemented by [`Peer`](crate::Peer) and by fakes.
pub trait Spread: Clone + Send + Sync + 'static {
    /// Tells the peers about this entry; replaces the summary before.
    fn publish(&self, summary: Summary);

    /// The peers of this region, without this entry, those that died or left lately included.
    fn members(&self, now: Time) -> Vec<Member>;

    /// Serves these documents to peers with a lower revision. Only a higher revision than the one
    /// before counts.
    fn offer(&self, revision: Revision, documents: Arc<str>);

    /// Documents of higher revisions than this entry offers, as they are pulled from peers. Each is
    /// offered from here at once. All receivers share one queue.
    fn adopted(&self) -> async_channel::Receiver<Document>;

    /// Tells where peers may be, from the instance list; replaces what the list said before.
    fn seed(&self, addresses: Vec<SocketAddr>);

    /// Tells the peers that this entry stops for good.
    fn leave(&self);
}
