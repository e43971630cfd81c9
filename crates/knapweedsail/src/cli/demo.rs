//! What a demo is told to run.

use std::path::Path;
use std::time::Duration;

use serde::de::DeserializeOwned;

use super::command::Demo;
use super::exit::Error;
use crate::demo::Kind;
use crate::demo::Load;
use crate::demo::Plan;
use crate::demo::Run;
use crate::demo::Schedule;

/// Faults drawn where a seed is to choose them.
const DRAWN: usize = 8;

impl Demo {
    /// The run that the options ask for.
    pub(super) fn run(&self) -> Result<Run, Error> {
        let plan: Plan = self.site.as_deref().map(read).transpose()?.unwrap_or_default();
        let load: Load = self.load.as_deref().map(read).transpose()?.unwrap_or_default();
        let schedule = match self.faults.as_deref() {
            None => Schedule::demo(),
            Some("none") => Schedule::default(),
            Some("drawn") => {
                let length = Duration::from_millis(load.length_ms);
                Schedule::draw(self.seed, &Kind::ALL, DRAWN, length)
            }
            Some(file) => read(Path::new(file))?,
        };
        Ok(Run { plan, load, schedule, seed: self.seed })
    }
}

fn read<T: DeserializeOwned>(file: &Path) -> Result<T, Error> {
    let name = file.display();
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|error| Error::Input(format!("{name}: {error}")))?;
    let mut json = serde_json::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(&mut json)
        .map_err(|error| Error::Input(format!("{name}, at {}: {}", error.path(), error.inner())))
}
