//! Where prefixes were sent last.

use std::collections::{HashMap, VecDeque};

use crate::name::EndpointName;
use crate::request::PrefixDigest;

/// Prefixes remembered at most; the one noted first is forgotten first.
const PREFIXES_LIMIT: usize = 8_192;

/// The agent that each prefix was sent to last.
#[derive(Debug, Default)]
pub(super) struct Memory {
    agents: HashMap<PrefixDigest, EndpointName>,
    order: VecDeque<PrefixDigest>,
}

impl Memory {
    /// The agent of the longest prefix that is known.
    pub(super) fn longest(&self, prefixes: &[PrefixDigest]) -> Option<&EndpointName> {
        let mut known = prefixes.iter().rev();
        known.find_map(|prefix| self.agents.get(prefix))
    }

    pub(super) fn note(&mut self, endpoint: &EndpointName, prefixes: &[PrefixDigest]) {
        for prefix in prefixes {
            if self.agents.insert(*prefix, endpoint.clone()).is_none() {
                self.order.push_back(*prefix);
            }
        }
        while self.order.len() > PREFIXES_LIMIT {
            if let Some(oldest) = self.order.pop_front() {
                self.agents.remove(&oldest);
            }
        }
    }
}
