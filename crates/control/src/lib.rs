//! The control loop: holds leases, runs the decision systems and carries out what they want.
//!
//! * [`Control`]: a running control loop and what operators can ask of it.
//! * [`Settings`], [`Path`]: what it is given.
//! * [`engine`]: the loop, a step at a time.
//! * [`act`]: operators' acts and how they end.
//! * [`configuration`]: documents applied, passed on and adopted.
//! * [`duty`], [`member`], [`lease`]: who holds which duty.
//! * [`drain`]: when an instance may be stopped without cutting off a request.
//! * [`discovery`], [`poll`], [`reports`]: what the instance list, the instances and workers say.
//! * [`rows`]: the rows that entries share.
//! * [`status`]: what is promised, at risk, going on, and waits for a person.

pub mod act;
pub mod clock;
pub mod configuration;
pub mod discovery;
pub mod drain;
pub mod duty;
pub mod engine;
pub mod handle;
pub mod lease;
pub mod member;
pub mod path;
pub mod poll;
pub mod reports;
pub mod rows;
pub mod settings;
pub mod status;

pub use engine::Engine;
pub use handle::Control;
pub use path::Path;
pub use settings::Settings;
