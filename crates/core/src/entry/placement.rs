//! Order of the agents at which a request is reserved.
//!
//! The first candidate is the agent whose cache most likely holds the longest prefix of the prompt:
//! the agent to which this entry last sent a request with that prefix or, for a prefix unknown to
//! this entry, the agent chosen by a rendezvous hash of the shortest prefix; all entries choose the
//! same one. The other candidates are in random order.

mod prefix_map;

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::fleet::{Endpoint, Fleet};
use crate::name::{EndpointName, RouteName};
use crate::request::PrefixDigest;
use crate::time::Timestamp;

use prefix_map::PrefixMap;

/// Method of selecting the first candidate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Affinity {
    /// At random.
    None,
    /// By rendezvous hash of the shortest prefix.
    Rendezvous,
    /// By the longest prefix that this entry has sent before, else by rendezvous hash.
    #[default]
    Learnt,
}

/// Selects candidates with a random generator that the process seeds.
#[derive(Debug)]
pub struct Placement {
    random: ChaCha8Rng,
    avoided: HashMap<EndpointName, Timestamp>,
    affinity: Affinity,
    prefixes: PrefixMap,
}

impl Placement {
    /// Creates a placement whose selections depend only on `seed` and on the calls made to it.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            avoided: HashMap::new(),
            affinity: Affinity::default(),
            prefixes: PrefixMap::default(),
        }
    }

    /// Sets the method of selecting the first candidate.
    #[must_use]
    pub fn with_affinity(self, affinity: Affinity) -> Self {
        Self { affinity, ..self }
    }

    /// Returns every agent that may serve the route now, best candidate first.
    pub fn candidates(
        &mut self,
        fleet: &Fleet,
        route: &RouteName,
        prefixes: &[PrefixDigest],
        now: Timestamp,
    ) -> Vec<EndpointName> {
        self.avoided.retain(|_, until| now < *until);
        let mut names: Vec<_> = fleet
            .eligible(route)
            .map(|endpoint| &endpoint.name)
            .collect();
        names.shuffle(&mut self.random);
        if let Some(index) = self.preferred(&names, prefixes) {
            names.swap(0, index);
        }
        names.sort_by_key(|name| self.avoided.contains_key(*name));
        names.into_iter().cloned().collect()
    }

    /// Returns the index of the agent that most likely caches the prompt's prefix.
    fn preferred(&self, names: &[&EndpointName], prefixes: &[PrefixDigest]) -> Option<usize> {
        let first = *prefixes.first()?;
        let by_hash = || {
            let scores = names.iter().map(|name| score(name, first)).enumerate();
            scores
                .max_by_key(|(_, score)| *score)
                .map(|(index, _)| index)
        };
        match self.affinity {
            Affinity::None => None,
            Affinity::Rendezvous => by_hash(),
            Affinity::Learnt => {
                let known = self.prefixes.longest(prefixes);
                let index = known.and_then(|known| names.iter().position(|name| *name == known));
                index.or_else(by_hash)
            }
        }
    }

    /// Records that a prompt was sent to an agent, which from then on caches its prefixes.
    pub fn record_sent(&mut self, endpoint: &EndpointName, prefixes: &[PrefixDigest]) {
        if self.affinity == Affinity::Learnt {
            self.prefixes.record(endpoint, prefixes);
        }
    }

    /// Makes an agent the last candidate until `until`.
    pub fn avoid(&mut self, endpoint: EndpointName, until: Timestamp) {
        self.avoided.insert(endpoint, until);
    }

    /// Returns the agents that are currently avoided.
    #[must_use]
    pub fn avoided(&self, now: Timestamp) -> Vec<EndpointName> {
        let avoided = self.avoided.iter().filter(|(_, until)| now < **until);
        let mut names: Vec<_> = avoided.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }

    /// Returns whether an agent is still declared and its data centre is in service.
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
