//! Requests that crash the endpoints that run them.
//!
//! A request that crashes each endpoint may come again with the same body, or in many requests that
//! share one part of their prompts and nothing else. Entries see only that connections break. They
//! tell each other which incarnations broke off, whether these have ended, what they ran, and which
//! runs went on; each draws the same conclusions from that.
//!
//! - **Equal bodies** are refused once they may have crashed three incarnations. A break counts
//!   until the endpoint is seen to live, since refusing equal requests affects few callers.
//! - **Parts of prompts** are held once they explain the ends of three incarnations, see
//!   [`explanation`]. Now and then one request over all entries tests whether they still crash
//!   endpoints, see [`hold`].

mod crash;
mod evidence;
mod explanation;
mod hold;
mod observations;
mod selection;
mod statement;

pub use statement::{
    BrokenRequest, ContainmentReport, CrashStatement, Fate, HoldStatement, SoundStatement,
};

use std::sync::Arc;
use std::time::Duration;

use super::source::{Scope, Source};
use crate::request::{BodyDigest, PartDigest};
use crate::time::Timestamp;
use crash::RequestKey;
use evidence::Evidence;
use explanation::CRASH_LIMIT;
use hold::Hold;

/// Time from the first event of an answer after which its run counts as sound. An endpoint that the
/// request crashes ends sooner.
pub const SOUND_TIME: Duration = Duration::from_secs(1);

/// Time for which a crash counts for equal bodies.
const BODY_RETENTION: Duration = Duration::from_secs(60);

/// Most holds, and most holds in one report.
const HOLD_LIMIT: usize = 32;

/// Digests by which a request is compared with others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fingerprint {
    /// Digest of the team, the path and the body.
    pub body: BodyDigest,
    /// Digests of the parts of the prompt, in ascending order.
    pub parts: Arc<[PartDigest]>,
}

/// Why a request is not sent to any endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contained {
    /// The parts of its prompt that crash endpoints; none if equal requests do.
    pub parts: Vec<PartDigest>,
    /// Time after which a request like it may be sent again.
    pub wait: Duration,
}

/// What is known of requests that crash endpoints.
#[derive(Debug, Default)]
pub struct Containment {
    evidence: Evidence,
    holds: Vec<Hold>,
}

impl Containment {
    /// Returns the incarnation to which a request was sent at `sent` that was meant for `incarnation`. An
    /// endpoint may have started again under its id before its new record is known.
    #[must_use]
    pub fn reached(&self, incarnation: u64, sent: Timestamp) -> u64 {
        self.evidence.reached(incarnation, sent)
    }

    /// Records that an endpoint's incarnation broke off, whatever it ran. Returns whether it has not
    /// been checked since an earlier break.
    pub fn observe_break(&mut self, incarnation: u64, now: Timestamp) -> bool {
        self.evidence.observe_break(incarnation, now)
    }

    /// Records that an endpoint's incarnation broke off while it ran `request`, which it may have
    /// crashed at. `begun` states whether the answer had begun.
    pub fn record_break(
        &mut self,
        request: &Fingerprint,
        incarnation: u64,
        begun: bool,
        now: Timestamp,
    ) {
        self.evidence.observe_break(incarnation, now);
        let broken = BrokenRequest::new(request, begun);
        if self.evidence.add_request(incarnation, broken, now) {
            self.update(now);
        }
    }

    /// Records that an endpoint's incarnation answers a request, or accepts a connection, that was
    /// sent or opened at `sent`. It has not crashed at a break shortly before that. Returns whether
    /// there was such a break.
    pub fn record_answer(&mut self, incarnation: u64, sent: Timestamp, now: Timestamp) -> bool {
        self.evidence.record_answer(incarnation, sent, now)
    }

    /// Returns what became of an incarnation after its last break.
    #[must_use]
    pub fn fate(&self, incarnation: u64) -> Fate {
        self.evidence.fate(incarnation)
    }

    /// Records that nothing listens at the address of an incarnation that broke off. Returns whether
    /// that is new.
    pub fn record_end(&mut self, incarnation: u64, now: Timestamp) -> bool {
        let is_new = self.evidence.record_end(incarnation, now);
        if is_new {
            self.update(now);
        }
        is_new
    }

    /// Records that the run of a request whose answer began at `begun` went on for
    /// [`SOUND_TIME`], or to its end.
    pub fn record_sound(&mut self, request: &Fingerprint, begun: Timestamp, now: Timestamp) {
        let mut is_suspected = false;
        for part in &*request.parts {
            is_suspected |= self.evidence.record_sound(part.0, begun, now);
        }
        if is_suspected {
            self.release(now);
        }
    }

    /// Records that a request ran to its end, so that its body crashes no endpoint.
    pub fn record_completion(&mut self, request: &Fingerprint, now: Timestamp) {
        if self.evidence.is_suspected(request.body.0) {
            self.evidence.record_sound(request.body.0, now, now);
        }
    }

    /// Returns whether a request may be sent, and makes it a test if it is time for one. `rank`
    /// returns this entry's position in the order of a part.
    ///
    /// # Errors
    /// Returns [`Contained`] if the request is not sent.
    pub fn admit(
        &mut self,
        request: &Fingerprint,
        rank: impl Fn(PartDigest) -> usize,
        now: Timestamp,
    ) -> Result<(), Contained> {
        self.holds.retain(|hold| !hold.is_expired(now));
        let held = self.holds.iter_mut();
        for hold in held.filter(|hold| hold.applies_to(request, now)) {
            let first = hold.parts.first().copied();
            let rank = first.map_or(0, &rank);
            if !hold.start_test(request.body, rank, now) {
                break;
            }
        }
        match self.contained(request, now) {
            Some(contained) => Err(contained),
            None => Ok(()),
        }
    }

