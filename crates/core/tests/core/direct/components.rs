//! Components tested alone: retry budget, send window, latency model, split routes and process lag.

use std::time::Duration;

use comfreyhaven_core::direct::{
    LatencyModel, ProcessLag, RetryBudget, SendWindow, WeightedService,
};

use super::{at, scheduler};

/// Guards against retries that double the load: every request fails for a minute, and every entry
/// retries each one.
#[test]
fn retries_stay_within_the_fleets_budget() {
    let members = 3;
    let mut budgets: Vec<_> = (0..members)
        .map(|_| RetryBudget::new(Duration::from_secs(10), 0.2, 52.0))
        .collect();
    let mut retries: Vec<u64> = Vec::new();
    for millis in (0..60_000).step_by(10) {
        let now = at(millis);
        let budget = &mut budgets[(millis as usize / 10) % members];
        budget.record_request(now);
        if budget.take(1.0 / members as f64, now) {
            retries.push(millis);
        }
    }
    // At 100 requests per second, a window of 10 s holds 1,000.
    let allowed = 0.2 * 1_000.0 + 52.0;
    for start in &retries {
        let window = retries
            .iter()
            .filter(|at| (*start..start + 10_000).contains(at))
            .count();
        assert!(
            (window as f64) <= allowed,
            "{window} retries from {start} ms on"
        );
    }
    assert!(
        retries.len() as f64 > 0.3 * allowed * 6.0,
        "most of the budget is unused"
    );
}

#[test]
fn a_send_window_expires_after_a_second() {
    let mut window = SendWindow::default();
    for millis in [0, 400, 800] {
        window.record(at(millis));
    }
    assert_eq!(window.recent(at(900)), 3);
    assert_eq!(window.recent(at(1_100)), 2);
    assert_eq!(window.recent(at(3_000)), 0);
}

#[test]
fn a_latency_model_learns_offset_and_slope() {
    let mut model = LatencyModel::new(30.0, 0.008);
    for tokens in [100_u64, 1_000, 10_000, 50_000].iter().cycle().take(200) {
        model.observe(*tokens, 18.0 + 0.0044 * *tokens as f64);
    }
    assert!(
        (model.estimate(0.0) - 18.0).abs() < 2.0,
        "{}",
        model.estimate(0.0)
    );
    assert!((model.slope() - 0.0044).abs() < 0.0005, "{}", model.slope());
}

#[test]
fn one_outlier_does_not_exclude_an_endpoint() {
    let mut model = LatencyModel::new(30.0, 0.008);
    model.observe(1_000, 60_000.0);
    assert!(
        model.estimate(1_000.0) < 100.0,
        "{}",
        model.estimate(1_000.0)
    );
}

#[test]
fn a_split_route_follows_its_weights() {
    let mut scheduler = scheduler(1, &[]);
    let split = [("x", 90), ("y", 10)].map(|(service, weight)| WeightedService {
        service: service.into(),
        weight,
    });
    let picked = (0..2_000).filter_map(|_| scheduler.pick_service(&split));
    let second = picked.filter(|service| &**service == "y").count();
    assert!((120..280).contains(&second), "{second} of 2,000");
}

/// Guards against admitting work on a host that has become five times slower, where every timer is
/// late.
#[test]
fn a_lagging_process_admits_only_urgent_requests_and_recovers() {
    let mut lag = ProcessLag::default();
    lag.record(Duration::from_millis(150));
    assert!(!lag.sheds(2), "one late timer must not shed requests");
    for _ in 0..20 {
        lag.record(Duration::from_millis(450));
    }
    assert!(lag.sheds(2) && lag.sheds(1) && !lag.sheds(0));
    for _ in 0..30 {
        lag.record(Duration::ZERO);
    }
    assert!(!lag.sheds(2), "{:?}", lag.lag());
}
