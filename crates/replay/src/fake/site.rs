//! All machines of a site, the orders they follow, and the facts that can be seen of them.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::fact::Fact;
use fleet::instance::Instance;
use fleet::instance::Purpose;
use fleet::instance::State;
use fleet::time::Time;
use fleet::world::World;

use crate::fake::Crew;
use crate::fake::Machine;
use crate::fake::Power;
use crate::trace::Lags;
use crate::trace::Setup;
use crate::trace::What;

/// All machines of a site.
#[derive(Clone, Debug, Default)]
pub struct Site {
    machines: BTreeMap<String, Machine>,
    lags: Lags,
    cuts: BTreeMap<String, Time>,
    replacements: Vec<(Time, Machine)>,
}

impl Site {
    /// The site of `setup`, everything up.
    pub fn open(setup: &Setup) -> Self {
        let mut machines = BTreeMap::new();
        for group in &setup.groups {
            for machine in group.deal() {
                machines.insert(machine.name.clone(), machine);
            }
        }
        Self { machines, lags: setup.lags.clone(), ..Self::default() }
    }

    /// All machines by name.
    pub const fn machines(&self) -> &BTreeMap<String, Machine> {
        &self.machines
    }

    /// Whether the machine of this name is up.
    pub fn is_up(&self, name: &str) -> bool {
        self.machines.get(name).is_some_and(Machine::is_up)
    }

    /// Makes something fail.
    pub fn fail(&mut self, what: &What, secs: Option<u64>, now: Time) {
        let until = secs.map(|secs| now + Duration::from_secs(secs));
        let replaced = now + Duration::from_millis(self.lags.replace_ms);
        for machine in self.machines.values_mut().filter(|machine| what.covers(machine)) {
            if machine.is_gone(now) {
                continue;
            }
            machine.go_down(until, now);
            machine.broken = true;
            if until.is_none() {
                machine.gone = Some(now);
                self.replacements.push((replaced, successor(machine)));
            }
        }
    }

