//! Where a revision is in force, as far as is known.

use std::collections::BTreeMap;

use fleet::config::Revision;
use fleet::time::Time;
use peer::Status;

use super::State;
use crate::Settings;
use crate::configuration::Reach;
use crate::configuration::Word;

impl State {
    /// Where `revision` is in force: of every entry that could serve, by its row and by peers.
    pub fn reach(&self, settings: &Settings, revision: Revision, now: Time) -> Reach {
        let senders = self.census.senders().map(|name| (name.to_owned(), Word::default()));
        let mut words: BTreeMap<String, Word> = senders.collect();
        for (name, row) in self.watch.rows() {
            let alive = row.wants && !self.watch.is_dead(name, now) && self.watch.is_fresh(now);
            hear(&mut words, name, Word { revision: row.revision, heard: alive });
        }
        for member in &self.members {
            let heard = member.status == Status::Alive;
            hear(&mut words, &member.name, Word { revision: member.summary.revision, heard });
        }
        words.insert(settings.name.clone(), Word { revision: self.revision(), heard: true });
        Reach::new(revision, &words)
    }
}

/// Takes the best of what is known; entries that are certainly gone are not in `words`.
fn hear(words: &mut BTreeMap<String, Word>, name: &str, word: Word) {
    if let Some(known) = words.get_mut(name) {
        known.revision = known.revision.max(word.revision);
        known.heard |= word.heard;
    }
}
