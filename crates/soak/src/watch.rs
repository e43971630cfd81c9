//! Watches for accepted work that stands still beside free instances.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use fleet::time::Time;
use serde_json::Value;
use sitestand::Instance;
use sitestand::Monitor;
use sitestand::Platform;

use crate::client::Told;
use crate::process::Process;
use crate::proxy::Mood;
use crate::proxy::Proxy;

/// Longest time for which ready work may have nothing running while its pool has room.
const MAX_STANDSTILL: Duration = Duration::from_secs(3);

/// Longest time from the end of a long-running task's run to its next one.
const MAX_DOWNTIME: Duration = Duration::from_secs(6);

/// Time after a disruption in which no work counts as standing still.
pub(crate) const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Interval between two looks.
const LOOK: Duration = Duration::from_millis(100);

/// Time between two looks from which the watch itself counts as having been held up.
const MAX_LOOK_GAP: Duration = Duration::from_millis(500);

/// Failed runs of a task after which its job has failed, as the stand-ins' configuration has it.
pub(crate) const MAX_ATTEMPTS: u64 = 3;

/// What the processes and stand-ins of a site are like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Condition {
    /// Whether all processes run, all of them are reached, and not all nodes were told to stop.
    whole: bool,
    /// Sum of the lives of nodes and instances: grows with each restart that was not planned.
    lives: u64,
}

/// Watches the accepted jobs of a site.
pub(crate) struct Watch {
    /// The stand-ins.
    pub(crate) platform: Rc<Platform>,
    /// The nodes.
    pub(crate) nodes: Rc<RefCell<Vec<Process>>>,
    /// Before the store, one for each node.
    pub(crate) stores: Vec<Rc<Proxy>>,
    /// Before the instances.
    pub(crate) instances: Vec<Rc<Proxy>>,
    /// What callers were told.
    pub(crate) told: Rc<RefCell<Told>>,
    /// Accepted jobs that have not come to their end.
    open: BTreeSet<String>,
    /// Since when jobs, and tasks of long-running steps, have stood still, and how many of their runs
    /// had started by then.
    since: BTreeMap<String, (Time, u64)>,
    /// When tasks of long-running steps were last seen running.
    ran_at: BTreeMap<String, Time>,
    reported: BTreeSet<String>,
    condition: Option<Condition>,
    calm_since: Time,
    /// Since when the leader can start and store what is asked of it.
    unpressed_since: Time,
    looked_at: Time,
}

impl Watch {
    /// A watch over a site that starts at `now`.
    pub(crate) fn new(
        now: Time,
        platform: &Rc<Platform>,
        nodes: &Rc<RefCell<Vec<Process>>>,
        stores: &[Rc<Proxy>],
        instances: &[Rc<Proxy>],
        told: &Rc<RefCell<Told>>,
    ) -> Self {
        Self {
            platform: Rc::clone(platform),
            nodes: Rc::clone(nodes),
            stores: stores.to_vec(),
            instances: instances.to_vec(),
            told: Rc::clone(told),
            open: BTreeSet::new(),
            since: BTreeMap::new(),
            ran_at: BTreeMap::new(),
            reported: BTreeSet::new(),
            condition: None,
            calm_since: now,
            unpressed_since: now,
            looked_at: now,
        }
    }

    /// Looks at all accepted jobs until the executor ends.
    pub(crate) async fn run(mut self) {
        loop {
            Timer::after(LOOK).await;
            self.look(node::clock::now());
        }
    }

    fn look(&mut self, now: Time) {
        let gap = now.since(self.looked_at);
        self.looked_at = now;
        let condition = self.condition();
        if !condition.whole || self.condition != Some(condition) || gap > MAX_LOOK_GAP {
            self.calm_since = now;
            self.platform.monitor.borrow_mut().disturbed_at = now;
        }
        if self.is_pressed() {
            self.unpressed_since = now;
        }
        self.condition = Some(condition);
        let sound = self.sound_instances();
        let mut told = self.told.borrow_mut();
        told.held_up += u64::from(gap > MAX_LOOK_GAP);
        told.calm_since = self.calm_since;
        self.open.extend(std::mem::take(&mut told.newly_accepted));
        let monitor = self.platform.monitor.borrow();
        self.open.retain(|job| {
            let lasts = told.lasting.contains(job);
            let failed = monitor.most_failures(job) >= MAX_ATTEMPTS || monitor.is_deadly(job);
            let ended = monitor.is_done(job) || failed;
            if ended && !lasts {
                told.ended.insert(job.clone(), now);
            }
            !told.leaving.contains(job) && (lasts || !ended)
        });
        let mut standing = BTreeSet::new();
        for job in &self.open {
            let Some(steps) = monitor.submitted.get(job).map(|body| &body["phases"]) else {
                continue;
            };
            for (index, step) in steps.as_array().into_iter().flatten().enumerate() {
                let mut work = ready_work(&monitor, job, index, steps, &mut self.ran_at, now);
                let pool = pool(&sound, told.queue(job));
                if work.is_empty() || !has_room(&pool, job, index, step) {
                    continue;
                }
                if !is_half_free(&pool) {
                    // Only long-running tasks that ran before have to run in a pool that is in use.
                    work.retain(|work| self.ran_at.contains_key(work));
                }
                standing.extend(work);
            }
        }
        self.since.retain(|work, _| standing.contains(work));
        for work in standing {
            // A run may have begun and ended between two looks.
            let starts = monitor.starts_of(&work);
            let entry = self.since.entry(work.clone()).or_insert((now, starts));
            if entry.1 != starts {
                *entry = (now, starts);
            }
            let since = entry.0;
            // What has run has to go on, however much there is to start; the rest may wait its turn.
            let calm_since = if self.ran_at.contains_key(&work) {
                self.calm_since
            } else {
                self.calm_since.max(self.unpressed_since)
            };
            let judged_since = since.max(calm_since + SETTLING_TIME);
            if now.since(judged_since) >= MAX_STANDSTILL && self.reported.insert(work.clone()) {
                let last = self.ran_at.get(&work).copied().unwrap_or(since);
                let stood_ms = now.since(last).as_millis();
                let at = stamp();
                told.broken.push(format!("{at} {work} has stood still for {stood_ms} ms"));
            }
        }
        drop(monitor);
        let violations = std::mem::take(&mut self.platform.monitor.borrow_mut().violations);
        told.broken.extend(violations.iter().map(|violation| format!("{} {violation}", stamp())));
    }

