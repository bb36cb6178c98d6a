//! Admission by an agent: the limit of cold and slow endpoints, untracked runs, late reservations
//! and slots for short requests.

use std::time::Duration;

use comfreyhaven_core::agent::{Action, Agent, Event, RunEnd, RunStatus};
use comfreyhaven_core::fleet::DataCentreState;
use comfreyhaven_core::refusal::ReturnReason;
use comfreyhaven_core::{BootNonce, Cost, OfferId, RequestId, Timestamp};

use crate::support::{COLD, WARM, endpoint_name, fleet, reservation, reservation_id};

/// Completions at the cold limit after which the limit may rise.
const COLD_COMPLETIONS: u32 = 4 * COLD;

struct Harness {
    agent: Agent,
    now: Timestamp,
    next: u128,
    offers: Vec<(RequestId, OfferId)>,
    returns: Vec<(RequestId, ReturnReason)>,
}

impl Harness {
    /// Asserts that the limit stays cold for `count` completions and rises after one more.
    fn assert_cold(&mut self, count: u32) {
        for _ in 0..count {
            assert_eq!(self.limit(), u64::from(COLD));
            self.reserve_small();
            self.complete(10, 10);
        }
        self.reserve_small();
        self.complete(10, 10);
        assert!(self.limit() > u64::from(COLD));
    }

    /// Creates an agent whose endpoint reports `running` running requests.
    fn new(running: u32) -> Self {
        let mut harness = Self {
            agent: Agent::new(endpoint_name(0), BootNonce::new(1)),
            now: Timestamp::ZERO,
            next: 0,
            offers: Vec::new(),
            returns: Vec::new(),
        };
        harness.feed(Event::Configured(fleet(1, DataCentreState::In)));
        harness.probe(1, running);
        harness
    }

    fn feed(&mut self, event: Event) -> Vec<Action> {
        let actions = self.agent.handle(event, self.now);
        for action in &actions {
            match action {
                Action::Offer { id, offer, .. } => self.offers.push((id.request, *offer)),
                Action::Return { id, reason } => self.returns.push((id.request, *reason)),
                _ => {}
            }
        }
        actions
    }

    fn probe(&mut self, boot: u64, running: u32) {
        self.feed(Event::EndpointUp { boot, running });
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        self.feed(Event::Tick);
    }

    fn reserve(&mut self, cost: Cost, remaining: Duration) -> RequestId {
        let id = reservation_id(self.next, 0);
        self.next += 1;
        let mut wanted = reservation(id, 0, 0, cost);
        wanted.remaining = remaining;
        self.feed(Event::Reserve(wanted));
        id.request
    }

    fn reserve_small(&mut self) -> RequestId {
        self.reserve(
            Cost {
                prompt: 10,
                output: 10,
            },
            Duration::from_secs(60),
        )
    }

    fn claim(&mut self) -> RequestId {
        let (request, offer) = self.offers.remove(0);
        self.feed(Event::Claim { offer, request });
        request
    }

    /// Claims the oldest offer and completes its run. `first` is the time to the first token and
    /// `rest` the time from there to the end, in milliseconds.
    fn complete(&mut self, first: u64, rest: u64) {
        let request = self.claim();
        self.advance(first);
        self.feed(Event::FirstToken(request));
        self.advance(rest);
        let end = RunEnd::Whole {
            output: 10,
            prefill: 10,
        };
        self.feed(Event::Finished { request, end });
    }

    fn limit(&self) -> u64 {
        serde_json::to_value(self.agent.state()).unwrap()["limit"]
            .as_u64()
            .unwrap()
    }

    fn warm_up(&mut self, first: u64, rest: u64) {
        while self.limit() < u64::from(WARM) {
            self.reserve_small();
            self.complete(first, rest);
        }
    }
}

#[test]
fn a_new_agent_counts_runs_of_the_previous_agent_process() {
    let mut harness = Harness::new(COLD);
    harness.reserve_small();
    assert!(harness.offers.is_empty());
    harness.advance(500);
    harness.probe(1, COLD - 1);
    assert_eq!(harness.offers.len(), 1);
}

#[test]
fn untracked_runs_are_dropped_when_reports_cover_only_own_runs() {
    let mut harness = Harness::new(1);
    harness.reserve_small();
    harness.claim();
    harness.reserve_small();
    for _ in 0..10 {
        harness.advance(500);
        harness.probe(1, 1);
    }
    assert_eq!(
        harness.offers.len(),
        1,
        "the reported run is the agent's own"
    );
}

#[test]
fn own_runs_are_not_counted_twice_after_the_endpoint_was_unreachable() {
    let mut harness = Harness::new(0);
    harness.reserve_small();
    harness.claim();
    harness.feed(Event::EndpointDown);
    harness.probe(1, 1);
    harness.reserve_small();
    assert_eq!(harness.offers.len(), 1);
}

