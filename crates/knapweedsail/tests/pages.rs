//! The pages say what the code does.

use knapweedsail::settings::Settings;

const SETTINGS: &str = include_str!("../../../docs/operators/settings.md");

#[test]
fn the_settings_page_has_every_key_and_no_other() {
    let schema = schemars::schema_for!(Settings);
    let properties = schema.get("properties").and_then(|keys| keys.as_object());
    let mut keys: Vec<_> = properties.expect("settings have keys").keys().cloned().collect();
    let rows = SETTINGS.lines().filter_map(|line| line.strip_prefix("| `"));
    let mut documented: Vec<_> =
        rows.filter_map(|row| row.split('`').next()).map(str::to_owned).collect();
    keys.sort();
    documented.sort();
    assert_eq!(documented, keys);
}
