mod world;

use std::time::Duration;

use proptest::prelude::*;

use super::{Action, Event, Index, Outcome, Spread, Version, Versions};
use crate::id::Generation;
use crate::time::Timestamp;
use world::{View, address, started};

const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);
const SERVICE_RATE_LIMIT: usize = 2_000;

/// Processes of the target's fleet: entries and agents.
const TARGET_PROCESSES: usize = 330 + 610;

#[test]
fn a_change_is_in_force_everywhere_in_time_within_the_rate_of_the_service() {
    let mut world = started(TARGET_PROCESSES, 1);
    world.run(Duration::from_secs(120));
    let start = world.now;
    for name in ["fleet", "routes", "teams-0"] {
        world.publish(name, 2, "second");
    }
    assert!(world.settle(IN_FORCE_LIMIT).is_some());
    world.run(Duration::from_secs(120));
    assert!(world.peak_calls(start) < SERVICE_RATE_LIMIT);
}

#[test]
fn a_change_that_one_process_saw_is_in_force_everywhere_in_time() {
    for view in [View::Down, View::Stale] {
        let mut world = started(TARGET_PROCESSES, 2);
        world.stale = world.live.clone();
        for node in 1..TARGET_PROCESSES {
            world.set_view(node, view);
        }
        world.run(Duration::from_secs(60));
        let watcher = (0..TARGET_PROCESSES)
            .find(|node| world.nodes[*node].spread.is_watcher())
            .expect("some processes watch");
        world.set_view(watcher, View::Up);
        world.run(Duration::from_secs(20));
        let start = world.now;
        world.publish("teams-0", 2, "second");
        assert!(world.settle(IN_FORCE_LIMIT).is_some(), "{view:?}");
        assert!(world.peak_calls(start) < SERVICE_RATE_LIMIT);
    }
}

#[test]
fn a_restart_behind_a_stale_service_does_not_go_back() {
    for seed in 0..50 {
        let mut world = started(8, seed);
        world.stale = world.live.clone();
        world.publish("teams-0", 2, "second");
        assert!(world.settle(Duration::from_secs(10)).is_some());
        world.set_view(3, View::Stale);
        world.restart(3);
        while !world.nodes[3].confirmed {
            world.run(Duration::from_millis(1));
        }
        let newest = Version::new(Generation(2), "second");
        assert_eq!(world.nodes[3].store["teams-0"], newest);
    }
}

/// Processes of one of the target's three regions.
const REGION_PROCESSES: usize = TARGET_PROCESSES / 3;

#[test]
fn the_start_of_a_whole_region_stays_within_the_rate_of_the_service() {
    let mut world = started(TARGET_PROCESSES, 4);
    for shard in 1..16 {
        world.publish(&format!("teams-{shard:x}"), 1, "first");
    }
    assert!(world.settle(IN_FORCE_LIMIT).is_some());
    world.run(Duration::from_secs(10));
    let start = world.now;
    for node in 0..REGION_PROCESSES {
        world.restart(node);
    }
    assert!(world.settle(Duration::from_secs(10)).is_some());
    world.run(Duration::from_secs(30));
    assert!(world.peak_calls(start) < SERVICE_RATE_LIMIT);
}

#[test]
fn the_start_of_the_whole_fleet_stays_within_the_rate_of_the_service() {
    let mut world = started(TARGET_PROCESSES, 10);
    for shard in 1..16 {
        world.publish(&format!("teams-{shard:x}"), 1, "first");
    }
    assert!(world.settle(IN_FORCE_LIMIT).is_some());
    world.run(Duration::from_secs(30));
    let start = world.now;
    for node in 0..TARGET_PROCESSES {
        world.restart(node);
    }
    assert!(world.settle(Duration::from_secs(60)).is_some());
    world.run(Duration::from_secs(30));
    assert!(world.peak_calls(start) < SERVICE_RATE_LIMIT);
}

#[test]
fn a_paused_process_is_confirmed_by_a_peer_with_what_it_missed() {
    let mut world = started(6, 5);
    for node in 0..6 {
        world.set_view(node, if node == 0 { View::Up } else { View::Down });
    }
    world.nodes[2].group = 1;
    world.publish("teams-0", 2, "second");
    world.run(Duration::from_secs(10));
    assert_ne!(world.nodes[2].store, world.live.versions);
    world.nodes[2].group = 0;
    world.nodes[2].confirmed = false;
    world.act(2, Event::Paused);
    while !world.nodes[2].confirmed {
        world.run(Duration::from_millis(1));
    }
    assert_eq!(world.nodes[2].store, world.live.versions);
}

#[test]
fn a_paused_process_that_nobody_answers_goes_on() {
    let mut world = started(4, 6);
    world.nodes[1].group = 1;
    world.set_view(1, View::Down);
    world.nodes[1].confirmed = false;
    world.act(1, Event::Paused);
    world.run(Duration::from_secs(5));
    assert!(world.nodes[1].confirmed);
}

