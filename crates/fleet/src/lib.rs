//! Pure decisions about a fleet: what is configured, what is there, and what to do next.
//!
//! Nothing here does I/O, reads a clock or draws random numbers of its own. Time comes in as a
//! [`time::Time`] argument, chance as a seed.
//!
//! * [`config`], [`template`]: what operators apply.
//! * [`world`]: the tables of everything that is known, and how a change enters them.
//! * [`instance`], [`pool`], [`wave`], [`job`], [`team`]: one kind of entity each, with its systems.
//! * [`fact`]: what has been found out.
//! * [`row`]: how entities stand in the table service.
//! * [`decision`]: what the systems want done.
//! * [`view`]: what the request path needs to know of all this.
//! * [`error`]: the closed list of error kinds and the answer that each gives.
//! * [`key`], [`table`], [`time`]: the small things the rest is built from.

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
