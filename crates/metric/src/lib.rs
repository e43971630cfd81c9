//! Collects opentelemetry metrics when asked, and renders them as text.
//!
//! * [`Reader`]: collects them when asked.
//! * [`text`]: renders one line a number.

mod reader;

pub mod text;

pub use reader::Reader;
