//! Builds a [`View`] from the tables and the configuration.

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

/// Information that an entry has besides the tables.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Context {
    /// Number of entries that share the upstreams' slots and connections, this one included.
    pub entries: u32,
    /// Names of instances that the instance list marks as leaving. The view shows them as leaving
    /// even before the tables do.
    pub leaving: BTreeSet<String>,
    /// Slots that other entries report as in use, by instance name.
    pub used: BTreeMap<String, u32>,
}

/// Builds the view of `world` under `config` with this serial number.
pub fn build(world: &World, config: &config::Config, context: &Context, serial: u64) -> View {
    let lent = lent_by_borrower(world);
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
                upstreams: own_upstreams(world, pool, context),
                lent: lent_upstreams(world, pool, &lent, context),
                shares: shares.clone(),
            };
            targets.insert(route, target);
        }
    }
    let entries = context.entries.max(1);
    View { revision: config.revision, serial, entries, targets }
}

/// Lent instances by the pool that borrows them.
fn lent_by_borrower(world: &World) -> BTreeMap<key::Pool, Vec<key::Instance>> {
    let mut lent: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (&instance, loan) in &world.loans {
        lent.entry(loan.to).or_default().push(instance);
    }
    lent
}

fn own_upstreams(world: &World, pool: Option<key::Pool>, context: &Context) -> Vec<Upstream> {
    let members = pool.into_iter().flat_map(|pool| world.members(pool));
    let upstreams = members.filter_map(|(_, member)| upstream(world, member, context));
    sorted(upstreams.collect())
}

fn lent_upstreams(
    world: &World,
    pool: Option<key::Pool>,
    lent: &BTreeMap<key::Pool, Vec<key::Instance>>,
    context: &Context,
) -> Vec<Upstream> {
    let keys = pool.and_then(|pool| lent.get(&pool)).into_iter().flatten();
    let members = keys.filter_map(|&key| world.instances.get(key));
    let accepting = members.filter_map(|member| upstream(world, member, context));
    sorted(accepting.filter(|upstream| upstream.availability == Availability::Open).collect())
}

fn sorted(mut upstreams: Vec<Upstream>) -> Vec<Upstream> {
    upstreams.sort_by(|left, right| left.instance.cmp(&right.instance));
    upstreams
}

/// The instance as an upstream; `None` if it is stopped, failed, gone or being checked, or its
/// address is not valid.
fn upstream(world: &World, member: &Instance, context: &Context) -> Option<Upstream> {
    let availability = match member.state {
        State::Serving if context.leaving.contains(&member.name) => Availability::Leaving,
        State::Serving => Availability::Open,
        State::Draining | State::Drained => Availability::Leaving,
        State::Stopped | State::Checking | State::Failed | State::Gone => return None,
    };
    Some(Upstream {
        instance: member.name.clone(),
        address: member.address.parse().ok()?,
        data_centre: world.data_centres.get(member.data_centre).cloned().unwrap_or_default(),
        availability,
        pool: world.pools.get(member.pool).map(|pool| pool.name.clone()).unwrap_or_default(),
        used_elsewhere: context.used.get(&member.name).copied().unwrap_or(0),
    })
}
