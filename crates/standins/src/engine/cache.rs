//! Prefix cache of an engine and the events published about it.

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

/// Cached pieces, evicted in least-recently-used order
pub(super) struct PrefixCache {
    limit: usize,
    last_uses: IndexMap<PieceHash, u64>,
    by_last_use: BTreeMap<u64, PieceHash>,
    use_counter: u64,
    pub(super) journal: EventJournal,
}

impl PrefixCache {
    pub(super) fn new(limit: usize, journal: EventJournal) -> PrefixCache {
        PrefixCache {
            limit,
            last_uses: IndexMap::new(),
            by_last_use: BTreeMap::new(),
            use_counter: 0,
            journal,
        }
    }

    /// Number of tokens of the longest cached prefix; marks its pieces as used
    pub(super) fn use_prefix(&mut self, pieces: &[PieceHash]) -> TokenCount {
        let held = pieces.iter().take_while(|it| self.last_uses.contains_key(*it)).count();
        for piece in &pieces[..held] {
            self.touch(*piece);
        }
        held as TokenCount * PIECE_TOKENS
    }

    pub(super) fn insert(&mut self, pieces: &[PieceHash], now: Instant) {
        for piece in pieces {
            if !self.last_uses.contains_key(piece) {
                self.journal.push(*piece, true, now);
            }
            self.touch(*piece);
        }
        while self.last_uses.len() > self.limit {
            self.evict(now);
        }
    }

    pub(super) fn clear(&mut self, now: Instant) {
        while !self.last_uses.is_empty() {
            self.evict(now);
        }
    }

    fn touch(&mut self, piece: PieceHash) {
        self.use_counter += 1;
        if let Some(last) = self.last_uses.insert(piece, self.use_counter) {
            self.by_last_use.remove(&last);
        }
        self.by_last_use.insert(self.use_counter, piece);
    }

    fn evict(&mut self, now: Instant) {
        if let Some((_, piece)) = self.by_last_use.pop_first() {
            self.last_uses.swap_remove(&piece);
            self.journal.push(piece, false, now);
        }
    }
}

/// Cache events, each published after a lag; some are lost on purpose
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
        let published = self.events.iter().take_while(|(at, _)| *at <= now).count();
        let skip = from.saturating_sub(first).min(published as u64) as usize;
        let events = self.events.iter().take(published).skip(skip);
        CacheEvents {
            next: first + published as u64,
            events: events.filter_map(|(_, event)| *event).collect(),
        }
    }

    fn push(&mut self, piece: PieceHash, held: bool, now: Instant) {
        let event = CacheEvent { sequence: self.next, piece, held };
        self.next += 1;
        let is_published = !self.rng.random_bool(self.loss);
        self.events.push_back((now + self.lag, is_published.then_some(event)));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
