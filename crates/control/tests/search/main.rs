//! Model checks of the protocols: all interleavings of three entries that run the real state
//! machines.
//!
//! Each search visits, breadth first, every state reachable with a bounded number of faults, and is
//! exhaustive within these bounds. Each is also run on variants of the protocol that lack one rule.
//! The search must find a violation in every variant, which shows that it can detect such a fault.

mod configuration;
mod drain;
mod explore;
mod lease;
