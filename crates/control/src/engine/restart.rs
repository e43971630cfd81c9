//! Asks the platform to restart instances that a wave has stopped.
//!
//! The stop is recorded first, under a new epoch of the instance, and the restart's operation name
//! contains that epoch. The next holder of the duty therefore repeats the request under the same
//! name, and the platform restarts the instance once.

use fleet::instance::Instance;
use fleet::instance::Purpose;
use fleet::instance::State as Phase;
use fleet::time::Time;
use platform::instance::List;
use platform::table::Operation;

use super::Engine;
use super::Environment;
use super::State;

/// Restarts requested in one step.
const MAX_RESTARTS: usize = 8;

impl<E: Environment> Engine<E> {
    /// Requests the restarts that the platform has not accepted yet. Stops at the first that fails,
    /// which the next step tries again.
    pub async fn restart(&self, now: Time) {
        let restarts = self.state().pending_restarts(now);
        for (name, operation) in restarts {
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
    /// Instance names and operations of the restarts that the platform is not known to have
    /// accepted.
    fn pending_restarts(&mut self, now: Time) -> Vec<(String, Operation)> {
        let held = self.held_pools();
        let stopped = held.keys().flat_map(|&pool| self.world.members(pool));
        let stopped = stopped.filter(|(key, instance)| {
            awaits_restart(instance) && self.command_epoch(*key, now).is_some()
        });
        let needed =
            stopped.map(|(_, instance)| (instance.name.clone(), restart_operation(instance)));
        let needed: Vec<_> = needed.collect();
        self.restarted.retain(|accepted| needed.iter().any(|(_, operation)| operation == accepted));
        let pending =
            needed.into_iter().filter(|(_, operation)| !self.restarted.contains(operation));
        pending.take(MAX_RESTARTS).collect()
    }
}

/// Whether a wave has stopped the instance for a restart.
fn awaits_restart(instance: &Instance) -> bool {
    let for_wave = matches!(instance.purpose, Some(Purpose::Wave(_)));
    instance.state == Phase::Stopped && for_wave
}

/// The name of the restart under the instance's present epoch.
fn restart_operation(instance: &Instance) -> Operation {
    Operation(format!("restart/{}/{}", instance.name, instance.epoch))
}
