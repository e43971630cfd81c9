//! The HTTP contract between our entries and the instances they drive.
//!
//! Every path starts with [`PREFIX`]; all else on an instance's address is its service's own.

/// Where the contract's paths start.
pub const PREFIX: &str = "/.knapweedsail/";
