//! Replays a trace.

use fleet::config::Weights;
use replay::Policy;
use replay::Report;
use replay::Trace;

use super::command::Replay;
use super::exit::Error;
use super::run::print;
use super::show::Show;

impl Replay {
    /// Runs the decisions over the trace and prints the report.
    pub(super) fn run(&self) -> Result<(), Error> {
        let name = self.trace.display();
        let trace = Trace::open(&self.trace);
        let trace = trace.map_err(|error| Error::Input(format!("{name}: {error}")))?;
        print(self.output, &replay::run(&trace, policy(&self.policy)?, self.seed))
    }
}

impl Show for Report {
    fn show(&self) -> String {
        self.to_string()
    }
}

fn policy(text: &str) -> Result<Policy, Error> {
    match text {
        "product" => return Ok(Policy::Product),
        "naive" => return Ok(Policy::Naive),
        _ => {}
    }
    let parts: Result<Vec<f64>, _> = text.split(':').map(str::parse).collect();
    match parts.as_deref() {
        Ok(&[buffer, rollout, moves]) => Ok(Policy::Weighted(Weights { buffer, rollout, moves })),
        _ => Err(Error::Input(format!("{text}: give product, naive or BUFFER:ROLLOUT:MOVES"))),
    }
}
