//! Holds what runners are told against the rules on jobs, and joins the members of gangs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::record::Record;
use crate::runner::Work;

/// What a step asks for, as its client submitted it.
#[derive(Clone, Debug, Default)]
pub struct Step {
    pub count: usize,
    pub after: Vec<usize>,
    pub requires: String,
    pub anti_affinity: usize,
    pub lasts: bool,
}

/// A job, as its client submitted it.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    pub spec: String,
    pub steps: Vec<Step>,
    pub max_attempts: usize,
    /// Number of occurrences; zero if the job has no times.
    pub repeats: u32,
    pub first_ms: u64,
    pub interval_ms: u64,
    /// When its cancelling was acknowledged.
    pub cancelled: Option<Instant>,
    pub rejected: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Note {
    Open,
    Noted,
    /// The lease lapsed before.
    Void,
}

#[derive(Debug)]
struct End {
    runner: String,
    run: u64,
    how: &'static str,
    note: Note,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Gang {
    pub complete: bool,
    pub broken: bool,
    pub done: bool,
}

#[derive(Default)]
struct State {
    jobs: BTreeMap<String, Asked>,
    /// Runs under way, by task: runner and run.
    running: BTreeMap<String, Vec<(String, u64)>>,
    ends: BTreeMap<String, Vec<End>>,
    /// Starts after an end: of a task, after the ends that were there, with their number.
    restarts: Vec<(String, usize)>,
    /// Members of gangs that are there, by gang and run.
    gangs: BTreeMap<(String, u64), (BTreeSet<String>, usize, Gang)>,
    /// Checkpoint of each gang's run.
    saved: BTreeMap<(String, u64), String>,
    broken: Vec<String>,
}

pub struct Judge {
    state: Mutex<State>,
    record: Record,
}

fn parts(task: &str) -> (String, u32, usize, usize) {
    let mut parts = task.split('.');
    let job = parts.next().unwrap_or_default().to_owned();
    let mut number = || parts.next().and_then(|text| text.parse().ok()).unwrap_or(0);
    let (occurrence, step, index) = (number(), number(), number());
    (job, occurrence as u32, step, index)
}

fn gang_of(task: &str) -> String {
    task.rsplit_once('.').map_or(task, |(gang, _)| gang).to_owned()
}

impl Judge {
    pub fn new(record: &Record) -> Self {
        Self { state: Mutex::default(), record: record.clone() }
    }

    pub fn asked(&self, id: &str, asked: Asked) {
        self.state.lock().unwrap().jobs.insert(id.to_owned(), asked);
    }

    pub fn rejected(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        if state.running.keys().any(|task| task.starts_with(id)) || state.ends.keys().any(|it| it.starts_with(id)) {
            self.broken(&mut state, format!("REFUSED {id} has run, and all attempts were rejected"));
        }
        if let Some(job) = state.jobs.get_mut(id) {
            job.rejected = true;
        }
    }

    pub fn cancelled(&self, id: &str) {
        if let Some(job) = self.state.lock().unwrap().jobs.get_mut(id) {
            job.cancelled.get_or_insert_with(Instant::now);
        }
    }

    fn broken(&self, state: &mut State, text: String) {
        self.record.tell(&format!("BROKEN {text}"));
        state.broken.push(text);
    }

