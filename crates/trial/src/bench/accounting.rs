//! Reference accounting of the tokens that each team was entitled to and used.
//!
//! It knows the outcome of every request in the fleet, so it can determine whether a refusal was
//! justified and how far a team exceeded its rate.

use std::collections::HashMap;
use std::time::Duration;

use comfreyhaven_core::refusal::RefusalKind;
use comfreyhaven_standin::answer_text;

use super::capacity::{BYTES_PER_TOKEN, cost, to_f64};
use crate::fleet::Limits;
use crate::load::{Outcome, Verdict};
use crate::trace::RequestKind;

/// A token bucket whose level may become negative, since it observes charges and does not limit
/// them.
#[derive(Debug, Clone)]
struct TokenBucket {
    limits: Limits,
    level: f64,
    updated: Duration,
}

impl TokenBucket {
    fn new(limits: Limits) -> Self {
        Self {
            limits,
            level: limits.burst as f64,
            updated: Duration::ZERO,
        }
    }

    fn add(&mut self, tokens: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let level = self.level + elapsed * self.limits.rate as f64 + tokens;
        self.level = level.min(self.limits.burst as f64);
    }

    fn covers(&mut self, tokens: f64, now: Duration) -> bool {
        self.add(0.0, now);
        self.level >= tokens
    }
}

/// Relation of a request to the rate limit of its team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RateStatus {
    /// The bucket held the tokens of the request.
    Within,
    /// The bucket held the tokens, but the request was refused as over the rate.
    WronglyRefused,
    /// The bucket did not hold the tokens of the request.
    Over,
}

/// Determines the status of each request with one bucket per team. A request is charged if the
/// bucket holds its tokens and the request was not refused as over the rate.
///
/// A refusal is wrongful only if the bucket held the tokens both when the request was sent and when
/// the refusal arrived, since concurrent requests may be charged in a different order.
pub(super) fn rate_statuses(outcomes: &[Outcome], limits: Limits) -> Vec<RateStatus> {
    let mut buckets: HashMap<&str, TokenBucket> = HashMap::new();
    let mut rate_statuses = vec![RateStatus::Over; outcomes.len()];
    for event in events(outcomes) {
        let outcome = &outcomes[event.index];
        let bucket = buckets
            .entry(outcome.request.record.team.as_str())
            .or_insert_with(|| TokenBucket::new(limits));
        let cost = to_f64(cost(&outcome.request.record.kind));
        let refused = outcome.verdict == Verdict::Refused(RefusalKind::RateExceeded);
        let status = &mut rate_statuses[event.index];
        match (event.kind, *status) {
            (EventKind::Sent, _) => {
                if bucket.covers(cost, event.at) {
                    *status = RateStatus::Within;
                    bucket.add(if refused { 0.0 } else { -cost }, event.at);
                }
            }
            (EventKind::Ended, RateStatus::Within) if refused => {
                let covered = bucket.covers(cost, event.at);
                *status = if covered {
                    RateStatus::WronglyRefused
                } else {
                    RateStatus::Over
                };
            }
            (EventKind::Ended, RateStatus::Within) => bucket.add(cost - spent(outcome), event.at),
            (EventKind::Ended, RateStatus::WronglyRefused | RateStatus::Over) => {}
        }
    }
    rate_statuses
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    Sent,
    Ended,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    at: Duration,
    kind: EventKind,
    index: usize,
}

/// Returns the start and end of every request in order of time.
fn events(outcomes: &[Outcome]) -> Vec<Event> {
    let mut events = Vec::new();
    for (index, outcome) in outcomes.iter().enumerate() {
        for (at, kind) in [
            (outcome.sent, EventKind::Sent),
            (outcome.ended, EventKind::Ended),
        ] {
            events.push(Event { at, kind, index });
        }
    }
    events.sort();
    events
}

/// Returns the largest number of tokens that a team certainly used beyond its rate and burst in any
/// time window, as a fraction of the burst.
///
/// A request counts in a window only if it was sent and its answer started within the window, since
/// its tokens were charged at an unknown time between the two.
pub(super) fn rate_excess(outcomes: &[Outcome], limits: Limits) -> f64 {
    let mut teams: HashMap<&str, Vec<Charge>> = HashMap::new();
    for outcome in outcomes {
        let team = teams
            .entry(outcome.request.record.team.as_str())
            .or_default();
        let tokens = spent(outcome);
        if tokens > 0.0 {
            team.push(Charge {
                sent: outcome.sent,
                started: outcome.sent + outcome.first_byte,
                tokens,
            });
        }
    }
    let worst = teams
        .into_values()
        .map(|charges| worst_excess(charges, limits));
    worst.fold(0.0, f64::max) / limits.burst as f64
}

#[derive(Debug, Clone, Copy)]
struct Charge {
    sent: Duration,
    started: Duration,
    tokens: f64,
}

fn worst_excess(mut charges: Vec<Charge>, limits: Limits) -> f64 {
    charges.sort_by_key(|charge| charge.started);
    let mut worst = 0.0_f64;
    for start in charges.iter().map(|charge| charge.sent) {
        let mut sum = 0.0;
        for charge in charges.iter().filter(|charge| charge.sent >= start) {
            sum += charge.tokens;
            let allowed = (charge.started - start).as_secs_f64() * limits.rate as f64;
            worst = worst.max(sum - allowed - limits.burst as f64);
        }
    }
    worst
}

/// Returns the smallest fraction of its rate and burst that a team over its rate used, among the
/// requests sent within `length` from `start`. `None` if no team was over its rate.
pub(super) fn rate_use(
    outcomes: &[Outcome],
    rate_statuses: &[RateStatus],
    limits: Limits,
    (start, length): (Duration, Duration),
) -> Option<f64> {
    let mut teams: HashMap<&str, (f64, bool)> = HashMap::new();
    for (outcome, status) in outcomes.iter().zip(rate_statuses) {
        if (start..start + length).contains(&outcome.request.at) {
            let team = teams.entry(outcome.request.record.team.as_str());
            let (tokens, over) = team.or_default();
            *tokens += spent(outcome);
            *over |= *status == RateStatus::Over;
        }
    }
    let allowance = limits.burst as f64 + limits.rate as f64 * length.as_secs_f64();
    let over = teams.into_values().filter(|(_, over)| *over);
    over.map(|(tokens, _)| tokens / allowance)
        .min_by(f64::total_cmp)
}

/// Returns the number of tokens that a request used or may have used.
fn spent(outcome: &Outcome) -> f64 {
    match outcome.verdict {
        Verdict::Refused(_) => 0.0,
        Verdict::Whole | Verdict::Wrong | Verdict::Unknown => {
            actual_tokens(&outcome.request.record.kind)
        }
    }
}

/// Returns the number of tokens of a prompt and its complete answer.
fn actual_tokens(kind: &RequestKind) -> f64 {
    match kind {
        RequestKind::Chat { prompt, tokens, .. } => {
            let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN);
            to_f64(prompt_tokens) + f64::from(answer_text::length(prompt, *tokens))
        }
        RequestKind::Call { .. } => 1.0,
    }
}

#[cfg(test)]
mod tests;
