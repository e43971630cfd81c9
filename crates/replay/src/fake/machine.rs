//! One machine: whether it is up, and what the platform's list says of it.

use fleet::config::Size;
use fleet::time::Time;

/// Whether a machine is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Power {
    /// It answers.
    Up,
    /// It is down and comes up then, if ever.
    Down {
        /// When it was last up.
        since: Time,
        /// When it comes up again.
        until: Option<Time>,
    },
}

/// One machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// The rack it stands in.
    pub rack: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Whose it is, and the pool that it was started for.
    pub home: (String, String),
    /// What it can hold.
    pub capacity: Size,
    /// Whether it is up.
    pub power: Power,
    /// Whether a failure has it down, and not an order.
    pub broken: bool,
    /// How often its process has started anew.
    pub boots: u64,
    /// Whether its process is new and was told no epoch yet.
    pub fresh: bool,
    /// Whether its next restart never comes back.
    pub sticks: bool,
    /// The epoch of the last order to restart, to sleep or to wake that it followed.
    pub obeyed: u64,
    /// Since when the platform is taking it away.
    pub leaving: Option<Time>,
    /// Since when it is gone for good.
    pub gone: Option<Time>,
}

impl Machine {
    /// Whether it answers.
    pub const fn is_up(&self) -> bool {
        matches!(self.power, Power::Up)
    }

    /// Whether it is gone for good.
    pub fn is_gone(&self, now: Time) -> bool {
        self.gone.is_some_and(|gone| gone <= now)
    }

    /// Whether a failure has it down, or it is gone.
    pub fn is_broken(&self, now: Time) -> bool {
        self.broken || self.is_gone(now)
    }

    /// Since when it has not answered.
    pub const fn silent_since(&self) -> Option<Time> {
        match self.power {
            Power::Up => None,
            Power::Down { since, .. } => Some(since),
        }
    }

    /// Goes down now, up again at `until`; a machine that is down for longer stays so.
    pub fn go_down(&mut self, until: Option<Time>, now: Time) {
        self.power = match self.power {
            Power::Up => Power::Down { since: now, until },
            Power::Down { since, until: None } => Power::Down { since, until: None },
            Power::Down { since, until: Some(old) } => {
                Power::Down { since, until: until.map(|until| until.max(old)) }
            }
        };
    }

    /// Comes up if it is time.
    pub fn advance(&mut self, now: Time) {
        if let Power::Down { until: Some(until), .. } = self.power
            && now >= until
            && !self.is_gone(now)
        {
            self.power = Power::Up;
            self.broken = false;
            self.fresh = true;
            self.boots += 1;
        }
    }
}
