mod world;

use std::time::Duration;

use proptest::prelude::*;

use super::{Action, ConfigSync, Event, Index, Outcome, Version, Versions};
use crate::id::Generation;
use crate::time::Timestamp;
use world::{View, address, started_world};

const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);
const SERVICE_RATE_LIMIT: usize = 2_000;

/// Processes of the fleet in the performance target: entries and agents.
const TARGET_PROCESSES: usize = 330 + 610;

#[test]
fn changes_reach_all_processes_in_time_within_the_service_rate_limit() {
    let mut world = started_world(TARGET_PROCESSES, 1);
    world.run(Duration::from_secs(120));
    let start = world.now;
    for name in ["fleet", "routes", "teams-0"] {
        world.publish(name, 2, "second");
    }
    assert!(world.run_until_settled(IN_FORCE_LIMIT).is_some());
    world.run(Duration::from_secs(120));
    assert!(world.peak_calls(start) < SERVICE_RATE_LIMIT);
}

#[test]
fn a_change_seen_by_one_process_reaches_all_in_time() {
    for view in [View::Down, View::Stale] {
        let mut world = started_world(TARGET_PROCESSES, 2);
        world.stale = world.live.clone();
        for process in 1..TARGET_PROCESSES {
            world.set_view(process, view);
        }
        world.run(Duration::from_secs(60));
        let watcher = (0..TARGET_PROCESSES)
            .find(|process| world.processes[*process].sync.is_watcher())
            .expect("some processes watch");
        world.set_view(watcher, View::Up);
        world.run(Duration::from_secs(20));
        let start = world.now;
        world.publish("teams-0", 2, "second");
        assert!(
            world.run_until_settled(IN_FORCE_LIMIT).is_some(),
            "{view:?}"
        );
        assert!(world.peak_calls(start) < SERVICE_RATE_LIMIT);
    }
}

#[test]
fn a_restart_with_a_stale_service_does_not_revert_the_configuration() {
    for seed in 0..50 {
        let mut world = started_world(8, seed);
        world.stale = world.live.clone();
        world.publish("teams-0", 2, "second");
        assert!(world.run_until_settled(Duration::from_secs(10)).is_some());
        world.set_view(3, View::Stale);
        world.restart(3);
        while !world.processes[3].confirmed {
            world.run(Duration::from_millis(1));
        }
        let newest = Version::new(Generation(2), "second");
        assert_eq!(world.processes[3].store["teams-0"], newest);
    }
}

/// Processes of one of the three regions in the performance target.
const REGION_PROCESSES: usize = TARGET_PROCESSES / 3;

#[test]
fn a_region_start_stays_within_the_service_rate_limit() {
    let mut world = started_world(TARGET_PROCESSES, 4);
    for shard in 1..16 {
        world.publish(&format!("teams-{shard:x}"), 1, "first");
    }
    assert!(world.run_until_settled(IN_FORCE_LIMIT).is_some());
    world.run(Duration::from_secs(10));
    let start = world.now;
    for process in 0..REGION_PROCESSES {
        world.restart(process);
    }
    assert!(world.run_until_settled(Duration::from_secs(10)).is_some());
    world.run(Duration::from_secs(30));
    assert!(world.peak_calls(start) < SERVICE_RATE_LIMIT);
}

#[test]
fn a_fleet_start_stays_within_the_service_rate_limit() {
    let mut world = started_world(TARGET_PROCESSES, 10);
    for shard in 1..16 {
        world.publish(&format!("teams-{shard:x}"), 1, "first");
    }
    assert!(world.run_until_settled(IN_FORCE_LIMIT).is_some());
    world.run(Duration::from_secs(30));
    let start = world.now;
    for process in 0..TARGET_PROCESSES {
        world.restart(process);
    }
    assert!(world.run_until_settled(Duration::from_secs(60)).is_some());
    world.run(Duration::from_secs(30));
    assert!(world.peak_calls(start) < SERVICE_RATE_LIMIT);
}

#[test]
fn a_suspended_process_catches_up_from_a_peer_before_confirmation() {
    let mut world = started_world(6, 5);
    for process in 0..6 {
        world.set_view(process, if process == 0 { View::Up } else { View::Down });
    }
    world.processes[2].partition = 1;
    world.publish("teams-0", 2, "second");
    world.run(Duration::from_secs(10));
    assert_ne!(world.processes[2].store, world.live.versions);
    world.processes[2].partition = 0;
    world.processes[2].confirmed = false;
    world.handle_event(2, Event::Suspended);
    while !world.processes[2].confirmed {
        world.run(Duration::from_millis(1));
    }
    assert_eq!(world.processes[2].store, world.live.versions);
}

#[test]
fn a_suspended_process_without_answers_is_confirmed_after_a_timeout() {
    let mut world = started_world(4, 6);
    world.processes[1].partition = 1;
    world.set_view(1, View::Down);
    world.processes[1].confirmed = false;
    world.handle_event(1, Event::Suspended);
    world.run(Duration::from_secs(5));
    assert!(world.processes[1].confirmed);
}

#[test]
fn an_answer_requested_before_the_suspension_does_not_confirm() {
    let mut sync = ConfigSync::new(address(0), Vec::new(), 8);
    let now = Timestamp::ZERO;
    let peer = address(1);
    let answered = Event::Answered {
        peer,
        versions: Versions::new(),
    };
    let exchange = Action::Exchange(peer);
    let declared = Event::Declared(vec![address(0), peer]);
    assert!(sync.handle(declared, now).contains(&exchange));
    sync.handle(answered.clone(), now);
    assert!(sync.is_confirmed());
    let now = Timestamp::from_millis(60_000);
    assert!(sync.handle(Event::Tick, now).contains(&exchange));
    sync.handle(Event::Suspended, now);
    assert!(sync.handle(answered.clone(), now).contains(&exchange));
    assert!(!sync.is_confirmed());
    sync.handle(answered, now);
    assert!(sync.is_confirmed());
}

