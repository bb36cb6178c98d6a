//! Isolation of requests that crash endpoints: when a body is suspect, refused or cleared, and
//! which peers are warned of it.

use super::super::containment::{Verdict, Warning};
use super::super::message::Action;
use super::super::pending::Pending;
use super::Entry;
use crate::id::RequestId;
use crate::refusal::{Refusal, RefusalKind};
use crate::request::BodyDigest;
use crate::time::Timestamp;

impl Entry {
    /// Returns the refusal of a body if it is quarantined.
    pub(super) fn quarantine_refusal(&self, body: BodyDigest, now: Timestamp) -> Option<Refusal> {
        let (verdict, remaining) = self.containment.verdict(body, now)?;
        let refusal = Refusal::new(RefusalKind::Quarantined).with_retry(remaining);
        (verdict == Verdict::Quarantined).then_some(refusal)
    }

    /// Returns whether a body must run alone.
    pub(super) fn is_suspect(&self, body: BodyDigest, now: Timestamp) -> bool {
        let verdict = self.containment.verdict(body, now);
        verdict.is_some_and(|(verdict, _)| verdict == Verdict::Suspect)
    }

    /// Records that an endpoint failed while it ran a request, and warns the peers of its body.
    pub(super) fn record_crash(
        &mut self,
        request: RequestId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if let Some(pending) = self.requests.get(&request) {
            let (body, isolated) = (pending.arrival.body, pending.isolated);
            let warning = self.containment.record_failure(body, isolated, now);
            self.warn_peers(warning, actions);
        }
    }

    /// Clears the body of a request that ran alone to its end, and notifies the peers.
    pub(super) fn clear_suspect(
        &mut self,
        pending: &Pending,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if pending.isolated {
            let warning = self.containment.clear(pending.arrival.body, now);
            self.warn_peers(warning, actions);
        }
    }

    fn warn_peers(&self, warning: Warning, actions: &mut Vec<Action>) {
        let peers = self.fleet.hosts.keys().filter(|name| **name != self.name);
        actions.extend(peers.map(|peer| Action::Warn {
            peer: peer.clone(),
            warning,
        }));
    }
}
