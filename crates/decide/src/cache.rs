//! What is known of an engine's prefix cache.
//!
//! Engines publish changes of their caches late and with gaps. After a gap, what
//! was known before it may no longer hold, but most of it does: such pieces count
//! for a part of their tokens instead of for none. A prompt sent to an engine
//! counts as held there at once, without waiting for the event.

use catalogue::id::TokenCount;
use catalogue::prefix::{PIECE_TOKENS, PieceHash};
use indexmap::IndexMap;
use std::hash::{BuildHasherDefault, Hasher};

/// Most pieces remembered of one engine.
const MAX_PIECES: usize = 8_192;
/// Part of its tokens that a piece counts for when a gap followed the news of it.
const UNCERTAIN_WEIGHT: f32 = 0.5;

/// Words of the filter over all pieces of one engine.
const FILTER_WORDS: usize = 128;
/// Removals after which the filter is built anew.
const MAX_STALE_BITS: usize = 256;

/// Hasher for keys that are hashes already
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

/// Set of pieces that may name some more than were put in, never fewer
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
        let (word, bit) = filter_place(piece);
        self.words[word] |= bit;
    }

    fn contains(&self, piece: PieceHash) -> bool {
        let (word, bit) = filter_place(piece);
        self.words[word] & bit != 0
    }
}

fn filter_place(piece: PieceHash) -> (usize, u64) {
    let place = (piece >> 32) as usize % (FILTER_WORDS * 64);
    (place / 64, 1 << (place % 64))
}

/// Pieces that an engine is thought to hold
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    /// Epoch in which each piece was last heard of
    pieces: IndexMap<PieceHash, u32, BuildHasherDefault<PieceHasher>>,
    /// Grows with every gap
    epoch: u32,
    next_event: u64,
    filter: PieceFilter,
}

impl PrefixCache {
    /// Number of the event due next; events are asked for from here on
    pub fn next_event(&self) -> u64 {
        self.next_event
    }

    /// Takes in one published change; a jump of the numbers makes older news uncertain
    pub fn apply(&mut self, sequence: u64, piece: PieceHash, held: bool) {
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

    /// Notes that a prompt with these pieces was sent to the engine
    pub fn expect(&mut self, pieces: &[PieceHash]) {
        for piece in pieces {
            self.insert(*piece);
        }
    }

    /// Forgets everything, as when the engine has restarted or changed its model
    pub fn clear(&mut self) {
        self.pieces.clear();
        self.epoch = 0;
        self.next_event = 0;
        self.filter = PieceFilter::default();
    }

    /// Expected tokens of the prompt's prefix that the engine holds
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

    /// Most pieces of the prompt's prefix that the engine may hold; cheap and never too few
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
        if self.filter.removed > MAX_STALE_BITS {
            self.filter = PieceFilter::default();
            for held in self.pieces.keys() {
                self.filter.insert(*held);
            }
        }
    }
}
