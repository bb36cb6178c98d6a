//! Decides which peers receive a loan request of a share that lacks tokens, and when.
//!
//! A team has one pending loan request, and a further one only after [`HEDGE_DELAY`]: if several
//! peers granted the same need, the surplus would lie unused here. Each answer reports the tokens
//! that the peer has left, from which its level is estimated; no request is sent if all peers
//! together seem to have too few tokens. A team at its limit therefore does not flood its holders.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::loan::{LOAN_LIFETIME, Loan, LoanRequest};
use super::share::Shortage;
use crate::name::HostName;
use crate::time::Timestamp;

/// Time after which a request goes to another peer although an answer is pending.
const HEDGE_DELAY: Duration = Duration::from_millis(20);

/// Delay before the next request to a peer that could not grant the need, and first backoff after a
/// failure.
const BACKOFF_MIN: Duration = Duration::from_millis(20);

/// Longest backoff after repeated failures of a peer.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Time for which a reported level is used as an estimate. Later, refunds may have refilled the
/// peer.
const ESTIMATE_LIFETIME: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct PeerState {
    /// Number of the pending request and the time at which it was sent.
    pending: Option<(u64, Timestamp)>,
    /// Earliest time of the next request.
    not_before: Timestamp,
    failures: u32,
    /// Tokens that the peer reported as left, and the time of the report.
    reported: Option<(u64, Timestamp)>,
}

/// Loan requests of one team.
#[derive(Debug, Default)]
pub(super) struct Borrower {
    /// The other holders, in the order in which they receive requests.
    pub(super) peers: Vec<HostName>,
    /// Rate of each holder's share, in tokens per second.
    pub(super) rate: u64,
    states: BTreeMap<HostName, PeerState>,
}

impl Borrower {
    /// Returns the peer that should receive a request now, if any: the one with the highest
    /// estimated level.
    pub(super) fn select_peers(&mut self, shortage: &Shortage, now: Timestamp) -> Vec<HostName> {
        self.expire_requests(now);
        let count = usize::from(!self.has_recent_request(now));
        if shortage.need == 0 || self.estimated_total(now) < shortage.need {
            return Vec::new();
        }
        let eligible = |name: &&HostName| {
            self.estimated_level(name, now) > 0 && self.next_attempt(name) <= now
        };
        let mut peers: Vec<&HostName> = self.peers.iter().filter(eligible).collect();
        peers.sort_by_key(|name| Reverse(self.estimated_level(name, now)));
        peers.into_iter().take(count).cloned().collect()
    }

    /// Returns whether a request is pending that was sent within [`HEDGE_DELAY`].
    fn has_recent_request(&self, now: Timestamp) -> bool {
        let mut pending = self.states.values().filter_map(|peer| peer.pending);
        pending.any(|(_, since)| now < since + HEDGE_DELAY)
    }

    pub(super) fn record_sent(&mut self, name: &HostName, id: u64, now: Timestamp) {
        self.states.entry(name.clone()).or_default().pending = Some((id, now));
    }

    /// Returns the earliest time at which a peer may grant `need`, or `None` if all peers together
    /// seem to have too few tokens.
    pub(super) fn earliest_grant(&self, need: u64, now: Timestamp) -> Option<Timestamp> {
        if self.states.values().any(|peer| peer.pending.is_some()) {
            return Some(now);
        }
        if self.estimated_total(now) < need {
            return None;
        }
        let times = self
            .peers
            .iter()
            .map(|name| self.next_attempt(name).max(now));
        times.min()
    }

    /// Returns the estimated level of all peers together, in tokens.
    fn estimated_total(&self, now: Timestamp) -> u64 {
        let levels = self
            .peers
            .iter()
            .map(|name| self.estimated_level(name, now));
        levels.fold(0, u64::saturating_add)
    }

    /// Returns an upper estimate of a peer's level, in tokens.
    fn estimated_level(&self, name: &HostName, now: Timestamp) -> u64 {
        let peer = self.states.get(name);
        match peer.and_then(|peer| peer.reported) {
            Some(_) if peer.is_some_and(|peer| peer.failures > 0 && now < peer.not_before) => 0,
            Some((left, since)) if now.since(since) < ESTIMATE_LIFETIME => {
                let micros = now.since(since).as_micros() * u128::from(self.rate);
                left.saturating_add(u64::try_from(micros / 1_000_000).unwrap_or(u64::MAX))
            }
            Some(_) | None => u64::MAX,
        }
    }

    /// Returns the earliest time of the next request to a peer; never while one is pending.
    fn next_attempt(&self, name: &HostName) -> Timestamp {
        match self.states.get(name) {
            Some(peer) if peer.pending.is_some() => Timestamp::NEVER,
            Some(peer) => peer.not_before,
            None => Timestamp::ZERO,
        }
    }

    /// Counts pending requests as failed once their answer could no longer be used.
    fn expire_requests(&mut self, now: Timestamp) {
        let expired = |since: Timestamp| since + LOAN_LIFETIME <= now;
        for peer in self.states.values_mut() {
            if peer.pending.is_some_and(|(_, since)| expired(since)) {
                peer.record_failure(now);
            }
        }
    }

    /// Completes a request. Returns the time at which it was sent, or `None` if it is not the
    /// pending one.
    pub(super) fn complete_request(
        &mut self,
        request: &LoanRequest,
        loan: Option<&Loan>,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let peer = self.states.get_mut(&request.peer)?;
        let (_, since) = peer.pending.filter(|(id, _)| *id == request.id)?;
        match loan {
            Some(loan) => peer.record_answer(request, loan, now),
            None => peer.record_failure(now),
        }
        Some(since)
    }
}

impl PeerState {
    fn record_answer(&mut self, request: &LoanRequest, loan: &Loan, now: Timestamp) {
        self.pending = None;
        self.failures = 0;
        self.reported = Some((loan.left, now));
        self.not_before = if loan.tokens < request.need {
            now + BACKOFF_MIN
        } else {
            now
        };
    }

    fn record_failure(&mut self, now: Timestamp) {
        self.pending = None;
        self.reported = Some((0, now));
        let delay = BACKOFF_MIN * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.not_before = now + delay.min(BACKOFF_MAX);
    }
}
