//! Which agents a request is reserved at, in what order.
//!
//! The first candidate is the one that a rendezvous hash of the prompt's first block picks, since
//! requests that share a prefix then meet in one cache. The others are drawn at random.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::fleet::{Endpoint, Fleet};
use crate::name::{EndpointName, RouteName};
use crate::request::PrefixDigest;
use crate::time::Timestamp;

/// Chooses candidates with a generator seeded by the process.
#[derive(Debug)]
pub struct Placement {
    random: ChaCha8Rng,
    shunned: HashMap<EndpointName, Timestamp>,
}

impl Placement {
    /// A chooser whose choices depend only on `seed` and what it is told.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            shunned: HashMap::new(),
        }
    }

    /// Every agent that may serve the route now, best first.
    pub fn candidates(
        &mut self,
        fleet: &Fleet,
        route: &RouteName,
        prefixes: &[PrefixDigest],
        now: Timestamp,
    ) -> Vec<EndpointName> {
        self.shunned.retain(|_, until| now < *until);
        let mut names: Vec<_> = fleet
            .eligible(route)
            .map(|endpoint| &endpoint.name)
            .collect();
        names.shuffle(&mut self.random);
        if let Some(first) = prefixes.first() {
            names.sort_by_key(|name| std::cmp::Reverse(score(name, *first)));
            let len = names.len();
            names[1.min(len)..].shuffle(&mut self.random);
        }
        names.sort_by_key(|name| self.shunned.contains_key(*name));
        names.into_iter().cloned().collect()
    }

    /// Puts an agent last until `until`.
    pub fn shun(&mut self, endpoint: EndpointName, until: Timestamp) {
        self.shunned.insert(endpoint, until);
    }

    /// The agents that are asked last.
    #[must_use]
    pub fn shunned(&self, now: Timestamp) -> Vec<EndpointName> {
        let shunned = self.shunned.iter().filter(|(_, until)| now < **until);
        let mut names: Vec<_> = shunned.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }

    /// Whether an agent that was declared is still eligible for new work.
    #[must_use]
    pub fn is_eligible(fleet: &Fleet, endpoint: &EndpointName) -> bool {
        let declared: Option<&Endpoint> = fleet.endpoints.get(endpoint);
        declared.is_some_and(|endpoint| fleet.is_in_service(&endpoint.centre))
    }
}

fn score(endpoint: &EndpointName, prefix: PrefixDigest) -> u64 {
    let mut hasher = DefaultHasher::new();
    (endpoint, prefix).hash(&mut hasher);
    hasher.finish()
}
