//! Requests that are held since parts of their prompts crash endpoints, and the tests whether they
//! still do.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Fingerprint;
use super::explanation::Cause;
use super::statement::HoldStatement;
use crate::request::{BodyDigest, PartDigest};
use crate::time::{Timestamp, whole_millis};

/// Time from the begin of a hold to its first test.
const TEST_DELAY: Duration = Duration::from_secs(20);

/// The same for parts with which runs have gone on lately, as they are less certain to be the cause.
const PROVEN_TEST_DELAY: Duration = Duration::from_secs(5);

/// Factor from one delay to the next.
const DELAY_FACTOR: u32 = 3;

/// Longest delay.
const DELAY_LIMIT: Duration = Duration::from_secs(600);

/// Time for which an entry leaves the test to each entry before it in the order of the parts.
const TEST_STEP: Duration = Duration::from_secs(2);

/// Time for which the test request may be sent.
const TEST_TIME: Duration = Duration::from_secs(5);

/// Parts of prompts that crash endpoints together.
#[derive(Debug, Clone)]
pub(super) struct Hold {
    pub(super) parts: BTreeSet<PartDigest>,
    /// Number of test requests so far.
    tests: u32,
    /// When the hold or the last test began.
    since: Timestamp,
    /// Time from then to the next test.
    span: Duration,
    /// Time of the newest crash.
    pub(super) evidence: Timestamp,
    /// Whether the crashes that this entry knows have led to it.
    pub(super) explained: bool,
    /// The test request of this entry, and until when it may be sent.
    test: Option<(BodyDigest, Timestamp)>,
}

impl Hold {
    pub(super) fn new(cause: &Cause, now: Timestamp) -> Self {
        Self {
            parts: cause.parts.clone(),
            tests: 0,
            since: now,
            span: if cause.proven {
                PROVEN_TEST_DELAY
            } else {
                TEST_DELAY
            },
            evidence: cause.newest,
            explained: true,
            test: None,
        }
    }

    pub(super) fn from_statement(stated: &HoldStatement, now: Timestamp) -> Self {
        let millis = |millis: u32| Duration::from_millis(millis.into());
        Self {
            parts: stated.parts.iter().copied().collect(),
            tests: stated.tests,
            since: now - millis(stated.age),
            span: millis(stated.span).min(DELAY_LIMIT),
            evidence: now - millis(stated.evidence),
            explained: false,
            test: None,
        }
    }

    pub(super) fn statement(&self, now: Timestamp) -> HoldStatement {
        HoldStatement {
            parts: self.parts.iter().copied().collect(),
            tests: self.tests,
            age: whole_millis(now.since(self.since)),
            span: whole_millis(self.span),
            evidence: whole_millis(now.since(self.evidence)),
        }
    }

    /// Takes over what a peer knows of the same hold: a later test, and the parts if this entry does not
    /// know the crashes.
    pub(super) fn merge(&mut self, other: &Self) {
        if !self.explained {
            self.parts.clone_from(&other.parts);
        }
        if other.tests > self.tests {
            (self.tests, self.since, self.span) = (other.tests, other.since, other.span);
            self.evidence = self.evidence.max(other.evidence);
        }
    }

    /// Takes over the parts that explain the crashes now.
    pub(super) fn update(&mut self, cause: &Cause) {
        self.parts.clone_from(&cause.parts);
        self.evidence = self.evidence.max(cause.newest);
        self.explained = true;
    }

    /// Returns whether it has not been tested for so long that it is forgotten.
    pub(super) fn is_expired(&self, now: Timestamp) -> bool {
        self.since + self.span + DELAY_LIMIT <= now
    }

    /// Returns whether a request holds all parts and is not the test request of this entry.
    pub(super) fn applies_to(&self, request: &Fingerprint, now: Timestamp) -> bool {
        let is_test = self
            .test
            .is_some_and(|(body, until)| body == request.body && now < until);
        let mut parts = self.parts.iter();
        !is_test && parts.all(|part| request.parts.binary_search(part).is_ok())
    }

    /// Returns the time until the next test.
    pub(super) fn wait(&self, now: Timestamp) -> Duration {
        (self.since + self.span).since(now)
    }

    /// Makes a request the next test, if it is time for one at the entry with this position in the
    /// order of the parts. Other entries leave it to this one, since the next delay begins.
    pub(super) fn start_test(&mut self, body: BodyDigest, rank: usize, now: Timestamp) -> bool {
        let turn = TEST_STEP * u32::try_from(rank).unwrap_or(u32::MAX);
        if now < self.since + self.span + turn.min(DELAY_LIMIT) {
            return false;
        }
        self.tests = self.tests.saturating_add(1);
        self.since = now;
        self.span = (self.span * DELAY_FACTOR).min(DELAY_LIMIT);
        self.test = Some((body, now + TEST_TIME));
        true
    }
}
