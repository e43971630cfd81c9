//! Has the platform restart instances that a wave has stopped.
//!
//! The stop is recorded first, under a new epoch, and the restart is named by that epoch. Whoever
//! holds the duty next asks for the same restart by the same name, and the platform carries it out
//! once.

use fleet::instance::Instance;
use fleet::instance::Purpose;
use fleet::instance::State as Phase;
use fleet::time::Time;
use platform::instance::List;
use platform::table::Operation;

use super::Engine;
use super::Environment;
use super::State;

/// Restarts asked for in one step, at most.
const MAX_RESTARTS: usize = 8;

impl<P: Environment> Engine<P> {
    /// Asks the platform for restarts that it has not taken on yet.
    pub async fn restart(&self, now: Time) {
        let wanted = self.state().restarts(now);
        for (name, operation) in wanted {
            match self.core.list.restart(&name, &operation).await {
                Ok(()) => {
                    tracing::info!(event = "restart", instance = name, %operation);
                    self.state().restarted.insert(operation);
                }
                Err(error) => {
                    tracing::warn!(event = "restart-failed", instance = name, error = %error);
                    return;
                }
            }
        }
    }
}

impl State {
    /// Restarts that the platform has not taken on yet, as far as this entry knows.
    fn restarts(&mut self, now: Time) -> Vec<(String, Operation)> {
        let held = self.held_pools();
        let stopped = held.keys().flat_map(|&pool| self.world.members(pool));
        let stopped = stopped.filter(|(key, instance)| {
            awaits_restart(instance) && self.command_epoch(*key, now).is_some()
        });
        let named = stopped.map(|(_, instance)| (instance.name.clone(), operation(instance)));
        let named: Vec<_> = named.collect();
        self.restarted.retain(|known| named.iter().any(|(_, wanted)| wanted == known));
        let new = named.into_iter().filter(|(_, wanted)| !self.restarted.contains(wanted));
        new.take(MAX_RESTARTS).collect()
    }
}

fn awaits_restart(instance: &Instance) -> bool {
    let for_wave = matches!(instance.purpose, Some(Purpose::Wave(_)));
    instance.state == Phase::Stopped && for_wave
}

fn operation(instance: &Instance) -> Operation {
    Operation(format!("restart/{}/{}", instance.name, instance.epoch))
}
