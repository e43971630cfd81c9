//! What goes wrong, and for whom.

use std::collections::BTreeMap;
use std::time::Duration;

/// What goes wrong. Switches add up; with none set all is well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Refuses everything, with no effect.
    pub down: bool,
    /// The network between the client and the platform is gone: as [`Self::down`], but of one side.
    pub cut: bool,
    /// Answers come after the client's deadline. Writes are held back until
    /// [`Memory::arrive`](super::Memory::arrive) and may take effect then.
    pub slow: bool,
    /// Writes take effect, but their replies never arrive.
    pub lost_reply: bool,
    /// Reads are answered from the state at the time this was switched on.
    pub stale: bool,
    /// The instance list stays as it was when this was switched on.
    pub lagging_list: bool,
    /// Refuses everything as too much, with no effect.
    pub throttled: bool,
    /// How long the [`Server`](super::Server) takes for each answer; nought for virtual time.
    pub latency: Duration,
}

impl Faults {
    /// All is well.
    pub const NONE: Self = Self {
        down: false,
        cut: false,
        slow: false,
        lost_reply: false,
        stale: false,
        lagging_list: false,
        throttled: false,
        latency: Duration::ZERO,
    };
    /// [`Self::down`] alone.
    pub const DOWN: Self = Self { down: true, ..Self::NONE };
    /// [`Self::cut`] alone.
    pub const CUT: Self = Self { cut: true, ..Self::NONE };
    /// [`Self::slow`] alone.
    pub const SLOW: Self = Self { slow: true, ..Self::NONE };
    /// [`Self::lost_reply`] alone.
    pub const LOST_REPLY: Self = Self { lost_reply: true, ..Self::NONE };
    /// [`Self::stale`] alone.
    pub const STALE: Self = Self { stale: true, ..Self::NONE };
    /// [`Self::lagging_list`] alone.
    pub const LAGGING_LIST: Self = Self { lagging_list: true, ..Self::NONE };
    /// [`Self::throttled`] alone.
    pub const THROTTLED: Self = Self { throttled: true, ..Self::NONE };

    /// Everything that is wrong in either.
    pub fn and(self, other: Self) -> Self {
        Self {
            down: self.down || other.down,
            cut: self.cut || other.cut,
            slow: self.slow || other.slow,
            lost_reply: self.lost_reply || other.lost_reply,
            stale: self.stale || other.stale,
            lagging_list: self.lagging_list || other.lagging_list,
            throttled: self.throttled || other.throttled,
            latency: self.latency.max(other.latency),
        }
    }
}

/// Faults of one call of the clients in a scope, counted from when it was set.
#[derive(Clone, Debug)]
struct Planned {
    scope: String,
    calls_left: u64,
    faults: Faults,
}

/// All that is switched on at present.
#[derive(Clone, Debug, Default)]
pub(crate) struct Switches {
    lasting: BTreeMap<String, Faults>,
    planned: Vec<Planned>,
}

impl Switches {
    /// Sets what goes wrong for `scope` until further notice.
    pub(crate) fn set(&mut self, scope: &str, faults: Faults) {
        self.lasting.insert(scope.to_owned(), faults);
    }

    /// Lets one call go wrong: the one after `calls` more calls of `scope`.
    pub(crate) fn plan(&mut self, scope: &str, calls: u64, faults: Faults) {
        self.planned.push(Planned { scope: scope.to_owned(), calls_left: calls, faults });
    }

    fn lasting(&self, client: &str) -> Faults {
        let of_client = self.lasting.iter().filter(|(scope, _)| covers(scope, client));
        of_client.fold(Faults::NONE, |sum, (_, faults)| sum.and(*faults))
    }

    /// What goes wrong in the next call of `client`, without counting it.
    pub(crate) fn next(&self, client: &str) -> Faults {
        let due = self.planned.iter().filter(|planned| planned.calls_left == 0);
        let of_client = due.filter(|planned| covers(&planned.scope, client));
        of_client.fold(self.lasting(client), |sum, planned| sum.and(planned.faults))
    }

    /// What goes wrong in this call of `client`.
    pub(crate) fn of_call(&mut self, client: &str) -> Faults {
        let mut faults = self.lasting(client);
        self.planned.retain_mut(|planned| {
            if !covers(&planned.scope, client) {
                return true;
            }
            if planned.calls_left > 0 {
                planned.calls_left -= 1;
                return true;
            }
            faults = faults.and(planned.faults);
            false
        });
        faults
    }
}

/// Whether `client` is in `scope`: everyone in the empty one, itself, or its data centre.
pub(crate) fn covers(scope: &str, client: &str) -> bool {
    let rest = client.strip_prefix(scope);
    scope.is_empty() || rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
