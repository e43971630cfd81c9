//! Tells a successor when silent instances lapse.
//!
//! Answers an instance that falls silent shortly before the office changes hands: a successor that
//! knew nothing of it would have to wait out all that its predecessor might have granted since.

use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::runner::Mark;

/// Silence that a successor is told about: shorter ones end by themselves as a rule.
const LASTING: Duration = Duration::from_millis(800);

/// Added to the time that is told, for what the two clocks may differ by.
const MARGIN: Duration = Duration::from_millis(100);

/// A change of what the store says of an instance's silence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Silence {
    /// The instance.
    pub runner: String,
    /// The store's clock when it has lapsed, in milliseconds; nothing where that is taken back.
    pub lapses_ms: Option<u64>,
}

impl Core {
    /// Whether the store should be told of silences.
    pub(super) fn has_silences(&self, now: Time) -> bool {
        let tuning = &self.tuning;
        self.runners.iter().any(|runner| match runner.mark {
            Mark::None => {
                let silent = runner.silent.is_some_and(|at| now.since(at) >= LASTING);
                silent && !runner.tasks.is_empty() && now < runner.lapsed_at(tuning)
            }
            Mark::Set => runner.silent.is_none(),
            Mark::Setting | Mark::Clearing => false,
        })
    }

    /// What the next write says of silences, `most` at the most. `store_ms` is the store's clock.
    pub fn silences(&mut self, now: Time, store_ms: u64, most: usize) -> Vec<Silence> {
        let tuning = self.tuning;
        let mut silences = Vec::new();
        for runner in &mut self.runners {
            if silences.len() >= most {
                break;
            }
            let id = &runner.report.id;
            match runner.mark {
                Mark::None => {
                    let silent = runner.silent.is_some_and(|at| now.since(at) >= LASTING);
                    let lapsed = runner.lapsed_at(&tuning);
                    if !silent || runner.tasks.is_empty() || now >= lapsed {
                        continue;
                    }
                    runner.mark = Mark::Setting;
                    let left = lapsed.since(now) + MARGIN;
                    let lapses_ms = Some(store_ms + left.as_millis() as u64);
                    silences.push(Silence { runner: id.clone(), lapses_ms });
                }
                Mark::Set if runner.silent.is_none() => {
                    runner.mark = Mark::Clearing;
                    silences.push(Silence { runner: id.clone(), lapses_ms: None });
                }
                Mark::Set | Mark::Setting | Mark::Clearing => {}
            }
        }
        silences
    }

    pub(super) fn silences_written(&mut self) {
        for runner in &mut self.runners {
            runner.mark = match runner.mark {
                Mark::Setting => Mark::Set,
                Mark::Clearing => Mark::None,
                mark => mark,
            };
        }
    }

    pub(super) fn silences_unwritten(&mut self) {
        for runner in &mut self.runners {
            runner.mark = match runner.mark {
                Mark::Setting => Mark::None,
                Mark::Clearing => Mark::Set,
                mark => mark,
            };
        }
    }

    /// Takes over what a predecessor said of a silence: the instance lapses at `at`.
    pub fn restore_silence(&mut self, now: Time, id: &str, at: Time) {
        let key = match self.names.get(id) {
            Some(key) => *key,
            None => self.add_unlisted(now, id),
        };
        info!(event = "silence", runner = id, left_ms = at.since(now).as_millis());
        let runner = self.runner_mut(key);
        runner.inherited_until = at;
        runner.mark = Mark::Set;
        // Until it has answered us: the mark must not be taken back before.
        runner.silent = Some(now);
    }
}
