//! Rendering of documents, and the checks and differences of configurations.

use std::collections::BTreeMap;

use cases::cases;
use fleet::config::Config;
use fleet::config::Revision;
use fleet::config::Size;
use fleet::template::Document;
use fleet::template::Inventory;
use fleet::template::Member;
use fleet::template::Problem;
use fleet::template::Set;
use fleet::template::check;
use fleet::template::diff;
use proptest::prelude::*;
use serde_json::Value;
use serde_json::json;

const LISBON: &str = include_str!("../../../examples/doces-deepavali.json");
const NEW_ENGLAND: &str = include_str!("../../../examples/granite-crema.json");

fn document(text: &str) -> Document {
    serde_json::from_str(text).expect("the example is a valid document")
}

/// An inventory with the configured number of instances in each pool, spread evenly over racks of
/// four instances.
fn inventory(config: &Config) -> Inventory {
    let capacity = Size { milli_cores: 32_000, memory_mb: 64_000, accelerators: 0 };
    let mut members = Vec::new();
    for (organisation, spec) in &config.organisations {
        let pools: Vec<_> = spec.pools.iter().collect();
        let racks: u32 = pools.iter().map(|(_, pool)| pool.size).sum::<u32>().div_ceil(4);
        for (pool, spec) in pools {
            for _ in 0..spec.size {
                let rack = format!("rack-{}", members.len() as u32 % racks);
                let (organisation, pool) = (organisation.clone(), pool.clone());
                members.push(Member { organisation, pool, rack, capacity });
            }
        }
    }
    Inventory { members }
}

fn render(document: Document) -> Config {
    Set::default().with(document).render().expect("the document renders")
}

fn example_has_no_problems(text: &str) {
    let config = render(document(text));
    let problems = check(&config, &inventory(&config));
    assert_eq!(problems, Vec::new());
    let organisation =
        config.organisations.values().next().expect("the example has an organisation");
    assert_eq!(organisation.services.len(), 6);
    assert_eq!(organisation.pools.values().filter(|pool| pool.spare).count(), 1);
}

cases! {
    example_has_no_problems;
    lisbon_is_valid: LISBON,
    new_england_is_valid: NEW_ENGLAND,
}

/// An edit of the Lisbon example at a JSON pointer, and the path of the problem that it causes.
struct Edit {
    pointer: &'static str,
    value: Value,
    path: &'static str,
}

fn problems_of(edit: &Edit) -> Vec<Problem> {
    let mut value: Value = serde_json::from_str(LISBON).expect("the example is JSON");
    let (parent, field) = edit.pointer.rsplit_once('/').expect("a pointer has a parent");
    let parent = value.pointer_mut(parent).expect("the parent of the edited value exists");
    parent[field] = edit.value.clone();
    let document: Document =
        serde_json::from_value(value).expect("the edited example is a valid document");
    let lisbon = render(self::document(LISBON));
    match Set::default().with(document).render() {
        Ok(config) => check(&config, &inventory(&lisbon)),
        Err(problems) => problems,
    }
}

fn edit_is_reported(edit: Edit) {
    let problems = problems_of(&edit);
    let found = problems.iter().find(|problem| problem.path.starts_with(edit.path));
    let found = found.unwrap_or_else(|| panic!("no problem at {}: {problems:?}", edit.path));
    assert!(!found.what.is_empty() && !found.remedy.is_empty());
}

