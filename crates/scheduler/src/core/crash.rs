//! Handles crashes of instances: counts them against the tasks that ran there, runs suspects apart,
//! and fails jobs with a task that crashes its instances.
//!
//! An instance runs many tasks, and a crash does not show which of them caused it. So the count
//! alone convicts nobody: a suspect is tried again on an instance of its own.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use super::attribution::Attribution;
use super::attribution::Counted;
use super::attribution::MAX_LIST_WAIT;
use crate::instance;
use crate::instance::Instance;
use crate::job::Id;
use crate::job::Job;
use crate::job::Phase;
use crate::job::State;
use crate::job::Suspicion;
use crate::job::TaskKey;

/// Number of crashes under a task after which its job fails, if it must have caused the last one: it
/// was the only suspect there, and its run had just started. One more is needed if its run had lasted
/// for longer, or if it is not known whether runs had started.
const MIN_CRASHES: u32 = 2;

/// That number for a long-running task, which starts again after each crash and so is hit by many.
const MIN_LONG_RUNNING_CRASHES: u32 = 3;

/// Number of crashes under a task after which its job fails although others may have caused them, if
/// its runs had lasted for about the same time; one more if the last one had lasted for less than
/// [`MAX_YOUNG_AGE`].
const MAX_CRASHES: u32 = 4;

/// See [`MAX_CRASHES`]. Long-running tasks may be hit by many crashes.
const MAX_YOUNG_AGE: Duration = Duration::from_secs(2);

/// A run that had lasted for longer when its instance crashed is no suspect after one crash, while
/// this leader does not know how fast tasks crash their instances.
const LIKELY_AGE: Duration = Duration::from_millis(300);

/// Bounds of that age once this leader has learnt it.
const LEARNT_AGES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Runs that had lasted for this multiple of another run's time when their instance crashed are less
/// likely to have caused the crash.
const YOUNGER_FACTOR: u32 = 4;

/// Uncertainty of the time for which a run had lasted.
const AGE_MARGIN: Duration = Duration::from_millis(50);

/// Instances that crash within this time of each other crash together.
const MASS_WINDOW: Duration = Duration::from_millis(300);

/// Minimum number of instances that crash together for a common cause to be likely.
const MIN_MASS: usize = 3;

/// Time for which the runs on an instance are remembered after their leases have expired.
const LAPSED_RETENTION: Duration = Duration::from_secs(60);

/// Time for which the store may lack that a run has ended with its instance.
const MAX_RESTORED_AGE: Duration = Duration::from_secs(10);

/// Maximum share of a pool's open instances on which suspects run at a time.
const MAX_TRIAL_SHARE: f64 = 0.25;

/// Maximum share for suspects that have waited for [`SHARE_WAIT`].
const MAX_LATE_TRIAL_SHARE: f64 = 0.5;

/// Maximum number of jobs whose suspects share an instance.
const MAX_TRIAL_JOBS: usize = 4;

/// Time for which a suspect waits for an instance without other suspects. Many tasks can become
/// suspects at once, and must not stand still.
const APART_WAIT: Duration = Duration::from_millis(300);

/// Time for which a suspect waits for one of [`MAX_TRIAL_SHARE`] of the instances.
const SHARE_WAIT: Duration = Duration::from_millis(1_200);

/// A run that an instance may have had in progress when it crashed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Victim {
    pub(super) task: TaskKey,
    /// Whether it is known to have started.
    known: bool,
    /// Whether a leader has recorded that it orders the end of the run.
    evicted: bool,
    /// For how long it had run at least; zero if that is unknown.
    min_age: Duration,
    /// For how long it had run at most.
    max_age: Duration,
}

/// When an instance was last seen alive, and first silent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sighting {
    pub(super) alive_at: Time,
    pub(super) silent_at: Time,
}

/// The runs on an instance whose leases expired while it was unresponsive.
#[derive(Clone, Debug)]
struct Lapsed {
    incarnation: u64,
    at: Time,
    sighting: Sighting,
    victims: Vec<Victim>,
}

/// What is known of crashes in this term.
#[derive(Clone, Debug, Default)]
pub(super) struct Tracker {
    /// Number of instances that have crashed with tasks.
    pub(super) count: u64,
    /// Longest time from the start of a run to the crash that it caused, as far as is known.
    learnt_age: Option<Duration>,
    /// When instances have crashed lately.
    pub(super) recent: BTreeMap<instance::Key, Time>,
    /// Until the instances answer again, which shows whether they have crashed.
    lapsed: BTreeMap<instance::Key, Lapsed>,
    /// Instances that the list showed to have restarted since the rows of their tasks were written, and
    /// when it did: their first heartbeats tell which runs have ended.
    restarted: BTreeMap<instance::Key, Time>,
    /// Ends of instances that count as crashes until lists of machines show what has ended them.
    pub(super) attributions: Vec<Attribution>,
    /// Machine of each instance, also of those that are over.
    pub(super) hosts: BTreeMap<String, String>,
}

