//! Refuses frames that came before, whatever order they come in.

/// How far behind the latest frame an earlier one is still told from a replay.
const BITS: u64 = 1_024;
const WORD_BITS: u64 = u64::BITS as u64;
const WORDS: usize = (BITS / WORD_BITS) as usize;

/// The sequences that came from one life of a sender: the latest, and which of those shortly before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Window {
    latest: u64,
    /// One bit for each sequence, at its remainder by [`BITS`].
    seen: [u64; WORDS],
}

impl Window {
    /// Whether a frame of this sequence is the first, and not too old to tell. Takes note of it.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence == 0 || sequence.saturating_add(BITS) <= self.latest {
            return false;
        }
        if sequence > self.latest {
            self.advance(sequence);
        }
        let (word, bit) = place(sequence);
        let fresh = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        fresh
    }

    /// Forgets the sequences whose places are taken over.
    fn advance(&mut self, sequence: u64) {
        if sequence - self.latest >= BITS {
            self.seen = [0; WORDS];
        } else {
            for passed in self.latest + 1..=sequence {
                let (word, bit) = place(passed);
                self.seen[word] &= !bit;
            }
        }
        self.latest = sequence;
    }
}

fn place(sequence: u64) -> (usize, u64) {
    let index = sequence % BITS;
    ((index / WORD_BITS) as usize, 1 << (index % WORD_BITS))
}
