//! Where a revision is in force, as far as is known.

use std::collections::BTreeMap;

use fleet::config::Revision;
use fleet::time::Time;
use peer::Status;

use super::State;
use crate::Settings;
use crate::configuration::EntryReport;
use crate::configuration::Rollout;

impl State {
    /// Where `revision` is in force: of every entry that could serve, by its row and by peers.
    pub fn rollout(&self, settings: &Settings, revision: Revision, now: Time) -> Rollout {
        let senders = self.senders.names().map(|name| (name.to_owned(), EntryReport::default()));
        let mut words: BTreeMap<String, EntryReport> = senders.collect();
        for (name, row) in self.watch.rows() {
            let alive = row.candidate && !self.watch.is_dead(name, now) && self.watch.is_fresh(now);
            merge(&mut words, name, EntryReport { revision: row.revision, reachable: alive });
        }
        for member in &self.members {
            let heard = member.status == Status::Alive;
            merge(
                &mut words,
                &member.name,
                EntryReport { revision: member.summary.revision, reachable: heard },
            );
        }
        words.insert(
            settings.name.clone(),
            EntryReport { revision: self.revision(), reachable: true },
        );
        Rollout::new(revision, &words)
    }
}

/// Takes the best of what is known; entries that are certainly gone are not in `words`.
fn merge(words: &mut BTreeMap<String, EntryReport>, name: &str, word: EntryReport) {
    if let Some(known) = words.get_mut(name) {
        known.revision = known.revision.max(word.revision);
        known.reachable |= word.reachable;
    }
}
