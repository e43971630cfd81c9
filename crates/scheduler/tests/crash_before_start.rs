//! Instances that crashed before a task was placed there, which their entries in the list still hide.

mod site;

use std::time::Duration;

use scheduler::job::State;
use scheduler::job::TaskName;
use scheduler::machine;
use scheduler::machine::Machine;
use site::Deadly;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// Number of instances of the rack that fails.
const RACK: usize = 5;

/// Time for which the list still names instances that are gone.
const LISTED: Duration = Duration::from_millis(4_400);

/// The list of machines, which shows at once what has ended.
fn list_machines(site: &mut Site) {
    let now = site.now;
    let machines = site.fakes.iter().map(|fake| {
        let up = fake.reachable(now);
        Machine {
            host: format!("m-{}", fake.id),
            pool: fake.service.clone(),
            state: if up { machine::State::Up } else { machine::State::Down },
            instance: if up { fake.id.clone() } else { String::new() },
            cpu: fake.capacity.cpu,
        }
    });
    let machines = machines.collect();
    site.core().apply_machines(now, now, machines);
}

/// A job whose only task has just started in a rack that fails, where all other instances are idle.
#[test]
fn a_job_is_not_failed_for_crashes_before_its_starts() {
    let fakes = (0..RACK + 3).map(|n| {
        let rack = if n < RACK { "dark" } else { "lit" };
        Fake::new(&format!("i-{n}"), "oven", rack)
    });
    let mut site = Site::new(&["oven"], fakes.collect(), 7);
    site.lists_machines = false;
    list_machines(&mut site);
    let joined = site.now + ms(3_000);
    site.fakes.iter_mut().skip(RACK).for_each(|fake| fake.unlisted_until = joined);
    site.fakes.iter_mut().for_each(|fake| fake.default_duration_ms = 2_000);
    site.change_leader(true);
    site.run(ms(2_800));
    site.submit(1, "oven", spec(vec![step(1, 500)]));
    site.run(ms(250));
    assert_eq!(site.monitor.running(id(1)), 1);
    site.list_now();
    site.run(ms(20));
    let now = site.now;
    site.list_lost_until = now + LISTED;
    for index in 0..RACK {
        site.fakes[index].crash(now, LISTED, &mut site.monitor);
    }
    for _ in 0..400 {
        site.run(ms(50));
        list_machines(&mut site);
    }
    assert_eq!(site.state(1), Some(State::Completed));
    site.monitor.check();
}

/// A task that crashes each instance before it answers the start command, where nothing else runs.
#[test]
fn a_deadly_job_is_failed_although_its_instances_were_idle() {
    let fakes = (0..12).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{}", n % 4)));
    let mut site = Site::new(&["oven"], fakes.collect(), 7);
    let deadly = Deadly { after: Duration::ZERO, restarts_after: ms(3_000) };
    let task = TaskName { job: id(1), occurrence: 0, step: 0, member: 0 };
    for fake in &mut site.fakes {
        fake.deadly.insert(task, deadly);
    }
    site.run(ms(5_000));
    site.submit(1, "oven", spec(vec![step(1, 500)]));
    site.run(ms(20_000));
    assert_eq!(site.state(1), Some(State::Failed));
    assert!(site.monitor.crashes(task) <= 3, "{} crashes", site.monitor.crashes(task));
    site.monitor.check();
}
