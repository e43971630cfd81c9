//! Validation of a configuration: value ranges, references, and feasibility with the fleet.

mod feasibility;
mod item;

use super::Inventory;
use super::Problem;
use crate::config::Config;
use crate::config::Organisation;

/// Maximum length of the name of an organisation or item, in bytes.
const MAX_NAME_BYTES: usize = 40;

/// Returns the problems of `config` on the fleet that `inventory` describes.
pub fn check(config: &Config, inventory: &Inventory) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (name, organisation) in &config.organisations {
        let mut checker = Checker { name, organisation, inventory, problems: &mut problems };
        checker.check_name(name, name);
        checker.check_items();
        checker.check_feasibility();
    }
    problems
}

/// The check of one organisation, which appends to `problems`.
struct Checker<'a> {
    name: &'a str,
    organisation: &'a Organisation,
    inventory: &'a Inventory,
    problems: &'a mut Vec<Problem>,
}

impl Checker<'_> {
    fn error(&mut self, path: &str, what: impl Into<String>, remedy: impl Into<String>) {
        self.problems.push(Problem::error(format!("{}.{path}", self.name), what, remedy));
    }

    fn warning(&mut self, path: &str, what: impl Into<String>, remedy: impl Into<String>) {
        self.problems.push(Problem::warning(format!("{}.{path}", self.name), what, remedy));
    }

    fn check_name(&mut self, path: &str, name: &str) {
        let is_allowed =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
            let what = format!("\"{name}\" is not a valid name");
            self.error(path, what, "use 1 to 40 characters of a-z, 0-9 and -");
        }
    }

    fn check_pool_exists(&mut self, path: &str, pool: &str) {
        if !self.organisation.pools.contains_key(pool) {
            let known: Vec<_> = self.organisation.pools.keys().collect();
            let remedy = format!("give one of {known:?}, or add the pool");
            self.error(path, format!("there is no pool \"{pool}\""), remedy);
        }
    }

    fn check_range(&mut self, path: &str, value: u32, min: u32, max: u32) {
        if !(min..=max).contains(&value) {
            let remedy = format!("give {min} to {max}");
            self.error(path, format!("{value} is out of range"), remedy);
        }
    }
}
