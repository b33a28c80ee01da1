//! Estimate of the prompt prefixes that engines hold in their caches.
//!
//! An engine caches the parts of each prompt that it reads and evicts the least recently
//! used ones when its cache is full. This model tracks the prompts that each engine has
//! read, for this and for other instances, up to the engine's cache capacity. When the
//! estimate is wrong, the engine reads the missing parts again.

use super::endpoint_list::ListedEndpoint;
use super::prompt::{PrefixKey, PromptPrefix};
use catalogue::id::{EndpointId, TokenCount};
use indexmap::IndexMap;
use lru::LruCache;

/// Cache of one incarnation of an engine
#[derive(Debug)]
struct EngineCache {
    started_at_ms: u64,
    held_tokens: u64,
    /// Cached prefixes, with the tokens of the last part of each
    prefixes: LruCache<PrefixKey, TokenCount>,
}

impl EngineCache {
    fn new(started_at_ms: u64) -> EngineCache {
        EngineCache { started_at_ms, held_tokens: 0, prefixes: LruCache::unbounded() }
    }

    /// Records a prompt that the engine read
    ///
    /// The longest prefix goes first, so that eviction removes a prefix only after its extensions.
    fn record_prompt(&mut self, prefixes: &[PromptPrefix], capacity: u64) {
        for (index, prefix) in prefixes.iter().enumerate().rev() {
            if self.prefixes.get(&prefix.key).is_some() {
                continue;
            }
            let before = index.checked_sub(1).map_or(0, |it| prefixes[it].tokens);
            let tokens = prefix.tokens.saturating_sub(before);
            self.held_tokens += u64::from(tokens);
            self.prefixes.put(prefix.key, tokens);
        }
        while self.held_tokens > capacity {
            let Some((_, tokens)) = self.prefixes.pop_lru() else { break };
            self.held_tokens -= u64::from(tokens);
        }
    }

    fn held_tokens(&self, prefixes: &[PromptPrefix]) -> TokenCount {
        let longest = prefixes.iter().rev().find(|it| self.prefixes.contains(&it.key));
        longest.map_or(0, |it| it.tokens)
    }
}

/// Estimated caches of all engines
#[derive(Debug, Default)]
pub struct PromptCaches {
    engines: IndexMap<EndpointId, EngineCache>,
}

impl PromptCaches {
    /// Records that an engine has read a prompt; `capacity` is the size of its cache in tokens
    pub fn record_prompt(
        &mut self,
        engine: &ListedEndpoint,
        prefixes: &[PromptPrefix],
        capacity: u64,
    ) {
        let started_at_ms = engine.started_at_ms;
        let cache = self.engines.entry(engine.id.clone());
        let cache = cache.or_insert_with(|| EngineCache::new(started_at_ms));
        if cache.started_at_ms != started_at_ms {
            *cache = EngineCache::new(started_at_ms);
        }
        cache.record_prompt(prefixes, capacity);
    }

    /// Number of leading prompt tokens that an engine is expected to hold
    pub fn held_tokens(&self, engine: &ListedEndpoint, prefixes: &[PromptPrefix]) -> TokenCount {
        let cache = self.engines.get(&engine.id);
        let cache = cache.filter(|it| it.started_at_ms == engine.started_at_ms);
        cache.map_or(0, |it| it.held_tokens(prefixes))
    }

    /// Drops the caches of engines that are no longer listed
    pub fn retain(&mut self, is_listed: impl Fn(&EndpointId) -> bool) {
        self.engines.retain(|id, _| is_listed(id));
    }
}
