use std::time::Duration;

use comfreyhaven_core::refusal::RefusalKind;
use hyper::Method;

use super::{Charge, RateStatus, rate_excess, rate_statuses, rate_use, worst_excess};
use crate::fleet::{Limits, SampleFleet};
use crate::load::{Outcome, ScheduledRequest, Verdict};
use crate::trace::{Record, RequestKind};

const LIMITS: Limits = Limits { rate: 1, burst: 2 };

fn outcome(millis: u64, verdict: Verdict) -> Outcome {
    let at = Duration::from_millis(millis);
    let kind = RequestKind::Call {
        method: Method::GET,
        target: "/orders/status/1".to_owned(),
    };
    let record = Record {
        at_ms: millis,
        team: "kakheti".to_owned(),
        route: "status".to_owned(),
        kind,
    };
    let route = SampleFleet::Hivecraft.route("status").expect("declared");
    Outcome {
        request: ScheduledRequest { at, record, route },
        sent: at,
        ended: at,
        first_byte: Duration::ZERO,
        verdict,
    }
}

#[test]
fn a_request_is_within_the_rate_if_the_bucket_holds_its_tokens() {
    let complete = [0, 0, 0, 900, 1_000].map(|at| outcome(at, Verdict::Whole));
    let within = rate_statuses(&complete, LIMITS).into_iter();
    let within: Vec<_> = within.map(|status| status == RateStatus::Within).collect();
    assert_eq!(within, [true, true, false, false, true]);
}

#[test]
fn a_rate_refusal_is_wrongful_only_if_the_bucket_holds_the_tokens() {
    let refused = Verdict::Refused(RefusalKind::RateExceeded);
    let outcomes = [outcome(0, Verdict::Whole), outcome(1, refused)];
    assert_eq!(
        rate_statuses(&outcomes, LIMITS)[1],
        RateStatus::WronglyRefused
    );
    let [first, second, last] = [(0, Verdict::Whole), (0, Verdict::Whole), (1, refused)]
        .map(|(at, verdict)| outcome(at, verdict));
    assert_eq!(
        rate_statuses(&[first, second, last], LIMITS)[2],
        RateStatus::Over
    );
}

#[test]
fn a_refusal_is_not_wrongful_if_concurrent_requests_used_the_tokens() {
    let refused = Verdict::Refused(RefusalKind::RateExceeded);
    let mut slow = outcome(0, refused);
    slow.ended = Duration::from_millis(5);
    let others = [1, 2].map(|at| outcome(at, Verdict::Whole));
    let [first, second] = others;
    assert_eq!(
        rate_statuses(&[slow, first, second], LIMITS)[0],
        RateStatus::Over
    );
}

#[test]
fn finds_the_excess_in_a_window_that_starts_after_the_first_request() {
    let charge = |seconds, tokens| Charge {
        sent: Duration::from_secs(seconds),
        started: Duration::from_secs(seconds),
        tokens,
    };
    let charges = vec![charge(0, 1.0), charge(10, 2.0), charge(10, 2.0)];
    assert!((worst_excess(charges, LIMITS) - 2.0).abs() < 1e-9);
    let complete = [0, 0, 2_000].map(|at| outcome(at, Verdict::Whole));
    assert!(rate_excess(&complete, LIMITS).abs() < 1e-9);
}

#[test]
fn rate_use_is_the_used_fraction_of_rate_and_burst_of_a_team_over_its_rate() {
    let refused = Verdict::Refused(RefusalKind::RateExceeded);
    let window = (Duration::ZERO, Duration::from_secs(2));
    let load = [
        outcome(0, Verdict::Whole),
        outcome(0, Verdict::Whole),
        outcome(0, refused),
    ];
    let used = rate_use(&load, &rate_statuses(&load, LIMITS), LIMITS, window);
    assert_eq!(used, Some(0.5));
    let within = &load[..1];
    let used = rate_use(within, &rate_statuses(within, LIMITS), LIMITS, window);
    assert_eq!(used, None);
}