    pub fn started(
        &self,
        runner: &str,
        labels: &[String],
        here: &[String],
        task: &str,
        run: u64,
        spec: &str,
        checkpoint: &str,
    ) {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let (job, occurrence, step, _) = parts(task);
        let what = format!("{task} run {run} on {runner}");
        let Some(asked) = state.jobs.get(&job).cloned() else {
            // Cases that don't register their jobs.
            state.running.entry(task.to_owned()).or_default().push((runner.to_owned(), run));
            return;
        };
        if asked.spec != spec || step >= asked.steps.len() {
            self.broken(state, format!("UNASKED {what}: spec {spec}"));
            return;
        }
        let work = Work::of(spec, task);
        if asked.rejected {
            self.broken(state, format!("REFUSED {what}"));
        }
        if asked.cancelled.is_some_and(|at| at.elapsed() > Duration::from_millis(3_000)) {
            self.broken(state, format!("UNASKED {what}: cancelled before"));
        }
        let others = state.running.get(task).cloned().unwrap_or_default();
        if !others.is_empty() {
            self.broken(state, format!("TWICE {what}: beside {others:?}"));
        }
        let asked_step = &asked.steps[step];
        for &before in &asked_step.after {
            for index in 0..asked.steps[before].count {
                let earlier = format!("{job}.{occurrence}.{before}.{index}");
                let gang = Work::of(spec, &earlier).gang > 0;
                let is_done = |task: &str| {
                    state.ends.get(task).is_some_and(|ends| ends.iter().any(|end| end.how == "done"))
                };
                let done = if gang {
                    (0..asked.steps[before].count).any(|index| is_done(&format!("{job}.{occurrence}.{before}.{index}")))
                } else {
                    is_done(&earlier)
                };
                if !done {
                    self.broken(state, format!("ORDER {what}: before {earlier} is done"));
                }
            }
        }
        if asked.repeats > 0 {
            let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64;
            let due = asked.first_ms + u64::from(occurrence) * asked.interval_ms;
            if unix + 250 < due {
                self.broken(state, format!("ORDER {what}: {} ms early", due - unix));
            }
            if occurrence >= asked.repeats {
                self.broken(state, format!("UNASKED {what}: no such occurrence"));
            }
        }
        if !asked_step.requires.is_empty() && !labels.contains(&asked_step.requires) {
            self.broken(state, format!("ROUTE {what}: lacks {}, has {labels:?}", asked_step.requires));
        }
        let siblings = here.iter().filter(|other| gang_of(other) == gang_of(task)).count();
        if asked_step.anti_affinity > 0 && siblings >= asked_step.anti_affinity {
            self.broken(state, format!("ROUTE {what}: {siblings} siblings there"));
        }
        if !checkpoint.is_empty() {
            let owner = checkpoint.rsplit_once('/').map_or("", |(owner, _)| owner);
            let own = if work.gang > 0 { gang_of(owner) == gang_of(task) } else { owner == task };
            if !own {
                self.broken(state, format!("UNASKED {what}: checkpoint {checkpoint}"));
            }
        }
        if work.gang > 0 {
            let key = (gang_of(task), run);
            let first = state.saved.entry(key.clone()).or_insert_with(|| checkpoint.to_owned()).clone();
            if first != checkpoint {
                self.broken(state, format!("UNASKED {what}: checkpoint {checkpoint}, others {first}"));
            }
            let entry = state.gangs.entry(key).or_insert_with(|| (BTreeSet::new(), work.gang, Gang::default()));
            entry.0.insert(task.to_owned());
            if entry.0.len() >= entry.1 {
                entry.2.complete = true;
            }
        }
        let known = state.ends.get(task).map_or(0, Vec::len);
        if known > 0 {
            state.restarts.push((task.to_owned(), known));
        }
        state.running.entry(task.to_owned()).or_default().push((runner.to_owned(), run));
        self.check(state, task);
    }

    /// Starts after ends that are taken note of.
    fn check(&self, state: &mut State, task: &str) {
        let Some(asked) = state.jobs.get(&parts(task).0).cloned() else { return };
        if asked.steps.get(parts(task).2).is_some_and(|step| step.lasts) {
            return;
        }
        let mut found = Vec::new();
        for (restarted, known) in state.restarts.iter().filter(|(it, _)| it == task) {
            let ends = &state.ends[restarted][..*known];
            if ends.iter().any(|end| end.how == "done" && end.note == Note::Noted) {
                found.push(format!("TWICE {restarted}: a start after a run was done and taken note of"));
            }
            let failed = ends.iter().filter(|end| end.how == "failed" && end.note == Note::Noted).count();
            if failed >= asked.max_attempts {
                found.push(format!("BUDGET {restarted}: a start after {failed} failed runs"));
            }
        }
        for text in found {
            if !state.broken.contains(&text) {
                self.broken(state, text);
            }
        }
    }

