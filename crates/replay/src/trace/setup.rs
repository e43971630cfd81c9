//! The site that a trace was taken at.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::config;
use fleet::config::Size;
use serde::Deserialize;
use serde::Serialize;

use crate::fake::Machine;
use crate::fake::Power;

/// The site that a trace was taken at.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Setup {
    /// What is configured.
    pub organisations: BTreeMap<String, config::Organisation>,
    /// Which instances there are.
    pub groups: Vec<Group>,
    /// How long things take and how old signals are.
    pub lags: Lags,
    /// Usual requests of each pool, by organisation and pool as `organisation/pool`.
    pub traffic: BTreeMap<String, Traffic>,
    /// Milliseconds from one round of decisions to the next.
    pub tick_ms: u64,
    /// Milliseconds that the site runs before the trace begins, for each policy to come to rest from
    /// a start where every instance serves. Nothing of it is measured.
    pub warm_up_ms: u64,
    /// Milliseconds after which the replay ends.
    pub ends_ms: u64,
}

/// Like instances, dealt out evenly over racks and pools.
///
/// Instance `n` of a group stands in rack `n / rack_size`, racks are dealt out over the data
/// centres in turn, and so are instances over the pools.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Group {
    /// What the names begin with.
    pub prefix: String,
    /// Whose pools they are in.
    pub organisation: String,
    /// Pools and how many instances each gets.
    pub pools: BTreeMap<String, u32>,
    /// Names of data centres.
    pub data_centres: Vec<String>,
    /// Instances in a rack.
    pub rack_size: u32,
    /// What each instance can hold.
    pub capacity: Size,
}

impl Group {
    /// Its machines, all up.
    pub fn deal(&self) -> Vec<Machine> {
        let mut left = self.pools.clone();
        let mut machines = Vec::new();
        while left.values().any(|&count| count > 0) {
            for (pool, count) in &mut left {
                if *count > 0 {
                    *count -= 1;
                    machines.push(self.machine(machines.len(), pool));
                }
            }
        }
        machines
    }

    fn machine(&self, number: usize, pool: &str) -> Machine {
        let rack = number / self.rack_size.max(1) as usize;
        let data_centre = self.data_centres.get(rack % self.data_centres.len().max(1));
        Machine {
            name: format!("{}{number:03}", self.prefix),
            rack: format!("{}-rack{rack:02}", self.prefix),
            data_centre: data_centre.cloned().unwrap_or_default(),
            home: (self.organisation.clone(), pool.to_owned()),
            capacity: self.capacity,
            power: Power::Up,
            broken: false,
            boots: 0,
            fresh: false,
            sticks: false,
            obeyed: 0,
            leaving: None,
            gone: None,
        }
    }
}

impl Setup {
    /// What is configured, as the first revision.
    pub fn config(&self) -> config::Config {
        config::Config { revision: config::Revision(1), organisations: self.organisations.clone() }
    }

    /// How long the trace is.
    pub const fn length(&self) -> Duration {
        Duration::from_millis(self.ends_ms)
    }
}

/// How long things take and how old signals are, milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Lags {
    /// From a failure to its being noticed.
    pub silence_ms: u64,
    /// From a change at the platform to its being on the instance list.
    pub list_ms: u64,
    /// From a write to the table to its being seen by those who did not write it.
    pub table_ms: u64,
    /// From the start of a drain to the last request's end.
    pub drain_ms: u64,
    /// From the order to restart to answering again.
    pub restart_ms: u64,
    /// From the order to wake a parked instance to its answering.
    pub wake_ms: u64,
    /// From a failure for good to the platform's new instance.
    pub replace_ms: u64,
    /// Age of the reports on demand.
    pub demand_ms: u64,
    /// Age of the workers' reports.
    pub report_ms: u64,
}

impl Default for Lags {
    fn default() -> Self {
        Self {
            silence_ms: 3_000,
            list_ms: 30_000,
            table_ms: 500,
            drain_ms: 3_000,
            restart_ms: 300_000,
            wake_ms: 120_000,
            replace_ms: 1_800_000,
            demand_ms: 500,
            report_ms: 2_000,
        }
    }
}

/// The usual requests of a pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Traffic {
    /// Requests a second at the mean.
    pub per_second: f64,
    /// How long one takes of a slot, milliseconds.
    pub service_ms: u64,
    /// How long a caller waits for a slot before it is refused as not run, milliseconds.
    pub patience_ms: u64,
}
