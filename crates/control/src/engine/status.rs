//! Builds the status shown to operators.

use std::collections::BTreeMap;

use fleet::instance::Purpose;
use fleet::instance::State as Phase;
use fleet::job;
use fleet::key;
use fleet::pool::Absence;
use fleet::pool::Budget;
use fleet::time::Time;
use fleet::wave;
use peer::Status as Peer;

use super::Engine;
use super::Environment;
use super::State;
use crate::act;
use crate::status::Activity;
use crate::status::Alert;
use crate::status::Duty;
use crate::status::Entry;
use crate::status::Pool;
use crate::status::Status;

impl<E: Environment> Engine<E> {
    /// The status of the site as this entry knows it: pools and their risks, activities, and alerts
    /// that need an operator.
    pub fn status(&self, now: Time) -> Status {
        let state = self.state();
        let row_now = self.row_time(now);
        let last_answer = state.last_answer.unwrap_or_default();
        let platform_reachable = state.watch.is_fresh(now);
        Status {
            entry: self.settings().name.clone(),
            revision: state.revision(),
            platform_reachable,
            outage_secs: if platform_reachable { 0 } else { now.since(last_answer).as_secs() },
            pools: state.pools(),
            activities: state.activities(),
            alerts: state.alerts(row_now),
            waves: state.waves(row_now),
            duties: state.duty_list(),
            entries: state.entry_list(now),
        }
    }

    /// All instances.
    pub fn instances(&self) -> Vec<act::Instance> {
        let state = self.state();
        state.world.instances.iter().map(|(key, _)| state.instance(key)).collect()
    }

    /// All waves, with their progress.
    pub fn waves(&self, now: Time) -> Vec<act::Wave> {
        self.state().waves(self.row_time(now))
    }
}

impl State {
    fn instance(&self, key: key::Instance) -> act::Instance {
        let Some(value) = self.world.instances.get(key) else { return act::Instance::default() };
        let pool = self.world.pools.get(value.pool);
        act::Instance {
            name: value.name.clone(),
            address: value.address.clone(),
            data_centre: self
                .world
                .data_centres
                .get(value.data_centre)
                .cloned()
                .unwrap_or_default(),
            rack: self.world.racks.get(value.rack).cloned().unwrap_or_default(),
            organisation: pool.map(|pool| self.organisation(pool.organisation)).unwrap_or_default(),
            pool: pool.map(|pool| pool.name.clone()).unwrap_or_default(),
            state: value.state,
            epoch: value.epoch,
            purpose: value.purpose.map(|purpose| self.describe(purpose)).unwrap_or_default(),
            waits_for: self
                .world
                .observations
                .drain_blockers
                .get(&key)
                .cloned()
                .unwrap_or_default(),
        }
    }

    fn organisation(&self, key: key::Organisation) -> String {
        self.world.organisations.get(key).map(|value| value.name.clone()).unwrap_or_default()
    }

    /// Why an instance is out of service, with names in place of keys.
    fn describe(&self, purpose: Purpose) -> String {
        match purpose {
            Purpose::Wave(run) => {
                let name = self.world.waves.get(run.wave).map(|wave| wave.name.clone());
                format!("wave {}", name.unwrap_or_default())
            }
            Purpose::Move { to, .. } => {
                let name = self.world.pools.get(to).map(|pool| pool.name.clone());
                format!("move to pool {}", name.unwrap_or_default())
            }
            purpose => purpose.to_string(),
        }
    }

    /// All pools.
    fn pools(&self) -> Vec<Pool> {
        self.world.pools.iter().map(|(key, _)| self.pool(key)).collect()
    }

    /// A pool, and what puts its minimum of ready instances at risk.
    fn pool(&self, key: key::Pool) -> Pool {
        let Some(value) = self.world.pools.get(key) else { return Pool::default() };
        let budget = Budget::for_pool(&self.world, key).unwrap_or_default();
        let mut risks = Vec::new();
        if budget.ready() < value.spec.min_ready {
            risks.push(format!("{} ready, {} promised", budget.ready(), value.spec.min_ready));
        } else if !budget.survives_rack_failure() {
            let rack = budget.largest_rack();
            risks.push(format!(
                "the failure of one rack would take down {rack} of {} ready instances",
                budget.ready()
            ));
        }
        let suspects = value.count_absent(Absence::Suspect);
        if suspects > 0 {
            risks.push(format!(
                "{suspects} instances do not answer, too many at once to be treated as failed"
            ));
        }
        Pool {
            organisation: self.organisation(value.organisation),
            name: value.name.clone(),
            size: value.spec.size,
            min_ready: value.spec.min_ready,
            serving: budget.ready(),
            out: value.count_absent(Absence::Planned) + value.count_absent(Absence::Leaving),
            failed: value.count_absent(Absence::Failed),
            risks,
        }
    }

