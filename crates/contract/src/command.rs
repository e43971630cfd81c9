//! Converts commands of the job scheduler into calls, and reports of instances into facts.

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
    /// Creates the call that sends a command to the instance with this epoch.
    ///
    /// `lease` must start at [`Report::now`] of the report that the command is based on.
    pub fn from_command(command: Command, epoch: u64, lease: Lease) -> Self {
        let target = |job, number| Target { job, number, epoch };
        match command {
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
    /// Converts the report for the job scheduler.
    ///
    /// `requested` is the local time at which the report was requested. The fact's time is
    /// `requested` minus the age of the usage figures, the earliest time at which they can have
    /// been measured.
    pub fn to_fact(&self, instance: key::Instance, requested: Time) -> fact::Report {
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
            taken: requested - std::time::Duration::from_millis(self.age_ms.into()),
            attempts: attempts.collect(),
        }
    }
}
