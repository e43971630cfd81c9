//! Sends instances the commands about their attempts.

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

/// The calls to make to one instance.
struct Commands {
    renew: Option<Renew>,
    calls: Vec<Call>,
}

impl<E: Environment> Engine<E> {
    /// Sends the instance `name` the commands that bring its attempts, as of its latest processed
    /// report, to their recorded state. Renews their leases if `renew`.
    pub async fn instruct(&self, name: &str, renew: bool, now: Time) {
        let Some(address) = self.address(name) else { return };
        let Some(commands) = self.state().pending_commands(name, renew, now) else { return };
        if let Some(renew) = commands.renew {
            let _ = self.core.instances.renew(address, renew).await;
        }
        for call in commands.calls {
            let outcome = self.core.instances.command(address, call.clone()).await;
            tracing::info!(event = "order", instance = name, ?call, ?outcome);
            if let Call::Start(start) = call {
                self.state().record_start_outcome(name, &start, &outcome);
            }
        }
    }
}

impl State {
    /// The calls to make to the instance `name`; `None` if this entry may not command it or has
    /// processed no report of it.
    fn pending_commands(&self, name: &str, renew: bool, now: Time) -> Option<Commands> {
        let key = *self.world.names.instances.get(name)?;
        let epoch = self.command_epoch(key, now)?;
        let received = self.reports.processed(name)?;
        let length = std::time::Duration::from_millis(self.world.limits.lease_ms.into());
        let lease = Lease::new(received.instance_time, length);
        let has_work = self.index.placed(key).next().is_some();
        let commands = job::commands(&self.world, &self.index, &received.report);
        let calls = commands.into_iter().map(|command| Call::from_command(command, epoch, lease));
        Some(Commands {
            renew: (renew && has_work).then_some(Renew { epoch, lease }),
            calls: calls.collect(),
        })
    }

    /// Records the outcome of a start command. Queues a refusal that proves that the attempt never
    /// ran as a fact for the next decisions.
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

/// Whether a retry with a later lease or another epoch would be refused too.
const fn is_final(refusal: &Refusal) -> bool {
    !matches!(
        refusal.refused,
        Reason::NotSent | Reason::LeaseLapsed | Reason::OtherBoot | Reason::OldEpoch
    )
}
