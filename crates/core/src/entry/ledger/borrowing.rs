//! Whom a short share asks, and when.
//!
//! A team has at most [`ASKS_LIMIT`] asks under way and one to each peer. A peer that could not
//! grant what was needed is left alone until it has refilled, and one that did not answer for a
//! time that doubles, so that a team at its limit does not flood its holders.

use std::collections::BTreeMap;
use std::time::Duration;

use super::loan::{Ask, LOAN_LIFETIME, Loan, LoanId};
use super::share::Wish;
use crate::name::HostName;
use crate::time::Timestamp;

/// Asks of one team under way at once.
const ASKS_LIMIT: usize = 3;

/// Shortest pause before a peer that could not grant the need is asked again.
const PAUSE_MIN: Duration = Duration::from_millis(20);

/// Longest pause before a peer is asked again.
const PAUSE_MAX: Duration = Duration::from_secs(5);

/// Loans that one ask can settle.
const SETTLED_LIMIT: usize = 16;

#[derive(Debug, Default)]
struct Peer {
    /// The ask under way and when it was sent.
    asked: Option<(u64, Timestamp)>,
    /// When it may be asked again.
    after: Timestamp,
    failures: u32,
    settled: Vec<LoanId>,
}

/// One team's asks.
#[derive(Debug, Default)]
pub(super) struct Borrower {
    /// The other holders, in the order in which they are asked.
    pub(super) peers: Vec<HostName>,
    known: BTreeMap<HostName, Peer>,
}

impl Borrower {
    /// The peers to ask now, with the loans that each ask settles.
    pub(super) fn asks(&mut self, wish: &Wish, now: Timestamp) -> Vec<(HostName, Vec<LoanId>)> {
        if wish.need == 0 {
            return Vec::new();
        }
        self.give_up(now);
        let under_way = self.known.values().filter(|peer| peer.asked.is_some());
        let free = ASKS_LIMIT.saturating_sub(under_way.count());
        let mut asks = Vec::new();
        for name in &self.peers {
            if asks.len() == free {
                break;
            }
            let peer = self.known.entry(name.clone()).or_default();
            if peer.asked.is_none() && peer.after <= now {
                asks.push((name.clone(), std::mem::take(&mut peer.settled)));
            }
        }
        asks
    }

    pub(super) fn sent(&mut self, name: &HostName, id: u64, now: Timestamp) {
        self.known.entry(name.clone()).or_default().asked = Some((id, now));
    }

    /// When a peer may grant something, now if an ask is under way.
    pub(super) fn prospect(&self, now: Timestamp) -> Timestamp {
        let time = |name| match self.known.get(name) {
            Some(peer) if peer.asked.is_none() => peer.after.max(now),
            Some(_) | None => now,
        };
        let times = self.peers.iter().map(time);
        times.min().unwrap_or(Timestamp::NEVER)
    }

    /// Counts asks whose answer could no longer be used as failed.
    fn give_up(&mut self, now: Timestamp) {
        for peer in self.known.values_mut() {
            if peer
                .asked
                .is_some_and(|(_, since)| since + LOAN_LIFETIME <= now)
            {
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
            Some(loan) => peer.succeed(loan, now),
            None => peer.fail(now),
        }
        Some(since)
    }

    /// Notes a loan that the borrower's own capacity now covers.
    pub(super) fn settle(&mut self, name: &HostName, loan: LoanId) {
        let peer = self.known.entry(name.clone()).or_default();
        if peer.settled.len() < SETTLED_LIMIT {
            peer.settled.push(loan);
        }
    }
}

impl Peer {
    fn succeed(&mut self, loan: &Loan, now: Timestamp) {
        self.asked = None;
        self.failures = 0;
        self.after = if loan.wait.is_zero() {
            now
        } else {
            now + loan.wait.clamp(PAUSE_MIN, PAUSE_MAX)
        };
    }

    fn fail(&mut self, now: Timestamp) {
        self.asked = None;
        let pause = PAUSE_MIN * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.after = now + pause.min(PAUSE_MAX);
    }
}
