//! The naive baseline for jobs: first come, first fit, no quotas, no preemption, no quarantine.

use std::collections::BTreeMap;

use fleet::config::Size;
use fleet::instance;
use fleet::job;
use fleet::job::State;
use fleet::key;
use fleet::time::Time;
use fleet::world::World;

/// Starts the oldest queued jobs on the first instances with room.
pub(super) fn plan(world: &World, now: Time) -> Vec<job::Decision> {
    let mut rooms: BTreeMap<key::Instance, Size> = BTreeMap::new();
    for (key, instance) in world.instances.iter() {
        let heard = world.heard.boots.contains_key(&key);
        if instance.state == instance::State::Serving && heard {
            rooms.insert(key, instance.capacity.left(world.booked(key)));
        }
    }
    let ready = |job: &job::Job| job.state == State::Queued && job.retry_at <= now;
    let mut queued: Vec<_> = world.jobs.iter().filter(|(_, job)| ready(job)).collect();
    queued.sort_by_key(|(key, job)| (job.submitted, *key));
    let mut decisions = Vec::new();
    for (key, found) in queued {
        let fits = |(at, room): &(&key::Instance, &mut Size)| {
            let instance = world.instances.get(**at);
            found.need.fits_in(**room)
                && instance.is_some_and(|instance| instance.pool == found.pool)
        };
        let Some((&at, room)) = rooms.iter_mut().find(fits) else { continue };
        *room = room.less(found.need);
        decisions.extend(start(world, key, found, at));
    }
    decisions
}

fn start(
    world: &World,
    job: key::Job,
    found: &job::Job,
    instance: key::Instance,
) -> Option<job::Decision> {
    let boot = *world.heard.boots.get(&instance)?;
    let epoch = world.instances.get(instance)?.epoch;
    let number = found.number + 1;
    Some(job::Decision::Start { job, number, instance, epoch, boot, booked: found.need })
}
