//! Whether a task may be what crashes the instances that start it.

use std::time::Duration;

use fleet::time::Time;

/// Shortest time for which a suspect runs until it counts as harmless.
const MIN_PROOF: Duration = Duration::from_millis(250);

/// A run that had lasted for longer when an instance crashed under it does not run apart after two
/// crashes: it would keep an instance from other work for long.
const MAX_SUSPECT_AGE: Duration = Duration::from_secs(2);

/// Longest time for which a task runs until it counts as harmless.
const MAX_PROOF: Duration = Duration::from_secs(10);

/// That time for a suspect of which it is unknown how long it had run.
const USUAL_PROOF: Duration = Duration::from_secs(2);

/// Uncertainty of the time for which a run had lasted when its instance crashed.
const AGE_MARGIN: Duration = Duration::from_millis(300);

/// Time that a suspect runs until it counts as harmless, as a multiple of the longest time that it
/// had run when an instance crashed under it.
const PROOF_FACTOR: u32 = 2;

/// What crashes of instances say of a task that ran there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    /// Number of instances that have crashed under the task since it last proved harmless.
    pub crashes: u32,
    /// How many of these crashes came when the run was not known to have started.
    pub presumed: u32,
    /// Whether the task runs apart from others until it has proved harmless.
    pub suspect: bool,
    /// Longest time that it had run when an instance crashed under it, as far as this leader knows.
    max_age: Duration,
    /// Shortest such time.
    min_age: Option<Duration>,
}

impl Suspicion {
    /// What the store holds of a task.
    pub const fn restore(crashes: u32, presumed: u32, suspect: bool) -> Self {
        Self { crashes, presumed, suspect, max_age: Duration::ZERO, min_age: None }
    }

    /// Counts a crash under a run that had lasted for `age`. `likely` tells whether the run may have
    /// caused it rather than been hit by it, `known` whether it is known to have started.
    pub fn record_crash(&mut self, age: Duration, likely: bool, known: bool) {
        self.crashes += 1;
        self.presumed += u32::from(!known);
        self.suspect |= likely || (self.crashes > 1 && age <= MAX_SUSPECT_AGE);
        self.max_age = self.max_age.max(age);
        self.min_age = Some(self.min_age.map_or(age, |known| known.min(age)));
    }

    /// Takes back a crash that was none, and was counted before others. `known` tells whether its run is
    /// known to have started.
    pub fn retract_crash(&mut self, known: bool) {
        self.crashes = self.crashes.saturating_sub(1);
        self.presumed = self.presumed.saturating_sub(u32::from(!known)).min(self.crashes);
        if self.crashes == 0 {
            *self = Self::default();
        }
    }

    /// Number of crashes under runs that are known to have started.
    pub const fn known_crashes(&self) -> u32 {
        self.crashes.saturating_sub(self.presumed)
    }

    /// Whether all its runs had lasted for about the same time when their instances crashed.
    pub fn is_consistent(&self) -> bool {
        self.max_age <= self.min_age() * 2 + AGE_MARGIN
    }

    /// Shortest time that it had run when an instance crashed under it; zero if there is none.
    pub fn min_age(&self) -> Duration {
        self.min_age.unwrap_or_default()
    }

    /// Whether a run that lasts since `began`, on an instance that was last seen alive at `alive_at`,
    /// shows that the task crashes no instances.
    pub fn is_refuted(&self, began: Time, alive_at: Time) -> bool {
        let proof = if self.max_age.is_zero() {
            USUAL_PROOF
        } else {
            (self.max_age * PROOF_FACTOR).clamp(MIN_PROOF, MAX_PROOF)
        };
        alive_at.since(began) >= proof
    }
}
