//! Addresses where someone may be who is not a member at present, here or beyond the region.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fleet::time::Time;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::Offered;
use super::Source;
use super::timing::LOST;

/// Most lost addresses that are tried.
const LOST_MAX: usize = 256;

/// An entry of another region.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Beyond {
    /// Its life, once it answered.
    pub(crate) incarnation: u64,
    pub(crate) offered: Option<Offered>,
    /// When it last spoke.
    pub(crate) heard: Time,
}

/// Addresses where someone may be.
#[derive(Clone, Debug)]
pub(crate) struct Contacts {
    seeds: Vec<SocketAddr>,
    /// From the instance list.
    pub(crate) listed: Vec<SocketAddr>,
    /// Where members were that died.
    lost: BTreeMap<SocketAddr, Time>,
    pub(crate) beyond: BTreeMap<SocketAddr, Beyond>,
    pub(crate) next: Time,
    pub(crate) next_beyond: Time,
}

impl Contacts {
    pub(crate) fn new(seeds: Vec<SocketAddr>, beyond: Vec<SocketAddr>) -> Self {
        let beyond = beyond.into_iter().map(|address| (address, Beyond::default()));
        Self {
            seeds,
            listed: Vec::new(),
            lost: BTreeMap::new(),
            beyond: beyond.collect(),
            next: Time::ZERO,
            next_beyond: Time::ZERO,
        }
    }

    /// Remembers where a member was.
    pub(crate) fn lose(&mut self, address: SocketAddr, now: Time) {
        self.lost.retain(|_, since| now.since(*since) < LOST);
        if self.lost.len() < LOST_MAX {
            self.lost.insert(address, now);
        }
    }

    /// One address to try, other than those `known`.
    pub(crate) fn pick(
        &self,
        known: impl Fn(&SocketAddr) -> bool,
        random: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let all = self.seeds.iter().chain(&self.listed).chain(self.lost.keys());
        let mut open: Vec<SocketAddr> = all.filter(|address| !known(address)).copied().collect();
        open.sort();
        open.dedup();
        open.choose(random).copied()
    }

    /// One address beyond the region, with what is known there.
    pub(crate) fn pick_beyond(&self, random: &mut impl Rng) -> Option<(SocketAddr, Beyond)> {
        let all: Vec<_> = self.beyond.iter().map(|(address, beyond)| (*address, *beyond)).collect();
        all.choose(random).copied()
    }

    /// What entries of other regions serve.
    pub(crate) fn sources(&self, now: Time) -> impl Iterator<Item = Source> {
        let lately = move |beyond: &Beyond| now.since(beyond.heard) < LOST;
        self.beyond.iter().filter(move |(_, beyond)| lately(beyond)).filter_map(
            |(address, beyond)| {
                let (address, incarnation) = (*address, beyond.incarnation);
                beyond.offered.map(|offered| Source { address, incarnation, offered })
            },
        )
    }
}
