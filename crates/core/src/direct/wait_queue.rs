//! The queue of requests that wait for a slot of one service.
//!
//! Requests that can still meet their objective are served first, then those of more urgent teams,
//! then of more urgent routes, then those of callers that return to a place, then those of teams
//! within their share, then in order of arrival. Routes below the highest rank share one rank, so
//! that short requests are not kept behind long ones of a rank between; short requests count as of
//! the highest rank, since they hardly delay others.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Timestamp;

use super::drain::{Ahead, Class, Turn};
use super::placement_request::{PlacementRequest, Ticket};

/// First of the ranks that are served as one.
pub(super) const SHARED_RANK: u8 = 1;

/// Expected slot time per token of an answer.
const ANSWER_TOKEN_TIME: Duration = Duration::from_micros(4_200);

/// Expected slot time per token of a prompt.
const PROMPT_TOKEN_TIME: Duration = Duration::from_micros(10);

/// Average slot time below which a kind of request is short.
const SHORT_SLOT_TIME: Duration = Duration::from_millis(350);

/// Part of a request's slot time by which it is queued later.
const PENALTY_PART: f64 = 0.1;

/// Longest time by which a request is queued later, so that requests that can meet their objective
/// wait little longer.
const PENALTY_MAX: Duration = Duration::from_millis(60);

/// One request in this many has no penalty, so that long requests are not starved.
const NO_PENALTY_EVERY: u64 = 2;

impl PlacementRequest {
    /// Returns how long the request is expected to occupy a slot.
    #[must_use]
    pub fn slot_time(&self) -> Duration {
        let tokens = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        let answer = ANSWER_TOKEN_TIME.saturating_mul(tokens(self.length));
        answer.saturating_add(PROMPT_TOKEN_TIME.saturating_mul(tokens(self.prompt)))
    }

    /// Returns whether requests of this kind occupy a slot so briefly that they hardly delay
    /// others. The kind's average decides, so that short requests do not starve long ones of the
    /// same kind.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.average_time < SHORT_SLOT_TIME
    }

    /// Returns by how much later a long request is queued. A slot serves several short requests in
    /// the time of a long one.
    fn penalty(&self) -> Duration {
        if self.ticket.0.is_multiple_of(NO_PENALTY_EVERY) {
            return Duration::ZERO;
        }
        self.slot_time().mul_f64(PENALTY_PART).min(PENALTY_MAX)
    }
}

/// Position of a request in the queue; the least is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    /// Whether the request is queued behind all that can still meet their objective.
    after_timely: bool,
    team_rank: u8,
    rank: u8,
    turn: Turn,
    /// Step of the team's excess over its share.
    share: u8,
    order_time: Timestamp,
    ticket: Ticket,
    late: bool,
}

impl QueuePosition {
    pub(super) fn new(request: &PlacementRequest, late: bool) -> Self {
        let short = request.is_short();
        let rank = match (short, late) {
            (true, false) => 0,
            (true, true) => SHARED_RANK,
            (false, _) => request.rank.min(SHARED_RANK),
        };
        Self {
            after_timely: late && !short,
            team_rank: request.team_rank,
            rank,
            turn: Turn::Timely,
            share: request.share,
            order_time: request.arrived + request.penalty(),
            ticket: request.ticket,
            late,
        }
    }

    /// Queues the request among those of its rank.
    pub(super) const fn with_turn(mut self, turn: Turn) -> Self {
        self.after_timely = false;
        self.turn = turn;
        self
    }

    /// Returns whether peers leave slots to the request: it can still meet its objective, or has a
    /// place.
    fn is_reported(&self) -> bool {
        !self.late || self.turn == Turn::Placed
    }

    pub(super) const fn is_late(&self) -> bool {
        self.late
    }

    /// Returns the class whose drain the request waits for.
    pub(super) const fn class(&self) -> Class {
        Class {
            level: self.rank,
            turn: self.turn,
        }
    }
}

/// The requests that wait for one service.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    requests: BTreeMap<QueuePosition, PlacementRequest>,
}

impl WaitQueue {
    pub(super) fn add(&mut self, position: QueuePosition, request: PlacementRequest) {
        self.requests.insert(position, request);
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<PlacementRequest> {
        let position = *self
            .requests
            .keys()
            .find(|position| position.ticket == ticket)?;
        self.requests.remove(&position)
    }

    pub(super) fn take(&mut self, position: &QueuePosition) -> Option<PlacementRequest> {
        self.requests.remove(position)
    }

    /// Returns the positions in the order in which they are served.
    pub(super) fn positions(&self) -> Vec<QueuePosition> {
        self.requests.keys().copied().collect()
    }

    pub(super) fn get(&self, position: &QueuePosition) -> Option<&PlacementRequest> {
        self.requests.get(position)
    }

    /// Returns the waiting requests that can still meet their objective.
    pub(super) fn timely_requests(&self) -> impl Iterator<Item = &PlacementRequest> {
        let timely = self.requests.iter().filter(|(position, _)| !position.late);
        timely.map(|(_, request)| request)
    }

    /// Returns the expected slot time of a team's waiting requests, in milliseconds.
    pub(super) fn team_work_ms(&self, team: u64) -> f64 {
        let requests = self.requests.values();
        let times = requests.filter(|request| request.team == team);
        times
            .map(|request| request.slot_time().as_secs_f64() * 1_000.0)
            .sum()
    }

    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of waiting requests that can still meet their objective or have a place.
    pub(super) fn timely(&self) -> usize {
        self.requests
            .keys()
            .filter(|position| position.is_reported())
            .count()
    }

    /// Returns the number of these requests that are queued at the highest rank.
    pub(super) fn urgent(&self) -> usize {
        self.requests
            .keys()
            .filter(|position| position.is_reported() && position.rank == 0)
            .count()
    }

    /// Returns how many requests are served before `position`.
    pub(super) fn ahead(&self, position: &QueuePosition) -> Ahead {
        let class = position.class();
        let mut ahead = Ahead::default();
        for other in self.requests.range(..*position).map(|(other, _)| other) {
            match other.class() == class {
                true => ahead.same += 1,
                false => ahead.before += 1,
            }
        }
        ahead
    }

    /// Returns whether a request that waits for the same endpoints is served before one of `prompt`
    /// tokens at `position`. Requests that require a build wait for its endpoints only, and keep no
    /// others waiting. A longer prompt may wait for one of few endpoints.
    pub(super) fn is_behind(
        &self,
        position: &QueuePosition,
        build: Option<&str>,
        prompt: u64,
    ) -> bool {
        let mut ahead = self.requests.range(..*position);
        ahead.any(|(_, other)| other.build.as_deref() == build && other.prompt <= prompt)
    }
}
