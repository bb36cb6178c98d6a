//! What of the evidence goes into one report, if there is more than fits.

use std::cmp::Reverse;

/// How much something says of crashes; lower values say more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Whether a run with it went on lately, as with a part that sound requests share.
    pub(super) is_proven: bool,
    /// Requests at crashes that hold it.
    pub(super) requests: Reverse<u32>,
}

/// Something that may be chosen.
#[derive(Debug)]
pub(super) struct Choice<T> {
    item: T,
    pub(super) rank: Rank,
    /// A random number, another one in each report.
    lot: u64,
}

impl<T> Choice<T> {
    pub(super) const fn new(item: T, rank: Rank, lot: u64) -> Self {
        Self { item, rank, lot }
    }
}

/// Returns at most `limit` of the choices. Half of them say most, the others are drawn by lot, so that each
/// gets its turn however many there are.
pub(super) fn choose<T>(mut choices: Vec<Choice<T>>, limit: usize) -> Vec<T> {
    if choices.len() > limit {
        choices.sort_unstable_by_key(|choice| (choice.rank, choice.lot));
        let by_rank = limit.div_ceil(2);
        choices[by_rank..].sort_unstable_by_key(|choice| choice.lot);
        choices.truncate(limit);
    }
    choices.into_iter().map(|choice| choice.item).collect()
}
