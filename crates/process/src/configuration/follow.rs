//! The task that owns a process's configuration and carries out the decisions of its spread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::config_sync::{Action, ConfigSync, Event, Outcome};
use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_wire::service::{Digest, DocumentText};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::status::{Metrics, Status};
use super::store::Store;
use crate::clock::Clock;
use crate::peer;
use crate::platform::ConfigurationSource;

/// The document that declares every process.
const FIRST_DOCUMENT: &str = "fleet";

/// How long the task sleeps when nothing is due.
const IDLE_SLEEP: Duration = Duration::from_secs(3_600);

/// What the rest of the process asks of the task.
pub(super) enum Request {
    /// A peer told what it has.
    Called(Digest, oneshot::Sender<Digest>),
    /// A peer asks for a text.
    Document(String, oneshot::Sender<Option<DocumentText>>),
    /// The process was paused; answered once the configuration is confirmed.
    Confirm(oneshot::Sender<()>),
}

/// The result of a call.
enum Done {
    Event(Event),
    /// A text from the service, or why there is none.
    Read(String, Result<Option<String>, ()>),
    /// A text from a peer, or why there is none.
    Fetched(String, Result<Option<String>, ()>),
}

/// The task's state.
pub(super) struct Follower<S> {
    own: SocketAddr,
    clock: Clock,
    source: Arc<S>,
    spread: ConfigSync,
    store: Store,
    service: bool,
    started: bool,
    newest: Option<Arc<Fleet>>,
    fleet: watch::Sender<Arc<Fleet>>,
    status: watch::Sender<Arc<Status>>,
    metrics: Metrics,
    confirms: Vec<oneshot::Sender<()>>,
    calls: JoinSet<Done>,
}

impl<S: ConfigurationSource> Follower<S> {
    pub(super) fn new(
        own: SocketAddr,
        seeds: Vec<SocketAddr>,
        source: S,
        fleet: watch::Sender<Arc<Fleet>>,
        status: watch::Sender<Arc<Status>>,
        metrics: Metrics,
    ) -> Self {
        Self {
            own,
            clock: Clock::start(),
            source: Arc::new(source),
            spread: ConfigSync::new(own, seeds, rand::random()).with_first_document(FIRST_DOCUMENT),
            store: Store::default(),
            service: false,
            started: false,
            newest: None,
            fleet,
            status,
            metrics,
            confirms: Vec::new(),
            calls: JoinSet::new(),
        }
    }

    /// Runs until `stop`, and ends every call that is under way.
    pub(super) async fn run(
        mut self,
        mut requests: mpsc::UnboundedReceiver<Request>,
        stop: CancellationToken,
    ) {
        self.decide(Event::Tick);
        loop {
            let wake = self.clock.instant(self.spread.wake());
            let idle = std::time::Instant::now() + IDLE_SLEEP;
            let wake = wake.map_or(idle, |wake| wake.min(idle));
            tokio::select! {
                () = stop.cancelled() => break,
                Some(request) = requests.recv() => self.request(request),
                Some(done) = self.calls.join_next() => {
                    if let Ok(done) = done {
                        self.done(done);
                    }
                }
                () = tokio::time::sleep_until(wake.into()) => self.decide(Event::Tick),
            }
            self.show();
        }
        self.calls.shutdown().await;
    }

    fn request(&mut self, request: Request) {
        match request {
            Request::Called(digest, reply) => {
                let _ = reply.send(self.digest());
                self.decide(Event::Called {
                    peer: digest.from,
                    versions: digest.versions,
                });
            }
            Request::Document(name, reply) => {
                let text = self.store.text(&name).map(str::to_owned);
                let _ = reply.send(text.map(|text| DocumentText { name, text }));
            }
            Request::Confirm(reply) => {
                self.confirms.push(reply);
                self.decide(Event::Suspended);
            }
        }
    }

