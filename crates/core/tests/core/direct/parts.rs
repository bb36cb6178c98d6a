//! Budget, pace, line and suspects, each alone.

use std::time::Duration;

use comfreyhaven_core::direct::{Budget, Curve, Pace, Strain, Suspects, Weighted};
use comfreyhaven_core::request::BodyDigest;

use super::{address, at, scheduler};

/// Endpoints fail everything for a minute; every entry would send each request again.
#[test]
fn repeats_stay_within_the_fleets_budget() {
    let members = 3;
    let mut budgets: Vec<_> = (0..members)
        .map(|_| Budget::new(Duration::from_secs(10), 0.2, 52.0))
        .collect();
    let mut repeats: Vec<u64> = Vec::new();
    for millis in (0..60_000).step_by(10) {
        let now = at(millis);
        let budget = &mut budgets[(millis as usize / 10) % members];
        budget.request(now);
        if budget.take(members, now) {
            repeats.push(millis);
        }
    }
    // A hundred requests a second, of which a window of ten seconds holds a thousand.
    let allowed = 0.2 * 1_000.0 + 52.0;
    for begin in &repeats {
        let window = repeats
            .iter()
            .filter(|at| (*begin..begin + 10_000).contains(at))
            .count();
        assert!((window as f64) <= allowed, "{window} repeats from {begin}");
    }
    assert!(
        repeats.len() as f64 > 0.3 * allowed * 6.0,
        "the budget is hardly used"
    );
}

#[test]
fn a_pace_forgets_after_a_second() {
    let mut pace = Pace::default();
    for millis in [0, 400, 800] {
        pace.note(at(millis));
    }
    assert_eq!(pace.recent(at(900)), 3);
    assert_eq!(pace.recent(at(1_100)), 2);
    assert_eq!(pace.recent(at(3_000)), 0);
}

#[test]
fn a_request_that_crashes_endpoints_is_refused_everywhere() {
    let digest = BodyDigest(7);
    let (mut one, mut two) = (scheduler(1, &[2]), scheduler(2, &[1]));
    one.suspects_mut().note(digest, at(0));
    two.suspects_mut().note(digest, at(10));
    two.suspects_mut().note(digest, at(20));
    assert!(!one.suspects().is_refused(digest, at(30)));
    let report = two.report(at(40));
    one.hear(address(2), report, at(41));
    assert!(one.suspects().is_refused(digest, at(50)));
    assert!(!one.suspects().is_refused(BodyDigest(8), at(50)));
    assert!(
        !one.suspects().is_refused(digest, at(90_000)),
        "it is not refused for ever"
    );
}

#[test]
fn a_request_that_ran_is_no_longer_suspected() {
    let mut suspects = Suspects::default();
    suspects.note(BodyDigest(1), at(0));
    suspects.note(BodyDigest(1), at(1));
    suspects.clear(BodyDigest(1));
    assert_eq!(suspects.note(BodyDigest(1), at(2)), 1);
}

#[test]
fn a_curve_learns_both_of_its_parts() {
    let mut curve = Curve::new(30.0, 0.008);
    for tokens in [100_u64, 1_000, 10_000, 50_000].iter().cycle().take(200) {
        curve.learn(*tokens, 18.0 + 0.0044 * *tokens as f64);
    }
    assert!((curve.at(0.0) - 18.0).abs() < 2.0, "{}", curve.at(0.0));
    assert!((curve.slope() - 0.0044).abs() < 0.0005, "{}", curve.slope());
}

#[test]
fn one_odd_sighting_does_not_shut_an_endpoint_out() {
    let mut curve = Curve::new(30.0, 0.008);
    curve.learn(1_000, 60_000.0);
    assert!(curve.at(1_000.0) < 100.0, "{}", curve.at(1_000.0));
}

#[test]
fn a_split_route_keeps_to_its_weights() {
    let mut scheduler = scheduler(1, &[]);
    let split = [("x", 90), ("y", 10)].map(|(service, weight)| Weighted {
        service: service.into(),
        weight,
    });
    let picked = (0..2_000).filter_map(|_| scheduler.pick(&split));
    let second = picked.filter(|service| &**service == "y").count();
    assert!((120..280).contains(&second), "{second} of 2,000");
}

/// A host runs five times slower: every timer is late.
#[test]
fn a_process_that_runs_late_takes_only_urgent_work_and_recovers() {
    let mut strain = Strain::default();
    strain.note(Duration::from_millis(150));
    assert!(!strain.refuses(2), "one late timer says little");
    for _ in 0..20 {
        strain.note(Duration::from_millis(450));
    }
    assert!(strain.refuses(2) && strain.refuses(1) && !strain.refuses(0));
    for _ in 0..30 {
        strain.note(Duration::ZERO);
    }
    assert!(!strain.refuses(2), "{:?}", strain.lag());
}
