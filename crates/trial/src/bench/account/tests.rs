use std::time::Duration;

use comfreyhaven_core::refusal::RefusalKind;
use hyper::Method;

use super::{Spend, Standing, excess, rate_use, standings, worst_window};
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
    let whole = [0, 0, 0, 900, 1_000].map(|at| outcome(at, Verdict::Whole));
    let within = standings(&whole, LIMITS).into_iter();
    let within: Vec<_> = within.map(|one| one == Standing::Within).collect();
    assert_eq!(within, [true, true, false, false, true]);
}

#[test]
fn a_refusal_over_the_rate_is_wrongful_only_if_the_team_had_tokens() {
    let refused = Verdict::Refused(RefusalKind::RateExceeded);
    let one = [outcome(0, Verdict::Whole), outcome(1, refused)];
    assert_eq!(standings(&one, LIMITS)[1], Standing::Wrongful);
    let [first, second, last] = [(0, Verdict::Whole), (0, Verdict::Whole), (1, refused)]
        .map(|(at, verdict)| outcome(at, verdict));
    assert_eq!(standings(&[first, second, last], LIMITS)[2], Standing::Over);
}

#[test]
fn a_refusal_is_not_wrongful_if_the_tokens_went_while_it_was_on_its_way() {
    let refused = Verdict::Refused(RefusalKind::RateExceeded);
    let mut slow = outcome(0, refused);
    slow.ended = Duration::from_millis(5);
    let others = [1, 2].map(|at| outcome(at, Verdict::Whole));
    let [first, second] = others;
    assert_eq!(standings(&[slow, first, second], LIMITS)[0], Standing::Over);
}

#[test]
fn excess_is_found_in_a_window_that_does_not_begin_at_the_start() {
    let spend = |seconds, tokens| Spend {
        sent: Duration::from_secs(seconds),
        begun: Duration::from_secs(seconds),
        tokens,
    };
    let spends = vec![spend(0, 1.0), spend(10, 2.0), spend(10, 2.0)];
    assert!((worst_window(spends, LIMITS) - 2.0).abs() < 1e-9);
    let whole = [0, 0, 2_000].map(|at| outcome(at, Verdict::Whole));
    assert!(excess(&whole, LIMITS).abs() < 1e-9);
}

#[test]
fn rate_use_is_the_part_of_rate_and_burst_that_a_team_over_its_rate_got() {
    let refused = Verdict::Refused(RefusalKind::RateExceeded);
    let window = (Duration::ZERO, Duration::from_secs(2));
    let load = [
        outcome(0, Verdict::Whole),
        outcome(0, Verdict::Whole),
        outcome(0, refused),
    ];
    let used = rate_use(&load, &standings(&load, LIMITS), LIMITS, window);
    assert_eq!(used, Some(0.5));
    let within = &load[..1];
    let used = rate_use(within, &standings(within, LIMITS), LIMITS, window);
    assert_eq!(used, None);
}
