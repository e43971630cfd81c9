//! The product's own decision systems.

use fleet::decision::Decision;
use fleet::job;
use fleet::job::Index;
use fleet::pool;
use fleet::pool::Loans;
use fleet::time::Time;
use fleet::wave;
use fleet::world::World;

use crate::policy::Decide;

/// The product's own decision systems.
#[derive(Clone, Copy, Debug, Default)]
pub struct Product;

impl Decide for Product {
    fn pools(&self, world: &World, now: Time) -> Vec<Decision> {
        let pools = world.pools.iter().map(|(key, _)| key).collect();
        pool::plan(world, &pools, now).into_iter().map(Decision::from).collect()
    }

    fn waves(&self, world: &World, now: Time) -> Vec<Decision> {
        let waves = world.waves.iter().map(|(key, _)| key).collect();
        wave::plan(world, &waves, now).into_iter().map(Decision::from).collect()
    }

    fn jobs(&self, world: &World, index: &Index, now: Time) -> Vec<Decision> {
        let pools = world.pools.iter().map(|(key, _)| key).collect();
        job::plan(world, index, &pools, now).into_iter().map(Decision::from).collect()
    }

    fn lend(&self, world: &World, now: Time) -> Loans {
        pool::lend(world, now)
    }
}
