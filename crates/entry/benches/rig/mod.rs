//! What the benches share: proxies in processes of their own, upstreams, and load.

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

/// The middle one of some figures.
pub(crate) fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures[figures.len() / 2]
}

/// Prints one figure beside its bar.
pub(crate) fn bar(name: &str, figure: f64, is_met: bool, bar: &str) {
    let verdict = if is_met { "met" } else { "MISSED" };
    println!("{name:<52} {figure:>10.3}   bar {bar:<12} {verdict}");
}
