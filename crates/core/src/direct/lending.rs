//! Requests to a limited endpoint that one entry lends another.
//!
//! Only a few entries have a part of an endpoint's limit. Any other one, and one that has used up its
//! part, asks one of them for a request when it needs one. The lender counts the request as its own
//! before it answers, so that a lost answer loses a request and never adds one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use super::report::Incarnation;
use super::send_window::SendWindow;
use crate::time::{Timestamp, whole_millis};

/// Time after which an entry counts as one that lends nothing.
const ANSWER_TIME: Duration = Duration::from_millis(60);

/// Questions that an entry sends in a second at most.
const QUESTIONS_PER_S: usize = 50;

/// Bounds of the time for which nobody is asked after all lenders had nothing to lend. It doubles
/// with each repetition.
const QUIET_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Time in which a borrowed request has to be sent.
const LENT_TIME: Duration = Duration::from_millis(300);

/// Number of remembered endpoints at which those that are of no use any more are removed.
const ENDPOINT_LIMIT: usize = 1_024;

/// A message about borrowed requests, between two entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LendingMessage {
    /// The sender needs a request to an endpoint.
    Ask {
        /// The endpoint.
        endpoint: Incarnation,
        /// Identifies the question.
        number: u64,
    },
    /// The recipient may send one request to the endpoint.
    Lent {
        /// The endpoint.
        endpoint: Incarnation,
        /// Number of the question.
        number: u64,
    },
    /// The sender has nothing to lend.
    Denied {
        /// The endpoint.
        endpoint: Incarnation,
        /// Number of the question.
        number: u64,
        /// Milliseconds until it probably has.
        wait: u32,
    },
}

impl LendingMessage {
    /// Creates the answer of an entry that may send its next request at `from`.
    pub(super) fn denied(
        endpoint: Incarnation,
        number: u64,
        from: Timestamp,
        now: Timestamp,
    ) -> Self {
        Self::Denied {
            endpoint,
            number,
            wait: whole_millis(from.since(now)),
        }
    }
}

/// A question that has not been answered.
#[derive(Debug, Clone, Copy)]
struct Question {
    number: u64,
    to: SocketAddr,
    sent: Timestamp,
}

/// What this entry borrows of one endpoint's limit.
#[derive(Debug, Default)]
struct Borrowing {
    question: Option<Question>,
    /// Entries in a row that had nothing to lend, and number of those that are asked in a row.
    denials: usize,
    lenders: usize,
    /// Index of the lender that is asked first.
    first: usize,
    /// Shortest wait that these entries stated.
    wait: Option<Duration>,
    /// How often nobody had anything to lend.
    failures: u32,
    quiet_until: Timestamp,
    /// When each borrowed request expires.
    lent: Vec<Timestamp>,
}

impl Borrowing {
    fn deny(&mut self, wait: Option<Duration>, now: Timestamp) {
        self.question = None;
        self.denials += 1;
        self.wait = match (self.wait, wait) {
            (Some(shortest), Some(wait)) => Some(shortest.min(wait)),
            (shortest, wait) => shortest.or(wait),
        };
        if self.denials >= self.lenders {
            self.denials = 0;
            let stated = self.wait.take().unwrap_or_default().max(QUIET_RANGE.0);
            let quiet = stated * 2_u32.saturating_pow(self.failures.min(8));
            self.failures += 1;
            self.quiet_until = now + quiet.min(QUIET_RANGE.1);
        }
    }

    fn drop_expired(&mut self, now: Timestamp) {
        self.lent.retain(|expiry| now < *expiry);
        let overdue = |question: &Question| question.sent + ANSWER_TIME <= now;
        if self.question.as_ref().is_some_and(overdue) {
            self.deny(None, now);
        }
    }
}

/// What this entry borrows of endpoints' limits.
#[derive(Debug, Default)]
pub(super) struct Lending {
    endpoints: HashMap<Incarnation, Borrowing>,
    number: u64,
    questions: SendWindow,
}

impl Lending {
    /// Returns whether a borrowed request to an endpoint can be used.
    pub(super) fn has_lent(&self, endpoint: Incarnation, now: Timestamp) -> bool {
        let borrowing = self.endpoints.get(&endpoint);
        borrowing.is_some_and(|borrowing| borrowing.lent.iter().any(|expiry| now < *expiry))
    }

    /// Uses a borrowed request.
    pub(super) fn use_lent(&mut self, endpoint: Incarnation, now: Timestamp) {
        if let Some(borrowing) = self.endpoints.get_mut(&endpoint) {
            borrowing.drop_expired(now);
            borrowing.lent.pop();
        }
    }

    /// Returns the time from which it is of use to ask for a request to an endpoint.
    pub(super) fn quiet_until(&self, endpoint: Incarnation) -> Timestamp {
        let borrowing = self.endpoints.get(&endpoint);
        borrowing.map_or(Timestamp::ZERO, |borrowing| borrowing.quiet_until)
    }

    /// Asks one of `lenders` for a request to an endpoint, unless one is asked already or nobody had
    /// anything to lend a moment ago. `first` selects the lender that is asked first.
    pub(super) fn ask(
        &mut self,
        endpoint: Incarnation,
        lenders: &[SocketAddr],
        first: usize,
        now: Timestamp,
    ) -> Option<(SocketAddr, LendingMessage)> {
        if self.endpoints.len() >= ENDPOINT_LIMIT {
            self.endpoints
                .retain(|_, borrowing| now < borrowing.quiet_until + QUIET_RANGE.1);
        }
        let borrowing = self.endpoints.entry(endpoint).or_default();
        borrowing.drop_expired(now);
        let is_quiet = now < borrowing.quiet_until || self.questions.recent(now) >= QUESTIONS_PER_S;
        if is_quiet || borrowing.question.is_some() || lenders.is_empty() {
            return None;
        }
        if borrowing.denials == 0 {
            (borrowing.first, borrowing.lenders) = (first, lenders.len());
        }
        let index = (borrowing.first + borrowing.denials) % lenders.len();
        let to = lenders[index];
        self.number += 1;
        self.questions.record(now);
        let number = self.number;
        borrowing.question = Some(Question {
            number,
            to,
            sent: now,
        });
        Some((to, LendingMessage::Ask { endpoint, number }))
    }

    /// Applies the answer that an entry had a request to lend.
    pub(super) fn record_lent(
        &mut self,
        endpoint: Incarnation,
        from: SocketAddr,
        number: u64,
        now: Timestamp,
    ) {
        if let Some(borrowing) = self.answered(endpoint, from, number) {
            borrowing.question = None;
            (borrowing.denials, borrowing.failures) = (0, 0);
            borrowing.wait = None;
            borrowing.lent.push(now + LENT_TIME);
        }
    }

    /// Applies the answer that an entry had nothing to lend.
    pub(super) fn record_denied(
        &mut self,
        endpoint: Incarnation,
        from: SocketAddr,
        number: u64,
        wait: Duration,
        now: Timestamp,
    ) {
        if let Some(borrowing) = self.answered(endpoint, from, number) {
            borrowing.deny(Some(wait), now);
        }
    }

    /// Returns the endpoint of the question that an answer belongs to.
    fn answered(
        &mut self,
        endpoint: Incarnation,
        from: SocketAddr,
        number: u64,
    ) -> Option<&mut Borrowing> {
        let borrowing = self.endpoints.get_mut(&endpoint)?;
        let question = borrowing.question.as_ref()?;
        (question.number == number && question.to == from).then_some(borrowing)
    }
}