#[test]
fn the_limit_of_a_cold_endpoint_rises_after_a_number_of_completions() {
    let mut harness = Harness::new(0);
    harness.assert_cold(COLD_COMPLETIONS);
}

#[test]
fn a_failure_while_the_limit_rises_doubles_the_cold_completions() {
    let mut harness = Harness::new(0);
    for _ in 0..=COLD_COMPLETIONS {
        harness.reserve_small();
        harness.complete(10, 10);
    }
    harness.reserve_small();
    let request = harness.claim();
    harness.feed(Event::Finished {
        request,
        end: RunEnd::Broken,
    });
    harness.probe(1, 0);
    harness.assert_cold(2 * COLD_COMPLETIONS);
}

#[test]
fn a_restarted_endpoint_is_cold_again() {
    let mut harness = Harness::new(0);
    harness.warm_up(10, 10);
    harness.probe(2, 0);
    assert_eq!(harness.limit(), u64::from(COLD));
}

#[test]
fn a_sharp_rise_of_first_token_times_makes_the_endpoint_cold() {
    let mut harness = Harness::new(0);
    harness.warm_up(10, 10);
    for _ in 0..3 {
        harness.reserve_small();
        harness.complete(2_000, 10);
    }
    assert_eq!(harness.limit(), u64::from(COLD));
}

#[test]
fn slow_tokens_lower_the_limit() {
    let mut harness = Harness::new(0);
    harness.warm_up(10, 10);
    for _ in 0..20 {
        harness.reserve_small();
        harness.complete(10, 2_000);
    }
    assert!(harness.limit() < u64::from(WARM), "{}", harness.limit());
}

#[test]
fn a_reservation_that_cannot_meet_its_deadline_is_returned_at_once() {
    let mut harness = Harness::new(0);
    for _ in 0..4 {
        harness.reserve_small();
        harness.complete(1_000, 1_000);
    }
    let cost = Cost {
        prompt: 10,
        output: 10,
    };
    let request = harness.reserve(cost, Duration::from_millis(500));
    assert_eq!(harness.returns, [(request, ReturnReason::Late)]);
    assert!(harness.offers.is_empty());
}

#[test]
fn a_reservation_that_waited_too_long_is_returned_before_its_deadline() {
    let mut harness = Harness::new(0);
    for _ in 0..4 {
        harness.reserve_small();
        harness.complete(1_000, 1_000);
    }
    for _ in 0..COLD {
        harness.reserve_small();
        harness.claim();
    }
    let cost = Cost {
        prompt: 10,
        output: 10,
    };
    let request = harness.reserve(cost, Duration::from_secs(5));
    harness.advance(2_500);
    assert!(harness.returns.is_empty());
    harness.advance(1_000);
    assert_eq!(harness.returns, [(request, ReturnReason::Late)]);
}

#[test]
fn long_requests_leave_slots_for_short_requests() {
    let mut harness = Harness::new(0);
    harness.warm_up(10, 10);
    for _ in 0..16 {
        harness.reserve_small();
        harness.complete(10, 10);
    }
    let long = Cost {
        prompt: 200,
        output: 300,
    };
    for _ in 0..WARM {
        harness.reserve(long, Duration::from_secs(60));
    }
    let taken = harness.offers.len();
    assert!(taken < WARM as usize);
    let short = harness.reserve_small();
    assert_eq!(
        harness.offers.last().map(|(request, _)| *request),
        Some(short)
    );
}

#[test]
fn a_run_that_left_the_history_is_reported_as_unknown() {
    let mut harness = Harness::new(0);
    harness.reserve_small();
    let (request, offer) = harness.offers[0];
    harness.complete(10, 10);
    harness.advance(700_000);
    harness.reserve_small();
    harness.complete(10, 10);
    let report = harness.feed(Event::Inquire { offer, request });
    let status = RunStatus::Unknown;
    assert_eq!(report, [Action::Report { request, status }]);
}

#[test]
fn a_request_that_the_endpoint_rejected_may_run_there_later() {
    let mut harness = Harness::new(0);
    let first = harness.reserve_small();
    harness.claim();
    let reason = comfreyhaven_core::refusal::NotRunReason::EndpointFull;
    harness.feed(Event::Finished {
        request: first,
        end: RunEnd::NotRun(reason),
    });
    let second = reservation(
        reservation_id(0, 1),
        0,
        0,
        Cost {
            prompt: 10,
            output: 10,
        },
    );
    harness.feed(Event::Reserve(second));
    let (request, offer) = harness.offers[0];
    assert_eq!(
        harness.feed(Event::Claim { offer, request }),
        [Action::Run(offer)]
    );
}
