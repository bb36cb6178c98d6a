//! The state machine of configuration synchronization.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::confirmation_wait::{ConfirmationWait, START_ANSWERS};
use super::message::{Action, Event, Outcome};
use super::peers::Peers;
use super::service::{CallSpacing, ServiceReader};
use super::version::{Version, Versions};
use crate::time::Timestamp;

/// A document of which some peer has a higher version.
#[derive(Debug, Clone, Copy)]
struct PendingFetch {
    version: Version,
    peer: SocketAddr,
    /// Version requested by the fetch in flight, if any.
    requested: Option<Version>,
}

/// Decides when to contact which peer and the configuration service. It handles versions only, not
/// the texts of documents.
#[derive(Debug)]
pub struct ConfigSync {
    random: ChaCha8Rng,
    known: Versions,
    rejected: Versions,
    fetches: BTreeMap<String, PendingFetch>,
    peers: Peers,
    service: ServiceReader,
    wait: Option<ConfirmationWait>,
}

impl ConfigSync {
    /// Creates the state machine of a process that has just started and listens at `own`. The
    /// `seeds` are contacted while no configuration declares any peer.
    #[must_use]
    pub fn new(own: SocketAddr, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            known: Versions::new(),
            rejected: Versions::new(),
            fetches: BTreeMap::new(),
            peers: Peers::new(own, seeds),
            service: ServiceReader::new(Vec::new()),
            wait: Some(ConfirmationWait::at_start()),
        }
    }

    /// Reads the named document from the service before the index. It should be the document that
    /// declares the processes, since their number determines how far apart calls to the service
    /// must be.
    #[must_use]
    pub fn with_first_document(mut self, name: &str) -> Self {
        self.service = ServiceReader::new(vec![name.to_owned()]);
        self
    }

    /// Handles one event and returns the actions that the process must carry out.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Declared(all) => {
                self.peers.declare(all);
                let (service, mut spacing) = self.service_and_spacing(now);
                service.respace(&mut spacing);
            }
            Event::Answered { peer, versions } => self.on_answer(peer, versions),
            Event::Unreachable(peer) => self.on_unreachable(peer),
            Event::Called { peer, versions } => self.compare_versions(peer, versions),
            Event::Fetched { name, outcome } => self.on_fetched(&name, outcome, now),
            Event::Indexed(index) => {
                let (service, mut spacing) = self.service_and_spacing(now);
                service.on_index(index, &mut spacing);
            }
            Event::ServiceDown => {
                let (service, mut spacing) = self.service_and_spacing(now);
                service.on_failure(&mut spacing);
            }
            Event::Read { name, outcome } => {
                self.record_outcome(&name, outcome, now);
                let (service, mut spacing) = self.service_and_spacing(now);
                service.on_read(&name, outcome, &mut spacing);
            }
            Event::Suspended => self.on_suspension(now),
            Event::Tick => {}
        }
        self.push_due_actions(now, &mut actions);
        actions
    }

    /// Returns the latest time at which [`Event::Tick`] must be given.
    #[must_use]
    pub fn wake(&self) -> Timestamp {
        let deadline = self
            .wait
            .as_ref()
            .map_or(Timestamp::NEVER, ConfirmationWait::deadline);
        self.peers.wake().min(self.service.wake()).min(deadline)
    }

    /// Returns the newest versions that are in force or wait for other documents.
    #[must_use]
    pub fn known(&self) -> &Versions {
        &self.known
    }

    /// Returns whether the wait for peers since the start or the last suspension has ended.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.wait.is_none()
    }

    /// Returns whether this process watches the service rather than polling it.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.peers.is_watcher()
    }

    fn service_and_spacing(&mut self, now: Timestamp) -> (&mut ServiceReader, CallSpacing<'_>) {
        let spacing = CallSpacing {
            now,
            watcher: self.peers.is_watcher(),
            readers: self.peers.readers(),
            random: &mut self.random,
        };
        (&mut self.service, spacing)
    }

    fn on_answer(&mut self, peer: SocketAddr, versions: Versions) {
        self.peers.finish_exchange(peer);
        if let Some(wait) = &mut self.wait {
            wait.on_answer(peer);
        }
        self.compare_versions(peer, versions);
    }

    fn on_unreachable(&mut self, peer: SocketAddr) {
        self.peers.finish_exchange(peer);
        if let Some(wait) = &mut self.wait {
            wait.on_failure(peer);
        }
    }

    /// Records each document of which a peer has a higher version than any known so far.
    fn compare_versions(&mut self, peer: SocketAddr, versions: Versions) {
        for (name, version) in versions {
            let is_rejected = self.rejected.get(&name) == Some(&version);
            let found = self.fetches.get(&name).map(|fetch| fetch.version);
            let newest = self.known.get(&name).copied().max(found);
            if is_rejected || newest >= Some(version) {
                continue;
            }
            let requested = self.fetches.get(&name).and_then(|fetch| fetch.requested);
            let fetch = PendingFetch {
                version,
                peer,
                requested,
            };
            self.fetches.insert(name, fetch);
        }
    }

    fn on_fetched(&mut self, name: &str, outcome: Outcome, now: Timestamp) {
        self.record_outcome(name, outcome, now);
        let Some(fetch) = self.fetches.get_mut(name) else {
            return;
        };
        if fetch.requested.take() == Some(fetch.version) {
            self.fetches.remove(name);
        }
        if outcome == Outcome::Failed {
            self.peers.schedule_soon(1, now);
        }
    }

    fn record_outcome(&mut self, name: &str, outcome: Outcome, now: Timestamp) {
        match outcome {
            Outcome::Known(version) if self.known.get(name) < Some(&version) => {
                self.known.insert(name.to_owned(), version);
                self.peers.on_document(now);
                if let Some(wait) = &mut self.wait {
                    wait.on_document(now);
                }
            }
            Outcome::Rejected(version) => {
                self.rejected.insert(name.to_owned(), version);
            }
            Outcome::Known(_) | Outcome::Missing | Outcome::Failed => {}
        }
    }

    fn on_suspension(&mut self, now: Timestamp) {
        if self
            .wait
            .as_ref()
            .is_none_or(ConfirmationWait::is_after_suspension)
        {
            self.wait = Some(ConfirmationWait::after_suspension(
                self.peers.in_flight().clone(),
                now,
            ));
        }
        self.service.invalidate();
        self.peers.schedule_soon(START_ANSWERS, now);
    }

    fn push_due_actions(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.drop_outdated_fetches();
        for (name, fetch) in &mut self.fetches {
            if fetch.requested.is_none() {
                fetch.requested = Some(fetch.version);
                let (peer, name) = (fetch.peer, name.clone());
                actions.push(Action::Fetch { peer, name });
            }
        }
        let peers = self.peers.due(now, &mut self.random);
        actions.extend(peers.into_iter().map(Action::Exchange));
        actions.extend(self.service.due(now, self.peers.is_watcher()));
        self.check_confirmation(now, actions);
    }

    /// Drops pending fetches that are no longer needed, unless they are in flight.
    fn drop_outdated_fetches(&mut self) {
        let (known, rejected) = (&self.known, &self.rejected);
        self.fetches.retain(|name, fetch| {
            let is_rejected = rejected.get(name) == Some(&fetch.version);
            fetch.requested.is_some() || (!is_rejected && known.get(name) < Some(&fetch.version))
        });
    }

    fn check_confirmation(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(wait) = &mut self.wait else { return };
        if self.service.is_current() {
            wait.on_service_read();
        }
        let compared = self.peers.is_declared()
            && self.fetches.is_empty()
            && wait.is_satisfied(self.peers.all());
        if compared || now >= wait.deadline() {
            self.wait = None;
            actions.push(Action::Confirmed);
            return;
        }
        let (missing, tried) = (wait.missing(), wait.tried());
        let count = missing.saturating_sub(self.peers.in_flight().len());
        let peers = self.peers.pick(count, &tried, &mut self.random);
        actions.extend(peers.into_iter().map(Action::Exchange));
    }
}
