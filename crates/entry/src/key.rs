//! Small `Copy` keys into the request path's own tables.

use derive_more::Display;
use fleet::key::Key;

macro_rules! keys {
    ($($(#[$doc:meta])* $name:ident;)+) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
            pub struct $name(u32);

            impl Key for $name {
                fn from_index(index: u32) -> Self {
                    Self(index)
                }

                fn index(self) -> u32 {
                    self.0
                }
            }
        )+
    };
}

keys! {
    /// Names a service's route.
    Route;
    /// Names an upstream.
    Upstream;
}
