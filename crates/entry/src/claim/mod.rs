//! Idempotency keys: claimed in the table service before a request is sent, answered from there
//! when it is repeated.
//!
//! * [`Claims`]: claims keys and records what became of them.
//! * [`Claim`]: the right to send a key's request, once.
//! * [`row`]: what a key's row says, and what that means for a repeat.
//! * [`batch`]: many keys in one transaction.
//!
//! docs/design/idempotency.md says why.

pub mod batch;
mod claims;
mod expiry;
pub mod row;
mod unavailable;
mod writer;

pub use claims::Claim;
pub use claims::Claimant;
pub use claims::Claimed;
pub use claims::Claims;
pub use unavailable::Unavailable;
