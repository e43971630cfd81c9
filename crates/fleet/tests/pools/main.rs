//! Pools, waves, lending, views and rows, each on a small site in virtual time.

mod budget;
mod lend;
mod moves;
mod observe;
mod row;
mod site;
mod view;
mod wave;
