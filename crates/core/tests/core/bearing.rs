//! What an agent lets in: cold endpoints, runs of others, slow engines, hopeless and short work.

use std::time::Duration;

use comfreyhaven_core::agent::{Action, Agent, Event, RunEnd, RunStatus};
use comfreyhaven_core::fleet::DataCentreState;
use comfreyhaven_core::refusal::ReturnReason;
use comfreyhaven_core::{BootNonce, Cost, OfferId, RequestId, Timestamp};

use crate::support::{COLD, WARM, endpoint_name, fleet, reservation, reservation_id};

/// Completions at the cold limit that the agent waits for.
const HOLD: u32 = 4 * COLD;

struct Bench {
    agent: Agent,
    now: Timestamp,
    next: u128,
    offers: Vec<(RequestId, OfferId)>,
    returns: Vec<(RequestId, ReturnReason)>,
}

impl Bench {
    /// Asserts that the limit is cold for `count` completions and rises after one more.
    fn assert_held(&mut self, count: u32) {
        for _ in 0..count {
            assert_eq!(self.limit(), u64::from(COLD));
            self.reserve_small();
            self.complete(10, 10);
        }
        self.reserve_small();
        self.complete(10, 10);
        assert!(self.limit() > u64::from(COLD));
    }

    /// An agent whose endpoint says that it runs `running` requests.
    fn new(running: u32) -> Self {
        let mut bench = Self {
            agent: Agent::new(endpoint_name(0), BootNonce::new(1)),
            now: Timestamp::ZERO,
            next: 0,
            offers: Vec::new(),
            returns: Vec::new(),
        };
        bench.feed(Event::Configured(fleet(1, DataCentreState::In)));
        bench.probe(1, running);
        bench
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

    fn pass(&mut self, millis: u64) {
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

    /// Runs one request to its end, with the given times to and after the first token.
    fn complete(&mut self, first: u64, rest: u64) {
        let request = self.claim();
        self.pass(first);
        self.feed(Event::FirstToken(request));
        self.pass(rest);
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

    fn warm(&mut self, first: u64, rest: u64) {
        while self.limit() < u64::from(WARM) {
            self.reserve_small();
            self.complete(first, rest);
        }
    }
}

#[test]
fn a_new_agent_counts_what_its_predecessor_left_running() {
    let mut bench = Bench::new(COLD);
    bench.reserve_small();
    assert!(bench.offers.is_empty());
    bench.pass(500);
    bench.probe(1, COLD - 1);
    assert_eq!(bench.offers.len(), 1);
}

#[test]
fn own_runs_in_a_report_do_not_hide_that_the_predecessor_s_have_ended() {
    let mut bench = Bench::new(1);
    bench.reserve_small();
    bench.claim();
    bench.reserve_small();
    for _ in 0..10 {
        bench.pass(500);
        bench.probe(1, 1);
    }
    assert_eq!(bench.offers.len(), 1, "the one run reported is its own");
}

#[test]
fn own_runs_are_not_counted_twice_after_a_loss_of_contact() {
    let mut bench = Bench::new(0);
    bench.reserve_small();
    bench.claim();
    bench.feed(Event::EndpointDown);
    bench.probe(1, 1);
    bench.reserve_small();
    assert_eq!(bench.offers.len(), 1);
}

#[test]
fn a_cold_endpoint_gets_its_cold_bearing_until_it_has_completed_some() {
    let mut bench = Bench::new(0);
    bench.assert_held(HOLD);
}

#[test]
fn a_failure_while_the_limit_rises_doubles_the_hold() {
    let mut bench = Bench::new(0);
    for _ in 0..=HOLD {
        bench.reserve_small();
        bench.complete(10, 10);
    }
    bench.reserve_small();
    let request = bench.claim();
    bench.feed(Event::Finished {
        request,
        end: RunEnd::Broken,
    });
    bench.probe(1, 0);
    bench.assert_held(2 * HOLD);
}

#[test]
fn a_restarted_endpoint_is_cold_again() {
    let mut bench = Bench::new(0);
    bench.warm(10, 10);
    bench.probe(2, 0);
    assert_eq!(bench.limit(), u64::from(COLD));
}

#[test]
fn first_tokens_that_leap_make_the_endpoint_cold() {
    let mut bench = Bench::new(0);
    bench.warm(10, 10);
    for _ in 0..3 {
        bench.reserve_small();
        bench.complete(2_000, 10);
    }
    assert_eq!(bench.limit(), u64::from(COLD));
}

#[test]
fn slow_tokens_lower_the_limit() {
    let mut bench = Bench::new(0);
    bench.warm(10, 10);
    for _ in 0..20 {
        bench.reserve_small();
        bench.complete(10, 2_000);
    }
    assert!(bench.limit() < u64::from(WARM), "{}", bench.limit());
}

#[test]
fn work_that_cannot_meet_its_deadline_is_given_back_before_it_runs() {
    let mut bench = Bench::new(0);
    for _ in 0..4 {
        bench.reserve_small();
        bench.complete(1_000, 1_000);
    }
    let cost = Cost {
        prompt: 10,
        output: 10,
    };
    let request = bench.reserve(cost, Duration::from_millis(500));
    assert_eq!(bench.returns, [(request, ReturnReason::Late)]);
    assert!(bench.offers.is_empty());
}

#[test]
fn work_that_waited_too_long_is_given_back_before_its_deadline() {
    let mut bench = Bench::new(0);
    for _ in 0..4 {
        bench.reserve_small();
        bench.complete(1_000, 1_000);
    }
    for _ in 0..COLD {
        bench.reserve_small();
        bench.claim();
    }
    let cost = Cost {
        prompt: 10,
        output: 10,
    };
    let request = bench.reserve(cost, Duration::from_secs(5));
    bench.pass(2_500);
    assert!(bench.returns.is_empty());
    bench.pass(1_000);
    assert_eq!(bench.returns, [(request, ReturnReason::Late)]);
}

#[test]
fn long_work_leaves_slots_for_short_work() {
    let mut bench = Bench::new(0);
    bench.warm(10, 10);
    for _ in 0..16 {
        bench.reserve_small();
        bench.complete(10, 10);
    }
    let long = Cost {
        prompt: 200,
        output: 300,
    };
    for _ in 0..WARM {
        bench.reserve(long, Duration::from_secs(60));
    }
    let taken = bench.offers.len();
    assert!(taken < WARM as usize);
    let short = bench.reserve_small();
    assert_eq!(
        bench.offers.last().map(|(request, _)| *request),
        Some(short)
    );
}

#[test]
fn a_run_that_was_forgotten_is_not_said_never_to_have_run() {
    let mut bench = Bench::new(0);
    bench.reserve_small();
    let (request, offer) = bench.offers[0];
    bench.complete(10, 10);
    bench.pass(700_000);
    bench.reserve_small();
    bench.complete(10, 10);
    let report = bench.feed(Event::Inquire { offer, request });
    let status = RunStatus::Unknown;
    assert_eq!(report, [Action::Report { request, status }]);
}

#[test]
fn a_request_that_the_endpoint_refused_may_run_there_later() {
    let mut bench = Bench::new(0);
    let first = bench.reserve_small();
    bench.claim();
    let reason = comfreyhaven_core::refusal::NotRunReason::EndpointFull;
    bench.feed(Event::Finished {
        request: first,
        end: RunEnd::NotRun(reason),
    });
    let again = reservation(
        reservation_id(0, 1),
        0,
        0,
        Cost {
            prompt: 10,
            output: 10,
        },
    );
    bench.feed(Event::Reserve(again));
    let (request, offer) = bench.offers[0];
    assert_eq!(
        bench.feed(Event::Claim { offer, request }),
        [Action::Run(offer)]
    );
}
