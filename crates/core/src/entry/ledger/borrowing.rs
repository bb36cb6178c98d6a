//! Whom a short share asks, and when.
//!
//! A team has one ask under way, and more only after [`HEDGE_DELAY`]: what several peers grant for one
//! need would lie idle here. Each answer tells what the
//! peer has left, from which its level is estimated; nobody is asked if all peers together seem to
//! have too little. So a team at its limit does not flood its holders.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::loan::{Ask, LOAN_LIFETIME, Loan};
use super::share::Wish;
use crate::name::HostName;
use crate::time::Timestamp;

/// Time after which another peer is asked although an answer is still due.
const HEDGE_DELAY: Duration = Duration::from_millis(20);

/// Pause before a peer that could not grant the need is asked again, and first pause after a
/// failure.
const PAUSE_MIN: Duration = Duration::from_millis(20);

/// Longest pause before a peer that failed is asked again.
const PAUSE_MAX: Duration = Duration::from_secs(5);

/// How long an answer tells anything: later, refunds may have filled the peer.
const ESTIMATE_LIFETIME: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct Peer {
    /// The ask under way and when it was sent.
    asked: Option<(u64, Timestamp)>,
    /// When it may be asked again.
    after: Timestamp,
    failures: u32,
    /// What it had left, and when it said so.
    left: Option<(u64, Timestamp)>,
}

/// One team's asks.
#[derive(Debug, Default)]
pub(super) struct Borrower {
    /// The other holders, in the order in which they are asked.
    pub(super) peers: Vec<HostName>,
    /// Tokens a second that each of them gains.
    pub(super) rate: u64,
    known: BTreeMap<HostName, Peer>,
}

impl Borrower {
    /// The peers to ask now, those first that seem to have most.
    pub(super) fn asks(&mut self, wish: &Wish, now: Timestamp) -> Vec<HostName> {
        self.give_up(now);
        let free = usize::from(!self.is_asking(now));
        if wish.need == 0 || self.estimate(now) < wish.need {
            return Vec::new();
        }
        let askable = |name: &&HostName| self.level(name, now) > 0 && self.after(name) <= now;
        let mut peers: Vec<&HostName> = self.peers.iter().filter(askable).collect();
        peers.sort_by_key(|name| Reverse(self.level(name, now)));
        peers.into_iter().take(free).cloned().collect()
    }

    /// Whether an ask is under way whose answer is not overdue.
    fn is_asking(&self, now: Timestamp) -> bool {
        let mut asked = self.known.values().filter_map(|peer| peer.asked);
        asked.any(|(_, since)| now < since + HEDGE_DELAY)
    }

    pub(super) fn sent(&mut self, name: &HostName, id: u64, now: Timestamp) {
        self.known.entry(name.clone()).or_default().asked = Some((id, now));
    }

    /// When a peer may grant what is needed, or nothing if all together seem to have too little.
    pub(super) fn prospect(&self, need: u64, now: Timestamp) -> Option<Timestamp> {
        if self.known.values().any(|peer| peer.asked.is_some()) {
            return Some(now);
        }
        if self.estimate(now) < need {
            return None;
        }
        let times = self.peers.iter().map(|name| self.after(name).max(now));
        times.min()
    }

    /// What all peers seem to have.
    fn estimate(&self, now: Timestamp) -> u64 {
        let levels = self.peers.iter().map(|name| self.level(name, now));
        levels.fold(0, u64::saturating_add)
    }

    /// What a peer seems to have at most.
    fn level(&self, name: &HostName, now: Timestamp) -> u64 {
        let peer = self.known.get(name);
        match peer.and_then(|peer| peer.left) {
            Some(_) if peer.is_some_and(|peer| peer.failures > 0 && now < peer.after) => 0,
            Some((left, since)) if now.since(since) < ESTIMATE_LIFETIME => {
                let micros = now.since(since).as_micros() * u128::from(self.rate);
                left.saturating_add(u64::try_from(micros / 1_000_000).unwrap_or(u64::MAX))
            }
            Some(_) | None => u64::MAX,
        }
    }

    /// When a peer may be asked, or never while an ask to it is under way.
    fn after(&self, name: &HostName) -> Timestamp {
        match self.known.get(name) {
            Some(peer) if peer.asked.is_some() => Timestamp::NEVER,
            Some(peer) => peer.after,
            None => Timestamp::ZERO,
        }
    }

    /// Counts asks whose answer could no longer be used as failed.
    fn give_up(&mut self, now: Timestamp) {
        let late = |since: Timestamp| since + LOAN_LIFETIME <= now;
        for peer in self.known.values_mut() {
            if peer.asked.is_some_and(|(_, since)| late(since)) {
                peer.fail(now);
            }
        }
    }

    /// Closes an ask. Returns when it was sent, or nothing if it is not the one under way.
    pub(super) fn answered(
        &mut self,
        ask: &Ask,
        loan: Option<&Loan>,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let peer = self.known.get_mut(&ask.peer)?;
        let (_, since) = peer.asked.filter(|(id, _)| *id == ask.id)?;
        match loan {
            Some(loan) => peer.succeed(ask, loan, now),
            None => peer.fail(now),
        }
        Some(since)
    }
}

impl Peer {
    fn succeed(&mut self, ask: &Ask, loan: &Loan, now: Timestamp) {
        self.asked = None;
        self.failures = 0;
        self.left = Some((loan.left, now));
        self.after = if loan.tokens < ask.need {
            now + PAUSE_MIN
        } else {
            now
        };
    }

    fn fail(&mut self, now: Timestamp) {
        self.asked = None;
        self.left = Some((0, now));
        let pause = PAUSE_MIN * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.after = now + pause.min(PAUSE_MAX);
    }
}