    /// The instances that are out of service for a purpose.
    fn activities(&self) -> Vec<Activity> {
        let out = self.world.instances.iter().filter(|(_, value)| {
            value.state != Phase::Serving && value.state != Phase::Gone && value.purpose.is_some()
        });
        out.map(|(key, value)| self.activity(key, value)).collect()
    }

    fn activity(&self, key: key::Instance, value: &fleet::instance::Instance) -> Activity {
        let purpose = value.purpose.map(|purpose| self.describe(purpose)).unwrap_or_default();
        let what = format!("instance {} is {} for: {purpose}", value.name, value.state);
        let blockers = self.world.observations.drain_blockers.get(&key);
        let blockers = blockers.filter(|blockers| !blockers.is_empty());
        let waits_for =
            blockers.map(|blockers| format!("acknowledgement by {}", blockers.join(", ")));
        Activity { what, waits_for: waits_for.unwrap_or_default() }
    }

    /// Conditions that last until an operator acts: drained instances, paused waves and jobs
    /// with a problem that needs an operator.
    fn alerts(&self, row_now: Time) -> Vec<Alert> {
        let instances = self.world.instances.iter().map(|(_, value)| value);
        let drained = instances.filter(|value| {
            value.state == Phase::Drained && value.purpose == Some(Purpose::Operator)
        });
        let drained = drained.map(|value| Alert {
            what: format!("instance {} is drained for an operator", value.name),
            remedy: format!("knapweedsail instance return {}", value.name),
        });
        let waves = self.world.waves.iter().filter(|(_, value)| value.phase == wave::Phase::Paused);
        let paused = waves.map(|(_, value)| Alert {
            what: format!("wave {} is paused", value.name),
            remedy: format!("knapweedsail wave resume {}", value.name),
        });
        let jobs = job::alerts(&self.world, &self.index, row_now).into_iter();
        let jobs = jobs.map(|alert| Alert {
            what: alert.condition.to_string(),
            remedy: alert.remedy.to_owned(),
        });
        drained.chain(paused).chain(jobs).collect()
    }

    fn waves(&self, row_now: Time) -> Vec<act::Wave> {
        self.world.waves.iter().map(|(key, _)| self.wave(key, row_now)).collect()
    }

    /// A wave and its progress.
    fn wave(&self, key: key::Wave, row_now: Time) -> act::Wave {
        let progress = wave::progress(&self.world, key, row_now);
        let value = self.world.waves.get(key).cloned().unwrap_or_default();
        act::Wave {
            organisation: self.organisation(value.organisation),
            name: value.name,
            state: progress.phase.to_string(),
            total: progress.total,
            done: progress.done,
            under_way: progress.out,
            failed: progress.failed,
            remaining_secs: progress.finish.map(|finish| finish.since(row_now).as_secs()),
            late: progress.late,
            stalls: progress.stalls.iter().map(ToString::to_string).collect(),
        }
    }

    /// All duties and their holders.
    fn duty_list(&self) -> Vec<Duty> {
        let leases: BTreeMap<_, _> = self.leases.rows().collect();
        let duty = |duty: &crate::duty::Duty| {
            let row = leases.get(duty).map(|lease| lease.row.clone()).unwrap_or_default();
            Duty { name: duty.to_string(), holder: row.holder, epoch: row.epoch }
        };
        self.leases.duties().map(duty).collect()
    }

    /// All entries that may still send requests.
    fn entry_list(&self, now: Time) -> Vec<Entry> {
        let names = self.senders.names().map(str::to_owned);
        names.map(|name| self.entry(name, now)).collect()
    }

    fn entry(&self, name: String, now: Time) -> Entry {
        let row = self.watch.row(&name);
        let member = self.members.iter().find(|member| member.name == name);
        let by_peers = member.is_some_and(|member| member.status == Peer::Alive);
        let by_row = row.is_some_and(|row| row.candidate) && !self.watch.is_dead(&name, now);
        let row_revision = row.map(|row| row.revision).unwrap_or_default();
        let peer_revision = member.map(|member| member.summary.revision).unwrap_or_default();
        let data_centre = row.map(|row| row.data_centre.clone());
        Entry {
            reachable: by_peers || by_row,
            revision: row_revision.max(peer_revision),
            data_centre: data_centre.unwrap_or_default(),
            name,
        }
    }
}
