//! Copies origins of streams to the holders that lack them, while the fleet changes.
//!
//! A stream may outlive every process that was told of it: holders restart, leave or get lost one after
//! the other. Each entry that knows an origin therefore compares the processes that are to keep it with
//! those that do, in rounds over all origins, and tells those that are missing until they confirm.

use std::net::SocketAddr;
use std::time::Duration;

use super::members::LiveMembers;
use super::origin_lookup::{HOLDERS, OriginMessage};
use super::stream_origins::{KeptOrigin, OriginKey, StreamOrigins};
use crate::time::{Timestamp, whole_millis};

/// Time after which holders that have not confirmed an origin are told again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the members are compared while no round runs.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Rounds in which holders are told again, unless the fleet changes. One that does not confirm until
/// then cannot keep the origin.
const ROUND_LIMIT: u32 = 8;

/// Positions of members in the order of a stream that are calculated in one step.
const STEP_RANKS: usize = 4_096;

/// Most origins that are told in one step, so that the recipients' sockets can take them.
const STEP_ORIGINS: usize = 32;

/// Messages by which a holder is told an origin and asked to confirm it.
const MESSAGES_EACH: usize = 2;

/// One comparison of all origins with their holders.
#[derive(Debug, Default)]
struct Round {
    /// The last origin that was compared.
    last: Option<OriginKey>,
    /// Whether a holder lacked an origin.
    is_lacking: bool,
}

/// Rounds over the origins, one after each change of the fleet, and more while holders lack any.
#[derive(Debug, Default)]
pub(super) struct OriginReplication {
    /// Digest of the members that responded last.
    fleet: u64,
    /// When the members are compared again, unless a round runs.
    check_at: Timestamp,
    /// The running round.
    round: Option<Round>,
    /// When the next round starts, if one is due.
    due: Option<Timestamp>,
    /// Rounds since the fleet last changed.
    rounds: u32,
}

impl OriginReplication {
    /// Lets a new round start at once, or after the running one.
    pub(super) const fn restart(&mut self) {
        self.due = Some(Timestamp::ZERO);
        self.check_at = Timestamp::ZERO;
        self.rounds = 0;
    }

    /// Returns whether [`Self::step`] has something to do.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        self.round.is_some() || self.check_at <= now
    }

    /// Returns whether every holder is known to keep its origins, or cannot.
    pub(super) const fn is_complete(&self) -> bool {
        self.round.is_none() && self.due.is_none()
    }

    /// Compares some origins with the holders, and returns the messages to those that lack one: the
    /// origin, and a query whose answer confirms it.
    pub(super) fn step(
        &mut self,
        origins: &StreamOrigins,
        members: &LiveMembers,
        now: Timestamp,
    ) -> Vec<(SocketAddr, OriginMessage)> {
        self.start_round(members, now);
        let Some(mut round) = self.round.take() else {
            return Vec::new();
        };
        let most = (STEP_RANKS / members.len().max(1)).max(1);
        let mut messages = Vec::new();
        for (count, kept) in origins.received_after(round.last).enumerate() {
            if count == most || messages.len() >= STEP_ORIGINS * MESSAGES_EACH {
                self.round = Some(round);
                return messages;
            }
            round.last = Some(kept.key);
            let lacking = lacking(&kept, members, now);
            round.is_lacking |= !lacking.is_empty();
            for holder in lacking {
                let told = messages_to_keep(&kept, now);
                messages.extend(told.map(|message| (holder, message)));
            }
        }
        self.end_round(&round, now);
        messages
    }

    /// Starts a round if one is due. The fleet's change does not interrupt a running one, so that
    /// each origin gets its turn.
    fn start_round(&mut self, members: &LiveMembers, now: Timestamp) {
        self.check_at = now + CHECK_INTERVAL;
        let fleet = members.digest();
        if std::mem::replace(&mut self.fleet, fleet) != fleet {
            self.restart();
        }
        if self.round.is_none() && self.due.is_some_and(|due| due <= now) {
            self.round = Some(Round::default());
            self.due = None;
            self.rounds += 1;
        }
    }

    fn end_round(&mut self, round: &Round, now: Timestamp) {
        if round.is_lacking && self.due.is_none() && self.rounds < ROUND_LIMIT {
            self.due = Some(now + RETRY_INTERVAL);
        }
    }
}

/// Returns the holders of a stream that are not known to keep its origin. Nobody needs the origin of a
/// stream whose deadline has passed.
fn lacking(kept: &KeptOrigin<'_>, members: &LiveMembers, now: Timestamp) -> Vec<SocketAddr> {
    if kept.lifetime(now).is_zero() {
        return Vec::new();
    }
    let wanted = members.first(kept.stream().0, HOLDERS).into_iter();
    let lacking = wanted.filter(|holder| !kept.is_held_by(holder.process()));
    lacking.map(|holder| holder.address).collect()
}

/// Returns the messages that tell a holder an origin and ask it to confirm that.
fn messages_to_keep(kept: &KeptOrigin<'_>, now: Timestamp) -> [OriginMessage; MESSAGES_EACH] {
    let stream = kept.stream();
    let began = OriginMessage::Began {
        stream,
        origin: kept.origin.clone(),
        lifetime: whole_millis(kept.lifetime(now)),
    };
    let query = OriginMessage::Query {
        stream,
        service: None,
    };
    [began, query]
}
