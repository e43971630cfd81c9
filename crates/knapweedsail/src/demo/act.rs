//! Lays a schedule's faults over a running site.

use std::time::Duration;

use async_io::Timer;
use control::act::Stamp;
use control::act::WaveCommand;
use standin::platform::Faults;
use standin::upstream;

use super::Fault;
use super::Kind;
use super::Schedule;
use super::Site;
use super::host::Host;
use super::stage::Instance;

/// Longest wait for an operator's act.
const ACT: Duration = Duration::from_secs(10);
/// Longest wait for one entry's answer: one that was killed never gives any.
const ASK: Duration = Duration::from_secs(3);
/// Pause before an operator asks again.
const AGAIN: Duration = Duration::from_millis(500);

/// Carries out every fault at its time and waits until the last is over.
pub(super) async fn carry_out(site: Site, schedule: Schedule) {
    let start = control::clock::instant();
    let mut tasks = Vec::new();
    for fault in schedule.0 {
        let due = Duration::from_millis(fault.at_ms);
        Timer::after(due.saturating_sub(start.elapsed())).await;
        tracing::info!(event = "fault", kind = %fault.kind, pick = fault.pick, ms = fault.for_ms);
        let site = site.clone();
        tasks.push(site.executor().clone().spawn(async move { lay(&site, &fault).await }));
    }
    for task in tasks {
        task.await;
    }
}

async fn lay(site: &Site, fault: &Fault) {
    let length = Duration::from_millis(fault.for_ms);
    let data_centres = &site.plan().data_centres;
    let data_centre = &data_centres[fault.pick as usize % data_centres.len()].name;
    match fault.kind {
        Kind::UpstreamCrash => crash(&[pick_instance(site, fault)], length).await,
        Kind::RackLoss => crash(&pick_rack(site, fault), length).await,
        Kind::UpstreamFailsFast => fail_fast(&pick_instance(site, fault), length).await,
        Kind::UpstreamSilent => pick_instance(site, fault).upstream.silence(),
        Kind::Wave => start_waves(site).await,
        Kind::EntryKilled => report("kill", site.kill(&pick_host(site, fault)).await),
        Kind::EntryReplaced => report("replace", site.stop(&pick_host(site, fault)).await),
        Kind::EntryPaused => site.pause(&pick_host(site, fault), length),
        Kind::ListLag => switch(site, "", Faults::LAGGING_LIST, length).await,
        Kind::StoreDown => switch(site, "", Faults::DOWN, length).await,
        Kind::StoreSlow => switch(site, "", Faults::SLOW, length).await,
        Kind::StoreLostReply => switch(site, "", Faults::LOST_REPLY, length).await,
        Kind::CutFromPlatform => switch(site, data_centre, Faults::CUT, length).await,
        Kind::InstanceLeaves => report("swap", site.swap_instance(&pick_instance(site, fault))),
    }
}

fn pick_host(site: &Site, fault: &Fault) -> Host {
    let hosts = site.hosts();
    hosts[fault.pick as usize % hosts.len()].clone()
}

fn pick_instance(site: &Site, fault: &Fault) -> Instance {
    let instances = site.instances();
    instances[fault.pick as usize % instances.len()].clone()
}

fn pick_rack(site: &Site, fault: &Fault) -> Vec<Instance> {
    let rack = pick_instance(site, fault).listed.rack;
    site.instances().into_iter().filter(|instance| instance.listed.rack == rack).collect()
}

async fn crash(instances: &[Instance], length: Duration) {
    for instance in instances {
        instance.upstream.crash();
    }
    Timer::after(length).await;
    for instance in instances {
        // A wave may have restarted it meanwhile: then the address is taken already.
        let _ = instance.upstream.restart();
    }
}

async fn fail_fast(instance: &Instance, length: Duration) {
    instance.upstream.set(upstream::Faults { fails_fast: true, ..upstream::Faults::default() });
    Timer::after(length).await;
    instance.upstream.set(upstream::Faults::default());
}

async fn switch(site: &Site, scope: &str, faults: Faults, length: Duration) {
    site.memory().set(scope, faults);
    Timer::after(length).await;
    site.memory().set(scope, Faults::NONE);
    site.memory().arrive();
}

/// Starts every organisation's waves, as an operator who asks again until it is recorded.
async fn start_waves(site: &Site) {
    let start = control::clock::instant();
    for (organisation, spec) in &site.config().organisations {
        for wave in spec.waves.keys() {
            let operation = format!("demo-{organisation}-{wave}");
            while start.elapsed() < ACT {
                let stamp = Stamp { operation: operation.clone(), author: "demo".to_owned() };
                let Some(host) = site.hosts().into_iter().next() else { return };
                let control = host.daemon().control();
                let (organisation, wave) = (organisation.clone(), wave.clone());
                let order = control.command_wave(stamp, organisation, wave, WaveCommand::Start);
                if super::within(ASK, order).await.is_some_and(|ordered| ordered.is_ok()) {
                    break;
                }
                Timer::after(AGAIN).await;
            }
        }
    }
}

fn report(act: &str, result: std::io::Result<()>) {
    if let Err(error) = result {
        tracing::error!(event = "fault-failed", act, error = %error);
    }
}
