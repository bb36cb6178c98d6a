//! Keeping requests that crash endpoints apart.

use super::super::containment::{Verdict, Warning};
use super::super::message::Action;
use super::super::pending::Pending;
use super::Entry;
use crate::id::RequestId;
use crate::refusal::{Refusal, RefusalKind};
use crate::request::BodyDigest;
use crate::time::Timestamp;

impl Entry {
    /// The refusal of a body that is quarantined.
    pub(super) fn quarantined(&self, body: BodyDigest, now: Timestamp) -> Option<Refusal> {
        let (verdict, remaining) = self.containment.verdict(body, now)?;
        let refusal = Refusal::new(RefusalKind::Quarantined).with_retry(remaining);
        (verdict == Verdict::Quarantined).then_some(refusal)
    }

    /// Whether a body must run alone.
    pub(super) fn is_suspect(&self, body: BodyDigest, now: Timestamp) -> bool {
        let verdict = self.containment.verdict(body, now);
        verdict.is_some_and(|(verdict, _)| verdict == Verdict::Suspect)
    }

    /// Holds the failure of an endpoint against the request that ran there.
    pub(super) fn suspect(
        &mut self,
        request: RequestId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if let Some(pending) = self.requests.get(&request) {
            let (body, alone) = (pending.arrival.body, pending.alone);
            let warning = self.containment.failed(body, alone, now);
            self.warn_peers(warning, actions);
        }
    }

    /// Clears a suspect that ran alone to its end.
    pub(super) fn clear(&mut self, pending: &Pending, now: Timestamp, actions: &mut Vec<Action>) {
        if pending.alone {
            let warning = self.containment.cleared(pending.arrival.body, now);
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
