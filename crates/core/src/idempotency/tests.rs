use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;

use super::{CallKey, KeyMemory, KeyUse, owner};
use crate::agent::RunEnd;
use crate::fleet::{
    DataCentre, DataCentreState, Endpoint, EndpointKind, Fleet, Route, RouteAccess, Service,
};
use crate::id::RequestId;
use crate::name::{DataCentreName, EndpointName, RouteName};
use crate::refusal::NotRunReason;
use crate::request::Tier;
use crate::time::Timestamp;

const WINDOW: Duration = Duration::from_secs(120);
const LONGEST_WAIT: Duration = Duration::from_secs(30);
const SIZE: usize = 3;

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}

fn endpoint(index: usize) -> EndpointName {
    name(&format!("orders-{index}"))
}

fn orders() -> RouteName {
    name("orders")
}

fn key(number: u8) -> CallKey {
    CallKey::new("kakheti", &orders(), &[number])
}

/// Builds a fleet of one service in each data centre, with the data centres in `out` out of
/// service.
fn fleet(out: &BTreeSet<usize>) -> Fleet {
    let mut fleet = Fleet::default();
    for index in 0..SIZE {
        let centre: DataCentreName = name(&format!("tb{index}"));
        let state = if out.contains(&index) {
            DataCentreState::Out
        } else {
            DataCentreState::In
        };
        let declared = DataCentre {
            name: centre.clone(),
            region: "east".into(),
            state,
        };
        fleet.centres.insert(centre.clone(), declared);
        let declared = Endpoint {
            name: endpoint(index),
            centre,
            kind: EndpointKind::Service,
            serves: BTreeSet::from([name("orders")]),
            control: ([127, 0, 0, 1], 1).into(),
            traffic: ([127, 0, 0, 1], 2).into(),
            cold: 1,
            warm: 1,
            tokens: 0,
        };
        fleet.endpoints.insert(endpoint(index), declared);
    }
    let route = Route {
        name: orders(),
        path: "/orders/".into(),
        service: Service::Plain {
            service: name("orders"),
            idempotent: false,
            window: WINDOW,
        },
        tier: Tier(0),
        access: RouteAccess::Open,
        deadline: Duration::from_secs(30),
        output: 1,
    };
    fleet.routes.insert(orders(), route);
    fleet
}

fn owner_of(fleet: &Fleet, number: u8) -> Option<usize> {
    let owner = owner(fleet, &orders(), key(number))?;
    (0..SIZE).find(|index| endpoint(*index) == *owner)
}

const COMPLETE: RunEnd = RunEnd::Whole {
    output: 1,
    prefill: 0,
};

#[test]
fn a_key_runs_once_and_a_rejected_run_frees_it() {
    let fleet = fleet(&BTreeSet::new());
    let own = endpoint(owner_of(&fleet, 0).unwrap());
    let mut memory = KeyMemory::default();
    memory.configure(&fleet, Timestamp::ZERO);
    let now = Timestamp::ZERO + WINDOW * 2;
    let check = |memory: &KeyMemory| memory.check(&own, &fleet, &orders(), key(0), now);
    let request = RequestId::new(1);
    assert_eq!(check(&memory), Ok(()));
    memory.record_start(key(0), request, now);
    assert_eq!(check(&memory), Err(KeyUse::Running));
    memory.record_end(
        key(0),
        request,
        RunEnd::NotRun(NotRunReason::EndpointDown),
        now,
    );
    assert_eq!(check(&memory), Ok(()));
    memory.record_start(key(0), request, now);
    memory.record_end(key(0), request, RunEnd::Broken, now);
    assert_eq!(check(&memory), Err(KeyUse::Unknown));
    memory.record_start(key(0), request, now);
    memory.record_end(key(0), request, COMPLETE, now);
    assert_eq!(check(&memory), Err(KeyUse::Complete));
}

#[test]
fn an_owner_that_has_just_started_rejects_unknown_keys() {
    let fleet = fleet(&BTreeSet::new());
    let own = endpoint(owner_of(&fleet, 0).unwrap());
    let mut memory = KeyMemory::default();
    let start = Timestamp::from_millis(5_000);
    memory.configure(&fleet, start);
    let check = |now| memory.check(&own, &fleet, &orders(), key(0), now);
    assert_eq!(check(start + WINDOW.mul_f64(1.99)), Err(KeyUse::Unknown));
    assert_eq!(check(start + WINDOW * 2), Ok(()));
}

