//! The text that the engine stand-in generates, by which a caller can tell its own whole answer.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Tokens that the engine generates for a prompt: between half of `limit` and `limit`.
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
    let spread = u64::from(limit - half + 1);
    let extra = u32::try_from(seed(prompt) % spread).unwrap_or(0);
    (half + extra).max(1)
}

/// The token at `index` of the answer to a prompt.
#[must_use]
pub fn token(prompt: &str, index: u32) -> String {
    format!("{:04x}.{index} ", seed(prompt) & 0xffff)
}

/// The whole answer to a prompt.
#[must_use]
pub fn text(prompt: &str, limit: u32) -> String {
    (0..length(prompt, limit))
        .map(|index| token(prompt, index))
        .collect()
}

/// Name under which the engine counts how often a prompt ran.
///
/// ```
/// use comfreyhaven_standin::answer_text::run_name;
///
/// assert_eq!(run_name("hello"), run_name("hello"));
/// assert_ne!(run_name("hello"), run_name("world"));
/// ```
#[must_use]
pub fn run_name(prompt: &str) -> String {
    format!("{:016x}", seed(prompt))
}

fn seed(prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    hasher.finish()
}
