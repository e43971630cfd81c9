//! Collects opentelemetry metrics when asked, and renders them as text.
//!
//! * [`Reader`]: collects.
//! * [`text`]: renders.

mod reader;

pub mod text;

pub use reader::Reader;