#[test]
fn an_index_does_not_confirm_before_its_values_are_read() {
    let mut sync = ConfigSync::new(address(0), Vec::new(), 9);
    let now = Timestamp::ZERO;
    sync.handle(Event::Declared(vec![address(0)]), now);
    assert!(sync.is_confirmed());
    sync.handle(Event::Tick, now);
    sync.handle(Event::Indexed(Index::default()), now);
    sync.handle(Event::Suspended, now);
    let now = Timestamp::from_millis(300);
    let watch = Action::Watch { known: 0 };
    assert!(sync.handle(Event::Tick, now).contains(&watch));
    let values = [("teams-0".to_owned(), 7)].into();
    let index = Index {
        revision: 7,
        values,
    };
    sync.handle(Event::Indexed(index), now);
    assert!(!sync.is_confirmed());
    let version = Version::new(Generation(2), "second");
    let read = Event::Read {
        name: "teams-0".to_owned(),
        outcome: Outcome::Known(version),
    };
    sync.handle(read, now);
    assert!(sync.is_confirmed());
}

#[test]
fn a_rejected_document_is_not_fetched_again() {
    let mut sync = ConfigSync::new(address(0), Vec::new(), 7);
    let now = Timestamp::ZERO;
    sync.handle(Event::Declared(vec![address(0), address(1)]), now);
    let faulty = Version::new(Generation(9), "faulty");
    let versions = Versions::from([("routes".to_owned(), faulty)]);
    let called = Event::Called {
        peer: address(1),
        versions,
    };
    let fetch = Action::Fetch {
        peer: address(1),
        name: "routes".to_owned(),
    };
    assert!(sync.handle(called.clone(), now).contains(&fetch));
    let event = Event::Fetched {
        name: "routes".to_owned(),
        outcome: Outcome::Rejected(faulty),
    };
    sync.handle(event, now);
    assert!(!sync.handle(called, now).contains(&fetch));
}

#[derive(Debug, Clone)]
enum Step {
    Publish(usize, u64),
    View(usize, usize),
    Partition(usize, u8),
    Restart(usize),
    Suspend(usize),
    Run(u64),
}

const SIZE: usize = 7;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_usize, 0..2_u64).prop_map(|(name, text)| Step::Publish(name, text)),
        (0..SIZE, 0..3_usize).prop_map(|(process, view)| Step::View(process, view)),
        (0..SIZE, 0..3_u8).prop_map(|(process, partition)| Step::Partition(process, partition)),
        (0..SIZE).prop_map(Step::Restart),
        (0..SIZE).prop_map(Step::Suspend),
        (1..4_000_u64).prop_map(Step::Run),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn versions_never_go_back_and_all_processes_converge(
        seed: u64, loss in 0.0..0.5, steps in proptest::collection::vec(step(), 0..40),
    ) {
        let names = ["fleet", "routes", "teams-0"];
        let mut world = started_world(SIZE, seed);
        world.loss = loss;
        let mut generations = [1, 1, 1];
        for step in steps {
            let before: Vec<_> =
                world.processes.iter().map(|p| (p.boot, p.store.clone())).collect();
            match step {
                Step::Publish(name, text) => {
                    generations[name] += 1;
                    world.publish(names[name], generations[name], ["a", "b"][text as usize]);
                }
                Step::View(process, view) => {
                    let view = [View::Up, View::Stale, View::Down][view];
                    world.stale = world.live.clone();
                    world.set_view(process, view);
                }
                Step::Partition(process, group) => world.processes[process].partition = group,
                Step::Restart(process) => world.restart(process),
                Step::Suspend(process) => world.handle_event(process, Event::Suspended),
                Step::Run(millis) => world.run(Duration::from_millis(millis)),
            }
            for (process, (boot, store)) in world.processes.iter().zip(before) {
                let forward = store.iter().all(|(name, old)| process.store.get(name) >= Some(old));
                prop_assert!(process.boot != boot || forward);
            }
        }
        for process in 0..SIZE {
            world.processes[process].partition = 0;
            world.set_view(process, if process == 0 { View::Up } else { View::Down });
        }
        prop_assert!(world.run_until_settled(Duration::from_secs(120)).is_some());
        world.run(Duration::from_secs(5));
        prop_assert!(world.processes.iter().all(|process| process.confirmed));
    }

    #[test]
    fn conflicting_texts_of_one_generation_converge_to_one(seed: u64, half in 1..SIZE) {
        let mut world = started_world(SIZE, seed);
        for process in 0..SIZE {
            world.set_view(process, View::Down);
        }
        world.run(Duration::from_secs(10));
        let texts = ["one operator's text", "another operator's text"];
        for (text, processes) in texts.iter().zip([0..half, half..SIZE]) {
            world.publish("teams-0", 2, text);
            let version = world.live.versions["teams-0"];
            for process in processes {
                let name = "teams-0".to_owned();
                world.handle_event(process, Event::Read { name, outcome: Outcome::Known(version) });
            }
        }
        let newest = texts.map(|text| Version::new(Generation(2), text)).into_iter().max();
        world.run(Duration::from_secs(10));
        for process in &world.processes {
            prop_assert_eq!(process.store.get("teams-0").copied(), newest);
        }
    }
}
