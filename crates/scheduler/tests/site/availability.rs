//! Checks that orders leave enough tasks of each long-running step at work, from what the instances
//! ran, not from what the scheduler believes.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;
use scheduler::job::TaskName;

use super::Monitor;
use super::Site;

/// Time not at work, for any cause, after which a task counts as unavailable.
const NOTICE: Duration = Duration::from_millis(4_500);

/// A task of a long-running step.
#[derive(Clone, Copy, Debug)]
struct Task {
    /// The run that was at work when it was last seen.
    at_work: Option<u32>,
    /// When it was last at work.
    worked_at: Time,
    /// Whether an order has ended its last run at work.
    ordered: bool,
}

/// Which tasks of long-running steps are at work, and the orders that ended too many of them.
#[derive(Clone, Debug, Default)]
pub struct Availability {
    tasks: BTreeMap<TaskName, Task>,
    /// Number of orders that have ended a run at work.
    pub orders: u64,
    pub violations: Vec<String>,
}

impl Availability {
    /// Records which tasks are at work now, after the orders of this moment were judged.
    pub fn observe(&mut self, site: &Site) {
        let now = site.now;
        for task in self.tasks.values_mut() {
            task.at_work = None;
        }
        for fake in &site.fakes {
            for (name, run, works) in fake.long_runs(now) {
                let new = Task { at_work: None, worked_at: now, ordered: false };
                let task = self.tasks.entry(name).or_insert(new);
                if works {
                    // A run that was told to stop ends by the order, whenever it ends.
                    let stopping = task.ordered && task.at_work.is_none() && fake.is_stopping(name);
                    if !stopping {
                        *task = Task { at_work: Some(run), worked_at: now, ordered: false };
                    }
                }
            }
        }
    }

    /// Judges an order that ends a run of a task now.
    pub fn judge(&mut self, now: Time, monitor: &Monitor, name: TaskName, run: u32, cause: &str) {
        let Some(task) = self.tasks.get_mut(&name) else { return };
        if task.at_work != Some(run) || monitor.is_cancelled(name.job) {
            return;
        }
        task.at_work = None;
        task.ordered = true;
        self.orders += 1;
        let max = monitor.step(name).max_unavailable as usize;
        let others = self.tasks.iter().filter(|(other, task)| {
            let same = other.job == name.job && other.step == name.step;
            let unavailable = task.ordered || now.since(task.worked_at) >= NOTICE;
            **other != name && same && other.occurrence == name.occurrence && unavailable
        });
        let others: Vec<String> = others
            .map(|(other, task)| {
                let why = if task.ordered { "ordered" } else { "not at work" };
                format!("{} {why} {:?}", other.member, now.since(task.worked_at))
            })
            .collect();
        if max > 0 && others.len() >= max {
            self.violations.push(format!(
                "{now}: {cause} ends {name} run {run}; {} others are unavailable, and {max} may be: {others:?}",
                others.len()
            ));
        }
    }

    /// Panics if an order ended a task while too many others were unavailable.
    pub fn check(&self) {
        assert!(self.violations.is_empty(), "{:#?}", self.violations);
    }
}
