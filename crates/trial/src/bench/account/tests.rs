use std::time::Duration;

use comfreyhaven_core::refusal::RefusalKind;
use hyper::Method;

use super::{excess, within_rate, worst_window, wrongful};
use crate::fleet::{Deployed, Limits};
use crate::load::{Outcome, Shot, Verdict};
use crate::trace::{Ask, Record};

const LIMITS: Limits = Limits { rate: 1, burst: 2 };

fn outcome(millis: u64, verdict: Verdict) -> Outcome {
    let at = Duration::from_millis(millis);
    let ask = Ask::Call {
        method: Method::GET,
        target: "/orders/status/1".to_owned(),
    };
    let record = Record {
        at_ms: millis,
        team: "kakheti".to_owned(),
        route: "status".to_owned(),
        ask,
    };
    let route = Deployed::Hivecraft.route("status").expect("declared");
    Outcome {
        shot: Shot { at, record, route },
        sent: at,
        ended: at,
        first: Duration::ZERO,
        verdict,
    }
}

#[test]
fn a_request_is_within_the_rate_while_the_bucket_holds_its_tokens() {
    let shots = [0, 0, 0, 900, 1_000].map(|at| outcome(at, Verdict::Whole).shot);
    let within = within_rate(shots.iter(), LIMITS);
    assert_eq!(within, [true, true, false, false, true]);
}

#[test]
fn a_refusal_over_the_rate_is_wrongful_only_if_the_team_had_tokens() {
    let refused = Verdict::Refused(RefusalKind::RateExceeded);
    let full = [outcome(0, Verdict::Whole), outcome(1, refused)];
    assert_eq!(wrongful(&full, LIMITS), 1);
    let empty = [
        outcome(0, Verdict::Whole),
        outcome(0, Verdict::Whole),
        outcome(1, refused),
    ];
    assert_eq!(wrongful(&empty, LIMITS), 0);
}

#[test]
fn excess_is_found_in_a_window_that_does_not_begin_at_the_start() {
    let second = Duration::from_secs;
    let spends = [(second(0), 1.0), (second(10), 2.0), (second(10), 2.0)];
    assert!((worst_window(&spends, LIMITS) - 2.0).abs() < 1e-9);
    let whole = [0, 0, 2_000].map(|at| outcome(at, Verdict::Whole));
    assert!(excess(&whole, LIMITS).abs() < 1e-9);
}
