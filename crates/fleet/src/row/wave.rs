//! The row of a wave.

use serde::Deserialize;
use serde::Serialize;

use crate::key;
use crate::time::Time;
use crate::wave::Phase;
use crate::wave::Wave;
use crate::world::World;

/// The stored form of a [`Wave`], without its name and specification.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct Row {
    phase: Phase,
    run: u64,
    started: Time,
    ended: Option<Time>,
    steps: u64,
    lost: Vec<String>,
}

impl Row {
    pub(super) fn new(value: &Wave) -> Self {
        Self {
            phase: value.phase,
            run: value.run,
            started: value.started,
            ended: value.ended,
            steps: value.steps,
            lost: value.lost.clone(),
        }
    }

    pub(super) fn into_wave(
        self,
        world: &mut World,
        organisation: key::Organisation,
        name: &str,
    ) -> Wave {
        let key = world.wave(organisation, name);
        let known = world.waves.get(key).cloned().unwrap_or_default();
        Wave {
            phase: self.phase,
            run: self.run,
            started: self.started,
            ended: self.ended,
            steps: self.steps,
            lost: self.lost,
            ..known
        }
    }
}
