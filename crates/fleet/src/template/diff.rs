//! What a change changes.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// How deep groups of items lie: organisation, kind of item.
const GROUP_DEPTH: usize = 2;

/// One value that differs.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
#[display("{path}: {} -> {}", show(before), show(after))]
pub struct Difference {
    /// Where, as dotted names.
    pub path: String,
    /// The value before, if there was one.
    pub before: Option<Value>,
    /// The value after, if there is one.
    pub after: Option<Value>,
}

fn show(value: &Option<Value>) -> String {
    value.as_ref().map_or_else(|| "nothing".to_owned(), Value::to_string)
}

/// What differs between two values, in the order of their paths.
pub fn diff<V: Serialize>(before: &V, after: &V) -> Vec<Difference> {
    let before = serde_json::to_value(before).unwrap_or_default();
    let after = serde_json::to_value(after).unwrap_or_default();
    let mut differences = Vec::new();
    compare(String::new(), Some(&before), Some(&after), &mut differences);
    differences
}

/// Whether what is at `path` is a group of items, such as an organisation or its pools: each item
/// that comes or goes is a difference of its own.
fn is_group(path: &str) -> bool {
    path.split('.').count() <= GROUP_DEPTH
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
    let nothing = Map::new();
    let (old, new) = match (before, after) {
        (Some(Value::Object(old)), Some(Value::Object(new))) => (old, new),
        (None, Some(Value::Object(new))) if is_group(&path) => (&nothing, new),
        (Some(Value::Object(old)), None) if is_group(&path) => (old, &nothing),
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
