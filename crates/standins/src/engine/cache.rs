//! Prefix cache of an engine and the events it publishes about it.

use catalogue::id::TokenCount;
use catalogue::prefix::{PIECE_TOKENS, PieceHash};
use indexmap::IndexMap;
use platform::engine::{CacheEvent, CacheEvents};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

const MAX_EVENTS: usize = 8_192;

/// Pieces held, the least recently used evicted first
pub(super) struct PrefixCache {
    limit: usize,
    uses: IndexMap<PieceHash, u64>,
    oldest: BTreeMap<u64, PieceHash>,
    clock: u64,
    pub(super) journal: EventJournal,
}

impl PrefixCache {
    pub(super) fn new(limit: usize, journal: EventJournal) -> PrefixCache {
        PrefixCache { limit, uses: IndexMap::new(), oldest: BTreeMap::new(), clock: 0, journal }
    }

    /// Tokens of the longest held prefix, which counts as used
    pub(super) fn take_prefix(&mut self, pieces: &[PieceHash]) -> TokenCount {
        let held = pieces.iter().take_while(|it| self.uses.contains_key(*it)).count();
        for piece in &pieces[..held] {
            self.touch(*piece);
        }
        held as TokenCount * PIECE_TOKENS
    }

    pub(super) fn insert(&mut self, pieces: &[PieceHash], now: Instant) {
        for piece in pieces {
            if !self.uses.contains_key(piece) {
                self.journal.push(*piece, true, now);
            }
            self.touch(*piece);
        }
        while self.uses.len() > self.limit {
            self.evict(now);
        }
    }

    pub(super) fn clear(&mut self, now: Instant) {
        while !self.uses.is_empty() {
            self.evict(now);
        }
    }

    fn touch(&mut self, piece: PieceHash) {
        self.clock += 1;
        if let Some(last) = self.uses.insert(piece, self.clock) {
            self.oldest.remove(&last);
        }
        self.oldest.insert(self.clock, piece);
    }

    fn evict(&mut self, now: Instant) {
        if let Some((_, piece)) = self.oldest.pop_first() {
            self.uses.swap_remove(&piece);
            self.journal.push(piece, false, now);
        }
    }
}

/// Events on their way to being published
pub(super) struct EventJournal {
    lag: Duration,
    loss: f64,
    rng: ChaCha8Rng,
    next: u64,
    events: VecDeque<(Instant, Option<CacheEvent>)>,
}

impl EventJournal {
    pub(super) fn new(lag: Duration, loss: f64, seed: u64) -> EventJournal {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        EventJournal { lag, loss: loss.clamp(0.0, 1.0), rng, next: 1, events: VecDeque::new() }
    }

    pub(super) fn published(&self, from: u64, now: Instant) -> CacheEvents {
        let first = self.next - self.events.len() as u64;
        let shown = self.events.iter().take_while(|(at, _)| *at <= now).count();
        let skip = from.saturating_sub(first).min(shown as u64) as usize;
        let events = self.events.iter().take(shown).skip(skip);
        CacheEvents {
            next: first + shown as u64,
            events: events.filter_map(|(_, event)| *event).collect(),
        }
    }

    fn push(&mut self, piece: PieceHash, held: bool, now: Instant) {
        let event = CacheEvent { sequence: self.next, piece, held };
        self.next += 1;
        let kept = !self.rng.random_bool(self.loss);
        self.events.push_back((now + self.lag, kept.then_some(event)));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
