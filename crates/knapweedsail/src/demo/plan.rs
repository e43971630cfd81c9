//! What a site is made of.

use fleet::template::Document;
use serde::Deserialize;
use serde::Serialize;

const LISBON: &str = include_str!("../../../../examples/doces-deepavali.json");
const NEW_ENGLAND: &str = include_str!("../../../../examples/granite-crema.json");

/// A data centre and its entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Its name.
    pub name: String,
    /// Entries that it has.
    pub entries: u32,
}

/// What a site is made of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// Documents of its organisations.
    pub documents: Vec<Document>,
    /// Its data centres.
    pub data_centres: Vec<DataCentre>,
    /// Instances in a rack.
    pub rack: u32,
    /// How long an upstream works on a request, milliseconds.
    pub work_ms: u64,
    /// How long an instance takes to restart, milliseconds.
    pub restart_ms: u64,
}

impl Default for Plan {
    /// Two data centres, both organisations of the examples, with waves over two pools of each.
    fn default() -> Self {
        let data_centre = |name: &str| DataCentre { name: name.to_owned(), entries: 2 };
        Self {
            documents: vec![
                with_wave(example(LISBON), "monthly-reboot", &["kitchen", "catalogue"]),
                with_wave(example(NEW_ENGLAND), "term-reboot", &["certificates", "courses"]),
            ],
            data_centres: vec![data_centre("east-1"), data_centre("west-1")],
            rack: 4,
            work_ms: 200,
            restart_ms: 500,
        }
    }
}

impl Plan {
    /// Lisbon: three data centres with three entries each, one organisation.
    pub fn lisbon() -> Self {
        let data_centre = |number| DataCentre { name: format!("lisbon-{number}"), entries: 3 };
        Self {
            documents: vec![example(LISBON)],
            data_centres: (1..=3).map(data_centre).collect(),
            ..Self::default()
        }
    }

    /// How many entries there are.
    pub fn entries(&self) -> u32 {
        self.data_centres.iter().map(|data_centre| data_centre.entries).sum()
    }
}

fn example(text: &str) -> Document {
    serde_json::from_str(text).expect("the examples are documents")
}

/// The same document, with a wave that covers only these pools.
fn with_wave(mut document: Document, wave: &str, pools: &[&str]) -> Document {
    if let Some(filled) = document.uses.get_mut(wave) {
        filled.with.insert("pools".to_owned(), pools.into());
    }
    document
}
