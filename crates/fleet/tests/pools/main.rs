//! Tests of pools, waves, lending, views and rows on a small site in simulated time.

mod budget;
mod lend;
mod moves;
mod observe;
mod row;
mod site;
mod view;
mod wave;
