//! Estimate of an engine's prefix cache.
//!
//! Engines publish changes of their caches with a delay and with gaps. After a gap, the
//! earlier state is mostly but not certainly valid, so its pieces count for a fraction of
//! their tokens. A prompt that is sent to an engine counts as cached immediately, before
//! the engine publishes the change.

use catalogue::id::TokenCount;
use catalogue::prefix::{PIECE_TOKENS, PieceHash};
use indexmap::IndexMap;
use std::hash::{BuildHasherDefault, Hasher};

/// Maximum number of pieces tracked per engine.
const MAX_PIECES: usize = 8_192;
/// Fraction of its tokens that a piece counts for if a gap followed its last update.
const UNCERTAIN_WEIGHT: f32 = 0.5;

/// Length of the piece filter of one engine, in 64-bit words.
const FILTER_WORDS: usize = 128;
/// Number of removals after which the filter is rebuilt.
const MAX_FILTER_REMOVALS: usize = 256;

/// Pass-through hasher for keys that are already hashes
#[derive(Debug, Clone, Copy, Default)]
pub struct PieceHasher(u64);

impl Hasher for PieceHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

/// Probabilistic set of pieces: may report false positives, never false negatives
#[derive(Debug, Clone)]
struct PieceFilter {
    words: Box<[u64; FILTER_WORDS]>,
    removed: usize,
}

impl Default for PieceFilter {
    fn default() -> PieceFilter {
        PieceFilter { words: Box::new([0; FILTER_WORDS]), removed: 0 }
    }
}

impl PieceFilter {
    fn insert(&mut self, piece: PieceHash) {
        let (word, bit) = filter_position(piece);
        self.words[word] |= bit;
    }

    fn contains(&self, piece: PieceHash) -> bool {
        let (word, bit) = filter_position(piece);
        self.words[word] & bit != 0
    }
}

fn filter_position(piece: PieceHash) -> (usize, u64) {
    let index = (piece >> 32) as usize % (FILTER_WORDS * 64);
    (index / 64, 1 << (index % 64))
}

/// Pieces that an engine is expected to hold
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    /// Epoch of the last update of each piece
    pieces: IndexMap<PieceHash, u32, BuildHasherDefault<PieceHasher>>,
    /// Number of gaps so far
    epoch: u32,
    next_event: u64,
    filter: PieceFilter,
}

impl PrefixCache {
    /// Sequence number of the next expected event, from which events are requested
    pub fn next_event(&self) -> u64 {
        self.next_event
    }

    /// Applies one published change; a gap in the sequence numbers makes all earlier state uncertain
    pub fn apply_event(&mut self, sequence: u64, piece: PieceHash, held: bool) {
        if sequence < self.next_event {
            return;
        }
        if sequence > self.next_event.max(1) {
            self.epoch += 1;
        }
        self.next_event = sequence + 1;
        if held {
            self.insert(piece);
        } else {
            self.remove(piece);
        }
    }

    /// Records that a prompt with these pieces was sent to the engine
    pub fn record_sent(&mut self, pieces: &[PieceHash]) {
        for piece in pieces {
            self.insert(*piece);
        }
    }

    /// Clears the estimate after the engine has restarted or changed its model
    pub fn clear(&mut self) {
        self.pieces.clear();
        self.epoch = 0;
        self.next_event = 0;
        self.filter = PieceFilter::default();
    }

    /// Expected number of leading prompt tokens that the engine holds
    pub fn matched_tokens(&self, pieces: &[PieceHash]) -> TokenCount {
        let mut matched = 0.0;
        for piece in pieces {
            match self.pieces.get(piece) {
                Some(epoch) if *epoch == self.epoch => matched += 1.0,
                Some(_) => matched += UNCERTAIN_WEIGHT,
                None => break,
            }
        }
        (matched * PIECE_TOKENS as f32) as TokenCount
    }

    /// Upper bound of the leading pieces that the engine holds, without exact lookups
    pub(crate) fn possible_pieces(&self, pieces: &[PieceHash]) -> usize {
        pieces.iter().take_while(|it| self.filter.contains(**it)).count()
    }

    fn insert(&mut self, piece: PieceHash) {
        if self.pieces.len() >= MAX_PIECES && !self.pieces.contains_key(&piece) {
            self.pieces.swap_remove_index(0);
        }
        self.pieces.insert(piece, self.epoch);
        self.filter.insert(piece);
    }

    fn remove(&mut self, piece: PieceHash) {
        self.pieces.swap_remove(&piece);
        self.filter.removed += 1;
        if self.filter.removed > MAX_FILTER_REMOVALS {
            self.filter = PieceFilter::default();
            for held in self.pieces.keys() {
                self.filter.insert(*held);
            }
        }
    }
}