    /// Returns why a request is not sent, if it is not.
    #[must_use]
    pub fn contained(&self, request: &Fingerprint, now: Timestamp) -> Option<Contained> {
        let mut holds = self.holds.iter();
        if let Some(hold) = holds.find(|hold| hold.applies_to(request, now)) {
            return Some(Contained {
                parts: hold.parts.iter().copied().collect(),
                wait: hold.wait(now),
            });
        }
        let crashes = self.body_crashes(request.body, now);
        let counted = crashes.len().checked_sub(CRASH_LIMIT)?;
        Some(Contained {
            parts: Vec::new(),
            wait: (crashes[counted] + BODY_RETENTION).since(now),
        })
    }

    /// Returns the times, in ascending order, at which a body may have crashed endpoints.
    fn body_crashes(&self, body: BodyDigest, now: Timestamp) -> Vec<Timestamp> {
        if !self.evidence.is_suspected(body.0) {
            return Vec::new();
        }
        let counts = |broken: &RequestKey, fate| {
            broken.body == body && (fate == Fate::Ended || fate == Fate::Unknown && !broken.begun)
        };
        let crashes = self.evidence.crashes().filter(|crash| {
            now < crash.at + BODY_RETENTION
                && !self.evidence.is_cleared(body.0, crash.at)
                && crash
                    .requests
                    .keys()
                    .any(|broken| counts(broken, crash.fate))
        });
        let mut times: Vec<_> = crashes.map(|crash| crash.at).collect();
        times.sort_unstable();
        times
    }

    /// Applies what a source reports.
    pub fn apply_report(&mut self, source: Source, report: ContainmentReport, now: Timestamp) {
        let mut is_new = self.evidence.apply_crashes(source, report.crashes, now);
        is_new |= self.evidence.apply_sound(source, &report.sound, now);
        let stated = report.holds.iter().take(HOLD_LIMIT);
        for hold in stated.map(|stated| Hold::from_statement(stated, now)) {
            is_new |= self.learn(hold);
        }
        if is_new {
            self.update(now);
        }
    }

    /// Takes over a hold of a peer. Returns whether it is new.
    fn learn(&mut self, mut hold: Hold) -> bool {
        self.clear_parts(&mut hold);
        if hold.parts.is_empty() {
            return false;
        }
        let mut known = self.holds.iter_mut();
        if let Some(known) = known.find(|known| !known.parts.is_disjoint(&hold.parts)) {
            known.merge(&hold);
            return false;
        }
        let has_room = self.holds.len() < HOLD_LIMIT;
        if has_room {
            self.holds.push(hold);
            self.watch_holds();
        }
        has_room
    }

    /// Returns what a report of the given scope states, without what `recipient` has reported.
    #[must_use]
    pub fn reported(
        &self,
        scope: Scope,
        recipient: Option<Source>,
        now: Timestamp,
    ) -> ContainmentReport {
        let holds = self.holds.iter().filter(|hold| !hold.is_expired(now));
        ContainmentReport {
            crashes: self.evidence.reported_crashes(scope, recipient, now),
            sound: self.evidence.reported_sound(scope, recipient, now),
            holds: holds.map(|hold| hold.statement(now)).collect(),
        }
    }

    /// Forgets what a source that reports no longer has observed, for the reports of this entry.
    pub fn forget_source(&mut self, source: Source) {
        self.evidence.forget_source(source);
    }

    /// Removes the parts of a hold with which a run went on since the newest crash.
    fn clear_parts(&self, hold: &mut Hold) {
        let newest = hold.evidence;
        hold.parts
            .retain(|part| !self.evidence.is_cleared(part.0, newest));
    }

    /// Ends the holds of parts with which a run went on since the newest crash.
    fn release(&mut self, now: Timestamp) {
        let held = |holds: &[Hold]| holds.iter().map(|hold| hold.parts.len()).sum::<usize>();
        let before = held(&self.holds);
        self.keep_holds(|_| true);
        if held(&self.holds) < before {
            self.update(now);
        }
    }

    /// Keeps the holds that `is_kept` accepts, without their parts that are cleared.
    fn keep_holds(&mut self, is_kept: impl Fn(&Hold) -> bool) {
        let mut holds = std::mem::take(&mut self.holds);
        for hold in &mut holds {
            self.clear_parts(hold);
        }
        holds.retain(|hold| !hold.parts.is_empty() && is_kept(hold));
        self.holds = holds;
    }

    /// Lets peers be told of runs that go on with the parts that are held.
    fn watch_holds(&mut self) {
        let parts = self.holds.iter().flat_map(|hold| &hold.parts);
        self.evidence.set_held(parts.map(|part| part.0).collect());
    }

    /// Holds what explains the crashes, and ends holds that no longer do.
    fn update(&mut self, now: Timestamp) {
        let causes = explanation::causes(&self.evidence, now);
        let explains = |hold: &Hold| causes.iter().any(|c| !c.parts.is_disjoint(&hold.parts));
        let is_recent = |hold: &Hold| now < hold.evidence + evidence::RETENTION;
        self.keep_holds(|hold| explains(hold) || !hold.explained || !is_recent(hold));
        for cause in &causes {
            let has_room = self.holds.len() < HOLD_LIMIT;
            let mut known = self.holds.iter_mut();
            match known.find(|hold| !hold.parts.is_disjoint(&cause.parts)) {
                Some(hold) => hold.update(cause),
                None if has_room => self.holds.push(Hold::new(cause, now)),
                None => {}
            }
        }
        self.watch_holds();
    }
}
