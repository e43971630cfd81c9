//! Jobs: placement by cores, memory and accelerators, attempts, overruns, quarantine.
//!
//! A job runs as a series of attempts. An attempt is executed by the worker of an instance: the
//! process there that starts, reports and stops attempts, and that holds a lease for them.
//!
//! * [`Job`], [`State`], [`Attempt`]: the state of a job. [`Worker`]: the trust in a worker.
//! * [`admit`], [`cancel`], [`cancel_team`], [`resolve`]: requests of submitters and operators.
//! * [`plan`]: decisions that follow from time and free capacity. [`observe`]: decisions that
//!   follow from reports and lost workers.
//! * [`Decision`] and its [`effect`] on the tables.
//! * [`commands`]: the commands for a worker, from the recorded state and its report.
//! * [`explain`], [`alerts`], [`drain_blockers`]: information for operators and submitters.
//! * [`Index`]: aggregates that save each step from scanning every job.

mod alert;
mod cancel;
mod command;
mod decision;
mod effect;
mod entity;
mod explain;
mod index;
mod limits;
mod observe;
mod plan;
mod row;
mod size;
mod submit;
mod worker;

pub use alert::Alert;
pub use alert::Condition;
pub use alert::alerts;
pub use alert::drain_blockers;
pub use cancel::cancel;
pub use cancel::cancel_team;
pub use cancel::resolve;
pub use command::Command;
pub use command::commands;
pub use decision::Decision;
pub use decision::Resolution;
pub use effect::effect;
pub use entity::Action;
pub use entity::Attempt;
pub use entity::Cause;
pub use entity::End;
pub use entity::Ended;
pub use entity::Fault;
pub use entity::Job;
pub use entity::Loss;
pub use entity::MAX_HISTORY;
pub use entity::Outcome;
pub use entity::State;
pub use entity::Symptom;
pub use explain::Explanation;
pub use explain::Obstacle;
pub use explain::explain;
pub use index::Index;
pub use limits::Limits;
pub use observe::observe;
pub use plan::plan;
pub(crate) use row::Row;
pub(crate) use row::WorkerRow;
pub use size::MILLION;
pub use size::Total;
pub use submit::Rejection;
pub use submit::Submit;
pub use submit::admit;
pub use worker::Trust;
pub use worker::Worker;
