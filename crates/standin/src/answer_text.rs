//! The text that the engine stand-in generates. It depends only on the prompt and the token limit,
//! so that a caller can check that it received the complete answer to its own prompt.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the number of tokens that the engine generates for a prompt, between half of `limit` and
/// `limit`.
///
/// ```
/// use comfreyhaven_standin::answer_text::{length, token};
///
/// let count = length("hello", 8);
/// assert!((4..=8).contains(&count));
/// assert_ne!(token("hello", 0), token("world", 0));
/// ```
#[must_use]
pub fn length(prompt: &str, limit: u32) -> u32 {
    let half = limit / 2;
    let range = u64::from(limit - half + 1);
    let extra = u32::try_from(prompt_hash(prompt) % range).unwrap_or(0);
    (half + extra).max(1)
}

/// Returns the token at `index` of the answer to a prompt.
#[must_use]
pub fn token(prompt: &str, index: u32) -> String {
    format!("{:04x}.{index} ", prompt_hash(prompt) & 0xffff)
}

/// Returns the complete answer to a prompt.
#[must_use]
pub fn text(prompt: &str, limit: u32) -> String {
    (0..length(prompt, limit))
        .map(|index| token(prompt, index))
        .collect()
}

/// Returns the key under which the engine counts the runs of a prompt.
///
/// ```
/// use comfreyhaven_standin::answer_text::prompt_key;
///
/// assert_eq!(prompt_key("hello"), prompt_key("hello"));
/// assert_ne!(prompt_key("hello"), prompt_key("world"));
/// ```
#[must_use]
pub fn prompt_key(prompt: &str) -> String {
    format!("{:016x}", prompt_hash(prompt))
}

fn prompt_hash(prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    hasher.finish()
}
