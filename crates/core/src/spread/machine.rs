//! The state machine of configuration spread.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::hold::{Hold, START_WORDS};
use super::message::{Action, Event, Outcome};
use super::peers::Peers;
use super::service::{Pace, Service};
use super::version::{Version, Versions};
use crate::time::Timestamp;

/// A document that some peer has in a higher version.
#[derive(Debug, Clone, Copy)]
struct Wanted {
    version: Version,
    peer: SocketAddr,
    /// The version that a call is under way for.
    asked: Option<Version>,
}

/// Decides whom to ask for configuration, and when. It never sees the texts.
#[derive(Debug)]
pub struct Spread {
    random: ChaCha8Rng,
    known: Versions,
    faulty: Versions,
    wanted: BTreeMap<String, Wanted>,
    peers: Peers,
    service: Service,
    hold: Option<Hold>,
}

impl Spread {
    /// The spread of a process that has just started and listens at `own`. `seeds` are asked while
    /// no configuration names any peer.
    #[must_use]
    pub fn new(own: SocketAddr, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            known: Versions::new(),
            faulty: Versions::new(),
            wanted: BTreeMap::new(),
            peers: Peers::new(own, seeds),
            service: Service::new(Vec::new()),
            hold: Some(Hold::start()),
        }
    }

    /// The same spread, which reads the named document before it asks the service for anything
    /// else. It should be the one that declares the processes, since that tells how many readers the
    /// service has.
    #[must_use]
    pub fn with_first(mut self, name: &str) -> Self {
        self.service = Service::new(vec![name.to_owned()]);
        self
    }

    /// Decides on one event.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Declared(all) => {
                self.peers.declare(all);
                let (service, mut pace) = self.service(now);
                service.space(&mut pace);
            }
            Event::Answered { peer, versions } => self.answered(peer, versions),
            Event::Unreachable(peer) => self.unreachable(peer),
            Event::Called { peer, versions } => self.compare(peer, versions),
            Event::Fetched { name, outcome } => self.fetched(&name, outcome, now),
            Event::Indexed(index) => {
                let (service, mut pace) = self.service(now);
                service.indexed(index, &mut pace);
            }
            Event::ServiceDown => {
                let (service, mut pace) = self.service(now);
                service.failed(&mut pace);
            }
            Event::Read { name, outcome } => {
                self.learn(&name, outcome, now);
                let (service, mut pace) = self.service(now);
                service.read(&name, outcome, &mut pace);
            }
            Event::Paused => self.pause(now),
            Event::Tick => {}
        }
        self.settle(now, &mut actions);
        actions
    }

    /// When [`Event::Tick`] must be given, at the latest.
    #[must_use]
    pub fn wake(&self) -> Timestamp {
        let hold = self.hold.as_ref().map_or(Timestamp::NEVER, Hold::until);
        self.peers.wake().min(self.service.wake()).min(hold)
    }

    /// The newest versions that are in force or wait for other documents.
    #[must_use]
    pub fn known(&self) -> &Versions {
        &self.known
    }

    /// Whether the configuration was compared with peers since the start or the last pause.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.hold.is_none()
    }

    /// Whether this process watches the service, rather than polling it slowly.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.peers.is_watcher()
    }

    fn service(&mut self, now: Timestamp) -> (&mut Service, Pace<'_>) {
        let pace = Pace {
            now,
            watcher: self.peers.is_watcher(),
            readers: self.peers.readers(),
            random: &mut self.random,
        };
        (&mut self.service, pace)
    }

    fn answered(&mut self, peer: SocketAddr, versions: Versions) {
        self.peers.asked(peer);
        if let Some(hold) = &mut self.hold {
            hold.heard(peer);
        }
        self.compare(peer, versions);
    }

    fn unreachable(&mut self, peer: SocketAddr) {
        self.peers.asked(peer);
        if let Some(hold) = &mut self.hold {
            hold.failed(peer);
        }
    }

    /// Notes each document that a peer has in a higher version than anyone known so far.
    fn compare(&mut self, peer: SocketAddr, versions: Versions) {
        for (name, version) in versions {
            let kept_out = self.faulty.get(&name) == Some(&version);
            let found = self.wanted.get(&name).map(|wanted| wanted.version);
            let newest = self.known.get(&name).copied().max(found);
            if kept_out || newest >= Some(version) {
                continue;
            }
            let asked = self.wanted.get(&name).and_then(|wanted| wanted.asked);
            let wanted = Wanted {
                version,
                peer,
                asked,
            };
            self.wanted.insert(name, wanted);
        }
    }

    fn fetched(&mut self, name: &str, outcome: Outcome, now: Timestamp) {
        self.learn(name, outcome, now);
        let Some(wanted) = self.wanted.get_mut(name) else {
            return;
        };
        if wanted.asked.take() == Some(wanted.version) {
            self.wanted.remove(name);
        }
        if outcome == Outcome::Failed {
            self.peers.hurry(1, now);
        }
    }

    fn learn(&mut self, name: &str, outcome: Outcome, now: Timestamp) {
        match outcome {
            Outcome::Known(version) if self.known.get(name) < Some(&version) => {
                self.known.insert(name.to_owned(), version);
                self.peers.learned(now);
                if let Some(hold) = &mut self.hold {
                    hold.learned(now);
                }
            }
            Outcome::Faulty(version) => {
                self.faulty.insert(name.to_owned(), version);
            }
            Outcome::Known(_) | Outcome::Missing | Outcome::Failed => {}
        }
    }

    fn pause(&mut self, now: Timestamp) {
        if self.hold.as_ref().is_none_or(Hold::is_pause) {
            self.hold = Some(Hold::pause(self.peers.asking().clone(), now));
        }
        self.service.renew();
        self.peers.hurry(START_WORDS, now);
    }

    fn settle(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.drop_outdated();
        for (name, wanted) in &mut self.wanted {
            if wanted.asked.is_none() {
                wanted.asked = Some(wanted.version);
                let (peer, name) = (wanted.peer, name.clone());
                actions.push(Action::Fetch { peer, name });
            }
        }
        let peers = self.peers.due(now, &mut self.random);
        actions.extend(peers.into_iter().map(Action::Exchange));
        actions.extend(self.service.due(now, self.peers.is_watcher()));
        self.settle_hold(now, actions);
    }

    /// Forgets what was learned elsewhere in the meantime, unless a call for it is under way.
    fn drop_outdated(&mut self) {
        let (known, faulty) = (&self.known, &self.faulty);
        self.wanted.retain(|name, wanted| {
            let kept_out = faulty.get(name) == Some(&wanted.version);
            wanted.asked.is_some() || (!kept_out && known.get(name) < Some(&wanted.version))
        });
    }

    fn settle_hold(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(hold) = &mut self.hold else { return };
        if self.service.is_read() {
            hold.served();
        }
        let compared = self.peers.is_declared()
            && self.wanted.is_empty()
            && hold.is_satisfied(self.peers.all());
        if compared || now >= hold.until() {
            self.hold = None;
            actions.push(Action::Confirmed);
            return;
        }
        let (missing, tried) = (hold.missing(), hold.tried());
        let count = missing.saturating_sub(self.peers.asking().len());
        let peers = self.peers.pick(count, &tried, &mut self.random);
        actions.extend(peers.into_iter().map(Action::Exchange));
    }
}
