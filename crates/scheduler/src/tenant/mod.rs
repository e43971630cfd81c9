//! Tenants on whose behalf jobs run.

mod entity;
mod rate;
mod usage;

pub use entity::Key;
pub use entity::Tenant;
pub use entity::Tenants;
pub use rate::Bucket;
pub use rate::MIN_BURST;
pub(crate) use rate::limited;
pub use usage::Usage;
