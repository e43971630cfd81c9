//! An amount of resources, as written in messages.

use fleet::config;
use serde::Deserialize;
use serde::Serialize;

/// An amount of resources. Like [`config::Size`], but unknown fields are ignored, so that newer
/// versions can add some.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Size {
    /// CPU, millicores.
    pub milli_cores: u32,
    /// Memory, megabytes.
    pub memory_mb: u32,
    /// Number of whole accelerators.
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
