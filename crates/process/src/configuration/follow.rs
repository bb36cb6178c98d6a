//! The task that owns the configuration of a process and performs the actions of [`ConfigSync`].

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
use super::store::DocumentSet;
use crate::clock::Clock;
use crate::peer;
use crate::platform::ConfigurationSource;

/// Name of the document that declares all processes.
const FIRST_DOCUMENT: &str = "fleet";

/// Longest time that the task sleeps if nothing is scheduled.
const IDLE_SLEEP: Duration = Duration::from_secs(3_600);

/// A request of another task of the process.
pub(super) enum Request {
    /// A peer sent its document versions; the reply is the digest of this process.
    Exchange(Digest, oneshot::Sender<Digest>),
    /// A peer requested the text of a document.
    Document(String, oneshot::Sender<Option<DocumentText>>),
    /// The process was suspended; the reply is sent when the configuration is confirmed.
    Confirm(oneshot::Sender<()>),
}

/// Result of a call to the service or to a peer.
enum CallResult {
    Event(Event),
    /// Result of reading a document from the service; `None` if the service does not have it.
    Read(String, Result<Option<String>, ()>),
    /// Result of fetching a document from a peer; `None` if the peer does not have it.
    Fetched(String, Result<Option<String>, ()>),
}

/// State of the task.
pub(super) struct Follower<S> {
    own: SocketAddr,
    clock: Clock,
    source: Arc<S>,
    sync: ConfigSync,
    documents: DocumentSet,
    service_up: bool,
    /// Whether the configuration has been confirmed since the start.
    started: bool,
    newest: Option<Arc<Fleet>>,
    fleet: watch::Sender<Arc<Fleet>>,
    status: watch::Sender<Arc<Status>>,
    metrics: Metrics,
    confirm_replies: Vec<oneshot::Sender<()>>,
    calls: JoinSet<CallResult>,
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
            sync: ConfigSync::new(own, seeds, rand::random()).with_first_document(FIRST_DOCUMENT),
            documents: DocumentSet::default(),
            service_up: false,
            started: false,
            newest: None,
            fleet,
            status,
            metrics,
            confirm_replies: Vec::new(),
            calls: JoinSet::new(),
        }
    }

    /// Runs until `stop`, and then aborts the calls in progress.
    pub(super) async fn run(
        mut self,
        mut requests: mpsc::UnboundedReceiver<Request>,
        stop: CancellationToken,
    ) {
        self.handle_event(Event::Tick);
        loop {
            let wake = self.clock.instant(self.sync.wake());
            let idle = std::time::Instant::now() + IDLE_SLEEP;
            let wake = wake.map_or(idle, |wake| wake.min(idle));
            tokio::select! {
                () = stop.cancelled() => break,
                Some(request) = requests.recv() => self.handle_request(request),
                Some(done) = self.calls.join_next() => {
                    if let Ok(result) = done {
                        self.handle_result(result);
                    }
                }
                () = tokio::time::sleep_until(wake.into()) => self.handle_event(Event::Tick),
            }
            self.publish_status();
        }
        self.calls.shutdown().await;
    }

    fn handle_request(&mut self, request: Request) {
        match request {
            Request::Exchange(digest, reply) => {
                let _ = reply.send(self.digest());
                self.handle_event(Event::Called {
                    peer: digest.from,
                    versions: digest.versions,
                });
            }
            Request::Document(name, reply) => {
                let text = self.documents.text(&name).map(str::to_owned);
                let _ = reply.send(text.map(|text| DocumentText { name, text }));
            }
            Request::Confirm(reply) => {
                self.confirm_replies.push(reply);
                self.handle_event(Event::Suspended);
            }
        }
    }

    fn handle_result(&mut self, result: CallResult) {
        let event = match result {
            CallResult::Event(event) => event,
            CallResult::Read(name, text) => {
                self.record_service_call("read", text.is_ok());
                let outcome = self.add_document(&name, text);
                Event::Read { name, outcome }
            }
            CallResult::Fetched(name, text) => {
                self.metrics.count_call("document", text.is_ok());
                let outcome = self.add_document(&name, text);
                Event::Fetched { name, outcome }
            }
        };
        match &event {
            Event::Indexed(_) => self.record_service_call("watch", true),
            Event::ServiceDown => self.record_service_call("watch", false),
            Event::Answered { .. } => self.metrics.count_call("exchange", true),
            Event::Unreachable(_) => self.metrics.count_call("exchange", false),
            _ => {}
        }
        self.handle_event(event);
    }

    /// Counts a call to the service, and logs when the service starts or stops answering.
    fn record_service_call(&mut self, call: &str, answered: bool) {
        self.metrics.count_call(call, answered);
        if self.service_up != answered {
            let state = if answered {
                "answers"
            } else {
                "does not answer"
            };
            log::warn!("the configuration service {state}");
        }
        self.service_up = answered;
    }

    /// Adds a text to the documents, and publishes the fleet if a new one is in force.
    fn add_document(&mut self, name: &str, text: Result<Option<String>, ()>) -> Outcome {
        let text = match text {
            Ok(Some(text)) => text,
            Ok(None) => return Outcome::Missing,
            Err(()) => return Outcome::Failed,
        };
        let inserted = self.documents.insert(name, &text);
        if let Some(fleet) = inserted.fleet {
            self.newest = Some(Arc::new(fleet));
            self.publish();
            let declared = self.newest.as_deref().map(peer::control_addresses);
            self.handle_event(Event::Declared(declared.unwrap_or_default()));
        } else if let Outcome::Rejected(version) = inserted.outcome {
            log::warn!(
                "document {name} {version} was rejected by its checks; /state lists the faults"
            );
        }
        inserted.outcome
    }

    /// Publishes the newest fleet to the process, once the configuration has been confirmed after
    /// the start. Until then the process has not compared its documents with its peers.
    fn publish(&mut self) {
        if let (true, Some(fleet)) = (self.started, &self.newest) {
            log::info!("configuration in force: {:?}", fleet.generations);
            self.fleet.send_replace(Arc::clone(fleet));
        }
    }

    fn digest(&self) -> Digest {
        Digest {
            from: self.own,
            versions: self.sync.known().clone(),
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        for action in self.sync.handle(event, now) {
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
                    CallResult::Event(match answer {
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
                    let text = peer::fetch_document(source, peer, name.clone()).await;
                    let text = text.map(|found| found.map(|found| found.text));
                    CallResult::Fetched(name, text.map_err(drop))
                });
            }
            Action::Watch { known } => {
                self.calls.spawn(async move {
                    let index = target.watch(known).await;
                    CallResult::Event(index.map_or(Event::ServiceDown, Event::Indexed))
                });
            }
            Action::Read { name } => {
                self.calls.spawn(async move {
                    let text = target.read(&name).await;
                    CallResult::Read(name, text.map_err(drop))
                });
            }
            Action::Confirmed => self.on_confirmed(),
        }
    }

    fn on_confirmed(&mut self) {
        if !std::mem::replace(&mut self.started, true) {
            self.publish();
        }
        for reply in self.confirm_replies.drain(..) {
            let _ = reply.send(());
        }
    }

    fn publish_status(&self) {
        let status = Status::new(&self.documents, &self.sync, self.service_up);
        if **self.status.borrow() != status {
            self.metrics.set_status(&status, &self.sync);
            self.status.send_replace(Arc::new(status));
        }
    }
}
