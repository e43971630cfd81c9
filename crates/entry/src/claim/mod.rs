//! Idempotency keys. A key is claimed in the table service before its request is sent; a repeat
//! of the request is answered from there.
//!
//! * [`Claims`]: claims keys and records the outcomes of the requests that claimed them.
//! * [`Claim`]: the right to send, once, the request that claimed a key.
//! * [`row`]: the stored row of a key, and how it decides about a repeat.
//! * [`batch`]: writes of several keys in one transaction.
//!
//! docs/design/idempotency.md gives the reasons.

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
