//! An amount of resources on the wire.

use fleet::config;
use serde::Deserialize;
use serde::Serialize;

/// The same as [`config::Size`], but open to fields of newer versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Size {
    /// Thousandths of a core.
    pub milli_cores: u32,
    /// Megabytes.
    pub memory_mb: u32,
    /// Whole accelerators.
    pub accelerators: u32,
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
