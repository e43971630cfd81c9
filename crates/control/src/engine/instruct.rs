//! Tells workers what was decided about their attempts.

use contract::Call;
use contract::Lease;
use contract::Outcome;
use contract::Reason;
use contract::Refusal;
use contract::Renew;
use contract::Start;
use fleet::fact::Fact;
use fleet::job;
use fleet::time::Time;

use super::Engine;
use super::Environment;
use super::InstanceClient;
use super::State;

/// All that is to be told to one worker.
struct Commands {
    renew: Option<Renew>,
    calls: Vec<Call>,
}

impl<P: Environment> Engine<P> {
    /// Tells the worker of an instance what is recorded about its attempts, as far as its latest
    /// report does not show it, and lets them go on if `renew`.
    pub async fn instruct(&self, name: &str, renew: bool, now: Time) {
        let Some(address) = self.address(name) else { return };
        let Some(orders) = self.state().pending_commands(name, renew, now) else { return };
        if let Some(renew) = orders.renew {
            let _ = self.core.instances.renew(address, renew).await;
        }
        for call in orders.calls {
            let outcome = self.core.instances.command(address, call.clone()).await;
            tracing::info!(event = "order", instance = name, ?call, ?outcome);
            if let Call::Start(start) = call {
                self.state().record_start_outcome(name, &start, &outcome);
            }
        }
    }
}

impl State {
    fn pending_commands(&self, name: &str, renew: bool, now: Time) -> Option<Commands> {
        let key = *self.world.names.instances.get(name)?;
        let epoch = self.command_epoch(key, now)?;
        let cleared = self.reports.processed(name)?;
        let length = std::time::Duration::from_millis(self.world.limits.lease_ms.into());
        let lease = Lease::new(cleared.worker_time, length);
        let has_work = self.index.placed(key).next().is_some();
        let orders = job::commands(&self.world, &self.index, &cleared.report);
        let calls = orders.into_iter().map(|order| Call::of_order(order, epoch, lease));
        Some(Commands {
            renew: (renew && has_work).then_some(Renew { epoch, lease }),
            calls: calls.collect(),
        })
    }

    /// Takes in what came of telling a worker to start an attempt.
    fn record_start_outcome(
        &mut self,
        name: &str,
        start: &Start,
        outcome: &Outcome<contract::Attempt>,
    ) {
        let Some(&instance) = self.world.names.instances.get(name) else { return };
        match outcome {
            Outcome::Refused(refusal) if !is_final(refusal) => {}
            Outcome::Refused(_) if self.reports.was_never_started(&start.job, start.number) => {
                let (job, number) = (start.job.clone(), start.number);
                self.facts.push(Fact::Refused { instance, job, number });
            }
            Outcome::Refused(_) => {}
            Outcome::Done(_) | Outcome::Unknown(_) => {
                self.reports.mark_possibly_started(&start.job, start.number);
            }
        }
    }
}

/// Whether telling again, with a later moment or another epoch, would end the same.
const fn is_final(refusal: &Refusal) -> bool {
    !matches!(
        refusal.refused,
        Reason::NotSent | Reason::LeaseLapsed | Reason::OtherBoot | Reason::OldEpoch
    )
}