impl Core {
    /// Number of instances that have crashed with tasks in this term.
    pub const fn crashes(&self) -> u64 {
        self.crashes.count
    }

    /// Number of tasks of active jobs that are suspected of crashing instances.
    pub fn suspects(&self) -> usize {
        let jobs = self.active.iter().filter_map(|id| self.jobs.get(id));
        jobs.map(|job| job.tasks.iter().filter(|task| task.is_suspect()).count()).sum()
    }

    /// When an instance was last seen alive, and first silent.
    pub(super) fn sighting(&self, now: Time, key: instance::Key) -> Sighting {
        let instance = self.instance(key);
        let silent_at = instance.unresponsive_since.unwrap_or(now);
        if instance.reading.is_none() {
            // This leader has not heard of it: what previous ones started there may have ended before.
            let silent_at = self.crashes.restarted.get(&key).copied().unwrap_or(silent_at);
            return Sighting { alive_at: silent_at - MAX_RESTORED_AGE, silent_at };
        }
        Sighting { alive_at: instance.answered_at.min(silent_at), silent_at }
    }

    /// The runs that may be in progress on an instance and were started on an incarnation before
    /// `before`. Leaves out those of which it is unknown whether they have started if the instance may have
    /// ended before they were placed there.
    ///
    /// Handles the loss of a rack: its idle instances are not called, and the list names them for some
    /// seconds more. Each task that is placed there meanwhile would count a crash.
    pub(super) fn victims(
        &self,
        key: instance::Key,
        sighting: Sighting,
        before: Option<u64>,
    ) -> Vec<Victim> {
        let instance = self.instance(key);
        let sent = instance.tasks.difference(&instance.superseded).filter(|task| {
            let task = &self.jobs[&task.job].tasks[task.index as usize];
            let earlier =
                before.is_none_or(|before| task.incarnation > 0 && task.incarnation < before);
            let known = matches!(task.phase, Phase::Running(_));
            let seen = known || instance::was_seen(sighting.alive_at, task.placed_at);
            task.phase.is_sent() && earlier && seen
        });
        let victim = |&key: &TaskKey| {
            let task = &self.jobs[&key.job].tasks[key.index as usize];
            let known = matches!(task.phase, Phase::Running(_));
            let age_at = |at: Time| if known { at.since(task.since) } else { Duration::ZERO };
            let (min_age, max_age) = (age_at(sighting.alive_at), age_at(sighting.silent_at));
            let evicted = task.evicted_run == Some(task.run);
            Victim { task: key, known, evicted, min_age, max_age }
        };
        sent.map(victim).collect()
    }

