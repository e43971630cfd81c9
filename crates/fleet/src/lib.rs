//! Pure decisions about a fleet: what is configured, what is there, and what to do next.
//!
//! Nothing here does I/O, reads a clock or draws random numbers. Callers pass the time as a
//! [`time::Time`] and randomness as a seed.
//!
//! * [`config`], [`template`]: the configuration that operators apply.
//! * [`world`]: the tables of all entities, and how changes are applied to them.
//! * [`instance`], [`pool`], [`wave`], [`job`], [`team`]: one kind of entity each, with the
//!   functions that decide about it.
//! * [`fact`]: observations about the fleet, such as health checks and reports.
//! * [`row`]: the stored form of entities in the table service.
//! * [`decision`]: the changes that the deciding functions propose.
//! * [`view`]: the routing table for the request path.
//! * [`error`]: the closed list of error kinds and the response for each.
//! * [`key`], [`table`], [`time`]: the basic types.

pub mod config;
pub mod decision;
pub mod error;
pub mod fact;
pub mod instance;
pub mod job;
pub mod key;
pub mod pool;
pub mod row;
pub mod table;
pub mod team;
pub mod template;
pub mod time;
pub mod view;
pub mod wave;
pub mod world;
