//! One break of an endpoint, and what it ran.

use std::collections::{BTreeMap, BTreeSet};

use super::observations::Observations;
use super::statement::{BrokenRequest, Fate};
use crate::request::{BodyDigest, PartDigest};
use crate::time::Timestamp;

/// Most remembered requests of one crash.
const REQUEST_LIMIT: usize = 1_024;

/// One break of an endpoint's incarnation.
#[derive(Debug)]
pub(super) struct Crash {
    /// When its connections broke.
    pub(super) at: Timestamp,
    pub(super) fate: Fate,
    /// What it ran, unless it lives: the parts of each request's prompt. Several reports may each state
    /// some of the parts of one request.
    pub(super) requests: BTreeMap<RequestKey, BTreeSet<PartDigest>>,
    /// Who observed it.
    pub(super) seen: Observations,
}

/// Identifies a request of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RequestKey {
    pub(super) body: BodyDigest,
    /// Whether its answer had begun.
    pub(super) begun: bool,
}

impl Crash {
    pub(super) fn new(at: Timestamp) -> Self {
        Self {
            at,
            fate: Fate::Unknown,
            requests: BTreeMap::new(),
            seen: Observations::default(),
        }
    }

    /// Adds a request, or parts of one that is known. Returns the digests that are new.
    pub(super) fn add(&mut self, request: BrokenRequest) -> Vec<u64> {
        let key = RequestKey {
            body: request.body,
            begun: request.begun,
        };
        let is_known = self.requests.contains_key(&key);
        if !is_known && self.requests.len() >= REQUEST_LIMIT {
            return Vec::new();
        }
        let parts = self.requests.entry(key).or_default();
        let added = request.parts.into_iter().filter(|part| parts.insert(*part));
        let added: Vec<_> = added.map(|part| part.0).collect();
        let body = (!is_known).then_some(request.body.0);
        added.into_iter().chain(body).collect()
    }

    /// Returns the digests of its requests.
    pub(super) fn digests(&self) -> impl Iterator<Item = u64> {
        let digests = |(key, parts): (&RequestKey, &BTreeSet<PartDigest>)| {
            let parts = parts.iter().map(|part| part.0);
            parts.chain([key.body.0]).collect::<Vec<_>>()
        };
        self.requests.iter().flat_map(digests)
    }

    pub(super) fn part_count(&self) -> usize {
        self.requests.values().map(BTreeSet::len).sum()
    }

    /// Orders crashes by how much they may explain.
    pub(super) fn worth(&self) -> (u8, Timestamp) {
        let certainty = match self.fate {
            Fate::Lives => 0,
            Fate::Unknown => 1,
            Fate::Ended => 2,
        };
        (certainty, self.at)
    }

    pub(super) fn set_fate(&mut self, fate: Fate) {
        self.fate = fate;
        if fate == Fate::Lives {
            self.requests.clear();
        }
    }
}
