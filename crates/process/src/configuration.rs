//! Keeps a process's configuration up to date.
//!
//! A document is taken only if its generation is higher than the one in force, and only together
//! with the others: documents that refer to what another one does not declare yet wait for it. A
//! text that fails its checks leaves the last good one in force.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_config::{Document, Problems, assemble};
use comfreyhaven_core::fleet::Fleet;
use rand::Rng;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::control::Mailbox;
use crate::platform::{ConfigurationSource, Index};

/// First pause after a failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(200);

/// Longest pause after failed calls.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Reads after a change are spread over this time, so that the fleet's calls stay under the
/// service's rate.
const READ_SPREAD: Duration = Duration::from_millis(500);

/// Documents in force and documents that wait for others.
#[derive(Debug, Default)]
pub struct Store {
    accepted: BTreeMap<String, Document>,
    waiting: BTreeMap<String, Document>,
}

impl Store {
    /// Takes a document if it is newer. Returns the fleet if a new one is in force.
    ///
    /// # Errors
    /// Returns the problems of the text, or of its references to the documents in force.
    pub fn offer(&mut self, text: &str) -> Result<Option<Fleet>, Problems> {
        let document = Document::new(text)?;
        let name = document.name().to_owned();
        let newest = [&self.accepted, &self.waiting]
            .into_iter()
            .filter_map(|known| known.get(&name));
        if newest.map(Document::generation).max() >= Some(document.generation()) {
            return Ok(None);
        }
        self.waiting.insert(name, document);
        self.settle()
    }

    /// Puts the waiting documents in force: all at once if they fit, else those that fit alone.
    fn settle(&mut self) -> Result<Option<Fleet>, Problems> {
        let mut all = self.accepted.clone();
        all.extend(self.waiting.clone());
        match assemble(all.values()) {
            Ok(fleet) => {
                self.accepted = all;
                self.waiting.clear();
                Ok(Some(fleet))
            }
            Err(problems) => match self.settle_singly() {
                Some(fleet) => Ok(Some(fleet)),
                None => Err(problems),
            },
        }
    }

    fn settle_singly(&mut self) -> Option<Fleet> {
        let mut newest = None;
        for (name, document) in self.waiting.clone() {
            let mut some = self.accepted.clone();
            some.insert(name.clone(), document);
            if let Ok(fleet) = assemble(some.values()) {
                self.accepted = some;
                self.waiting.remove(&name);
                newest = Some(fleet);
            }
        }
        newest
    }

    /// The documents in force, by name.
    pub fn accepted(&self) -> impl Iterator<Item = &Document> {
        self.accepted.values()
    }
}

/// Follows the configuration service until `stop`, and publishes each fleet that comes in force.
pub async fn follow(
    source: impl ConfigurationSource,
    fleet: watch::Sender<Arc<Fleet>>,
    stop: CancellationToken,
) {
    let following = async {
        let mut store = Store::default();
        let mut known = Index::default();
        let mut pause = BACKOFF_MIN;
        loop {
            let result = step(&source, &mut store, &mut known, &fleet).await;
            match result {
                Ok(()) => pause = BACKOFF_MIN,
                Err(error) => {
                    log::warn!("configuration service: {error}");
                    tokio::time::sleep(jitter(pause)).await;
                    pause = (pause * 2).min(BACKOFF_MAX);
                }
            }
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = following => {}
    }
}

async fn step(
    source: &impl ConfigurationSource,
    store: &mut Store,
    known: &mut Index,
    fleet: &watch::Sender<Arc<Fleet>>,
) -> Result<(), crate::platform::PlatformError> {
    let index = source.watch(known.revision).await?;
    if known.revision != 0 && index != *known {
        tokio::time::sleep(jitter(READ_SPREAD)).await;
    }
    for (name, revision) in &index.values {
        if known.values.get(name) == Some(revision) {
            continue;
        }
        if let Some(text) = source.read(name).await? {
            take(store, &text, fleet);
        }
        known.values.insert(name.clone(), *revision);
    }
    known.revision = index.revision;
    Ok(())
}

fn take(store: &mut Store, text: &str, fleet: &watch::Sender<Arc<Fleet>>) {
    match store.offer(text) {
        Ok(Some(newest)) => {
            log::info!("configuration in force: {:?}", newest.generations);
            fleet.send_replace(Arc::new(newest));
        }
        Ok(None) => {}
        Err(problems) => log::warn!("configuration not taken: {problems}"),
    }
}

/// Sends each fleet that comes in force to the control thread, until `stop`.
pub async fn pass_on<C>(
    mut fleet: watch::Receiver<Arc<Fleet>>,
    mailbox: Mailbox<C>,
    command: impl Fn(Arc<Fleet>) -> C,
    stop: CancellationToken,
) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            changed = fleet.changed() => if changed.is_err() { return },
        }
        let newest = Arc::clone(&fleet.borrow_and_update());
        let _ = mailbox.send(command(newest));
    }
}

/// A random part of `span`.
fn jitter(span: Duration) -> Duration {
    span.mul_f64(rand::rng().random_range(0.5..1.0))
}
