//! The control loop of an entry: holds leases on duties, runs the decision systems and executes
//! their decisions.
//!
//! * [`Control`]: the handle of a running control loop, with the requests that operators can make.
//! * [`Settings`], [`Path`]: the loop's settings and its interface to the request path.
//! * [`engine`]: the steps of the loop, each callable on its own.
//! * [`act`]: the operators' actions, their results and errors.
//! * [`configuration`]: how configuration documents are applied, distributed and adopted.
//! * [`duty`], [`member`], [`lease`]: which entry holds which duty.
//! * [`drain`]: when an instance can be stopped without cutting off a request.
//! * [`discovery`], [`poll`], [`reports`]: data from the instance list, from polls of the instances
//!   and from the reports of the instances.
//! * [`rows`]: the table rows that all entries share.
//! * [`status`]: the overview for operators.

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
