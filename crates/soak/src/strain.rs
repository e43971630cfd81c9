//! Tasks that crash the instances on which they start, capacities that shrink and grow, and instances that refuse
//! all starts.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use node::rows;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use sitestand::Platform;

use crate::client::Client;
use crate::client::Stage;
use crate::fault::Faults;
use crate::outage;
use crate::outage::Demand;
use crate::process::Process;
use crate::work::RUN_TIME;

/// Interval at which nodes that have ended are started again.
const LOOK: Duration = Duration::from_millis(200);

/// Time after which some instances answer start commands, so that others wait for their turn.
const SLOW_START: Duration = Duration::from_millis(650);

/// One instance in so many is slow.
const SLOW_RATIO: u32 = 4;

/// Tasks of which many wait for their start on one instance, and run on for long.
const DEMAND: Demand = Demand { cpu: 250, run_time: Duration::from_secs(2) };

/// Capacities of an instance in millicores.
const CAPACITIES: [u64; 4] = [8_000, 8_000, 2_000, 1_000];

/// Time for which instances refuse all starts: longer than a job may wait without being counted, after the site has
/// settled from a change of leader.
const REFUSAL_TIME: Duration = Duration::from_secs(11);

/// Time from the first refusal in which leaders end.
const LEADERS_END: Duration = Duration::from_millis(1_500);

/// Lets callers submit deadly jobs for so long, and kills the leader in the midst of it.
///
/// # Errors
///
/// A node can't be started again.
pub(crate) async fn deadly(
    time: Duration,
    random: &ChaCha8Rng,
    faults: &mut Faults,
) -> std::io::Result<()> {
    let mut random = random.clone();
    random.set_stream(u64::MAX - 4);
    let end = node::clock::now() + time;
    let kills_at = node::clock::now() + time.mul_f64(random.random_range(0.3..0.7));
    let mut killed = false;
    while node::clock::now() < end {
        Timer::after(LOOK).await;
        faults.heal(true)?;
        if !killed && node::clock::now() >= kills_at {
            killed = true;
            end_leader(faults, "leader-kill", Process::kill);
        }
    }
    Ok(())
}

/// Ends the leader's node as `end` does.
fn end_leader(faults: &mut Faults, kind: &'static str, end: impl Fn(&mut Process)) {
    *faults.laid.entry(kind).or_default() += 1;
    let leader = faults.platform.store.get(rows::LEADERS, rows::PARTITION, rows::LEADER);
    let mut nodes = faults.nodes.borrow_mut();
    let leads = |name: &str| leader.as_ref().is_some_and(|leader| leader["node"] == *name);
    nodes.iter_mut().filter(|node| leads(&node.name)).for_each(end);
}

/// Has all instances, or all but one, refuse all starts for seconds at a time, for so long. Leaders end meanwhile, some
/// right after others.
///
/// # Errors
///
/// A node can't be started again.
pub(crate) async fn refuse(
    time: Duration,
    random: &ChaCha8Rng,
    faults: &mut Faults,
) -> std::io::Result<()> {
    let mut random = random.clone();
    random.set_stream(u64::MAX - 6);
    let platform = Rc::clone(&faults.platform);
    let set = |refuses: &dyn Fn(usize) -> bool| {
        let instances = platform.instances.iter().enumerate();
        instances.for_each(|(index, it)| it.refuses_starts.set(refuses(index)));
    };
    let end = node::clock::now() + time;
    while node::clock::now() < end {
        let last = platform.instances.len() - 1;
        let spared = random.random_ratio(1, 3).then(|| random.random_range(0..=last));
        set(&|index| Some(index) != spared);
        *faults.laid.entry("instances-refuse").or_default() += 1;
        let began = node::clock::now();
        while node::clock::now().since(began) < REFUSAL_TIME {
            Timer::after(LOOK).await;
            faults.heal(true)?;
            if node::clock::now().since(began) < LEADERS_END && random.random_ratio(1, 4) {
                match random.random_ratio(1, 2) {
                    true => end_leader(faults, "leader-stop", |node| node.signal(Signal::TERM)),
                    false => end_leader(faults, "leader-kill", Process::kill),
                }
            }
        }
        set(&|_| false);
        Timer::after(Duration::from_millis(random.random_range(500..2_000))).await;
    }
    Ok(())
}

/// Has `clients` submit more than the instances can do, while these have no admission check and their
/// capacities shrink and grow, for so long.
pub(crate) async fn shrink(
    time: Duration,
    random: &ChaCha8Rng,
    clients: Vec<Client>,
    platform: &Rc<Platform>,
    executor: &Rc<LocalExecutor<'static>>,
) {
    let mut random = random.clone();
    random.set_stream(u64::MAX - 5);
    let set_run_time = |time: Duration| {
        platform.instances.iter().for_each(|instance| instance.task_duration.set(time));
    };
    set_run_time(DEMAND.run_time);
    platform.set_admission_checks(false);
    platform.reconfigure();
    let stage = Rc::new(Cell::new(Stage::Busy));
    let sent = Rc::new(RefCell::default());
    for mut client in clients {
        client.stage = Rc::clone(&stage);
        let pressing = outage::press(client, DEMAND, Rc::clone(&sent));
        executor.spawn(pressing).detach();
    }
    for instance in &platform.instances {
        let slow = random.random_ratio(1, SLOW_RATIO);
        instance.start_latency.set(if slow { SLOW_START } else { Duration::ZERO });
    }
    let end = node::clock::now() + time;
    while node::clock::now() < end {
        let instance = &platform.instances[random.random_range(0..platform.instances.len())];
        instance.cpu.set(CAPACITIES[random.random_range(0..CAPACITIES.len())]);
        let pause = random.random_range(20..400);
        Timer::after(Duration::from_millis(pause)).await;
    }
    stage.set(Stage::Over);
    platform.instances.iter().for_each(|instance| instance.cpu.set(CAPACITIES[0]));
    platform.instances.iter().for_each(|instance| instance.start_latency.set(Duration::ZERO));
    set_run_time(RUN_TIME);
    platform.set_admission_checks(true);
    platform.reconfigure();
}
