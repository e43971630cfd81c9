//! Remembers, within a round of placement, what found no room, so that no task that needs as much is
//! tried.

use std::collections::BTreeMap;

use crate::job::Step;

/// What a task needs of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Need {
    cpu: u64,
    memory: u64,
    accelerators: u64,
    /// Label that the instance must have; empty if none.
    label: String,
}

impl Need {
    fn of(step: &Step) -> Self {
        Self {
            cpu: step.booked_cpu(),
            memory: step.memory,
            accelerators: step.accelerators,
            label: step.requires.clone(),
        }
    }

    /// Whether a step needs at least as much.
    fn is_covered_by(&self, step: &Step) -> bool {
        self.cpu <= step.booked_cpu()
            && self.memory <= step.memory
            && self.accelerators <= step.accelerators
            && (self.label.is_empty() || self.label == step.requires)
    }
}

/// Needs that no instance of a pool can meet at present, by service.
///
/// Room only shrinks within a round, so what is short stays short until its end.
#[derive(Clone, Debug, Default)]
pub(super) struct Shortage {
    needs: BTreeMap<String, Vec<Need>>,
}

impl Shortage {
    /// Forgets everything: a new round begins.
    pub(super) fn clear(&mut self) {
        self.needs.clear();
    }

    /// Records that no instance of a pool has room for a task of a step.
    pub(super) fn record(&mut self, service: &str, step: &Step) {
        if self.covers(service, step) {
            return;
        }
        let need = Need::of(step);
        match self.needs.get_mut(service) {
            Some(needs) => needs.push(need),
            None => {
                self.needs.insert(service.to_owned(), vec![need]);
            }
        }
    }

    /// Whether a pool is known to have no room for a task of a step.
    pub(super) fn covers(&self, service: &str, step: &Step) -> bool {
        let needs = self.needs.get(service).into_iter().flatten();
        needs.into_iter().any(|need| need.is_covered_by(step))
    }
}
