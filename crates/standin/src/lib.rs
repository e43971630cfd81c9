//! Small stand-ins with fault switches, for demos and tests.
//!
//! * [`caller`]: an open-loop load, and what each request was told.
//! * [`mesh`]: peers in memory.
//! * [`platform`]: the platform's services in memory, and over HTTP.
//! * [`upstream`]: a back end with slots and a ledger of what it ran.
//! * [`worker`]: a worker that runs make-believe tasks under leases.

pub mod caller;
pub mod mesh;
pub mod platform;
pub mod upstream;
pub mod worker;