    fn done(&mut self, done: Done) {
        let event = match done {
            Done::Event(event) => event,
            Done::Read(name, text) => {
                self.answered("read", text.is_ok());
                let outcome = self.take(&name, text);
                Event::Read { name, outcome }
            }
            Done::Fetched(name, text) => {
                self.metrics.count("document", text.is_ok());
                let outcome = self.take(&name, text);
                Event::Fetched { name, outcome }
            }
        };
        match &event {
            Event::Indexed(_) => self.answered("watch", true),
            Event::ServiceDown => self.answered("watch", false),
            Event::Answered { .. } => self.metrics.count("exchange", true),
            Event::Unreachable(_) => self.metrics.count("exchange", false),
            _ => {}
        }
        self.decide(event);
    }

    /// Notes whether the service answered a call.
    fn answered(&mut self, call: &str, answered: bool) {
        self.metrics.count(call, answered);
        if self.service != answered {
            let word = if answered {
                "answers"
            } else {
                "does not answer"
            };
            log::warn!("the configuration service {word}");
        }
        self.service = answered;
    }

    /// Takes a text into the store.
    fn take(&mut self, name: &str, text: Result<Option<String>, ()>) -> Outcome {
        let text = match text {
            Ok(Some(text)) => text,
            Ok(None) => return Outcome::Missing,
            Err(()) => return Outcome::Failed,
        };
        let offer = self.store.offer(name, &text);
        if let Some(fleet) = offer.fleet {
            self.newest = Some(Arc::new(fleet));
            self.publish();
            let declared = self.newest.as_deref().map(peer::declared);
            self.decide(Event::Declared(declared.unwrap_or_default()));
        } else if let Outcome::Rejected(version) = offer.outcome {
            log::warn!("document {name} {version} is kept out; see the state for its faults");
        }
        offer.outcome
    }

    /// Puts the newest fleet in force, unless the process has just started and must compare it with
    /// its peers first.
    fn publish(&mut self) {
        if let (true, Some(fleet)) = (self.started, &self.newest) {
            log::info!("configuration in force: {:?}", fleet.generations);
            self.fleet.send_replace(Arc::clone(fleet));
        }
    }

    fn digest(&self) -> Digest {
        Digest {
            from: self.own,
            versions: self.spread.known().clone(),
        }
    }

    fn decide(&mut self, event: Event) {
        let now = self.clock.now();
        for action in self.spread.handle(event, now) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        let (source, target) = (self.own.ip(), Arc::clone(&self.source));
        match action {
            Action::Exchange(peer) => {
                let digest = self.digest();
                self.calls.spawn(async move {
                    let answer = peer::exchange(source, peer, digest).await;
                    Done::Event(match answer {
                        Ok(Digest { versions, .. }) => Event::Answered { peer, versions },
                        Err(error) => {
                            log::debug!("peer {peer}: {error}");
                            Event::Unreachable(peer)
                        }
                    })
                });
            }
            Action::Fetch { peer, name } => {
                self.calls.spawn(async move {
                    let text = peer::document(source, peer, name.clone()).await;
                    let text = text.map(|found| found.map(|found| found.text));
                    Done::Fetched(name, text.map_err(drop))
                });
            }
            Action::Watch { known } => {
                self.calls.spawn(async move {
                    let index = target.watch(known).await;
                    Done::Event(index.map_or(Event::ServiceDown, Event::Indexed))
                });
            }
            Action::Read { name } => {
                self.calls.spawn(async move {
                    let text = target.read(&name).await;
                    Done::Read(name, text.map_err(drop))
                });
            }
            Action::Confirmed => self.confirmed(),
        }
    }

    fn confirmed(&mut self) {
        if !std::mem::replace(&mut self.started, true) {
            self.publish();
        }
        for reply in self.confirms.drain(..) {
            let _ = reply.send(());
        }
    }

    fn show(&self) {
        let status = Status::new(&self.store, &self.spread, self.service);
        if **self.status.borrow() != status {
            self.metrics.show(&status, &self.spread);
            self.status.send_replace(Arc::new(status));
        }
    }
}
