//! Machines of a simulated site, which carry out calls at once.

use std::time::Duration;

use fleet::time::Time;
use scheduler::machine::Machine;
use scheduler::machine::Operation;
use scheduler::machine::Outcome;
use scheduler::machine::State;

use super::Fake;
use super::Site;
use super::ms;

/// An instance that is down for longer counts as gone from the site, with its machine.
pub const GONE_AFTER: Duration = Duration::from_secs(1_000);

/// A site with pools of 32-core instances, each on its own machine; a pool named `spare` is standby.
pub fn site(pools: &[(&str, usize)]) -> Site {
    let mut fakes = Vec::new();
    for (pool, count) in pools {
        for n in 0..*count {
            let mut fake = Fake::new(&format!("{pool}-{n}"), pool, &format!("r{}", n % 3));
            fake.capacity.cpu = 32_000;
            fake.capacity.memory = 64_000;
            fakes.push(fake);
        }
    }
    let names: Vec<&str> = pools.iter().map(|(name, _)| *name).collect();
    let mut site = Site::new(&names, fakes, 3);
    site.lists_machines = false;
    if let Some(spare) = site.config.services.get_mut("spare") {
        spare.standby = true;
    }
    site.config.version += 1;
    let config = site.config.clone();
    site.core().configure(config);
    site.run(ms(200));
    site
}

pub fn machines(site: &Site) -> Vec<Machine> {
    let present = site.fakes.iter().filter(|fake| fake.down_until < site.now + GONE_AFTER);
    let machines = present.map(|fake| Machine {
        host: format!("m-{}", fake.id),
        pool: fake.service.clone(),
        state: State::Up,
        instance: fake.id.clone(),
        cpu: 32_000,
    });
    machines.collect()
}

/// Runs the site for `time` with machines that carry out calls at once. Returns all calls.
pub fn run_with_machines(site: &mut Site, time: Duration) -> Vec<(Time, Operation)> {
    let mut calls = Vec::new();
    let end = site.now + time;
    while site.now < end {
        let now = site.now;
        let listed = machines(site);
        site.core().apply_machines(now, now, listed);
        for call in site.core().machine_calls(now) {
            calls.push((now, call.operation.clone()));
            site.core().apply_operation_result(now, &call.operation, Outcome::Accepted);
            carry_out(site, &call.operation);
        }
        // A call has to be recorded in the store before it is made.
        let hosts = site.core().take_call_hosts(10);
        if !hosts.is_empty() {
            site.core().begin_write(super::LIMITS);
            site.core().finish_write(now);
        }
        site.run(ms(100));
    }
    calls
}

pub fn carry_out(site: &mut Site, operation: &Operation) {
    let now = site.now;
    let found = site.fakes.iter().position(|fake| format!("m-{}", fake.id) == operation.host());
    let index = found.expect("the machine exists");
    let after = if matches!(operation, Operation::Move { .. }) { ms(1_500) } else { ms(2_000) };
    let fake = &mut site.fakes[index];
    fake.crash(now, after, &mut site.monitor);
    if let Operation::Move { pool, .. } = operation {
        fake.service.clone_from(pool);
    }
}
