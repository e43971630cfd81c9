//! Pools, instances and waves.

use control::act::Instance;
use control::act::Recorded;
use control::act::Wave;
use control::status::Pool;

use super::Show;
use super::table::Table;

const WAVE: [&str; 8] =
    ["ORGANISATION", "WAVE", "STATE", "DONE", "UNDER WAY", "OF", "LEFT", "WAITS FOR"];

impl Show for Vec<Pool> {
    fn show(&self) -> String {
        let headings =
            ["ORGANISATION", "POOL", "SERVING", "PROMISED", "OUT", "FAILED", "SIZE", "AT RISK"];
        let row = |table: Table, pool: &Pool| {
            let counts = [pool.serving, pool.min_ready, pool.out, pool.failed, pool.size];
            let counts = counts.map(|count| count.to_string());
            let names = [pool.organisation.clone(), pool.name.clone()];
            table.row(names.into_iter().chain(counts).chain([pool.risks.join("; ")]))
        };
        self.iter().fold(Table::new(&headings), row).text()
    }
}

impl Show for Vec<Instance> {
    fn show(&self) -> String {
        let headings = ["INSTANCE", "POOL", "STATE", "DATA CENTRE", "RACK", "ADDRESS", "WAITS FOR"];
        let row = |table: Table, instance: &Instance| {
            table.row([
                instance.name.clone(),
                format!("{}/{}", instance.organisation, instance.pool),
                instance.state.to_string(),
                instance.data_centre.clone(),
                instance.rack.clone(),
                instance.address.clone(),
                instance.waits_for.join(" "),
            ])
        };
        self.iter().fold(Table::new(&headings), row).text()
    }
}

impl Show for Recorded {
    fn show(&self) -> String {
        format!("recorded: {} (operation {})", self.what, self.operation)
    }
}

impl Show for Wave {
    fn show(&self) -> String {
        let left = self.remaining_secs.map_or_else(|| "?".to_owned(), |secs| format!("{secs} s"));
        let mut lines = vec![format!(
            "{}/{}: {}, {} of {} done, {} under way, {left} left",
            self.organisation, self.name, self.state, self.done, self.total, self.under_way
        )];
        lines.extend(self.stalls.iter().map(|stall| format!("  waits: {stall}")));
        lines.join("\n")
    }
}

impl Show for Vec<Wave> {
    fn show(&self) -> String {
        let row = |table: Table, wave: &Wave| {
            let left = wave.remaining_secs.map(|secs| format!("{secs} s"));
            table.row([
                wave.organisation.clone(),
                wave.name.clone(),
                wave.state.clone(),
                wave.done.to_string(),
                wave.under_way.to_string(),
                wave.total.to_string(),
                left.unwrap_or_else(|| "?".to_owned()),
                wave.stalls.join("; "),
            ])
        };
        self.iter().fold(Table::new(&WAVE), row).text()
    }
}
