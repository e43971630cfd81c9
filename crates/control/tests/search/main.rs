//! Searches of all interleavings of the protocols, with three entries that run the real machines.
//!
//! Each search goes breadth first through every state that a bounded number of faults can lead to,
//! and is exhaustive within those bounds. Each has variants of the protocol with one rule left out,
//! which the search must find broken: they show that it would see such a fault.

mod configuration;
mod drain;
mod explore;
mod lease;
