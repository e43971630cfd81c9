//! Tells a successor when silent instances lapse.
//!
//! Answers an instance that falls silent shortly before the office changes hands: a successor that
//! knew nothing of it would have to wait out all that its predecessor might have granted since.

use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::instance::Expiry;

/// Silence that a successor is told about: shorter ones end by themselves as a rule.
const MIN_UNRESPONSIVE: Duration = Duration::from_millis(800);

/// Added to the time that is told, for what the two clocks may differ by.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);

/// A change of what the store says of an instance's silence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiryChange {
    /// The instance.
    pub instance: String,
    /// The store's clock when it has lapsed, in milliseconds; nothing where that is taken back.
    pub expires_ms: Option<u64>,
}

impl Core {
    /// Whether the store should be told of silences.
    pub(super) fn has_expiry_changes(&self, now: Time) -> bool {
        let tuning = &self.tuning;
        self.instances.iter().any(|runner| match runner.expiry {
            Expiry::None => {
                let silent =
                    runner.unresponsive_since.is_some_and(|at| now.since(at) >= MIN_UNRESPONSIVE);
                silent && !runner.tasks.is_empty() && now < runner.leases_expire_at(tuning)
            }
            Expiry::Set => runner.unresponsive_since.is_none(),
            Expiry::Setting | Expiry::Clearing => false,
        })
    }

    /// What the next write says of silences, `most` at the most. `store_ms` is the store's clock.
    pub fn take_expiry_changes(
        &mut self,
        now: Time,
        store_ms: u64,
        most: usize,
    ) -> Vec<ExpiryChange> {
        let tuning = self.tuning;
        let mut silences = Vec::new();
        for runner in &mut self.instances {
            if silences.len() >= most {
                break;
            }
            let id = &runner.report.id;
            match runner.expiry {
                Expiry::None => {
                    let silent = runner
                        .unresponsive_since
                        .is_some_and(|at| now.since(at) >= MIN_UNRESPONSIVE);
                    let lapsed = runner.leases_expire_at(&tuning);
                    if !silent || runner.tasks.is_empty() || now >= lapsed {
                        continue;
                    }
                    runner.expiry = Expiry::Setting;
                    let left = lapsed.since(now) + CLOCK_MARGIN;
                    let lapses_ms = Some(store_ms + left.as_millis() as u64);
                    silences.push(ExpiryChange { instance: id.clone(), expires_ms: lapses_ms });
                }
                Expiry::Set if runner.unresponsive_since.is_none() => {
                    runner.expiry = Expiry::Clearing;
                    silences.push(ExpiryChange { instance: id.clone(), expires_ms: None });
                }
                Expiry::Set | Expiry::Setting | Expiry::Clearing => {}
            }
        }
        silences
    }

    pub(super) fn finish_expiry_write(&mut self) {
        for runner in &mut self.instances {
            runner.expiry = match runner.expiry {
                Expiry::Setting => Expiry::Set,
                Expiry::Clearing => Expiry::None,
                mark => mark,
            };
        }
    }

    pub(super) fn abort_expiry_write(&mut self) {
        for runner in &mut self.instances {
            runner.expiry = match runner.expiry {
                Expiry::Setting => Expiry::None,
                Expiry::Clearing => Expiry::Set,
                mark => mark,
            };
        }
    }

    /// Takes over what a predecessor said of a silence: the instance lapses at `at`.
    pub fn restore_expiry(&mut self, now: Time, id: &str, at: Time) {
        let key = match self.keys.get(id) {
            Some(key) => *key,
            None => self.add_unlisted(now, id),
        };
        info!(event = "silence", runner = id, left_ms = at.since(now).as_millis());
        let runner = self.instance_mut(key);
        runner.inherited_until = at;
        runner.expiry = Expiry::Set;
        // Until it has answered us: the mark must not be taken back before.
        runner.unresponsive_since = Some(now);
    }
}
