//! Between what is decided and what is sent.

use fleet::fact;
use fleet::job::Command;
use fleet::key;
use fleet::time::Time;

use crate::Call;
use crate::Lease;
use crate::Report;
use crate::Start;
use crate::Target;
use crate::Throttle;

impl Call {
    /// The call that gives an order to the worker of an instance of this epoch.
    ///
    /// The lease must count from the moment of the report that the order answers.
    pub fn from_command(order: Command, epoch: u64, lease: Lease) -> Self {
        let target = |job, number| Target { job, number, epoch };
        match order {
            Command::Start { job, number, size, kind, input, checkpoint } => {
                let size = size.into();
                Self::Start(Start { job, number, epoch, lease, size, kind, input, checkpoint })
            }
            Command::Throttle { job, number, to } => {
                Self::Throttle(Throttle { target: target(job, number), to: to.into() })
            }
            Command::Checkpoint { job, number } => Self::Checkpoint(target(job, number)),
            Command::Stop { job, number } => Self::Stop(target(job, number)),
            Command::Forget { job, number } => Self::Forget(target(job, number)),
        }
    }
}

impl Report {
    /// The report as the job systems are told it; `asked` is when it was asked for.
    pub fn to_fact(&self, instance: key::Instance, asked: Time) -> fact::Report {
        let attempts = self.attempts.iter().map(|attempt| fact::Attempt {
            job: attempt.job.clone(),
            number: attempt.number,
            phase: attempt.phase.into(),
            usage: attempt.usage.into(),
            checkpoint: attempt.checkpoint.clone(),
        });
        fact::Report {
            instance,
            boot: self.now.boot,
            epoch: self.epoch,
            taken: asked - std::time::Duration::from_millis(self.age_ms.into()),
            attempts: attempts.collect(),
        }
    }
}
