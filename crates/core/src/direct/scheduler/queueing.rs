//! Requests that arrive, wait for a slot and leave the queue: placed, refused or withdrawn.

use std::sync::Arc;
use std::time::Duration;

use super::availability::Absence;
use super::{Outcome, PlacementRefusal, PlacementRequest, Reason, Scheduler, Ticket};
use crate::direct::wait_queue::WaitQueue;
use crate::time::Timestamp;

/// Weight of a new request in the average slot time of its kind.
const SLOT_TIME_WEIGHT: f64 = 0.03;

impl Scheduler {
    /// Places, queues or refuses a request. Returns `None` if it is queued;
    /// [`Scheduler::process_queues`] then returns its outcome.
    pub fn submit(&mut self, mut request: PlacementRequest, now: Timestamp) -> Option<Outcome> {
        request.average_time = self.average_slot_time(&request);
        request.share = self.share_step(&request, now);
        let late = self.is_late(&request, now);
        if self.has_no_endpoint(&request, now) {
            let absence = self.absence(&request.service, request.build.as_deref(), now);
            return Some(self.refuse_absent(&request, &absence, now));
        }
        let position = self.position(&request, late, now);
        let queue = self.queues.get(&request.service);
        let build = request.build.as_deref();
        let is_behind =
            queue.is_some_and(|queue| queue.is_behind(&position, build, request.prompt));
        if !is_behind && let Some(placed) = self.place(&request, late, now) {
            self.record_start(&request, &position, now);
            return Some(placed);
        }
        if late && self.wait_limit(&request) <= now {
            return Some(self.refuse(&request, Reason::Overloaded, now));
        }
        if let Some(absence) = self.limited_too_long(&request, now) {
            return Some(self.refuse_absent(&request, &absence, now));
        }
        if !self.admits(&request, &position, now) {
            return Some(self.refuse(&request, Reason::Overloaded, now));
        }
        let service = Arc::clone(&request.service);
        let queue = self.queues.entry(service).or_default();
        queue.add(position, request);
        None
    }

    /// Returns the average slot time of the request's kind, with this request included.
    fn average_slot_time(&mut self, request: &PlacementRequest) -> Duration {
        let slot_time = request.slot_time().as_secs_f64();
        let average = self
            .slot_times
            .entry(Arc::clone(&request.kind))
            .or_insert(slot_time);
        *average += SLOT_TIME_WEIGHT * (slot_time - *average);
        Duration::from_secs_f64(*average)
    }

    /// Removes a queued request.
    pub fn withdraw(&mut self, service: &str, ticket: Ticket) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.remove(ticket);
        }
        self.admissions.forget(service, ticket);
    }

    /// Places the queued requests for which there is a slot and refuses those that have waited too
    /// long.
    pub fn process_queues(&mut self, now: Timestamp) -> Vec<(Ticket, Outcome)> {
        let mut outcomes = Vec::new();
        self.refresh_shares(now);
        let services: Vec<_> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(s, _)| Arc::clone(s))
            .collect();
        for service in services {
            self.process_queue(&service, &mut outcomes, now);
        }
        outcomes
    }

    fn process_queue(
        &mut self,
        service: &Arc<str>,
        outcomes: &mut Vec<(Ticket, Outcome)>,
        now: Timestamp,
    ) {
        let positions = self.queues.get(service).map(WaitQueue::positions);
        // Builds without a slot for prompts of some length; no build stands for requests that any
        // build may run. A shorter prompt may find a slot where a longer one interrupts others.
        let mut full: Vec<(Option<Arc<str>>, u64)> = Vec::new();
        for position in positions.unwrap_or_default() {
            let Some(request) = self
                .queues
                .get(service)
                .and_then(|queue| queue.get(&position))
            else {
                continue;
            };
            let absence = self.hopeless(request, now);
            let overdue = self.is_overdue(&position, request, now);
            let is_full = full
                .iter()
                .any(|(build, prompt)| *build == request.build && *prompt <= request.prompt);
            if is_full && !overdue && absence.is_none() {
                continue;
            }
            let request = request.clone();
            let placed = if is_full {
                None
            } else {
                self.place(&request, position.is_late(), now)
            };
            match placed {
                Some(_) => self.record_start(&request, &position, now),
                None if !is_full => full.push((request.build.clone(), request.prompt)),
                None => {}
            }
            let refused = || match absence {
                Some(absence) => Some(self.refuse_absent(&request, &absence, now)),
                None => overdue.then(|| self.refuse(&request, Reason::Overloaded, now)),
            };
            if let Some(outcome) = placed.or_else(refused) {
                self.admissions.record_wait(&request, now);
                outcomes.push((request.ticket, outcome));
                if let Some(queue) = self.queues.get_mut(service) {
                    queue.take(&position);
                }
            }
        }
    }

    /// Refuses a request that no endpoint of its service takes. If it is known when one takes requests
    /// again, the delay ends after that.
    fn refuse_absent(
        &mut self,
        request: &PlacementRequest,
        absence: &Absence,
        now: Timestamp,
    ) -> Outcome {
        match self.return_delay(absence, now) {
            Some(retry_after) => Outcome::Refused(PlacementRefusal {
                reason: absence.reason,
                retry_after,
            }),
            None => self.refuse(request, absence.reason, now),
        }
    }
}
