//! Configuration and templates.

use ::fleet::config::Config;
use ::fleet::template::Document;
use ::fleet::template::Set;
use control::configuration::Applied;
use control::configuration::Entry;
use control::configuration::Rollout;

use super::Show;
use super::table::Table;

/// A revision's line in the history.
pub fn entry(entry: &Entry) -> String {
    format!("{} by {}: {}", entry.revision, entry.author, entry.organisation)
}

impl Show for Vec<Entry> {
    fn show(&self) -> String {
        let table = Table::new(&["REVISION", "AUTHOR", "ORGANISATION", "OPERATION"]);
        let row = |table: Table, entry: &Entry| {
            let operation = entry.operation.to_string();
            let (author, organisation) = (entry.author.clone(), entry.organisation.clone());
            table.row([entry.revision.to_string(), author, organisation, operation])
        };
        self.iter().fold(table, row).text()
    }
}

impl Show for Set {
    fn show(&self) -> String {
        let mut table = Table::new(&["ORGANISATION", "USE", "TEMPLATE", "WITH"]);
        for (organisation, document) in &self.documents {
            for (name, filled) in &document.uses {
                let with: Vec<_> =
                    filled.with.iter().map(|(name, value)| format!("{name}={value}")).collect();
                let cells = [organisation.clone(), name.clone(), filled.template.clone()];
                table = table.row(cells.into_iter().chain([with.join(" ")]));
            }
        }
        format!("revision {}\n{}", self.revision, table.text())
    }
}

impl Show for Document {
    fn show(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}

impl Show for Config {
    fn show(&self) -> String {
        let mut table = Table::new(&["ORGANISATION", "ITEM", "NAME"]);
        for (name, organisation) in &self.organisations {
            let pools = organisation.pools.keys().map(|pool| ("pool", pool));
            let services = organisation.services.keys().map(|service| ("service", service));
            let teams = organisation.teams.keys().map(|team| ("team", team));
            let jobs = organisation.jobs.keys().map(|job| ("job", job));
            let waves = organisation.waves.keys().map(|wave| ("wave", wave));
            for (item, made) in pools.chain(services).chain(teams).chain(jobs).chain(waves) {
                table = table.row([name.clone(), item.to_owned(), made.clone()]);
            }
        }
        format!("sound\n{}", table.text())
    }
}

impl Show for Applied {
    fn show(&self) -> String {
        let mut lines = vec![format!("revision {}", self.revision)];
        lines.extend(self.effect.iter().map(|difference| format!("  {difference}")));
        if self.effect.is_empty() {
            lines.push("  changes nothing".to_owned());
        }
        lines.extend(self.warnings.iter().map(|problem| format!("  {problem}")));
        lines.join("\n")
    }
}

impl Show for Rollout {
    fn show(&self) -> String {
        let mut lines = vec![format!("in force at {} entries", self.in_force.len())];
        for missing in &self.missing {
            lines.push(format!("  not yet at {}: {}", missing.entry, missing.cause));
        }
        lines.join("\n")
    }
}