    /// Counts the crash of an instance against the runs that it had in progress, and fails the jobs
    /// of those that have crashed their instances.
    pub(super) fn record_crash(
        &mut self,
        now: Time,
        key: instance::Key,
        sighting: Sighting,
        victims: &[Victim],
    ) {
        // A machine operation ends all runs at once, so that one which was evicted stands for the others.
        let evicted = victims.iter().any(|victim| victim.evicted);
        if victims.is_empty() || evicted || self.has_ended_by_order(key, sighting) {
            return;
        }
        self.crashes.count += 1;
        self.crashes.recent.insert(key, sighting.silent_at);
        let mass = self.is_mass_crash(key, sighting.silent_at);
        // Runs of ended jobs may have caused the crash as well.
        let victims: Vec<Victim> = victims
            .iter()
            .filter(|victim| {
                self.jobs
                    .get(&victim.task.job)
                    .is_some_and(|job| job.tasks[victim.task.index as usize].phase != Phase::Done)
            })
            .copied()
            .collect();
        let likely_age = self.likely_age();
        let suspects = victims.iter().filter(|victim| self.is_suspect(victim.task));
        let on_trial: BTreeSet<Id> = suspects.map(|victim| victim.task.job).collect();
        let mut attribution = Attribution::new(key, now, sighting);
        for victim in &victims {
            let Some(job) = self.jobs.get_mut(&victim.task.job) else { continue };
            if job.state != State::Active {
                continue;
            }
            let long_running = job.step(victim.task.index).long_running;
            let likely = !mass && victim.min_age <= likely_age;
            if long_running && !likely {
                // It runs all the time, so that any crash hits it; only one soon after its start tells.
                continue;
            }
            let task = &mut job.tasks[victim.task.index as usize];
            let was_suspect = task.is_suspect();
            let before = task.suspicion;
            task.suspicion.record_crash(victim.max_age, likely, victim.known);
            let crashes = task.suspicion.crashes;
            let alone = was_suspect && on_trial.len() == 1;
            let guilty = alone && is_youngest(victim, &victims, likely_age);
            let known = task.suspicion.known_crashes();
            let (min, max) = if long_running {
                (MIN_LONG_RUNNING_CRASHES, MAX_CRASHES)
            } else {
                (MIN_CRASHES, MIN_CRASHES)
            };
            let convicting = match (guilty && !mass, likely) {
                (true, true) => known >= min || crashes > max,
                (true, false) => known > min,
                (false, _) => false,
            };
            let repeated = known >= MAX_CRASHES && task.suspicion.is_consistent();
            let young = victim.max_age <= MAX_YOUNG_AGE;
            let convicted = convicting || repeated || (young && crashes > MAX_CRASHES);
            if convicted {
                // Nothing of it starts before it is known whether the job fails.
                job.retry_at = now + MAX_LIST_WAIT;
            }
            attribution.counted.push(Counted {
                task: victim.task,
                known: victim.known,
                before,
                after: task.suspicion,
                convicted,
            });
            self.dirty.insert(victim.task.job);
        }
        info!(
            event = "crash",
            runner = self.instance(key).report.id,
            tasks = victims.len(),
            suspects = victims.iter().filter(|victim| self.is_suspect(victim.task)).count(),
            on_trial = on_trial.len(),
            mass,
            silent_ms = now.since(sighting.silent_at).as_millis(),
        );
        self.crashes.attributions.push(attribution);
    }

    /// Fails a job with a task that crashes its instances.
    pub(super) fn convict(&mut self, now: Time, task: TaskKey, suspicion: Suspicion) {
        let job = &self.jobs[&task.job];
        if job.state != State::Active {
            return;
        }
        let learnt = suspicion.min_age().max(self.crashes.learnt_age.unwrap_or_default());
        self.crashes.learnt_age = Some(learnt);
        let (id, name, crashes) = (task.job, job.task_name(task.index), suspicion.crashes);
        info!(event = "job", job = %id, state = "failed", task = %name, reason = "crashes", crashes);
        self.end_job(now, id, State::Failed);
    }

    /// Age up to which a run may have caused the crash of its instance.
    fn likely_age(&self) -> Duration {
        let (least, most) = LEARNT_AGES;
        let learnt = self.crashes.learnt_age;
        learnt.map_or(LIKELY_AGE, |age| (age * YOUNGER_FACTOR).clamp(least, most))
    }

    /// Whether an instance crashed at about `at` together with so many others that a common cause is
    /// likely: half of its rack, or a quarter of all.
    ///
    /// Handles losses of racks, of power and of links: they say little about the tasks there.
    fn is_mass_crash(&self, key: instance::Key, at: Time) -> bool {
        let near = |other: Time| other.since(at).max(at.since(other)) <= MASS_WINDOW;
        let rack = self.instance(key).rack();
        let (mut crashed, mut total, mut crashed_in_rack, mut total_in_rack) = (0, 0, 0, 0);
        for (key, instance) in self.instances() {
            let busy = !instance.tasks.is_empty();
            let has_crashed = self.crashes.recent.get(&key).copied().is_some_and(near)
                || (busy && instance.unresponsive_since.is_some_and(near));
            if has_crashed || busy {
                let in_rack = usize::from(instance.rack() == rack);
                total += 1;
                total_in_rack += in_rack;
                crashed += usize::from(has_crashed);
                crashed_in_rack += usize::from(has_crashed) * in_rack;
            }
        }
        (crashed_in_rack >= MIN_MASS && crashed_in_rack * 2 >= total_in_rack)
            || (crashed >= MIN_MASS && crashed * 4 >= total)
    }

    /// Remembers the runs on an instance whose leases have expired: if it has crashed, the next
    /// incarnation will show it.
    pub(super) fn remember_lapsed(&mut self, now: Time, key: instance::Key) {
        self.crashes.lapsed.retain(|_, lapsed| now.since(lapsed.at) < LAPSED_RETENTION);
        let sighting = self.sighting(now, key);
        let victims = self.victims(key, sighting, None);
        let incarnation = self.instance(key).incarnation;
        if !victims.is_empty() && incarnation > 0 {
            let lapsed = Lapsed { incarnation, at: now, sighting, victims };
            self.crashes.lapsed.insert(key, lapsed);
        }
    }

