//! Idempotency keys: claimed in the table service before a request is sent, answered from there
//! when it is repeated.
//!
//! * [`Claims`]: claims keys and records what became of them.
//! * [`Claim`]: the right to send a key's request, once.
//! * [`row`]: what a key's row says, and what that means for a repeat.
//! * [`batch`]: many keys in one transaction.
//!
//! docs/design/idempotency.md says why.

mod absent;
pub mod batch;
mod claims;
mod expiry;
pub mod row;
mod writer;

pub use absent::Absent;
pub use claims::Ask;
pub use claims::Claim;
pub use claims::Claimed;
pub use claims::Claims;
