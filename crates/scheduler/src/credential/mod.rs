//! Whether a call may be served: keys of tenants, and how sure a node can be of its configuration.

mod decision;
mod freshness;
mod index;

pub use decision::Decision;
pub use decision::decide;
pub use freshness::Bounds;
pub use freshness::Confirmation;
pub use freshness::Freshness;
pub use index::Index;
