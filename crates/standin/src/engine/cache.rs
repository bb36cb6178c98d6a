//! The prompt-prefix cache: blocks of prompt, least recently used first out.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Bytes of prompt in one block.
const BLOCK_BYTES: usize = 256;

/// Bytes of prompt in one token.
pub(super) const BYTES_PER_TOKEN: usize = 4;

/// Tokens in one block.
const BLOCK_TOKENS: u64 = (BLOCK_BYTES / BYTES_PER_TOKEN) as u64;

/// Blocks that were computed, by digest of the block and all before it.
#[derive(Debug)]
pub(super) struct Cache {
    limit: usize,
    clock: u64,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
}

impl Cache {
    pub(super) fn new(tokens: u64) -> Self {
        let limit = usize::try_from(tokens / BLOCK_TOKENS).unwrap_or(usize::MAX);
        Self {
            limit,
            clock: 0,
            used: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Tokens at the start of a prompt that are cached. They count as used.
    pub(super) fn look_up(&mut self, prompt: &str) -> u64 {
        let mut hits = 0;
        for digest in digests(prompt) {
            if !self.used.contains_key(&digest) {
                break;
            }
            self.touch(digest);
            hits += BLOCK_TOKENS;
        }
        hits
    }

    /// Caches the whole blocks of a prompt.
    pub(super) fn insert(&mut self, prompt: &str) {
        for digest in digests(prompt) {
            self.touch(digest);
        }
    }

    fn touch(&mut self, digest: u64) {
        self.clock += 1;
        if let Some(earlier) = self.used.insert(digest, self.clock) {
            self.order.remove(&earlier);
        }
        self.order.insert(self.clock, digest);
        while self.used.len() > self.limit {
            let Some((_, oldest)) = self.order.pop_first() else {
                return;
            };
            self.used.remove(&oldest);
        }
    }
}

/// A digest for each whole block, of the block and all before it.
fn digests(prompt: &str) -> impl Iterator<Item = u64> {
    let mut hasher = DefaultHasher::new();
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(move |block| {
            block.hash(&mut hasher);
            hasher.finish()
        })
}

#[cfg(test)]
mod tests;
