//! The control loop: holds leases, runs the decision systems and carries out what they want.
//!
//! * [`Control`]: a running control loop and what operators can ask of it.
//! * [`Settings`], [`Path`], [`Peers`]: what it is given.
//! * [`act`]: operators' acts and how they end.
//! * [`configuration`]: documents applied, passed on and adopted.
//! * [`status`]: what is promised, at risk, going on, and waits for a person.

pub mod act;
pub mod configuration;
pub mod handle;
pub mod path;
pub mod peers;
pub mod settings;
pub mod status;

pub use handle::Control;
pub use path::Path;
pub use peers::Peers;
pub use settings::Settings;
