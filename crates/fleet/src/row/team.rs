//! The row of a team.

use serde::Deserialize;
use serde::Serialize;

use crate::key;
use crate::team::Team;
use crate::world::World;

/// The row of a team. It has no fields: a team consists of configuration alone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct Row {}

impl Row {
    pub(super) const fn new(_value: &Team) -> Self {
        Self {}
    }

    pub(super) fn into_team(
        self,
        world: &mut World,
        organisation: key::Organisation,
        name: &str,
    ) -> Team {
        let known = world.names.teams.get(&(organisation, name.to_owned()));
        let known = known.and_then(|&key| world.teams.get(key)).cloned().unwrap_or_default();
        Team { name: name.to_owned(), organisation, ..known }
    }
}
