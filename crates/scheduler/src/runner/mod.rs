//! Instances that run tasks under leases, and what they report.

mod entity;
mod report;

pub use entity::Key;
pub use entity::Mark;
pub use entity::Runner;
pub use entity::Use;
pub use report::Capacity;
pub use report::End;
pub use report::How;
pub use report::Look;
pub use report::Reading;
pub use report::Report;
pub use report::Run;
