//! Random steps of the property test: requests, loans, time, faults and reconfigurations.

use std::collections::BTreeSet;

use proptest::prelude::*;

use super::network::BURST;

#[derive(Debug, Clone)]
pub(super) enum Step {
    /// Charges a request, uses a part of its tokens and refunds the rest after `hold` milliseconds.
    Spend {
        host: usize,
        tokens: u64,
        used: u64,
        hold: u64,
    },
    /// Sends loan requests without spending the tokens.
    Borrow {
        host: usize,
        tokens: u64,
    },
    /// Every host spends all its tokens.
    Drain,
    Wait(u64),
    Pause {
        host: usize,
        millis: u64,
    },
    Restart(usize),
    Partition(usize),
    Heal,
    Hosts(BTreeSet<usize>),
}

pub(super) fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0..6_usize, 1..BURST, 0..100_u64, 0..8_000_u64).prop_map(|(host, tokens, used, hold)| {
            Step::Spend { host, tokens, used: tokens * used / 99, hold }
        }),
        8 => (0..6_usize, 1..BURST).prop_map(|(host, tokens)| Step::Borrow { host, tokens }),
        4 => Just(Step::Drain),
        4 => (1..800_u64).prop_map(Step::Wait),
        4 => (1..6_000_u64).prop_map(Step::Wait),
        1 => (0..6_usize, 1..4_000_u64).prop_map(|(host, millis)| Step::Pause { host, millis }),
        1 => (0..6_usize).prop_map(Step::Restart),
        1 => (0..6_usize).prop_map(Step::Partition),
        1 => Just(Step::Heal),
        1 => prop::collection::btree_set(0..6_usize, 1..5).prop_map(Step::Hosts),
    ]
}