    /// The next restart of this machine never comes back.
    pub fn stick(&mut self, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.sticks = true;
        }
    }

    /// The platform announces that it takes a machine away, and does so after `secs`.
    pub fn leave(&mut self, name: &str, secs: u64, now: Time) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.leaving = Some(now);
            machine.gone = Some(now + Duration::from_secs(secs));
        }
    }

    /// Cuts an entry off until then.
    pub fn cut(&mut self, entry: &str, until: Time) {
        self.cuts.insert(entry.to_owned(), until);
    }

    /// Machines come up and new ones arrive.
    pub fn advance(&mut self, now: Time) {
        self.cuts.retain(|_, until| *until > now);
        for machine in self.machines.values_mut() {
            machine.advance(now);
            if machine.is_up() && machine.is_gone(now) {
                machine.go_down(None, now);
            }
        }
        let due = |&(at, _): &(Time, Machine)| at <= now;
        let arrived: Vec<_> = self.replacements.extract_if(.., |pair| due(pair)).collect();
        for (_, machine) in arrived {
            self.machines.insert(machine.name.clone(), machine);
        }
    }

    /// Carries out what the tables say: restarts, sleep, waking, and telling a new process its
    /// epoch.
    pub fn obey(&mut self, world: &World, now: Time) {
        for (_, instance) in world.instances.iter() {
            let Some(machine) = self.machines.get_mut(&instance.name) else {
                continue;
            };
            let new = instance.epoch > machine.obeyed;
            match (instance.state, instance.purpose) {
                (State::Stopped, Some(Purpose::Parked)) if new => {
                    machine.obeyed = instance.epoch;
                    machine.go_down(None, now);
                }
                (State::Stopped, _) if new => {
                    machine.obeyed = instance.epoch;
                    restart(machine, &self.lags, now);
                }
                (State::Checking, _) if new => {
                    machine.obeyed = instance.epoch;
                    wake(machine, &self.lags, now);
                }
                _ => {}
            }
            if machine.is_up() && instance.state != State::Stopped {
                machine.fresh = false;
            }
        }
    }

    /// Machines on the list that the tables don't have.
    pub fn unknown(&self, world: &World, now: Time) -> Vec<Machine> {
        let known = |name: &str| world.names.instances.contains_key(name);
        let listed = self.machines.values().filter(|machine| self.is_listed(machine, now));
        listed.filter(|machine| !known(&machine.name)).cloned().collect()
    }

    /// What can be seen now, by the keys of `world`.
    pub fn facts(&self, world: &World, crew: &Crew, now: Time) -> Vec<Fact> {
        let mut facts = Vec::new();
        for (key, instance) in world.instances.iter() {
            let Some(machine) = self.machines.get(&instance.name) else {
                facts.push(Fact::Unlisted(key));
                continue;
            };
            if self.is_listed(machine, now) {
                let leaving = machine.leaving.is_some_and(|since| self.is_known(since, now));
                facts.push(Fact::Listed { instance: key, leaving });
            } else {
                facts.push(Fact::Unlisted(key));
            }
            self.answer(&mut facts, key, machine, now);
            if instance.state == State::Draining && !crew.is_busy(&instance.name) {
                facts.extend(self.drain(key, instance, now));
            }
        }
        facts
    }

    fn answer(
        &self,
        facts: &mut Vec<Fact>,
        key: fleet::key::Instance,
        machine: &Machine,
        now: Time,
    ) {
        match machine.silent_since() {
            None if machine.fresh => facts.push(Fact::Restarted(key)),
            None => facts.push(Fact::Healthy(key)),
            Some(since) if now.since(since) >= Duration::from_millis(self.lags.silence_ms) => {
                facts.push(Fact::Unresponsive(key));
            }
            Some(_) => {}
        }
    }

    /// A drain is over once every entry has acknowledged it and the last request has ended.
    fn drain(&self, key: fleet::key::Instance, instance: &Instance, now: Time) -> Option<Fact> {
        if !self.cuts.is_empty() {
            let by = self.cuts.keys().cloned().collect();
            return Some(Fact::Unacknowledged { instance: key, by });
        }
        let elapsed = now.since(instance.since);
        let acknowledged = elapsed > Duration::from_millis(self.lags.table_ms);
        let ended = elapsed >= Duration::from_millis(self.lags.drain_ms);
        (acknowledged && ended).then_some(Fact::Quiesced(key))
    }

    fn is_listed(&self, machine: &Machine, now: Time) -> bool {
        !machine.gone.is_some_and(|since| since <= now && self.is_known(since, now))
    }

    fn is_known(&self, since: Time, now: Time) -> bool {
        now.since(since) >= Duration::from_millis(self.lags.list_ms)
    }
}

impl What {
    fn covers(&self, machine: &Machine) -> bool {
        match self {
            Self::Instance(name) => machine.name == *name,
            Self::Rack(name) => machine.rack == *name,
            Self::DataCentre(name) => machine.data_centre == *name,
        }
    }
}

/// Restarts a machine, if it can.
fn restart(machine: &mut Machine, lags: &Lags, now: Time) {
    if machine.gone.is_some() {
        return;
    }
    let up = now + Duration::from_millis(lags.restart_ms);
    let up = match machine.power {
        Power::Down { until: Some(until), .. } => up.max(until),
        _ => up,
    };
    let until = (!machine.sticks).then_some(up);
    machine.sticks = false;
    machine.power = Power::Down { since: machine.silent_since().unwrap_or(now), until };
}

/// Wakes a machine that was put to sleep.
fn wake(machine: &mut Machine, lags: &Lags, now: Time) {
    if let Power::Down { since, until: None } = machine.power
        && machine.gone.is_none()
    {
        let until = Some(now + Duration::from_millis(lags.wake_ms));
        machine.power = Power::Down { since, until };
    }
}

/// The machine that the platform starts in place of one that is gone.
fn successor(machine: &Machine) -> Machine {
    Machine {
        name: format!("{}-next", machine.name),
        power: Power::Up,
        broken: false,
        boots: 0,
        fresh: true,
        sticks: false,
        obeyed: 0,
        leaving: None,
        gone: None,
        ..machine.clone()
    }
}
