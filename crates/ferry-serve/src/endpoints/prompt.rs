//! Which parts of prompts an engine is assumed to have cached, by the calls of this instance.

use std::time::Duration;

use ferry_model::Moment;

use super::EndpointView;

/// Time for which an engine is assumed to cache a prompt part.
const CACHE_TTL: Duration = Duration::from_secs(20);
/// Prompt parts that are tracked for each engine.
const MAX_CACHED_PARTS: usize = 1024;

impl EndpointView {
    /// Returns how many tokens of the prompt the endpoint is assumed to have cached.
    pub fn cached_tokens(&self, now: Moment, prefixes: &[(u64, u32)]) -> u32 {
        let is_kept = |hash: &u64| self.parts.get(hash).is_some_and(|at| now < *at + CACHE_TTL);
        prefixes.iter().take_while(|(hash, _)| is_kept(hash)).map(|(_, tokens)| tokens).sum()
    }

    pub fn record_prompt(&mut self, now: Moment, prefixes: &[(u64, u32)]) {
        if MAX_CACHED_PARTS <= self.parts.len() + prefixes.len() {
            self.parts.retain(|_, at| now < *at + CACHE_TTL);
        }
        for (hash, _) in prefixes {
            self.parts.insert(*hash, now);
        }
    }
}