    /// Counts a crash against the runs on an instance whose leases had expired, if the instance has
    /// restarted since.
    pub(super) fn settle_lapsed(&mut self, now: Time, key: instance::Key, incarnation: u64) {
        let Some(lapsed) = self.crashes.lapsed.remove(&key) else { return };
        if incarnation > lapsed.incarnation {
            self.record_crash(now, key, lapsed.sighting, &lapsed.victims);
        }
    }

    /// Records that the list shows an instance to have restarted since a restored run was placed there.
    ///
    /// Handles the loss of many instances between two terms: the first that answers is known not to be the
    /// only one.
    pub(super) fn expect_crash(&mut self, now: Time, key: instance::Key) {
        self.crashes.restarted.insert(key, now);
        self.crashes.recent.insert(key, now);
    }

    /// Whether a task is suspected of crashing instances.
    fn is_suspect(&self, key: TaskKey) -> bool {
        let task = self.jobs.get(&key.job).and_then(|job| job.tasks.get(key.index as usize));
        task.is_some_and(|task| task.is_suspect())
    }

    /// Clears a task of suspicion that has run for long enough on an instance.
    pub(super) fn refute_suspicion(&mut self, key: instance::Key, task: TaskKey) {
        let alive_at = self.instance(key).answered_at;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let name = job.task_name(task.index);
        let state = &mut job.tasks[task.index as usize];
        let running = matches!(state.phase, Phase::Running(_));
        if state.suspicion.crashes == 0 || !running {
            return;
        }
        if state.suspicion.is_refuted(state.since, alive_at) {
            info!(event = "clear", task = %name, run = state.run, crashes = state.suspicion.crashes);
            state.suspicion = Default::default();
            self.instance_mut(key).trials.remove(&task);
            self.dirty.insert(task.job);
        }
    }

    /// Clears a task of suspicion whose run has ended by itself.
    pub(super) fn clear_suspicion(&mut self, key: instance::Key, task: TaskKey) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.tasks[task.index as usize].suspicion = Default::default();
        self.instance_mut(key).trials.remove(&task);
    }

    /// Whether an instance may not take a task because a suspect of another job runs there, or
    /// because the task is a suspect and has to wait for a better place.
    pub(super) fn is_on_trial(
        &self,
        now: Time,
        job: &Job,
        index: u32,
        instance: &Instance,
    ) -> bool {
        let task = &job.tasks[index as usize];
        let mut others = instance.trials.iter().filter(|other| other.job != job.id).peekable();
        if !task.is_suspect() {
            return others.peek().is_some();
        }
        let waited = now.since(task.since);
        if others.peek().is_some() {
            let crashed_once = |key: &TaskKey| {
                self.jobs[&key.job].tasks[key.index as usize].suspicion.crashes < MIN_CRASHES
            };
            let jobs: BTreeSet<Id> = instance.trials.iter().map(|other| other.job).collect();
            return waited < APART_WAIT
                || task.suspicion.crashes >= MIN_CRASHES
                || jobs.len() >= MAX_TRIAL_JOBS
                || !others.all(crashed_once);
        }
        let share = if waited < SHARE_WAIT { MAX_TRIAL_SHARE } else { MAX_LATE_TRIAL_SHARE };
        instance.trials.is_empty() && self.has_many_trials(now, &job.service, share)
    }

    /// Whether suspects run on a share of a pool's open instances, one at least.
    fn has_many_trials(&self, now: Time, service: &str, share: f64) -> bool {
        let pool = self.pools.get(service).into_iter().flatten();
        let open = pool.map(|&key| self.instance(key)).filter(|it| it.accepts_tasks(now));
        let (trials, total) = open.fold((0, 0), |(trials, total), instance| {
            (trials + usize::from(!instance.trials.is_empty()), total + 1)
        });
        trials as f64 >= (f64::from(total) * share).max(1.0)
    }

    /// Whether a job waits for a place for a suspect.
    pub(super) fn awaits_trial(&self, id: Id) -> bool {
        self.jobs.get(&id).is_some_and(|job| {
            job.tasks.iter().any(|task| task.phase == Phase::Ready && task.is_suspect())
        })
    }
}

/// Whether a run is much younger than those of other jobs on its instance, or those had lasted for
/// longer than `likely_age`.
fn is_youngest(run: &Victim, victims: &[Victim], likely_age: Duration) -> bool {
    let least = (run.max_age * YOUNGER_FACTOR + AGE_MARGIN).min(likely_age);
    victims.iter().all(|other| other.task.job == run.task.job || other.max_age >= least)
}