#[derive(Debug, Clone)]
enum Step {
    Send(u8, usize),
    Restart(usize),
    Centre(usize),
    Entry(usize),
    Agent(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4_u8, 0..2_usize).prop_map(|(key, entry)| Step::Send(key, entry)),
        1 => (0..SIZE).prop_map(Step::Restart),
        1 => (0..SIZE).prop_map(Step::Centre),
        2 => (0..2_usize).prop_map(Step::Entry),
        2 => (0..SIZE).prop_map(Step::Agent),
        2 => (1..LONGEST_WAIT.as_millis() as u64).prop_map(Step::Wait),
    ]
}

/// A process's view of the published configuration, which lags by less than the window.
struct View {
    fleet: Fleet,
    version: u64,
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Callers resend each key within the window while processes restart, data centres go out of
    /// service and come back, and processes learn of these changes up to one window late.
    #[test]
    fn a_key_runs_at_most_once_within_the_window(
        steps in proptest::collection::vec(step(), 0..60),
    ) {
        let mut now = Timestamp::ZERO + WINDOW * 2;
        let mut out = BTreeSet::new();
        let (mut changed, mut version) = (Timestamp::ZERO, 0);
        let view = || View { fleet: fleet(&BTreeSet::new()), version: 0 };
        let mut entries: Vec<View> = (0..2).map(|_| view()).collect();
        let mut agents: Vec<View> = (0..SIZE).map(|_| view()).collect();
        let mut memories: Vec<KeyMemory> = (0..SIZE).map(|_| KeyMemory::default()).collect();
        for (memory, agent) in memories.iter_mut().zip(&agents) {
            memory.configure(&agent.fleet, Timestamp::ZERO);
        }
        let mut runs = std::collections::HashMap::<u8, Timestamp>::new();
        for (number, step) in steps.into_iter().enumerate() {
            let lagging = |view: &View| view.version < version;
            match step {
                Step::Send(number_of_key, entry) => {
                    let Some(owner) = owner_of(&entries[entry].fleet, number_of_key) else { continue };
                    let (own, fleet) = (endpoint(owner), &agents[owner].fleet);
                    let key = key(number_of_key);
                    if memories[owner].check(&own, fleet, &orders(), key, now).is_err() {
                        continue;
                    }
                    if let Some(before) = runs.get(&number_of_key) {
                        prop_assert!(now.since(*before) >= WINDOW, "a key ran twice");
                    }
                    runs.insert(number_of_key, now);
                    let request = RequestId::new(number as u128);
                    memories[owner].record_start(key, request, now);
                    memories[owner].record_end(key, request, COMPLETE, now);
                }
                Step::Restart(agent) => {
                    memories[agent] = KeyMemory::default();
                    memories[agent].configure(&agents[agent].fleet, now);
                }
                Step::Centre(index) => {
                    // The next change comes only after all processes have the previous one.
                    if entries.iter().chain(&agents).any(lagging) {
                        continue;
                    }
                    if !out.remove(&index) {
                        out.insert(index);
                    }
                    (changed, version) = (now, version + 1);
                }
                Step::Entry(index) => entries[index] = View { fleet: fleet(&out), version },
                Step::Agent(index) => {
                    agents[index] = View { fleet: fleet(&out), version };
                    memories[index].configure(&agents[index].fleet, now);
                }
                Step::Wait(millis) => {
                    now = now + Duration::from_millis(millis);
                    if now.since(changed) + LONGEST_WAIT >= WINDOW {
                        for entry in entries.iter_mut().filter(|view| view.version < version) {
                            *entry = View { fleet: fleet(&out), version };
                        }
                        for (agent, memory) in agents.iter_mut().zip(&mut memories) {
                            if agent.version < version {
                                *agent = View { fleet: fleet(&out), version };
                                memory.configure(&agent.fleet, now);
                            }
                        }
                    }
                }
            }
        }
    }
}
