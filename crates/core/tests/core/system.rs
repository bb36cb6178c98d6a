//! Invariants of entries and agents that are joined by a faulty network.

use comfreyhaven_core::fleet::DataCentreState;
use comfreyhaven_core::refusal::Execution;
use comfreyhaven_core::{Cost, RequestId};
use proptest::prelude::*;

use crate::network::{AGENTS, Disruption, ENTRIES, Faults, Network};
use crate::support::{WARM, config};

#[derive(Debug, Clone)]
struct Call {
    millis: u64,
    tier: u8,
    team: usize,
    cost: Cost,
    leaves: Option<u64>,
}

#[derive(Debug, Clone)]
struct Scenario {
    seed: u64,
    faults: Faults,
    calls: Vec<Call>,
    /// Disruptions with their times. The recorded regression case names this field.
    upsets: Vec<(u64, Disruption)>,
}

fn call() -> impl Strategy<Value = Call> {
    let cost = (1_u32..300, 1_u32..300).prop_map(|(prompt, output)| Cost { prompt, output });
    let leaves = prop::option::weighted(0.1, 1_u64..2_000);
    (1_000_u64..5_000, 0_u8..3, 0_usize..4, cost, leaves).prop_map(
        |(millis, tier, team, cost, leaves)| Call {
            millis,
            tier,
            team,
            cost,
            leaves,
        },
    )
}

fn disruption() -> impl Strategy<Value = (u64, Disruption)> {
    let kind = prop_oneof![
        (0..ENTRIES, 100_u64..4_000)
            .prop_map(|(index, millis)| Disruption::PauseEntry(index, millis)),
        (0..AGENTS, 100_u64..4_000)
            .prop_map(|(index, millis)| Disruption::PauseAgent(index, millis)),
        (0..ENTRIES).prop_map(Disruption::RestartEntry),
        (0..AGENTS).prop_map(Disruption::RestartAgent),
        (0..AGENTS).prop_map(Disruption::RestartEngine),
        Just(Disruption::Centre(DataCentreState::Out)),
        Just(Disruption::Centre(DataCentreState::In)),
        (0..AGENTS).prop_map(Disruption::LeaveAgent),
    ];
    (500_u64..6_000, kind)
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let faults = (0_u32..150, 0_u32..200, 0_u32..300, 1_u64..300).prop_map(
        |(loss, repeat, engine, delay)| Faults {
            loss,
            repeat,
            engine,
            delay,
        },
    );
    let calls = prop::collection::vec(call(), 1..250);
    let upsets = prop::collection::vec(disruption(), 0..8);
    (any::<u32>(), faults, calls, upsets).prop_map(|(seed, faults, calls, upsets)| Scenario {
        seed: u64::from(seed),
        faults,
        calls,
        upsets,
    })
}

fn simulate(scenario: &Scenario) -> Network {
    let mut network = Network::new(scenario.seed, scenario.faults);
    for (request, call) in (0..).zip(&scenario.calls) {
        network.request(call.millis, request, call.tier, call.team, call.cost);
        if let Some(after) = call.leaves {
            network.disconnect_caller(call.millis + after, request);
        }
    }
    for (millis, disruption) in &scenario.upsets {
        network.disrupt(*millis, *disruption);
    }
    network.run();
    network
}

proptest! {
    #![proptest_config(config(128, "tests/proptest-regressions/system.txt"))]

    /// A request runs at most once in the whole system, a request that is reported as not run has
    /// not run, and each request ends exactly once, or at most once if its entry restarts.
    #[test]
    fn invariants_hold_under_faults(scenario in scenario()) {
        let network = simulate(&scenario);
        for (request, truth) in &network.truth {
            prop_assert!(truth.runs <= 1, "{request} ran {} times", truth.runs);
            let not_run = truth.refusal.is_some_and(|r| r.execution() == Execution::NotRun);
            prop_assert!(!not_run || truth.runs == 0, "{request} ran but was reported as not run");
            prop_assert!(!truth.complete || truth.runs == 1, "{request} complete without a run");
            let ended = truth.ends == 1 || (truth.orphaned && truth.ends == 0);
            prop_assert!(ended, "{request} ended {} times", truth.ends);
        }
        prop_assert!(network.peak <= WARM as usize, "an engine ran {} at once", network.peak);
    }

    #[test]
    fn the_same_scenario_gives_the_same_trace(scenario in scenario()) {
        prop_assert_eq!(simulate(&scenario).trace, simulate(&scenario).trace);
    }
}

/// Without faults and below the capacity of the engines, every request gets a complete answer.
#[test]
fn every_answer_is_complete_without_faults() {
    let faults = Faults {
        loss: 0,
        repeat: 0,
        engine: 0,
        delay: 2,
    };
    let mut network = Network::new(1, faults);
    for request in 0..60 {
        let cost = Cost {
            prompt: 10,
            output: 10,
        };
        network.request(
            1_000 + 100 * request as u64,
            request,
            0,
            request as usize % 4,
            cost,
        );
    }
    network.run();
    assert!((0..60).all(|request| network.truth[&RequestId::new(request)].complete));
}
