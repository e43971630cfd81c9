//! Shared parts of the benches: proxies in processes of their own, upstreams and load generators.

#![allow(dead_code, reason = "each bench uses a part of this module")]

pub(crate) mod child;
pub(crate) mod load;
pub(crate) mod plain;
pub(crate) mod site;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Instant;

pub(crate) const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

#[expect(clippy::disallowed_methods, reason = "benches measure time")]
pub(crate) fn clock() -> Instant {
    Instant::now()
}

/// The median of `values`, which must not be empty; of two middle values the higher one.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Prints a measured value, its target, and whether it meets the target.
pub(crate) fn print_result(name: &str, value: f64, is_met: bool, target: &str) {
    let verdict = if is_met { "met" } else { "MISSED" };
    println!("{name:<52} {value:>10.3}   target {target:<12} {verdict}");
}
