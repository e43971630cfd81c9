//! Builds a [`View`] of what is known.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::config;
use crate::instance::Instance;
use crate::instance::State;
use crate::key;
use crate::view::Availability;
use crate::view::Route;
use crate::view::Target;
use crate::view::Upstream;
use crate::view::View;
use crate::world::World;

/// What an entry knows beyond the tables.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Context {
    /// How many entries share the upstreams' slots and connections, this one included.
    pub entries: u32,
    /// Names of instances that the list calls leaving. They are so at once, whether or not the
    /// tables could be told.
    pub leaving: BTreeSet<String>,
    /// Slots that other entries report in use, by instance name.
    pub used: BTreeMap<String, u32>,
}

/// The view of `world` under `config`, numbered `serial`.
pub fn build(world: &World, config: &config::Config, surroundings: &Context, serial: u64) -> View {
    let lent = lent(world);
    let mut targets = BTreeMap::new();
    for (organisation, spec) in &config.organisations {
        let Some(&key) = world.names.organisations.get(organisation) else {
            continue;
        };
        let shares: BTreeMap<_, _> =
            spec.teams.iter().map(|(name, team)| (name.clone(), team.share)).collect();
        for (name, service) in &spec.services {
            let route = Route { organisation: organisation.clone(), service: name.clone() };
            let pool = world.names.pools.get(&(key, service.pool.clone())).copied();
            let target = Target {
                service: service.clone(),
                upstreams: own(world, pool, surroundings),
                lent: borrowed(world, pool, &lent, surroundings),
                shares: shares.clone(),
            };
            targets.insert(route, target);
        }
    }
    let entries = surroundings.entries.max(1);
    View { revision: config.revision, serial, entries, targets }
}

/// Instances lent, by borrower.
fn lent(world: &World) -> BTreeMap<key::Pool, Vec<key::Instance>> {
    let mut lent: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (&instance, loan) in &world.loans {
        lent.entry(loan.to).or_default().push(instance);
    }
    lent
}

fn own(world: &World, pool: Option<key::Pool>, surroundings: &Context) -> Vec<Upstream> {
    let members = pool.into_iter().flat_map(|pool| world.members(pool));
    let upstreams = members.filter_map(|(_, member)| upstream(world, member, surroundings));
    sorted(upstreams.collect())
}

fn borrowed(
    world: &World,
    pool: Option<key::Pool>,
    lent: &BTreeMap<key::Pool, Vec<key::Instance>>,
    surroundings: &Context,
) -> Vec<Upstream> {
    let keys = pool.and_then(|pool| lent.get(&pool)).into_iter().flatten();
    let members = keys.filter_map(|&key| world.instances.get(key));
    let open = members.filter_map(|member| upstream(world, member, surroundings));
    sorted(open.filter(|upstream| upstream.availability == Availability::Open).collect())
}

fn sorted(mut upstreams: Vec<Upstream>) -> Vec<Upstream> {
    upstreams.sort_by(|left, right| left.instance.cmp(&right.instance));
    upstreams
}

/// The instance as an upstream; none if it is down, being checked, or has no address to send to.
fn upstream(world: &World, member: &Instance, surroundings: &Context) -> Option<Upstream> {
    let standing = match member.state {
        State::Serving if surroundings.leaving.contains(&member.name) => Availability::Leaving,
        State::Serving => Availability::Open,
        State::Draining | State::Drained => Availability::Leaving,
        State::Stopped | State::Checking | State::Failed | State::Gone => return None,
    };
    Some(Upstream {
        instance: member.name.clone(),
        address: member.address.parse().ok()?,
        data_centre: world.data_centres.get(member.data_centre).cloned().unwrap_or_default(),
        availability: standing,
        pool: world.pools.get(member.pool).map(|pool| pool.name.clone()).unwrap_or_default(),
        used_elsewhere: surroundings.used.get(&member.name).copied().unwrap_or(0),
    })
}
