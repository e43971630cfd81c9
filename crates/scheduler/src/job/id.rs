//! Names of jobs and tasks.

use std::fmt;
use std::str::FromStr;

/// Number of digits of a job's name.
const DIGITS: usize = 16;

/// A job's name: 16 hexadecimal digits, chosen by the caller.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id([u8; DIGITS]);

impl Id {
    /// A number from zero to below one that differs from job to job and with the seed: spreads over time
    /// what would come at once.
    pub fn spread(self, seed: u64) -> f64 {
        // FNV-1a.
        let bytes = self.0.iter().copied().chain(seed.to_le_bytes());
        let hash = bytes.fold(0xCBF2_9CE4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01B3)
        });
        (hash >> 40) as f64 / f64::from(1_u32 << 24)
    }
}

impl FromStr for Id {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let digits: [u8; DIGITS] = text.as_bytes().try_into().map_err(|_| ())?;
        if digits.iter().all(u8::is_ascii_hexdigit) { Ok(Self(digits)) } else { Err(()) }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(std::str::from_utf8(&self.0).unwrap_or_default())
    }
}

impl fmt::Debug for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Key of a task: its job, and its index among the job's tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job.
    pub job: Id,
    /// Index in [`Job::tasks`](super::Job::tasks): members within steps within occurrences.
    pub index: u32,
}

/// Name of a task on instances: `JOB.OCCURRENCE.STEP.MEMBER`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display("{job}.{occurrence}.{step}.{member}")]
pub struct TaskName {
    /// The job.
    pub job: Id,
    /// Index of the occurrence of a repeated job.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
    /// Index among the step's tasks.
    pub member: u32,
}

impl FromStr for TaskName {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(())?.parse()?;
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or(());
        let name = Self { job, occurrence: number()?, step: number()?, member: number()? };
        if parts.next().is_none() { Ok(name) } else { Err(()) }
    }
}
