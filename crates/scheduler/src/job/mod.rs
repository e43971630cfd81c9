//! Jobs, their steps and tasks, and the rows that persist them.

mod begun;
mod entity;
mod id;
mod memory;
pub mod part;
mod phase;
mod restart;
mod row;
mod spec;
mod suspicion;
mod terms;

pub use begun::Begun;
pub use begun::Evidence;
pub use entity::FirstPlaced;
pub use entity::Job;
pub use entity::Moved;
pub use entity::State;
pub use entity::Task;
pub use id::Id;
pub use id::TaskKey;
pub use id::TaskName;
pub use memory::memory;
pub use phase::Phase;
pub use restart::Restart;
pub use row::Body;
pub use row::Placement;
pub use row::Progress;
pub use spec::Invalid;
pub use spec::MAX_BYTES;
pub use spec::Spec;
pub use spec::Step;
pub use suspicion::Suspicion;
pub use terms::Terms;