    fn condition(&self) -> Condition {
        let mut nodes = self.nodes.borrow_mut();
        let store = &self.platform.store;
        let store_serves = !store.down.get()
            && !store.drops_answers.get()
            && !store.loses_first_answers.get()
            && store.delay.get().is_zero();
        let mut proxies = self.stores.iter().chain(&self.instances);
        let machines = &self.platform.machines;
        let answers = |dropped: bool, delay: Duration| !dropped && delay.is_zero();
        let reached = proxies.all(|proxy| proxy.mood.get() == Mood::Sound)
            && answers(machines.drops_answers.get(), machines.delay.get());
        // Maintenance is planned work, under which no task may stand still.
        let up = self.platform.instances.iter().all(|instance| {
            answers(instance.drops_answers.get(), instance.delay.get())
                && (!instance.is_down() || instance.is_maintained())
        });
        let stays = nodes.iter().any(|node| !node.leaving);
        let alive = up && stays && nodes.iter_mut().all(|node| node.is_alive() && !node.paused);
        let node_lives: u64 = nodes.iter().map(|node| u64::from(node.lives)).sum();
        let instances = self.platform.instances.iter();
        let crashes: u64 = instances
            .map(|it| it.incarnation.get() + u64::from(it.is_maintained()) - it.maintenances.get())
            .sum();
        Condition { whole: store_serves && reached && alive, lives: node_lives + crashes }
    }

    /// Whether slow answers let the leader start and store less than is asked of it.
    fn is_pressed(&self) -> bool {
        let slow_starts =
            self.platform.instances.iter().any(|it| !it.start_latency.get().is_zero());
        slow_starts || !self.platform.store.transaction_latency.get().is_zero()
    }

    /// Instances that complete what is started on them.
    fn sound_instances(&self) -> Vec<Rc<Instance>> {
        let instances = self.platform.instances.iter().filter(|instance| instance.is_sound());
        instances.cloned().collect()
    }
}

/// Time of the day, as the nodes' logs have it.
fn stamp() -> String {
    let now = node::clock::unix();
    let (hours, minutes) = (now.as_secs() / 3_600 % 24, now.as_secs() / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{:03}", now.as_secs() % 60, now.subsec_millis())
}

/// Ready work of a step of which nothing runs: the job, or tasks of a long-running step.
fn ready_work(
    monitor: &Monitor,
    job: &str,
    index: usize,
    steps: &Value,
    ran_at: &mut BTreeMap<String, Time>,
    now: Time,
) -> Vec<String> {
    let names = |step: usize| {
        let count = steps[step]["count"].as_u64().unwrap_or_default();
        (0..count).map(move |member| format!("{job}.0.{step}.{member}"))
    };
    let earlier = steps[index]["after"].as_array().into_iter().flatten();
    let mut before = earlier.flat_map(|step| names(step.as_u64().unwrap_or_default() as usize));
    if !before.all(|task| monitor.is_task_done(&task)) {
        return Vec::new();
    }
    if steps[index]["longRunning"].as_bool().unwrap_or_default() {
        let mut down = Vec::new();
        for task in names(index) {
            if monitor.is_running(&task) {
                ran_at.insert(task, now);
            } else if ran_at
                .get(&task)
                .is_none_or(|&at| now.since(at) + MAX_STANDSTILL >= MAX_DOWNTIME)
            {
                down.push(task);
            }
        }
        return down;
    }
    let stands = monitor.running(job) == 0 && !names(index).all(|it| monitor.is_task_done(&it));
    if stands { vec![job.to_owned()] } else { Vec::new() }
}

/// Those of the instances that belong to a pool.
fn pool(instances: &[Rc<Instance>], name: &str) -> Vec<Rc<Instance>> {
    let pool = instances.iter().filter(|instance| *instance.service.borrow() == name);
    pool.cloned().collect()
}

/// Whether less than half of the CPU of instances is in use.
fn is_half_free(instances: &[Rc<Instance>]) -> bool {
    let used: u64 = instances.iter().map(|instance| instance.used_cpu()).sum();
    used * 2 < instances.iter().map(|instance| instance.cpu.get()).sum()
}

/// Whether instances have room for two tasks of a step.
fn has_room(instances: &[Rc<Instance>], job: &str, index: usize, step: &Value) -> bool {
    let need = step["cpu"].as_u64().unwrap_or_default().max(1);
    let limit = step["antiAffinity"].as_u64().unwrap_or_default() as usize;
    let mut room = 0;
    instances.iter().any(|instance| {
        let free = instance.cpu.get().saturating_sub(instance.used_cpu()) / need;
        let places = limit.saturating_sub(instance.siblings(job, index));
        room += if limit > 0 { free.min(places as u64) } else { free };
        room >= 2
    })
}
