//! Collects OpenTelemetry metrics on demand and renders them as text.
//!
//! * [`Reader`]: collects all metrics on demand.
//! * [`text`]: renders metrics as one line per value.

mod reader;

pub mod text;

pub use reader::Reader;
