//! The stored form of a size. Unlike [`config::Size`] it accepts unknown fields, so that a newer
//! version can add some.

use serde::Deserialize;
use serde::Serialize;

use crate::config;

/// The stored form of a [`config::Size`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Size {
    milli_cores: u32,
    memory_mb: u32,
    accelerators: u32,
}

impl From<config::Size> for Size {
    fn from(size: config::Size) -> Self {
        let config::Size { milli_cores, memory_mb, accelerators } = size;
        Self { milli_cores, memory_mb, accelerators }
    }
}

impl From<Size> for config::Size {
    fn from(size: Size) -> Self {
        let Size { milli_cores, memory_mb, accelerators } = size;
        Self { milli_cores, memory_mb, accelerators }
    }
}
