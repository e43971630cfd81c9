//! Jobs: submitted and cancelled as the trace says, placed by their duty, run by the crew.

use std::time::Duration;

use fleet::decision::Decision;
use fleet::fact::Fact;
use fleet::instance::State;
use fleet::job;
use fleet::job::Submit;
use fleet::time::Time;
use rand::Rng;

use super::Replay;
use super::duty::Holder;
use crate::fake::Known;
use crate::fake::Task;
use crate::policy::Decide;
use crate::replica::Fate;
use crate::trace::Storm;

/// A job that is still to be submitted.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) at: Time,
    name: String,
    storm: Storm,
    time_percent: u32,
    size_percent: u32,
}

impl<D: Decide> Replay<D> {
    /// Notes the jobs of a storm, each with what its task will really take.
    pub(super) fn brew(&mut self, storm: &Storm, now: Time) {
        let (from, to) = storm.real_percent;
        for number in 0..storm.count {
            let spread = storm.over_ms * u64::from(number) / u64::from(storm.count.max(1));
            self.arrivals.push(Arrival {
                at: now + Duration::from_millis(spread),
                name: format!("{}{number}", storm.prefix),
                storm: storm.clone(),
                time_percent: self.rng.random_range(from..=to.max(from)),
                size_percent: self.rng.random_range(from..=to.max(from)),
            });
        }
        self.arrivals.sort_by_key(|arrival| std::cmp::Reverse(arrival.at));
    }

    /// Cancels the first jobs whose names begin so, as far as they are open.
    pub(super) fn cancel(&mut self, prefix: &str, count: u32, now: Time) {
        for number in 0..count {
            let name = format!("{prefix}{number}");
            let Some(&key) = self.operator.world.names.jobs.get(&name) else {
                continue;
            };
            if let Some(decision) = job::cancel(&self.operator.world, key) {
                self.acts.push(decision.into());
                if let Some(known) = self.crew.jobs.get_mut(&name) {
                    known.cancelled.get_or_insert(now);
                }
            }
        }
    }

    /// One round of the jobs' duty.
    pub(super) fn work(&mut self, now: Time) {
        if self.arrivals.is_empty() && self.crew.jobs.is_empty() {
            return;
        }
        self.crew.advance(&self.site, now);
        while self.arrivals.last().is_some_and(|arrival| arrival.at <= now) {
            if let Some(arrival) = self.arrivals.pop() {
                self.submit(arrival, now);
            }
        }
        for fact in self.site.facts(&self.jobs.world, &self.crew, now) {
            self.hear(&fact, now);
        }
        self.collect_reports(now);
        for decision in self.policy.jobs(&self.jobs.world, &self.jobs.index, now) {
            self.carry_out(Holder::Jobs, decision, now);
        }
    }

    fn submit(&mut self, arrival: Arrival, now: Time) {
        let Arrival { name, storm, .. } = &arrival;
        let request =
            Submit::of_kind(&self.config, &storm.organisation, &storm.team, &storm.kind, name);
        let admitted = request.and_then(|request| {
            let decision = job::admit(&self.operator.world, &request, now)?;
            Ok((request.spec, decision))
        });
        let Ok((spec, decision)) = admitted else {
            self.measures.jobs.refused += 1;
            return;
        };
        let runs = Duration::from_secs(spec.seconds.into()) * arrival.time_percent / 100;
        let usage = spec.size.percent(arrival.size_percent);
        let usage = fleet::config::Size { accelerators: spec.size.accelerators, ..usage };
        let known = Known {
            task: Task { runs, usage },
            priority: spec.priority,
            submitted: now,
            idempotent: spec.idempotent,
            ..Known::default()
        };
        self.crew.jobs.insert(name.clone(), known);
        self.acts.push(decision.into());
    }

    fn collect_reports(&mut self, now: Time) {
        let instances = self
            .jobs
            .world
            .instances
            .iter()
            .map(|(key, one)| (key, one.name.clone(), one.epoch, one.state));
        for (key, name, epoch, state) in instances.collect::<Vec<_>>() {
            if !self.site.is_up(&name) || matches!(state, State::Stopped | State::Gone) {
                continue;
            }
            let Some(report) = self.crew.report(&name, (key, epoch), now) else {
                continue;
            };
            self.hear(&Fact::Report(report.clone()), now);
            self.crew.tell(&name, &self.jobs.world, &self.jobs.index, &report, now);
        }
    }

    /// What a fact means to the holder of the jobs.
    fn hear(&mut self, fact: &Fact, now: Time) {
        self.jobs.world.record(fact, now);
        for decision in job::observe(&self.jobs.world, &self.jobs.index, fact, now) {
            self.carry_out(Holder::Jobs, Decision::from(decision), now);
        }
    }

    /// Whether an operator's act lost a race and is to be tried again.
    pub(super) const fn is_open(fate: &Fate) -> bool {
        matches!(fate, Fate::Conflict | Fate::StoreDown)
    }
}
