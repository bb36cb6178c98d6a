//! The prompt prefix cache. It stores blocks of prompts and evicts the least recently used ones.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Prompt bytes in one block.
const BLOCK_BYTES: usize = 256;

/// Prompt bytes that count as one token.
pub(super) const BYTES_PER_TOKEN: usize = 4;

/// Prompt tokens in one block.
const BLOCK_TOKENS: u64 = (BLOCK_BYTES / BYTES_PER_TOKEN) as u64;

/// The cached blocks. The key of a block is the digest of the block and all blocks before it.
#[derive(Debug)]
pub(super) struct PrefixCache {
    max_blocks: usize,
    clock: u64,
    last_use: HashMap<u64, u64>,
    use_order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(tokens: u64) -> Self {
        let max_blocks = usize::try_from(tokens / BLOCK_TOKENS).unwrap_or(usize::MAX);
        Self {
            max_blocks,
            clock: 0,
            last_use: HashMap::new(),
            use_order: BTreeMap::new(),
        }
    }

    /// Returns the number of cached tokens at the start of a prompt and marks their blocks as used.
    pub(super) fn lookup(&mut self, prompt: &str) -> u64 {
        let mut hits = 0;
        for digest in block_digests(prompt) {
            if !self.last_use.contains_key(&digest) {
                break;
            }
            self.touch(digest);
            hits += BLOCK_TOKENS;
        }
        hits
    }

    /// Caches the complete blocks of a prompt.
    pub(super) fn insert(&mut self, prompt: &str) {
        for digest in block_digests(prompt) {
            self.touch(digest);
        }
    }

    fn touch(&mut self, digest: u64) {
        self.clock += 1;
        if let Some(previous) = self.last_use.insert(digest, self.clock) {
            self.use_order.remove(&previous);
        }
        self.use_order.insert(self.clock, digest);
        while self.last_use.len() > self.max_blocks {
            let Some((_, oldest)) = self.use_order.pop_first() else {
                return;
            };
            self.last_use.remove(&oldest);
        }
    }
}

/// Returns a digest for each complete block, over the block and all blocks before it.
fn block_digests(prompt: &str) -> impl Iterator<Item = u64> {
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