cases! {
    edit_is_reported;
    unknown_template: Edit {
        pointer: "/uses/kitchen/template",
        value: json!("service-pol"),
        path: "uses.kitchen.template",
    },
    unknown_parameter: Edit {
        pointer: "/uses/kitchen/with/sise",
        value: json!(9),
        path: "uses.kitchen.with.sise",
    },
    wrong_type: Edit {
        pointer: "/uses/kitchen/with/size",
        value: json!("ten"),
        path: "uses.kitchen.with.size",
    },
    below_minimum: Edit {
        pointer: "/uses/kitchen/with/size",
        value: json!(1),
        path: "uses.kitchen.with.size",
    },
    not_one_of_the_choices: Edit {
        pointer: "/uses/kitchen/with/repeat",
        value: json!("twice"),
        path: "uses.kitchen.with.repeat",
    },
    missing_value: Edit {
        pointer: "/uses/batch-plan/with",
        value: json!({}),
        path: "uses.batch-plan.with.pool",
    },
    undeclared_parameter: Edit {
        pointer: "/templates/team/body/teams/${name}/share",
        value: json!("${shares}"),
        path: "templates.team.body.teams",
    },
    unclosed_placeholder: Edit {
        pointer: "/templates/team/body/teams/${name}/share",
        value: json!("${share"),
        path: "templates.team.body.teams",
    },
    wrong_kind: Edit {
        pointer: "/templates/team/kind",
        value: json!("wave"),
        path: "templates.team.body.teams",
    },
    unknown_field: Edit {
        pointer: "/templates/team/body/teams/${name}/colour",
        value: json!("red"),
        path: "doces-deepavali.teams.",
    },
    two_routes_for_one_service: Edit {
        pointer: "/templates/spare-pool/body/services/kitchen",
        value: json!({ "pool": "kitchen" }),
        path: "uses.kitchen",
    },
    min_ready_above_the_size: Edit {
        pointer: "/uses/kitchen/with/min_ready",
        value: json!(11),
        path: "doces-deepavali.pools.kitchen.min_ready",
    },
    min_ready_not_kept_after_a_rack_failure: Edit {
        pointer: "/uses/kitchen/with/min_ready",
        value: json!(10),
        path: "doces-deepavali.pools.kitchen.min_ready",
    },
    wave_without_a_budget: Edit {
        pointer: "/uses/kitchen/with/min_ready",
        value: json!(10),
        path: "doces-deepavali.waves.monthly-reboot.pools",
    },
    wave_without_enough_time: Edit {
        pointer: "/uses/monthly-reboot/with/deadline_secs",
        value: json!(100),
        path: "doces-deepavali.waves.monthly-reboot.deadline_secs",
    },
    quota_beyond_the_fleet: Edit {
        pointer: "/uses/sweets/with/milli_cores",
        value: json!(9_000_000),
        path: "doces-deepavali.teams",
    },
    pools_beyond_the_fleet: Edit {
        pointer: "/uses/kitchen/with/size",
        value: json!(64),
        path: "doces-deepavali.pools",
    },
    job_that_fits_nowhere: Edit {
        pointer: "/uses/batch-plan/with/accelerators",
        value: json!(1),
        path: "doces-deepavali.jobs.batch-plan.size",
    },
    job_on_an_unknown_pool: Edit {
        pointer: "/uses/batch-plan/with/pool",
        value: json!("kitchens"),
        path: "doces-deepavali.jobs.batch-plan.pool",
    },
    all_weights_zero: Edit {
        pointer: "/uses/site/with",
        value: json!({ "buffer": 0, "rollout": 0, "moves": 0, "data_centres": [] }),
        path: "doces-deepavali.weights",
    },
}

#[test]
fn one_small_edit_is_one_small_difference() {
    let before = render(document(LISBON));
    let mut edited = document(LISBON);
    let kitchen = edited.uses.get_mut("kitchen").expect("the example has a kitchen");
    kitchen.with.insert("size".to_owned(), json!(11));
    let after = render(edited);
    let differences = diff(&before.organisations, &after.organisations);
    let shown: Vec<_> = differences.iter().map(ToString::to_string).collect();
    assert_eq!(shown, ["doces-deepavali.pools.kitchen.size: 10 -> 11"]);
}

#[test]
fn each_added_item_is_a_separate_difference() {
    let empty = Config::default();
    let lisbon = render(document(LISBON));
    let differences = diff(&empty.organisations, &lisbon.organisations);
    let paths: Vec<_> = differences.iter().map(|difference| difference.path.as_str()).collect();
    assert!(paths.contains(&"doces-deepavali.pools.kitchen"), "{paths:?}");
    assert!(paths.iter().all(|path| path.split('.').count() <= 3), "{paths:?}");
}

#[test]
fn a_set_keeps_both_organisations_and_counts_revisions() {
    let set = Set::default().with(document(LISBON)).with(document(NEW_ENGLAND));
    assert_eq!(set.revision, Revision(2));
    assert_eq!(set.render().expect("both documents render").organisations.len(), 2);
}

#[test]
fn a_placeholder_alone_takes_the_type_of_its_parameter() {
    let text = json!({
        "organisation": "small",
        "templates": { "pool": {
            "kind": "pool",
            "parameters": { "size": { "type": "integer" } },
            "body": { "pools": { "${name}-${size}": { "size": "${size}", "min_ready": 1 } } },
        } },
        "uses": { "a": { "template": "pool", "with": { "size": 3 } } },
    });
    let config = render(serde_json::from_value(text).expect("the document is valid"));
    let pools: BTreeMap<_, _> = config.organisations["small"].pools.clone();
    assert_eq!(pools["a-3"].size, 3);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..Default::default() })]

    /// Any body renders to an organisation or to problems that have a path.
    #[test]
    fn rendering_never_panics(texts in proptest::collection::vec("[a-z${}]{0,12}", 1..6)) {
        let mut body = json!("end");
        for text in &texts {
            body = json!({ text.as_str(): [body, text] });
        }
        let document = json!({
            "organisation": "any",
            "templates": { "t": { "kind": "pool", "body": body } },
            "uses": { "u": { "template": "t" } },
        });
        let document: Document = serde_json::from_value(document).expect("the document is valid");
        if let Err(problems) = document.render() {
            prop_assert!(problems.iter().all(|problem| !problem.path.is_empty()));
        }
    }
}
