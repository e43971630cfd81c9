//! The stored form of entities in the table service: JSON rows under ordered keys, which refer to
//! other entities by name.
//!
//! * `instance/<name>`
//! * `pool/<organisation>/<name>`
//! * `wave/<organisation>/<name>`
//! * `team/<organisation>/<name>`
//! * `job/<name>`
//! * `worker/<name of its instance>`
//!
//! A row holds state that results from decisions. Specs aren't stored: they come from the
//! configuration. Times are in microseconds since the Unix epoch. They are used for timeouts and
//! estimates only; no safety property depends on the clocks of two entries agreeing.
//!
//! Entries of different versions share the rows. A missing field has its default value. A field
//! that this version doesn't know is kept in [`World::unknown_fields`] and written back unchanged.

mod error;
mod instance;
mod pool;
pub(crate) mod size;
mod team;
mod wave;

pub use error::Error;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

use crate::job;
use crate::key;
use crate::world::Change;
use crate::world::World;

/// A write of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The key of the row.
    pub key: String,
    /// The new value, or `None` if the row is to be deleted.
    pub value: Option<String>,
}

/// Returns the row write that stores `change`.
pub fn write(world: &World, change: &Change) -> Update {
    match change {
        Change::Instance(value) => {
            update(world, format!("instance/{}", value.name), &instance::Row::new(world, value))
        }
        Change::Pool(value) => {
            let key = scoped_key(world, "pool", value.organisation, &value.name);
            update(world, key, &pool::Row::new(value))
        }
        Change::Wave(value) => {
            let key = scoped_key(world, "wave", value.organisation, &value.name);
            update(world, key, &wave::Row::new(value))
        }
        Change::Team(value) => {
            let key = scoped_key(world, "team", value.organisation, &value.name);
            update(world, key, &team::Row::new(value))
        }
        Change::Job(value) => {
            update(world, format!("job/{}", value.name), &job::Row::new(world, value))
        }
        Change::InstanceGone(name) => Update { key: format!("instance/{name}"), value: None },
        Change::JobGone(name) => Update { key: format!("job/{name}"), value: None },
        Change::Worker(value) => {
            update(world, format!("worker/{}", value.instance), &job::WorkerRow::new(value))
        }
        Change::WorkerGone(name) => Update { key: format!("worker/{name}"), value: None },
    }
}

/// Parses a row, or its deletion if `value` is `None`, into a change. Returns `None` for rows of
/// an unknown kind, and for deletions of kinds that are never deleted.
///
/// Entities that the row names and that are unknown so far are assigned keys. They get their values
/// when their own rows or the configuration are read.
pub fn read(world: &mut World, key: &str, value: Option<&str>) -> Result<Option<Change>, Error> {
    let Some((kind, name)) = key.split_once('/') else {
        return Ok(None);
    };
    let Some(value) = value else {
        return Ok(read_deletion(world, key, kind, name));
    };
    let change = match kind {
        "instance" => {
            Change::Instance(parse::<instance::Row>(world, key, value)?.into_instance(world, name))
        }
        "job" => Change::Job(parse::<job::Row>(world, key, value)?.open(world, name)),
        "worker" => Change::Worker(parse::<job::WorkerRow>(world, key, value)?.open(name)),
        "pool" | "wave" | "team" => {
            let Some((organisation, name)) = name.split_once('/') else {
                return Err(Error::Key(key.to_owned()));
            };
            read_scoped(world, key, kind, organisation, name, value)?
        }
        _ => return Ok(None),
    };
    Ok(Some(change))
}

fn read_scoped(
    world: &mut World,
    key: &str,
    kind: &str,
    organisation: &str,
    name: &str,
    value: &str,
) -> Result<Change, Error> {
    let organisation = world.organisation(organisation);
    Ok(match kind {
        "pool" => Change::Pool(parse::<pool::Row>(world, key, value)?.into_pool(
            world,
            organisation,
            name,
        )),
        "wave" => Change::Wave(parse::<wave::Row>(world, key, value)?.into_wave(
            world,
            organisation,
            name,
        )),
        _ => Change::Team(parse::<team::Row>(world, key, value)?.into_team(
            world,
            organisation,
            name,
        )),
    })
}

fn read_deletion(world: &mut World, key: &str, kind: &str, name: &str) -> Option<Change> {
    world.unknown_fields.remove(key);
    match kind {
        "instance" => Some(Change::InstanceGone(name.to_owned())),
        "job" => Some(Change::JobGone(name.to_owned())),
        "worker" => Some(Change::WorkerGone(name.to_owned())),
        _ => None,
    }
}

/// The row key of an entity that belongs to an organisation.
fn scoped_key(world: &World, kind: &str, organisation: key::Organisation, name: &str) -> String {
    let organisation = world.organisations.get(organisation);
    let organisation = organisation.map_or("", |organisation| &organisation.name);
    format!("{kind}/{organisation}/{name}")
}

/// Serialises `row`, together with the unknown fields that a newer version stored in it.
fn update<R: Serialize>(world: &World, key: String, row: &R) -> Update {
    let mut value = serde_json::to_value(row).unwrap_or_default();
    if let (Some(fields), Some(unknown)) = (value.as_object_mut(), world.unknown_fields.get(&key)) {
        for (name, field) in unknown {
            fields.entry(name.clone()).or_insert_with(|| field.clone());
        }
    }
    Update { key, value: Some(value.to_string()) }
}

/// Parses a row. Stores the fields that this version doesn't know in [`World::unknown_fields`].
fn parse<R: Serialize + DeserializeOwned>(
    world: &mut World,
    key: &str,
    text: &str,
) -> Result<R, Error> {
    let error = |error: serde_json::Error| Error::Value(key.to_owned(), error.to_string());
    let mut fields: Map<String, Value> = serde_json::from_str(text).map_err(error)?;
    let row: R = serde_json::from_value(Value::Object(fields.clone())).map_err(error)?;
    let known = serde_json::to_value(&row).map_err(error)?;
    fields.retain(|name, _| known.get(name).is_none());
    if fields.is_empty() {
        world.unknown_fields.remove(key);
    } else {
        world.unknown_fields.insert(key.to_owned(), fields);
    }
    Ok(row)
}
