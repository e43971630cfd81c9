//! Jobs.

use control::act::Explanation;
use control::act::Job;

use super::Show;
use super::table::Table;

impl Show for Job {
    fn show(&self) -> String {
        let place = if self.instance.is_empty() {
            String::new()
        } else {
            format!(" on {}, attempt {}", self.instance, self.attempt)
        };
        format!("{}: {}{place}", self.name, self.state)
    }
}

impl Show for Vec<Job> {
    fn show(&self) -> String {
        let headings = ["JOB", "TEAM", "STATE", "INSTANCE", "ATTEMPT", "SIZE"];
        let row = |table: Table, job: &Job| {
            table.row([
                job.name.clone(),
                format!("{}/{}", job.organisation, job.team),
                job.state.clone(),
                job.instance.clone(),
                job.attempt.to_string(),
                job.size.to_string(),
            ])
        };
        self.iter().fold(Table::new(&headings), row).text()
    }
}

impl Show for Explanation {
    fn show(&self) -> String {
        let mut lines = vec![self.job.show()];
        lines.extend(self.reasons.iter().map(|reason| format!("  {reason}")));
        lines.extend(self.remedies.iter().map(|remedy| format!("  you can: {remedy}")));
        lines.join("\n")
    }
}
