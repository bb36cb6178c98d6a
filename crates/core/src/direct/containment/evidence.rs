//! What is known of crashes of endpoints, merged over all entries: which incarnations broke off and
//! what they ran, and which runs went on.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::crash::{Crash, RequestKey};
use super::observations::{Observations, SoundRuns};
use super::selection::{Choice, Rank, choose};
use super::statement::{BrokenRequest, CrashStatement, Fate, SoundStatement};
use crate::direct::digest::digest;
use crate::direct::source::{Scope, Source};
use crate::request::PartDigest;
use crate::time::{Timestamp, whole_millis};

/// Time for which a crash is remembered.
pub(super) const RETENTION: Duration = Duration::from_secs(120);

/// Time after a break in which an answer proves that the endpoint has not crashed. Later ones may come
/// from its next incarnation.
const PROOF_TIME: Duration = Duration::from_secs(1);

/// Time after a break in which a refused connection shows that the endpoint has crashed. Later it may
/// have left.
const END_TIME: Duration = Duration::from_secs(2);

/// Time after the end of an incarnation from which requests are sent to the next one. Until then
/// connections to the old one may be in use that have not been seen to break.
const RESTART_TIME: Duration = Duration::from_millis(500);

/// Most remembered breaks. Those of endpoints that live are forgotten first, then the oldest ones.
const CRASH_LIMIT: usize = 512;

/// Most remembered parts of prompts, of all crashes together.
const PART_LIMIT: usize = 262_144;

/// Time for which a run that went on counts for its parts.
pub(super) const PROVEN_TIME: Duration = Duration::from_secs(60);

/// Most crashes in one report.
const REPORTED_CRASHES: usize = 24;

/// Most requests of one crash in one report.
const REPORTED_REQUESTS: usize = 16;

/// Most parts of prompts in one report, of all its crashes together.
const REPORTED_PARTS: usize = 2_048;

/// Most digests of runs that went on in one report.
const REPORTED_SOUND: usize = 64;

/// How often a digest stands in crashes.
#[derive(Debug, Clone, Copy, Default)]
struct Suspicion {
    /// Requests at crashes.
    requests: u32,
    /// Time of the newest crash.
    newest: Timestamp,
}

/// All evidence.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    crashes: BTreeMap<u64, Crash>,
    sound: SoundRuns,
    /// Digests that stand in a crash.
    suspected: BTreeMap<u64, Suspicion>,
    /// Digests of the parts that are held.
    held: BTreeSet<u64>,
    /// When runs of suspected digests began that went on.
    told: BTreeMap<u64, Observations>,
}

