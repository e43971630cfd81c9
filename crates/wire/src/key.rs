//! Keys for signing frames.

use std::fmt;

/// A secret that signs frames, shared by all entries. `Debug` doesn't print the secret.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    id: u32,
    secret: Vec<u8>,
}

impl Key {
    /// Minimum length of a secret, bytes.
    pub const MIN_SECRET_BYTES: usize = 16;

    /// Creates a key, or returns `None` if the secret is shorter than
    /// [`Self::MIN_SECRET_BYTES`].
    ///
    /// `id` selects the key during a rotation, when several keys are in use.
    pub fn new(id: u32, secret: impl Into<Vec<u8>>) -> Option<Self> {
        let secret = secret.into();
        (secret.len() >= Self::MIN_SECRET_BYTES).then_some(Self { id, secret })
    }

    /// Identifier of the key, sent with each frame.
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
