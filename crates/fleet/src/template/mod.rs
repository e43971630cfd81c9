//! Configuration templates that operators fill in, and their rendering.
//!
//! A [`Document`] contains one organisation's templates and the values of their parameters. A [`Set`]
//! contains the documents of all organisations at one revision. It is stored in the table service and
//! exchanged between entries. [`Set::render`] renders it to a [`Config`](crate::config::Config), and
//! [`check`] checks whether the fleet can provide what the configuration requires.
//!
//! * [`Template`], [`Parameter`]: a configuration body and its typed parameters.
//! * [`Use`]: values for the parameters of a template.
//! * [`Problem`]: an error or warning, its location and a remedy.
//! * [`check`]: validation of a configuration against an [`Inventory`].
//! * [`diff`]: the differences between two configurations.

mod check;
mod diff;
mod document;
mod inventory;
mod parameter;
mod problem;
mod render;
mod set;

pub use check::check;
pub use diff::Difference;
pub use diff::diff;
pub use document::Document;
pub use document::Kind;
pub use document::Template;
pub use document::Use;
pub use inventory::Inventory;
pub use inventory::Member;
pub use parameter::Parameter;
pub use parameter::Type;
pub use problem::Problem;
pub use problem::Severity;
pub use set::Set;
