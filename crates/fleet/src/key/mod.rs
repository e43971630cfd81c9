//! Small `Copy` keys into the tables of a [`World`](crate::world::World).
//!
//! A key is only valid within the process that created it. Rows, frames and logs use names.

/// Index into a [`Table`](crate::table::Table).
pub trait Key: Copy + Ord {
    /// The key of the slot at `index`.
    fn from_index(index: u32) -> Self;

    /// Index of the slot.
    fn index(self) -> u32;
}

/// Defines a type of small `Copy` keys for each name.
///
/// ```
/// fleet::keys! {
///     /// Key of a shelf.
///     Shelf;
/// }
/// ```
#[macro_export]
macro_rules! keys {
    ($($(#[$doc:meta])* $name:ident;)+) => {
        $(
            $(#[$doc])*
            #[derive(
                Clone, Copy, Debug, Default, derive_more::Display, PartialEq, Eq, PartialOrd, Ord,
            )]
            pub struct $name(u32);

            impl $crate::key::Key for $name {
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
    /// Key of an organisation.
    Organisation;
    /// Key of a data centre.
    DataCentre;
    /// Key of a rack, the smallest failure domain above an instance.
    Rack;
    /// Key of a pool.
    Pool;
    /// Key of an instance.
    Instance;
    /// Key of a service.
    Service;
    /// Key of a team.
    Team;
    /// Key of a job.
    Job;
    /// Key of a maintenance wave.
    Wave;
}
