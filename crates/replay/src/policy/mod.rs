//! Who decides in a replay: the product's own systems, or the naive baseline.

mod naive;
mod product;

pub use naive::Naive;
pub use product::Product;

use fleet::config::Weights;
use fleet::decision::Decision;
use fleet::job::Index;
use fleet::pool::Loans;
use fleet::time::Time;
use fleet::world::World;
use serde::Deserialize;
use serde::Serialize;

/// Who decides in a replay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The product's decision systems, with the weights of the trace.
    #[default]
    Product,
    /// The product's decision systems with other weights for every organisation.
    Weighted(Weights),
    /// The baseline: a fixed reserve of a fifth, one instance at a time, first fit, no lending.
    Naive,
}

/// The decisions that a replay asks for in each round.
pub trait Decide {
    /// What the pools want done.
    fn pools(&self, world: &World, now: Time) -> Vec<Decision>;

    /// What the waves want done.
    fn waves(&self, world: &World, now: Time) -> Vec<Decision>;

    /// What the jobs want done.
    fn jobs(&self, world: &World, index: &Index, now: Time) -> Vec<Decision>;

    /// Which slots are lent.
    fn lend(&self, world: &World, now: Time) -> Loans;
}
