//! Puts together what an operator is shown.

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

impl<P: Environment> Engine<P> {
    /// What is promised, at risk, going on, and waits for a person.
    pub fn status(&self, now: Time) -> Status {
        let state = self.state();
        let row_now = self.row_time(now);
        let answered = state.last_answer.unwrap_or_default();
        let platform = state.watch.is_fresh(now);
        Status {
            entry: self.settings().name.clone(),
            revision: state.revision(),
            platform_reachable: platform,
            outage_secs: if platform { 0 } else { now.since(answered).as_secs() },
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

    /// What an instance is out for, with names.
    fn describe(&self, purpose: Purpose) -> String {
        match purpose {
            Purpose::Wave(mark) => {
                let name = self.world.waves.get(mark.wave).map(|wave| wave.name.clone());
                format!("wave {}", name.unwrap_or_default())
            }
            Purpose::Move { to, .. } => {
                let name = self.world.pools.get(to).map(|pool| pool.name.clone());
                format!("move to pool {}", name.unwrap_or_default())
            }
            purpose => purpose.to_string(),
        }
    }

    fn pools(&self) -> Vec<Pool> {
        self.world.pools.iter().map(|(key, _)| self.pool(key)).collect()
    }

    fn pool(&self, key: key::Pool) -> Pool {
        let Some(value) = self.world.pools.get(key) else { return Pool::default() };
        let budget = Budget::for_pool(&self.world, key).unwrap_or_default();
        let mut risks = Vec::new();
        if budget.ready() < value.spec.min_ready {
            risks.push(format!("{} ready, {} promised", budget.ready(), value.spec.min_ready));
        } else if !budget.survives_rack_failure() {
            let rack = budget.largest_rack();
            risks.push(format!("a rack's failure would take {rack} of {}", budget.ready()));
        }
        let suspects = value.count_absent(Absence::Suspect);
        if suspects > 0 {
            risks.push(format!("{suspects} do not answer, too many at once to be believed"));
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

    fn activities(&self) -> Vec<Activity> {
        let out = self.world.instances.iter().filter(|(_, value)| {
            value.state != Phase::Serving && value.state != Phase::Gone && value.purpose.is_some()
        });
        out.map(|(key, value)| self.activity(key, value)).collect()
    }

    fn activity(&self, key: key::Instance, value: &fleet::instance::Instance) -> Activity {
        let purpose = value.purpose.map(|purpose| self.describe(purpose)).unwrap_or_default();
        let what = format!("instance {} is {} for: {purpose}", value.name, value.state);
        let by = self.world.observations.drain_blockers.get(&key).filter(|by| !by.is_empty());
        let waits_for = by.map(|by| format!("acknowledgement by {}", by.join(", ")));
        Activity { what, waits_for: waits_for.unwrap_or_default() }
    }

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
        let jobs = jobs.map(|attention| Alert {
            what: attention.condition.to_string(),
            remedy: attention.remedy.to_owned(),
        });
        drained.chain(paused).chain(jobs).collect()
    }

    fn waves(&self, row_now: Time) -> Vec<act::Wave> {
        self.world.waves.iter().map(|(key, _)| self.wave(key, row_now)).collect()
    }

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

    fn duty_list(&self) -> Vec<Duty> {
        let known: BTreeMap<_, _> = self.leases.rows().collect();
        let duty = |duty: &crate::duty::Duty| {
            let row = known.get(duty).map(|held| held.row.clone()).unwrap_or_default();
            Duty { name: duty.to_string(), holder: row.holder, epoch: row.epoch }
        };
        self.leases.wanted().map(duty).collect()
    }

    fn entry_list(&self, now: Time) -> Vec<Entry> {
        let names = self.senders.names().map(str::to_owned);
        names.map(|name| self.entry(name, now)).collect()
    }

    fn entry(&self, name: String, now: Time) -> Entry {
        let row = self.watch.row(&name);
        let member = self.members.iter().find(|member| member.name == name);
        let by_peers = member.is_some_and(|member| member.status == Peer::Alive);
        let by_row = row.is_some_and(|row| row.candidate) && !self.watch.is_dead(&name, now);
        let rows = row.map(|row| row.revision).unwrap_or_default();
        let peers = member.map(|member| member.summary.revision).unwrap_or_default();
        let data_centre = row.map(|row| row.data_centre.clone());
        Entry {
            reachable: by_peers || by_row,
            revision: rows.max(peers),
            data_centre: data_centre.unwrap_or_default(),
            name,
        }
    }
}
