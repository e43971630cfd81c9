//! One screen for someone who has not looked for a week.

use control::status::Status;

use super::Show;

impl Show for Status {
    fn show(&self) -> String {
        let mut lines = vec![headline(self)];
        lines.push(String::new());
        lines.push("PROMISED".to_owned());
        lines.push(self.pools.show());
        section(&mut lines, "AT RISK", risks(self));
        section(&mut lines, "GOING ON", going_on(self));
        section(&mut lines, "WAITS FOR A PERSON", waiting(self));
        section(&mut lines, "ENTRIES", entries(self));
        lines.join("\n")
    }
}

fn headline(status: &Status) -> String {
    let platform = if status.platform_reachable {
        "platform answers".to_owned()
    } else {
        format!(
            "platform has not answered for {} s: all below is as last known",
            status.outage_secs
        )
    };
    format!("{}: revision {}, {platform}", status.entry, status.revision)
}

fn section(lines: &mut Vec<String>, heading: &str, items: Vec<String>) {
    lines.push(String::new());
    lines.push(heading.to_owned());
    if items.is_empty() {
        lines.push("  nothing".to_owned());
    }
    lines.extend(items.into_iter().map(|item| format!("  {item}")));
}

fn risks(status: &Status) -> Vec<String> {
    let of_pool = |pool: &control::status::Pool| {
        let name = format!("{}/{}", pool.organisation, pool.name);
        pool.risks.iter().map(|risk| format!("{name}: {risk}")).collect::<Vec<_>>()
    };
    status.pools.iter().flat_map(of_pool).collect()
}

fn going_on(status: &Status) -> Vec<String> {
    let activities = status.activities.iter().map(|activity| {
        if activity.waits_for.is_empty() {
            activity.what.clone()
        } else {
            format!("{}; waits for {}", activity.what, activity.waits_for)
        }
    });
    activities.chain(status.waves.iter().map(Show::show)).collect()
}

fn waiting(status: &Status) -> Vec<String> {
    status.alerts.iter().map(|item| format!("{}: {}", item.what, item.remedy)).collect()
}

fn entries(status: &Status) -> Vec<String> {
    let entry = |entry: &control::status::Entry| {
        let heard = if entry.reachable { "heard of" } else { "not heard of" };
        format!("{} in {}: revision {}, {heard}", entry.name, entry.data_centre, entry.revision)
    };
    status.entries.iter().map(entry).collect()
}
