//! Instances that run tasks, and their heartbeats.

mod closure;
mod entity;
mod report;
mod speed;
mod trust;

pub use closure::Closure;
pub use entity::Expiry;
pub use entity::Instance;
pub use entity::Key;
pub use entity::ListedEnds;
pub use entity::UnstoredEnds;
pub use entity::Usage;
pub(crate) use entity::was_seen;
pub use report::Capacity;
pub use report::End;
pub use report::Exit;
pub use report::Heartbeat;
pub use report::Reading;
pub use report::Report;
pub use report::Run;
pub use speed::Speed;
pub use trust::Failure;
pub use trust::Trust;
