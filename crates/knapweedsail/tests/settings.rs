//! Settings are checked before anything starts, and never show their secrets.

use cases::cases;
use knapweedsail::settings::Settings;
use serde_json::Value;
use serde_json::json;

const EXAMPLE: &str = include_str!("../../../examples/settings.json");

#[test]
fn the_example_is_sound() {
    let settings = Settings::parse("example", EXAMPLE).expect("the example is sound");
    assert_eq!(settings.name, "lisbon-1-entry-1");
}

#[test]
fn secrets_stay_out_of_debug_output() {
    let settings = Settings::parse("example", EXAMPLE).expect("the example is sound");
    assert!(!format!("{settings:?}").contains(&settings.keys[0].secret));
}

/// A field, the value it is given, and a word that the error has.
type Edit = (&'static str, Value, &'static str);

fn error_names_the_field((field, value, word): Edit) {
    let mut settings: Value = serde_json::from_str(EXAMPLE).expect("the example is JSON");
    settings[field] = value;
    let error = Settings::parse("edited", &settings.to_string()).expect_err("it can't work");
    let shown = error.to_string();
    assert!(shown.contains(field) && shown.contains(word), "{shown}");
}

cases! {
    error_names_the_field;
    empty_name: ("name", json!(""), "empty"),
    no_address: ("callers", json!("entry.example:80"), "invalid socket address"),
    no_port: ("platform", json!("127.0.0.1:0"), "no port"),
    address_taken: ("admin", json!("127.0.1.1:8000"), "taken by callers"),
    no_key: ("keys", json!([]), "none"),
    short_secret: ("keys", json!([{ "id": 1, "secret": "abcd" }]), "32 bytes"),
    odd_secret: ("keys", json!([{ "id": 1, "secret": "é".repeat(40) }]), "hex"),
    id_nought: ("keys", json!([{ "id": 0, "secret": "00".repeat(32) }]), "nought"),
    grace_too_long: ("grace_ms", json!(700_000), "too long"),
    unknown_field: ("colour", json!("red"), "unknown field"),
}
