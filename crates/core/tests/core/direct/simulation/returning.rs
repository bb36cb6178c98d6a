//! Callers that return once after a refusal.

use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{PlacementRequest, Policies};
use rand::Rng;

use super::{Event, HOP_DELAY, Simulation};

/// What callers do that are refused: each returns once, at any entry.
#[derive(Debug, Clone, Copy)]
pub struct Returns {
    /// Part of the callers that return at once, whatever they are told.
    pub hasty: f64,
}

/// Longest deadline of the callers that return; the shortest is 0.85 of it.
pub(super) const LONGEST_DEADLINE: Duration = Duration::from_secs(12);

/// Part of the longest deadline from which on it does not show that time has passed.
const ORIGINAL_PART: f64 = 0.8;

impl Simulation {
    /// Lets refused callers return, and entries decide by `policies`.
    pub fn with_returns(mut self, returns: Returns, policies: Policies) -> Self {
        self.returns = Some(returns);
        let entries = std::mem::take(&mut self.entries).into_iter();
        self.entries = entries.map(|entry| entry.with_policies(policies)).collect();
        self
    }

    /// Lets a refused caller return as it was told, with the time that it has left. Returns false if
    /// it does not return.
    pub(super) fn come_back(
        &mut self,
        kind: usize,
        request: &PlacementRequest,
        told: Duration,
        now: Timestamp,
    ) -> bool {
        self.refused_waits
            .push(now.since(request.arrived).as_millis() as u64);
        let Some(returns) = self.returns else {
            return false;
        };
        let left = request.deadline.since(now);
        let hasty = self.random.random_bool(returns.hasty);
        let placed = told <= left / 3 && !hasty;
        if self.returned.insert(request.ticket, placed).is_some() {
            return false;
        }
        self.tallies[kind].placed += u32::from(placed);
        self.told.push((now, told.as_millis() as u64));
        let delay = match hasty {
            true => Duration::ZERO,
            false => told.min(left / 3),
        };
        let arrived = now + delay + HOP_DELAY * 2;
        let left = request.deadline.since(arrived);
        let elapsed = match left < LONGEST_DEADLINE.mul_f64(ORIGINAL_PART) {
            true => LONGEST_DEADLINE - left,
            false => Duration::ZERO,
        };
        let objective = Duration::from_millis(self.kinds[kind].objective);
        let request = PlacementRequest {
            arrived,
            elapsed,
            objective: arrived + objective.saturating_sub(elapsed),
            ..request.clone()
        };
        let entry = self.random.random_range(0..self.entries.len());
        self.schedule(
            arrived,
            Event::Arrive {
                entry,
                kind,
                request,
            },
        );
        true
    }
}
