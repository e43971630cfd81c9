//! Seeded traces: the shipped ones, by name, and random ones for property tests.

mod random;
mod shipped;
mod site;
mod work;

pub use random::random;
pub use shipped::NAMES;
pub use shipped::SEED;
pub use shipped::shipped;
