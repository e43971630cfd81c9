//! What the tasks of a tenant use over all instances, and what its cap lets start beside them.

use crate::config::Cap;
use crate::job::Step;

/// Resources that tasks use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// CPU in millicores; that of best-effort tasks counts in full, although they book none on their instances.
    pub cpu: u64,
    /// Memory in megabytes.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Usage {
    /// What `count` tasks of a step use.
    pub const fn of(step: &Step, count: u64) -> Self {
        Self {
            cpu: step.cpu.saturating_mul(count),
            memory: step.memory.saturating_mul(count),
            accelerators: step.accelerators.saturating_mul(count),
        }
    }

    /// The sum of both.
    pub const fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// What is left without `other`.
    pub const fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl Cap {
    /// Whether it limits anything.
    pub const fn is_limited(&self) -> bool {
        self.cpu > 0 || self.memory > 0 || self.accelerators > 0
    }

    /// Whether it limits nothing.
    pub const fn is_unlimited(&self) -> bool {
        !self.is_limited()
    }

    /// Whether `used` is within all limits.
    pub const fn allows(&self, used: Usage) -> bool {
        is_within(used.cpu, self.cpu)
            && is_within(used.memory, self.memory)
            && is_within(used.accelerators, self.accelerators)
    }

    /// Whether less than half of each limit is used.
    pub const fn is_half_free(&self, used: Usage) -> bool {
        is_under_half(used.cpu, self.cpu)
            && is_under_half(used.memory, self.memory)
            && is_under_half(used.accelerators, self.accelerators)
    }

    /// Whether tasks that use `group` in all may start together, the largest of which uses `largest`, while
    /// others of the tenant use `used`.
    ///
    /// Handles tasks that are larger than half of the limits, or than all of them: while less than half is used,
    /// the limits may be exceeded by one task, so that each accepted job can run.
    pub const fn admits(&self, used: Usage, group: Usage, largest: Usage) -> bool {
        let after = used.plus(group);
        self.allows(after) || (self.is_half_free(used) && self.allows(after.minus(largest)))
    }
}

const fn is_within(amount: u64, limit: u64) -> bool {
    limit == 0 || amount <= limit
}

const fn is_under_half(amount: u64, limit: u64) -> bool {
    limit == 0 || amount.saturating_mul(2) < limit
}
