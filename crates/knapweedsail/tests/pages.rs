//! The pages say what the code does.

use std::path::Path;

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

/// Every test that the fault matrix names is in the test sources.
#[test]
fn the_fault_matrix_names_tests_that_are_there() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut sources = String::new();
    for folder in ["crates", "platform"] {
        collect(&root.join(folder), &mut sources);
    }
    let pages = ["docs/FAULTS.md", "docs/design/faults-control.md"];
    for page in pages {
        let text = std::fs::read_to_string(root.join(page)).expect("the page is there");
        let names: Vec<_> = text.split('`').skip(1).step_by(2).filter_map(test_name).collect();
        assert!(names.len() > 40, "{page} names {} tests", names.len());
        for name in names {
            let known = [format!("fn {name}("), format!("{name}:")];
            assert!(known.iter().any(|known| sources.contains(known)), "{page}: no test {name}");
        }
    }
}

/// The last part of a test's path, where `span` is one: words joined by underscores.
fn test_name(span: &str) -> Option<&str> {
    let name = span.rsplit([':', ' ']).next()?;
    let plain =
        name.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'_' || byte.is_ascii_digit());
    (plain && name.contains('_')).then_some(name)
}

/// All test sources below `folder`.
fn collect(folder: &Path, sources: &mut String) {
    for entry in std::fs::read_dir(folder).expect("the folder is there").flatten() {
        let path = entry.path();
        if path.is_dir() {
            collect(&path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs")
            && path.components().any(|part| part.as_os_str() == "tests")
        {
            sources.push_str(&std::fs::read_to_string(&path).unwrap_or_default());
        }
    }
}
