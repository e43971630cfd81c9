//! The control loop: holds leases, runs the decision systems and carries out what they want.
//!
//! * [`Control`]: a running control loop and what operators can ask of it.
//! * [`Settings`], [`Path`]: what it is given.
//! * [`act`]: operators' acts and how they end.
//! * [`configuration`]: documents applied, passed on and adopted.
//! * [`duty`], [`member`], [`lease`]: who holds which duty.
//! * [`drain`]: when an instance may be stopped without cutting off a request.
//! * [`status`]: what is promised, at risk, going on, and waits for a person.

pub mod act;
pub mod configuration;
pub mod drain;
pub mod duty;
pub mod handle;
pub mod lease;
pub mod member;
pub mod path;
pub mod settings;
pub mod status;

pub use handle::Control;
pub use path::Path;
pub use settings::Settings;
