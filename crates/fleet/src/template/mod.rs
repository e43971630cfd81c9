//! Templates that operators fill in, and what is made of them.
//!
//! A [`Document`] holds one organisation's templates and the parameters that fill them in. A
//! [`Set`] holds the documents of all organisations at one revision; it is what the table service
//! keeps and what entries pass on. [`Set::render`] turns it into a
//! [`Config`](crate::config::Config), and [`check`] says whether the fleet can keep what it
//! promises.
//!
//! * [`Template`], [`Parameter`]: what can be filled in, and with what.
//! * [`Problem`]: what is wrong, where, and what to do about it.
//! * [`check`]: meaning, beside form, against an [`Inventory`].
//! * [`diff`]: what a change changes.

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
pub use inventory::Item;
pub use parameter::Parameter;
pub use parameter::Type;
pub use problem::Problem;
pub use problem::Severity;
pub use set::Set;
