//! The row of a pool.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::key;
use crate::pool::Absence;
use crate::pool::Pool;
use crate::time::Time;
use crate::world::World;

/// The stored form of a [`Pool`], without its name and specification.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct Row {
    members: u32,
    #[serde(rename = "out")]
    absences: BTreeMap<String, Absence>,
    changed: Time,
}

impl Row {
    pub(super) fn new(value: &Pool) -> Self {
        Self { members: value.members, absences: value.absences.clone(), changed: value.changed }
    }

    pub(super) fn into_pool(
        self,
        world: &mut World,
        organisation: key::Organisation,
        name: &str,
    ) -> Pool {
        let key = world.pool(organisation, name);
        let known = world.pools.get(key).cloned().unwrap_or_default();
        Pool { members: self.members, absences: self.absences, changed: self.changed, ..known }
    }
}