impl Evidence {
    /// Returns the remembered crashes.
    pub(super) fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.values()
    }

    /// Returns the incarnation to which a request was sent that was meant for `incarnation`. One that
    /// had ended before has started again, and its record is not known yet.
    pub(super) fn reached(&self, incarnation: u64, sent: Timestamp) -> u64 {
        let mut reached = incarnation;
        while let Some(crash) = self.crashes.get(&reached)
            && crash.fate == Fate::Ended
            && crash.at + RESTART_TIME <= sent
        {
            reached = digest(&("started again", reached));
        }
        reached
    }

    /// Records that an endpoint's incarnation broke off, whatever it ran. Returns whether it has not
    /// been checked since an earlier break.
    pub(super) fn observe_break(&mut self, incarnation: u64, now: Timestamp) -> bool {
        self.forget_expired(now);
        let is_unchecked = match self.crashes.get_mut(&incarnation) {
            Some(crash) if crash.fate == Fate::Ended => return false,
            Some(crash) if now < crash.at + PROOF_TIME => {
                crash.at = now;
                std::mem::take(&mut crash.fate) == Fate::Lives
            }
            // A later break shows that the earlier one was no crash.
            _ => {
                self.crashes.insert(incarnation, Crash::new(now));
                true
            }
        };
        if let Some(crash) = self.crashes.get_mut(&incarnation) {
            crash.seen.record(None, now, now);
        }
        is_unchecked
    }

    /// Adds a request that a broken incarnation ran. Returns whether that is new.
    pub(super) fn add_request(
        &mut self,
        incarnation: u64,
        request: BrokenRequest,
        now: Timestamp,
    ) -> bool {
        let Some(crash) = self.crashes.get_mut(&incarnation) else {
            return false;
        };
        let at = crash.at;
        let added = crash.add(request);
        let is_new = !added.is_empty();
        if is_new {
            crash.seen.record(None, at, now);
            self.suspect(added, at, now);
        }
        is_new
    }

    /// Marks digests of a crash at `at` as suspected. Peers are told of their runs that went on.
    fn suspect(&mut self, digests: Vec<u64>, at: Timestamp, now: Timestamp) {
        for digest in digests {
            let is_new = !self.suspected.contains_key(&digest);
            let suspicion = self.suspected.entry(digest).or_default();
            suspicion.requests = suspicion.requests.saturating_add(1);
            suspicion.newest = suspicion.newest.max(at);
            if is_new && let Some(begun) = self.sound.get(digest) {
                self.tell(digest, None, begun, now);
            }
        }
    }

    fn tell(&mut self, digest: u64, source: Option<Source>, begun: Timestamp, now: Timestamp) {
        let told = self.told.entry(digest).or_default();
        told.record(source, begun, now);
    }

    /// Records that an endpoint's incarnation answers a request, or accepts a connection, that was
    /// sent or opened at `sent`. It has not crashed at a break shortly before that. Returns whether
    /// there was such a break.
    pub(super) fn record_answer(
        &mut self,
        incarnation: u64,
        sent: Timestamp,
        now: Timestamp,
    ) -> bool {
        let Some(crash) = self.crashes.get_mut(&incarnation) else {
            return false;
        };
        let proves = crash.at <= sent && sent < crash.at + PROOF_TIME;
        let is_new = proves && crash.fate == Fate::Unknown;
        if is_new {
            crash.set_fate(Fate::Lives);
            crash.seen.record(None, crash.at, now);
        }
        is_new
    }

    /// Returns what became of an incarnation after its last break.
    pub(super) fn fate(&self, incarnation: u64) -> Fate {
        let crash = self.crashes.get(&incarnation);
        crash.map_or(Fate::Unknown, |crash| crash.fate)
    }

    /// Records that nothing listens at the address of an incarnation that broke off. Returns whether
    /// that is new.
    pub(super) fn record_end(&mut self, incarnation: u64, now: Timestamp) -> bool {
        let Some(crash) = self.crashes.get_mut(&incarnation) else {
            return false;
        };
        let is_new = crash.fate == Fate::Unknown && now < crash.at + END_TIME;
        if is_new {
            crash.set_fate(Fate::Ended);
            crash.seen.record(None, crash.at, now);
        }
        is_new
    }

    /// Records that a run that began at `begun` went on. Returns whether the digest is suspected.
    pub(super) fn record_sound(&mut self, digest: u64, begun: Timestamp, now: Timestamp) -> bool {
        self.sound.record(digest, begun);
        let is_suspected = self.is_suspected(digest);
        if is_suspected {
            self.tell(digest, None, begun, now);
        }
        is_suspected
    }

    /// Returns whether a digest stands in a crash or is held.
    pub(super) fn is_suspected(&self, digest: u64) -> bool {
        self.suspected.contains_key(&digest) || self.held.contains(&digest)
    }

    /// Returns whether a further run that goes on may change what explains the crashes. Until a while after
    /// a break it may turn out to have been later.
    fn is_unsettled(&self, digest: u64) -> bool {
        let unsettled = |suspicion: &Suspicion| {
            let settled_from = suspicion.newest + PROOF_TIME;
            self.sound
                .get(digest)
                .is_none_or(|begun| begun < settled_from)
        };
        self.held.contains(&digest) || self.suspected.get(&digest).is_some_and(unsettled)
    }

    /// Sets the digests of the parts that are held. Peers are told of their runs that go on.
    pub(super) fn set_held(&mut self, held: BTreeSet<u64>) {
        self.held = held;
    }

    /// Returns when the newest run began that went on.
    pub(super) fn sound_since(&self, digest: u64) -> Option<Timestamp> {
        self.sound.get(digest)
    }

    /// Returns whether a run went on lately.
    pub(super) fn is_proven(&self, digest: u64, now: Timestamp) -> bool {
        let sound = self.sound.get(digest);
        sound.is_some_and(|begun| now < begun + PROVEN_TIME)
    }

    /// Returns whether a run that began no sooner than a crash went on, so that the digest did not cause
    /// it.
    pub(super) fn is_cleared(&self, digest: u64, crashed: Timestamp) -> bool {
        self.sound.get(digest).is_some_and(|begun| begun >= crashed)
    }

    fn forget_expired(&mut self, now: Timestamp) {
        let before = self.crashes.len();
        self.crashes.retain(|_, crash| now < crash.at + RETENTION);
        while self.crashes.len() >= CRASH_LIMIT || self.has_too_many_parts() {
            let least = self.crashes.iter().min_by_key(|(_, crash)| crash.worth());
            let Some(incarnation) = least.map(|(incarnation, _)| *incarnation) else {
                break;
            };
            self.crashes.remove(&incarnation);
        }
        if self.crashes.len() < before {
            self.suspected.clear();
            let crashes = self.crashes.values();
            for (digest, at) in crashes.flat_map(|c| c.digests().map(|digest| (digest, c.at))) {
                let suspicion = self.suspected.entry(digest).or_default();
                suspicion.requests = suspicion.requests.saturating_add(1);
                suspicion.newest = suspicion.newest.max(at);
            }
        }
        self.told.retain(|_, told| told.is_fresh(now));
    }

    fn has_too_many_parts(&self) -> bool {
        let parts = self.crashes.values().map(Crash::part_count);
        self.crashes.len() > 1 && parts.sum::<usize>() > PART_LIMIT
    }

    /// Applies what a source reports of crashes. Returns whether any of it is new.
    pub(super) fn apply_crashes(
        &mut self,
        source: Source,
        crashes: Vec<CrashStatement>,
        now: Timestamp,
    ) -> bool {
        let mut is_new = false;
        for stated in crashes.into_iter().take(REPORTED_CRASHES) {
            let at = now - Duration::from_millis(stated.age.into());
            if now < at + RETENTION {
                is_new |= self.apply_crash(source, stated, at, now);
            }
        }
        is_new
    }

    fn apply_crash(
        &mut self,
        source: Source,
        stated: CrashStatement,
        at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let known = self.crashes.get(&stated.incarnation);
        let is_later =
            known.is_none_or(|known| known.fate != Fate::Ended && known.at + PROOF_TIME <= at);
        if is_later {
            self.forget_expired(now);
            self.crashes.insert(stated.incarnation, Crash::new(at));
        }
        let Some(crash) = self.crashes.get_mut(&stated.incarnation) else {
            return false;
        };
        crash.seen.record(Some(source), at, now);
        if crash.fate != Fate::Ended {
            crash.at = crash.at.max(at);
        }
        let is_decided = crash.fate < stated.fate;
        if is_decided {
            crash.set_fate(stated.fate);
        }
        let mut added = Vec::new();
        let is_suspect = stated.fate != Fate::Lives && crash.fate != Fate::Lives;
        let requests = stated.requests.into_iter().filter(|_| is_suspect);
        for request in requests.take(REPORTED_REQUESTS) {
            added.extend(crash.add(request));
        }
        let at = crash.at;
        let is_new = is_later || is_decided || !added.is_empty();
        self.suspect(added, at, now);
        is_new
    }

    /// Applies what a source reports of runs that went on. Returns whether any of that may change what
    /// explains the crashes.
    pub(super) fn apply_sound(
        &mut self,
        source: Source,
        sound: &[SoundStatement],
        now: Timestamp,
    ) -> bool {
        let mut is_any = false;
        for stated in sound.iter().take(REPORTED_SOUND) {
            let begun = now - Duration::from_millis(stated.age.into());
            is_any |= self.is_unsettled(stated.digest);
            self.sound.record(stated.digest, begun);
            if self.is_suspected(stated.digest) {
                self.tell(stated.digest, Some(source), begun, now);
            }
        }
        is_any
    }

    /// Returns the crashes for a report of the given scope, without those of `recipient`. The newest
    /// ones are first.
    pub(super) fn reported_crashes(
        &self,
        scope: Scope,
        recipient: Option<Source>,
        now: Timestamp,
    ) -> Vec<CrashStatement> {
        let crashes = self.crashes.iter();
        let reported = crashes.filter_map(|(incarnation, crash)| {
            let at = crash.seen.reported(scope, recipient, now)?;
            Some((at, incarnation, crash))
        });
        let mut reported: Vec<_> = reported.collect();
        reported.sort_unstable_by_key(|(at, ..)| std::cmp::Reverse(*at));
        reported.truncate(REPORTED_CRASHES);
        let room = REPORTED_PARTS / reported.len().max(1);
        let statement = |(at, incarnation, crash): (Timestamp, &u64, &Crash)| CrashStatement {
            incarnation: *incarnation,
            age: whole_millis(now.since(at)),
            fate: crash.fate,
            requests: self.stated_requests(crash, room, now),
        };
        reported.into_iter().map(statement).collect()
    }

    /// Returns the requests of a crash for one report, with at most `room` parts. Those that say most of
    /// the crash are preferred; the others get their turn in other reports.
    fn stated_requests(&self, crash: &Crash, room: usize, now: Timestamp) -> Vec<BrokenRequest> {
        let requests = crash.requests.iter().map(|(key, parts)| {
            let is_suspect = |part: &&PartDigest| !self.is_cleared(part.0, crash.at);
            let parts = parts.iter().filter(is_suspect);
            let parts: Vec<_> = parts.map(|part| self.choice(*part, part.0, now)).collect();
            let body = self.rank(key.body.0, now);
            let rank = parts.iter().map(|part| part.rank).fold(body, Rank::min);
            Choice::new((*key, parts), rank, digest(&(key.body, now)))
        });
        let chosen = choose(requests.collect(), REPORTED_REQUESTS);
        let each = room / chosen.len().max(1);
        let request = |(key, parts): (RequestKey, Vec<Choice<PartDigest>>)| BrokenRequest {
            body: key.body,
            parts: choose(parts, each),
            begun: key.begun,
        };
        chosen.into_iter().map(request).collect()
    }

    /// Returns how much a digest says of the crashes that it stands in.
    fn rank(&self, digest: u64, now: Timestamp) -> Rank {
        let suspicion = self.suspected.get(&digest);
        Rank {
            is_proven: self.is_proven(digest, now),
            requests: std::cmp::Reverse(suspicion.map_or(0, |suspicion| suspicion.requests)),
        }
    }

    fn choice<T>(&self, item: T, digest: u64, now: Timestamp) -> Choice<T> {
        let lot = crate::direct::digest::digest(&(digest, now));
        Choice::new(item, self.rank(digest, now), lot)
    }

    /// Returns the runs that went on for a report of the given scope, without those of `recipient`.
    pub(super) fn reported_sound(
        &self,
        scope: Scope,
        recipient: Option<Source>,
        now: Timestamp,
    ) -> Vec<SoundStatement> {
        let reported = self.told.iter().filter_map(|(digest, told)| {
            let begun = told.reported(scope, recipient, now)?;
            let stated = SoundStatement {
                digest: *digest,
                age: whole_millis(now.since(begun)),
            };
            let rank = Rank {
                is_proven: !self.held.contains(digest),
                ..self.rank(*digest, now)
            };
            let lot = crate::direct::digest::digest(&(digest, now));
            Some(Choice::new(stated, rank, lot))
        });
        choose(reported.collect(), REPORTED_SOUND)
    }

    /// Forgets what a source that reports no longer has observed, for the reports of this entry.
    pub(super) fn forget_source(&mut self, source: Source) {
        for crash in self.crashes.values_mut() {
            crash.seen.forget_source(source);
        }
        for told in self.told.values_mut() {
            told.forget_source(source);
        }
    }
}
