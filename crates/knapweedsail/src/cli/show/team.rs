//! Teams, their quotas and what they use.

use std::collections::BTreeMap;

use ::fleet::config::Config;
use ::fleet::config::Size;
use control::act::Job;
use serde::Deserialize;
use serde::Serialize;

use super::Show;
use super::table::Table;

/// A team, its quota and what it uses.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// The organisation that it is of.
    pub organisation: String,
    /// Its name.
    pub name: String,
    /// What it may always use.
    pub quota: Size,
    /// What its running jobs are booked at.
    pub used: Size,
    /// Jobs that run.
    pub running: u32,
    /// Jobs that do not run.
    pub waiting: u32,
}

impl Team {
    /// All teams of a configuration, with what the jobs use.
    pub fn list(config: &Config, jobs: &[Job]) -> Vec<Self> {
        let mut teams = BTreeMap::new();
        for (organisation, spec) in &config.organisations {
            for (name, spec) in &spec.teams {
                let (organisation, name) = (organisation.clone(), name.clone());
                let key = (organisation.clone(), name.clone());
                let team = Self { organisation, name, quota: spec.quota, ..Self::default() };
                teams.insert(key, team);
            }
        }
        for job in jobs {
            let key = (job.organisation.clone(), job.team.clone());
            let Some(team) = teams.get_mut(&key) else { continue };
            if job.instance.is_empty() {
                team.waiting += 1;
            } else {
                team.running += 1;
                team.used = team.used + job.size;
            }
        }
        teams.into_values().collect()
    }
}

impl Show for Vec<Team> {
    fn show(&self) -> String {
        let row = |table: Table, team: &Team| {
            table.row([
                format!("{}/{}", team.organisation, team.name),
                team.quota.to_string(),
                team.used.to_string(),
                team.running.to_string(),
                team.waiting.to_string(),
            ])
        };
        let table = Table::new(&["TEAM", "QUOTA", "USED", "RUNNING", "WAITING"]);
        self.iter().fold(table, row).text()
    }
}
