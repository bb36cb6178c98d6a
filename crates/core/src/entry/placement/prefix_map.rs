//! Maps each prompt prefix to the agent to which it was last sent.

use std::collections::{HashMap, VecDeque};

use crate::name::EndpointName;
use crate::request::PrefixDigest;

/// Maximum number of prefixes remembered; the one recorded first is evicted first.
const PREFIX_LIMIT: usize = 8_192;

/// The agent to which each prefix was last sent.
#[derive(Debug, Default)]
pub(super) struct PrefixMap {
    agents: HashMap<PrefixDigest, EndpointName>,
    order: VecDeque<PrefixDigest>,
}

impl PrefixMap {
    /// Returns the agent of the longest known prefix.
    pub(super) fn longest(&self, prefixes: &[PrefixDigest]) -> Option<&EndpointName> {
        let mut known = prefixes.iter().rev();
        known.find_map(|prefix| self.agents.get(prefix))
    }

    pub(super) fn record(&mut self, endpoint: &EndpointName, prefixes: &[PrefixDigest]) {
        for prefix in prefixes {
            if self.agents.insert(*prefix, endpoint.clone()).is_none() {
                self.order.push_back(*prefix);
            }
        }
        while self.order.len() > PREFIX_LIMIT {
            if let Some(oldest) = self.order.pop_front() {
                self.agents.remove(&oldest);
            }
        }
    }
}
