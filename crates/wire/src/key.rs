//! Keys that frames are signed with.

use std::fmt;

/// A key that frames between our processes are signed with.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    id: u32,
    secret: Vec<u8>,
}

impl Key {
    /// Fewest bytes of a secret.
    pub const MIN_SECRET_BYTES: usize = 16;

    /// A key from the settings; `id` tells it from others while keys are rotated. Nothing if the
    /// secret is shorter than [`Self::MIN_SECRET_BYTES`].
    pub fn new(id: u32, secret: impl Into<Vec<u8>>) -> Option<Self> {
        let secret = secret.into();
        (secret.len() >= Self::MIN_SECRET_BYTES).then_some(Self { id, secret })
    }

    /// Tells it from other keys.
    pub fn id(&self) -> u32 {
        self.id
    }

    pub(crate) fn secret(&self) -> &[u8] {
        &self.secret
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Key({})", self.id)
    }
}
