//! Replay protection that tolerates frames received out of order.

/// Size of the window, sequence numbers. A frame that is this far behind the highest one, or
/// further, is rejected, since it can't be told from a replay.
const SIZE: u64 = 1_024;
const WORD_BITS: u64 = u64::BITS as u64;
const WORDS: usize = (SIZE / WORD_BITS) as usize;

/// Sliding window over the sequence numbers received from one incarnation of a sender.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// Highest sequence number received, 0 if none.
    highest: u64,
    /// A bit for each sequence number, indexed by the number modulo [`SIZE`].
    received: [u64; WORDS],
}

impl Window {
    /// Records a sequence number. Returns whether it is new, and not too old for the window.
    ///
    /// Sequence numbers start at 1; 0 is never accepted.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence == 0 || sequence.saturating_add(SIZE) <= self.highest {
            return false;
        }
        if sequence > self.highest {
            self.advance(sequence);
        }
        let (word, bit) = position(sequence);
        let is_new = self.received[word] & bit == 0;
        self.received[word] |= bit;
        is_new
    }

    /// Moves the window up to `sequence` and clears the bits of the numbers that enter it.
    fn advance(&mut self, sequence: u64) {
        if sequence - self.highest >= SIZE {
            self.received = [0; WORDS];
        } else {
            for entering in self.highest + 1..=sequence {
                let (word, bit) = position(entering);
                self.received[word] &= !bit;
            }
        }
        self.highest = sequence;
    }
}

/// Index of the word and mask of the bit for a sequence number.
fn position(sequence: u64) -> (usize, u64) {
    let index = sequence % SIZE;
    ((index / WORD_BITS) as usize, 1 << (index % WORD_BITS))
}