#[test]
fn an_answer_from_before_the_pause_confirms_nothing() {
    let mut spread = Spread::new(address(0), Vec::new(), 8);
    let now = Timestamp::ZERO;
    let peer = address(1);
    let answered = Event::Answered {
        peer,
        versions: Versions::new(),
    };
    let exchange = Action::Exchange(peer);
    let declared = Event::Declared(vec![address(0), peer]);
    assert!(spread.handle(declared, now).contains(&exchange));
    spread.handle(answered.clone(), now);
    assert!(spread.is_confirmed());
    let now = Timestamp::from_millis(60_000);
    assert!(spread.handle(Event::Tick, now).contains(&exchange));
    spread.handle(Event::Paused, now);
    assert!(spread.handle(answered.clone(), now).contains(&exchange));
    assert!(!spread.is_confirmed());
    spread.handle(answered, now);
    assert!(spread.is_confirmed());
}

#[test]
fn an_index_confirms_nothing_before_its_values_are_read() {
    let mut spread = Spread::new(address(0), Vec::new(), 9);
    let now = Timestamp::ZERO;
    spread.handle(Event::Declared(vec![address(0)]), now);
    assert!(spread.is_confirmed());
    spread.handle(Event::Tick, now);
    spread.handle(Event::Indexed(Index::default()), now);
    spread.handle(Event::Paused, now);
    let now = Timestamp::from_millis(300);
    let watch = Action::Watch { known: 0 };
    assert!(spread.handle(Event::Tick, now).contains(&watch));
    let values = [("teams-0".to_owned(), 7)].into();
    let index = Index {
        revision: 7,
        values,
    };
    spread.handle(Event::Indexed(index), now);
    assert!(!spread.is_confirmed());
    let version = Version::new(Generation(2), "second");
    let read = Event::Read {
        name: "teams-0".to_owned(),
        outcome: Outcome::Known(version),
    };
    spread.handle(read, now);
    assert!(spread.is_confirmed());
}

#[test]
fn a_faulty_document_is_not_fetched_again() {
    let mut spread = Spread::new(address(0), Vec::new(), 7);
    let now = Timestamp::ZERO;
    spread.handle(Event::Declared(vec![address(0), address(1)]), now);
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
    assert!(spread.handle(called.clone(), now).contains(&fetch));
    let event = Event::Fetched {
        name: "routes".to_owned(),
        outcome: Outcome::Faulty(faulty),
    };
    spread.handle(event, now);
    assert!(!spread.handle(called, now).contains(&fetch));
}

#[derive(Debug, Clone)]
enum Step {
    Publish(usize, u64),
    View(usize, usize),
    Group(usize, u8),
    Restart(usize),
    Pause(usize),
    Run(u64),
}

const SIZE: usize = 7;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_usize, 0..2_u64).prop_map(|(name, text)| Step::Publish(name, text)),
        (0..SIZE, 0..3_usize).prop_map(|(node, view)| Step::View(node, view)),
        (0..SIZE, 0..3_u8).prop_map(|(node, group)| Step::Group(node, group)),
        (0..SIZE).prop_map(Step::Restart),
        (0..SIZE).prop_map(Step::Pause),
        (1..4_000_u64).prop_map(Step::Run),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn every_process_only_goes_forward_and_all_meet(
        seed: u64, loss in 0.0..0.5, steps in proptest::collection::vec(step(), 0..40),
    ) {
        let names = ["fleet", "routes", "teams-0"];
        let mut world = started(SIZE, seed);
        world.loss = loss;
        let mut generations = [1, 1, 1];
        for step in steps {
            let before: Vec<_> =
                world.nodes.iter().map(|node| (node.boot, node.store.clone())).collect();
            match step {
                Step::Publish(name, text) => {
                    generations[name] += 1;
                    world.publish(names[name], generations[name], ["a", "b"][text as usize]);
                }
                Step::View(node, view) => {
                    let view = [View::Up, View::Stale, View::Down][view];
                    world.stale = world.live.clone();
                    world.set_view(node, view);
                }
                Step::Group(node, group) => world.nodes[node].group = group,
                Step::Restart(node) => world.restart(node),
                Step::Pause(node) => world.act(node, Event::Paused),
                Step::Run(millis) => world.run(Duration::from_millis(millis)),
            }
            for (node, (boot, store)) in world.nodes.iter().zip(before) {
                let forward = store.iter().all(|(name, old)| node.store.get(name) >= Some(old));
                prop_assert!(node.boot != boot || forward);
            }
        }
        for node in 0..SIZE {
            world.nodes[node].group = 0;
            world.set_view(node, if node == 0 { View::Up } else { View::Down });
        }
        prop_assert!(world.settle(Duration::from_secs(120)).is_some());
        world.run(Duration::from_secs(5));
        prop_assert!(world.nodes.iter().all(|node| node.confirmed));
    }

    #[test]
    fn two_texts_of_one_generation_end_in_one_everywhere(seed: u64, half in 1..SIZE) {
        let mut world = started(SIZE, seed);
        for node in 0..SIZE {
            world.set_view(node, View::Down);
        }
        world.run(Duration::from_secs(10));
        let texts = ["one operator's text", "another operator's text"];
        for (text, nodes) in texts.iter().zip([0..half, half..SIZE]) {
            world.publish("teams-0", 2, text);
            let version = world.live.versions["teams-0"];
            for node in nodes {
                let name = "teams-0".to_owned();
                world.act(node, Event::Read { name, outcome: Outcome::Known(version) });
            }
        }
        let newest = texts.map(|text| Version::new(Generation(2), text)).into_iter().max();
        world.run(Duration::from_secs(10));
        for node in &world.nodes {
            prop_assert_eq!(node.store.get("teams-0").copied(), newest);
        }
    }
}
