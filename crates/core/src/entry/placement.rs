//! Which agents a request is reserved at, in what order.
//!
//! The first candidate is the agent whose cache most likely holds the longest prefix of the prompt:
//! the one where this entry last sent a request with that prefix or, for a prefix that is new here,
//! the one that a rendezvous hash of its first block picks, on which all entries agree. The others
//! are drawn at random.

mod memory;

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::fleet::{Endpoint, Fleet};
use crate::name::{EndpointName, RouteName};
use crate::request::PrefixDigest;
use crate::time::Timestamp;

use memory::Memory;

/// How the first candidate is picked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Affinity {
    /// At random.
    None,
    /// By rendezvous hash of the first block.
    Rendezvous,
    /// By the longest prefix sent from here before, else by rendezvous hash.
    #[default]
    Learnt,
}

/// Chooses candidates with a generator seeded by the process.
#[derive(Debug)]
pub struct Placement {
    random: ChaCha8Rng,
    shunned: HashMap<EndpointName, Timestamp>,
    affinity: Affinity,
    memory: Memory,
}

impl Placement {
    /// A chooser whose choices depend only on `seed` and what it is told.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            shunned: HashMap::new(),
            affinity: Affinity::default(),
            memory: Memory::default(),
        }
    }

    /// The same chooser with another way to pick the first candidate.
    #[must_use]
    pub fn with_affinity(self, affinity: Affinity) -> Self {
        Self { affinity, ..self }
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
        if let Some(index) = self.favourite(&names, prefixes) {
            names.swap(0, index);
        }
        names.sort_by_key(|name| self.shunned.contains_key(*name));
        names.into_iter().cloned().collect()
    }

    /// The agent that most likely has the prompt's prefix cached.
    fn favourite(&self, names: &[&EndpointName], prefixes: &[PrefixDigest]) -> Option<usize> {
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
                let known = self.memory.longest(prefixes);
                let index = known.and_then(|known| names.iter().position(|name| *name == known));
                index.or_else(by_hash)
            }
        }
    }

    /// Notes that a prompt was sent to an agent, which now caches its prefixes.
    pub fn sent(&mut self, endpoint: &EndpointName, prefixes: &[PrefixDigest]) {
        if self.affinity == Affinity::Learnt {
            self.memory.note(endpoint, prefixes);
        }
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
