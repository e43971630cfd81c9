//! Differences between two configurations.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Maximum number of names in the path of a map of items: an organisation and a kind of item, as in
/// `acme.pools`.
const MAX_ITEM_MAP_DEPTH: usize = 2;

/// One value that differs.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
#[display("{path}: {} -> {}", show(before), show(after))]
pub struct Difference {
    /// Its location, as dot-separated names.
    pub path: String,
    /// The old value, if there was one.
    pub before: Option<Value>,
    /// The new value, if there is one.
    pub after: Option<Value>,
}

fn show(value: &Option<Value>) -> String {
    value.as_ref().map_or_else(|| "nothing".to_owned(), Value::to_string)
}

/// Returns the differences between two values, ordered by path.
pub fn diff<V: Serialize>(before: &V, after: &V) -> Vec<Difference> {
    let before = serde_json::to_value(before).unwrap_or_default();
    let after = serde_json::to_value(after).unwrap_or_default();
    let mut differences = Vec::new();
    compare(String::new(), Some(&before), Some(&after), &mut differences);
    differences
}

/// Whether the value at `path` is a map of items, such as an organisation or its pools. Each item
/// that is added to or removed from such a map is a separate difference.
fn is_item_map(path: &str) -> bool {
    path.split('.').count() <= MAX_ITEM_MAP_DEPTH
}

fn compare(
    path: String,
    before: Option<&Value>,
    after: Option<&Value>,
    differences: &mut Vec<Difference>,
) {
    if before == after {
        return;
    }
    let empty = Map::new();
    let (old, new) = match (before, after) {
        (Some(Value::Object(old)), Some(Value::Object(new))) => (old, new),
        (None, Some(Value::Object(new))) if is_item_map(&path) => (&empty, new),
        (Some(Value::Object(old)), None) if is_item_map(&path) => (old, &empty),
        _ => {
            differences.push(Difference { path, before: before.cloned(), after: after.cloned() });
            return;
        }
    };
    let added = new.keys().filter(|key| !old.contains_key(*key));
    let mut keys: Vec<_> = old.keys().chain(added).collect();
    keys.sort();
    for key in keys {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        compare(path, old.get(key), new.get(key), differences);
    }
}
