//! Small `Copy` keys into the tables of a [`World`](crate::world::World).
//!
//! A key is only good within the process that handed it out. Rows, frames and logs carry names.

/// What a [`Table`](crate::table::Table) is indexed by.
pub trait Key: Copy + Ord {
    /// The key of the slot at `index`.
    fn from_index(index: u32) -> Self;

    /// The slot's index.
    fn index(self) -> u32;
}

/// Makes a type of small `Copy` keys for each name.
///
/// ```
/// fleet::keys! {
///     /// Names a shelf.
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
    /// Names an organisation.
    Organisation;
    /// Names a data centre.
    DataCentre;
    /// Names a rack, the smallest failure domain above an instance.
    Rack;
    /// Names a pool.
    Pool;
    /// Names an instance.
    Instance;
    /// Names a service.
    Service;
    /// Names a team.
    Team;
    /// Names a job.
    Job;
    /// Names a maintenance wave.
    Wave;
}
