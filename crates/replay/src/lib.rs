//! Replays recorded traces against the decision systems, in virtual time.
//!
//! * [`trace`]: what happened at a site, as JSON lines.
//! * [`fake`]: the table service, the machines and the requests, as far as a decision can tell.
//! * [`replica`]: one holder of duties and its copy of the tables.
//! * [`policy`]: the product's systems, and a naive baseline.
//! * [`measure`]: what is measured, the lower bounds, and what must never happen.
//! * [`report`]: the figures of one replay.
//! * [`generate`]: seeded traces, the shipped ones and random ones.
//! * [`outcome`]: what is promised of a trace, and whether the figures keep it.
//!
//! [`run`] does it all.

pub mod fake;
pub mod generate;
pub mod measure;
pub mod outcome;
pub mod policy;
pub mod replica;
pub mod report;
pub mod trace;

mod run;

pub use outcome::Outcome;
pub use policy::Policy;
pub use report::Report;
pub use run::run;
pub use trace::Trace;
