//! What an entry knows of each endpoint: its listing, what runs there, and how it proved itself.

mod candidate;
mod usual;

pub use candidate::{Candidate, Load};

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::members::EndpointLoad;
use super::pace::Pace;
use super::plan::{EndpointId, Listing};
use super::tempo::Tempo;
use crate::time::{Timestamp, whole_millis};
use usual::Usual;

/// Part of a new outcome in a learnt share of failures.
const FAILURE_GAIN: f64 = 0.12;

/// First pause after an endpoint could not be reached or broke off.
const SUSPECT_MIN: Duration = Duration::from_millis(300);

/// Longest such pause.
const SUSPECT_MAX: Duration = Duration::from_millis(2_400);

/// Part of a new sighting in the usual time between events of a service.
const USUAL_GAIN: f64 = 0.02;

/// Answers with fewer events tell nothing of the time between two.
const EVENTS_MIN: u32 = 4;

/// Recognises a name in reports between entries of one version.
#[must_use]
pub fn digest(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// A request that was sent to an endpoint.
#[derive(Debug, Clone)]
pub struct Run {
    /// Where.
    pub endpoint: EndpointId,
    /// When.
    pub sent: Timestamp,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// The endpoint's start that it was sent to.
    start: u64,
    /// What was pending there, with its own prompt.
    ahead: u64,
    begun: bool,
}

/// All endpoints that are listed.
#[derive(Debug, Default)]
pub struct Book {
    endpoints: BTreeMap<EndpointId, Candidate>,
    services: HashMap<Arc<str>, Vec<EndpointId>>,
    digests: HashMap<u64, EndpointId>,
    usual: HashMap<Arc<str>, Usual>,
    /// Endpoints of which nothing was seen yet, by service: they go by what is usual.
    unlearnt: HashMap<Arc<str>, BTreeSet<EndpointId>>,
    reports: HashMap<SocketAddr, Vec<EndpointLoad>>,
    starts: u64,
    /// Endpoints that changed, and of which it is not yet noted when.
    changed: Vec<EndpointId>,
}

impl Book {
    /// Takes a listing. One of another start under a known name replaces all that was known.
    pub fn list(&mut self, listing: Listing, now: Timestamp) {
        let cold = now + listing.cold;
        if let Some(known) = self.endpoints.get_mut(&listing.id)
            && known.listing.born == listing.born
            && known.listing.service == listing.service
            && known.listing.address == listing.address
        {
            if listing.sequence < known.listing.sequence {
                return;
            }
            if listing.sequence > known.listing.sequence || known.is_lapsed() {
                known.mark(&mut self.changed);
            }
            known.cold = known.cold.max(cold);
            known.lapsed = Timestamp::NEVER;
            known.listing = listing;
            return;
        }
        self.remove(&listing.id);
        let id = Arc::clone(&listing.id);
        let digest = digest(&id);
        self.starts += 1;
        let usual = self
            .usual
            .get(&listing.service)
            .copied()
            .unwrap_or_default();
        let tempo = Tempo::new(usual.event);
        let mut candidate = Candidate {
            digest,
            start: self.starts,
            own: Load::default(),
            foreign: Load::default(),
            sends: Pace::default(),
            sent: now,
            cold,
            lapsed: Timestamp::NEVER,
            curve: usual.curve(&tempo),
            tempo,
            failures: 0.0,
            strikes: 0,
            suspect: Timestamp::ZERO,
            revision: u64::MAX,
            listing,
        };
        candidate.mark(&mut self.changed);
        for load in self
            .reports
            .values()
            .flatten()
            .filter(|load| load.endpoint == digest)
        {
            candidate.foreign.running += u32::from(load.running);
            candidate.foreign.pending += u64::from(load.pending);
        }
        let service = Arc::clone(&candidate.listing.service);
        let unlearnt = self.unlearnt.entry(Arc::clone(&service)).or_default();
        unlearnt.insert(Arc::clone(&id));
        self.services
            .entry(service)
            .or_default()
            .push(Arc::clone(&id));
        self.digests.insert(digest, Arc::clone(&id));
        self.endpoints.insert(id, candidate);
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: &str) {
        if let Some(known) = self.endpoints.remove(id) {
            self.digests.remove(&known.digest);
            let service = &known.listing.service;
            if let Some(ids) = self.services.get_mut(service) {
                ids.retain(|other| **other != *id);
            }
            if let Some(unlearnt) = self.unlearnt.get_mut(service) {
                unlearnt.remove(id);
            }
        }
    }

    /// Notes that an endpoint is no longer listed. It is used until `until`, unless it had said that
    /// it leaves.
    pub fn lapse(&mut self, id: &str, until: Timestamp) {
        match self.endpoints.get_mut(id) {
            Some(known) if known.listing.leaving => self.remove(id),
            Some(known) => {
                known.lapsed = known.lapsed.min(until);
                known.mark(&mut self.changed);
            }
            None => {}
        }
    }

    /// Removes every endpoint that lapsed and did not come back in time.
    pub fn drop_lapsed(&mut self, now: Timestamp) -> Vec<EndpointId> {
        let lapsed = self.endpoints.values().filter(|known| known.lapsed <= now);
        let ids: Vec<_> = lapsed.map(|known| Arc::clone(&known.listing.id)).collect();
        for id in &ids {
            self.remove(id);
        }
        ids
    }

    /// Names of all endpoints.
    #[must_use]
    pub fn ids(&self) -> Vec<EndpointId> {
        self.endpoints.keys().cloned().collect()
    }

    /// Notes that whatever has changed did so up to `revision` of the store.
    pub fn stamp(&mut self, revision: u64) {
        for id in std::mem::take(&mut self.changed) {
            if let Some(known) = self.endpoints.get_mut(&id) {
                known.revision = revision;
            }
        }
    }

    /// Digests of all endpoints.
    #[must_use]
    pub fn digests(&self) -> Vec<u64> {
        self.endpoints.values().map(|known| known.digest).collect()
    }

    /// The listings that changed after `revision`, with the milliseconds for which one is still used that
    /// has lapsed.
    #[must_use]
    pub fn listings(&self, revision: u64, now: Timestamp) -> Vec<(Listing, Option<u32>)> {
        let current = |known: &Candidate| {
            let rest = whole_millis(known.lapsed.since(now));
            let listing = Listing {
                cold: known.cold.since(now),
                ..known.listing.clone()
            };
            (listing, known.is_lapsed().then_some(rest))
        };
        let newer = |known: &&Candidate| known.revision > revision;
        self.endpoints.values().filter(newer).map(current).collect()
    }

    /// One endpoint.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Candidate> {
        self.endpoints.get(id)
    }

    /// One endpoint.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Candidate> {
        self.endpoints.get_mut(id)
    }

    /// The endpoints of a service.
    pub fn of(&self, service: &str) -> impl Iterator<Item = &Candidate> {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.endpoints.get(id))
    }

    /// Takes what a peer says it runs. An empty report takes everything back.
    pub fn report(&mut self, peer: SocketAddr, loads: Vec<EndpointLoad>) {
        let before = self.reports.remove(&peer).unwrap_or_default();
        for load in &before {
            if let Some(known) = self.by_digest(load.endpoint) {
                known.foreign.running = known.foreign.running.saturating_sub(load.running.into());
                known.foreign.pending = known.foreign.pending.saturating_sub(load.pending.into());
            }
        }
        for load in &loads {
            let Some(id) = self.digests.get(&load.endpoint) else {
                continue;
            };
            let Some(known) = self.endpoints.get_mut(id) else {
                continue;
            };
            known.foreign.running += u32::from(load.running);
            known.foreign.pending += u64::from(load.pending);
            let service = &known.listing.service;
            let unlearnt = self.unlearnt.get(service);
            if known.tempo.hear(load.tempo)
                && unlearnt.is_some_and(|unlearnt| unlearnt.contains(id))
                && let Some(usual) = self.usual.get(service)
            {
                known.curve = usual.curve(&known.tempo);
            }
        }
        if !loads.is_empty() {
            self.reports.insert(peer, loads);
        }
    }

    fn by_digest(&mut self, digest: u64) -> Option<&mut Candidate> {
        self.endpoints.get_mut(self.digests.get(&digest)?)
    }

    /// How many endpoints there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Requests that this entry runs at all of them.
    #[must_use]
    pub fn running(&self) -> usize {
        let running = self
            .endpoints
            .values()
            .map(|known| known.own.running as usize);
        running.sum()
    }

    /// What this entry runs, for a report.
    #[must_use]
    pub fn loads(&self) -> Vec<EndpointLoad> {
        let busy = self
            .endpoints
            .values()
            .filter(|known| known.own.running > 0);
        let load = |known: &Candidate| EndpointLoad {
            endpoint: known.digest,
            running: u16::try_from(known.own.running).unwrap_or(u16::MAX),
            pending: u32::try_from(known.own.pending).unwrap_or(u32::MAX),
            tempo: known.tempo.told(),
        };
        busy.map(load).collect()
    }

    /// Notes that a request of `prompt` tokens is sent.
    pub fn send(&mut self, id: &str, prompt: u64, now: Timestamp) -> Option<Run> {
        let known = self.endpoints.get_mut(id)?;
        known.own.running += 1;
        known.own.pending += prompt;
        known.sends.note(now);
        known.sent = now;
        Some(Run {
            endpoint: Arc::clone(&known.listing.id),
            sent: now,
            prompt,
            start: known.start,
            ahead: known.load().pending,
            begun: false,
        })
    }

    /// The endpoint of a run, if it is still the start that the run was sent to.
    fn of_run(&mut self, run: &Run) -> Option<&mut Candidate> {
        let known = self.endpoints.get_mut(&run.endpoint)?;
        (known.start == run.start).then_some(known)
    }

    /// Notes the first byte of an answer and learns the endpoint's speed.
    pub fn begin(&mut self, run: &mut Run, now: Timestamp) {
        if std::mem::replace(&mut run.begun, true) {
            return;
        }
        let Some(known) = self.of_run(run) else {
            return;
        };
        known.own.pending = known.own.pending.saturating_sub(run.prompt);
        let seen = now.since(run.sent).as_secs_f64() * 1_000.0;
        known.curve.learn(run.ahead, seen);
        let service = Arc::clone(&known.listing.service);
        let usual = self.usual.entry(Arc::clone(&service)).or_default();
        usual.curve.learn(run.ahead, seen);
        if let Some(unlearnt) = self.unlearnt.get_mut(&service) {
            unlearnt.remove(&run.endpoint);
            for id in &*unlearnt {
                if let Some(other) = self.endpoints.get_mut(id) {
                    other.curve = usual.curve(&other.tempo);
                }
            }
        }
    }

    /// Notes that a request is over there.
    pub fn end(&mut self, run: &Run) {
        if let Some(known) = self.of_run(run) {
            known.own.running = known.own.running.saturating_sub(1);
            if !run.begun {
                known.own.pending = known.own.pending.saturating_sub(run.prompt);
            }
        }
    }

    /// Notes how long the events of an answer have taken until now.
    pub fn stream(&mut self, run: &Run, events: u32, span: Duration) {
        if events < EVENTS_MIN {
            return;
        }
        let seen = span.as_secs_f64() * 1_000.0 / f64::from(events - 1);
        let Some(known) = self.of_run(run) else {
            return;
        };
        known.tempo.see(seen);
        let service = Arc::clone(&known.listing.service);
        let usual = self.usual.entry(Arc::clone(&service)).or_default();
        let event = usual.event.get_or_insert(seen);
        *event += USUAL_GAIN * (seen - *event);
        let event = *event;
        for id in self.unlearnt.get(&service).into_iter().flatten() {
            if let Some(other) = self.endpoints.get_mut(id) {
                other.tempo.guess(event);
            }
        }
    }

    /// Notes a whole answer.
    pub fn succeed(&mut self, run: &Run) {
        if let Some(known) = self.of_run(run) {
            known.strikes = 0;
            known.failures -= FAILURE_GAIN * known.failures;
        }
    }

    /// Notes an answer that tells of a failure of the endpoint.
    pub fn fail(&mut self, run: &Run) {
        if let Some(known) = self.of_run(run) {
            known.failures += FAILURE_GAIN * (1.0 - known.failures);
        }
    }

    /// Keeps new requests away for a while, longer each time: it could not be reached, or broke off.
    pub fn suspect(&mut self, run: &Run, now: Timestamp) {
        if let Some(known) = self.of_run(run) {
            if known.is_suspect(now) {
                return;
            }
            let pause = SUSPECT_MIN * 2_u32.saturating_pow(known.strikes.min(4));
            known.strikes += 1;
            known.suspect = now + pause.min(SUSPECT_MAX);
        }
    }

    /// Notes that an endpoint has begun anew or said that it is cold for `span`.
    pub fn chill(&mut self, id: &str, span: Duration, now: Timestamp) {
        if let Some(known) = self.endpoints.get_mut(id) {
            known.cold = known.cold.max(now + span);
        }
    }
}