    pub fn ended(&self, runner: &str, task: &str, run: u64, how: &'static str) {
        let mut state = self.state.lock().unwrap();
        if let Some(running) = state.running.get_mut(task) {
            running.retain(|known| *known != (runner.to_owned(), run));
        }
        let end = End { runner: runner.to_owned(), run, how, note: Note::Open };
        state.ends.entry(task.to_owned()).or_default().push(end);
        if let Some((_, _, gang)) = state.gangs.get_mut(&(gang_of(task), run)) {
            if how == "done" {
                gang.done = true;
            } else if !gang.done {
                gang.broken = true;
            }
        }
    }

    /// The gang of a task's run; none if it has none.
    pub fn gang(&self, task: &str, run: u64) -> Option<Gang> {
        self.state.lock().unwrap().gangs.get(&(gang_of(task), run)).map(|(_, _, gang)| *gang)
    }

    /// The lease of a runner has lapsed: ends that nobody has taken note of are not taken note of later.
    pub fn lapsed(&self, runner: &str) {
        let mut state = self.state.lock().unwrap();
        for end in state.ends.values_mut().flatten().filter(|end| end.runner == runner && end.note == Note::Open) {
            end.note = Note::Void;
        }
    }

    /// A runner has crashed, and its list of ends is gone.
    pub fn forget(&self, runner: &str) {
        self.lapsed(runner);
    }

    pub fn noted(&self, runner: &str, task: &str, run: u64, how: &str) {
        let mut state = self.state.lock().unwrap();
        for end in state.ends.get_mut(task).into_iter().flatten() {
            if end.runner == runner && end.run == run && end.how == how && end.note == Note::Open {
                end.note = Note::Noted;
            }
        }
        self.check(&mut state, task);
    }

    pub fn all_broken(&self) -> Vec<String> {
        self.state.lock().unwrap().broken.clone()
    }

    /// Whether all tasks of a job are done; those of a gang if one is.
    pub fn is_done(&self, id: &str) -> bool {
        let state = self.state.lock().unwrap();
        let Some(asked) = state.jobs.get(id) else { return false };
        let done = |task: String| {
            state.ends.get(&task).is_some_and(|ends| ends.iter().any(|end| end.how == "done"))
        };
        (0..asked.repeats.max(1)).all(|occurrence| {
            asked.steps.iter().enumerate().all(|(step, it)| {
                let name = |index: usize| format!("{id}.{occurrence}.{step}.{index}");
                let gang = Work::of(&asked.spec, &name(0)).gang > 0;
                if gang { (0..it.count).any(|index| done(name(index))) } else { (0..it.count).all(|index| done(name(index))) }
            })
        })
    }

    /// Number of failed runs of the task of a job that has most, or of a gang.
    pub fn most_failures(&self, id: &str) -> usize {
        let state = self.state.lock().unwrap();
        let mut most = 0;
        let mut gangs: BTreeMap<String, usize> = BTreeMap::new();
        for (task, ends) in state.ends.range(id.to_owned()..).take_while(|(task, _)| task.starts_with(id)) {
            let failed = ends.iter().filter(|end| end.how == "failed").count();
            most = most.max(failed);
            *gangs.entry(gang_of(task)).or_default() += failed;
        }
        let of_gangs = gangs.iter().filter(|(gang, _)| {
            state.gangs.keys().any(|(known, _)| known == *gang)
        });
        most.max(of_gangs.map(|(_, failed)| *failed).max().unwrap_or(0))
    }
}
