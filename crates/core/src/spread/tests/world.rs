//! Many processes, a network and a configuration service on one virtual clock.

use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::id::Generation;
use crate::spread::{Action, Event, Index, Outcome, Spread, Version, Versions};
use crate::time::Timestamp;

/// What one process sees of the configuration service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum View {
    Up,
    Stale,
    Down,
}

#[derive(Debug)]
enum Happening {
    Deliver(usize, u32, Event),
    Call(usize, usize, u32),
    Fetch(usize, usize, u32, String),
    Wake(usize),
}

pub(super) struct Node {
    pub(super) spread: Spread,
    pub(super) boot: u32,
    pub(super) store: Versions,
    pub(super) confirmed: bool,
    view: View,
    pub(super) group: u8,
    /// The revision that an open watch waits to see replaced.
    watch: Option<u64>,
    wake: Timestamp,
}

#[derive(Default, Clone)]
pub(super) struct Service {
    index: Index,
    pub(super) versions: Versions,
}

/// Many processes, a network and a configuration service on one virtual clock.
pub(super) struct World {
    pub(super) now: Timestamp,
    pub(super) nodes: Vec<Node>,
    queue: BinaryHeap<std::cmp::Reverse<(Timestamp, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    pub(super) live: Service,
    pub(super) stale: Service,
    pub(super) loss: f64,
    calls: Vec<Timestamp>,
    random: ChaCha8Rng,
}

pub(super) fn address(node: usize) -> SocketAddr {
    let node = u16::try_from(node).unwrap();
    ([127, 1, (node >> 8) as u8, (node & 255) as u8], 7_000).into()
}

pub(super) fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        unreachable!("every address is of version 4")
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

impl World {
    pub(super) fn new(size: usize, seed: u64) -> Self {
        let mut world = Self {
            now: Timestamp::ZERO,
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            live: Service::default(),
            stale: Service::default(),
            loss: 0.0,
            calls: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for node in 0..size {
            let fresh = world.fresh(node, 0);
            world.nodes.push(fresh);
            world.act(node, Event::Tick);
        }
        world
    }

    pub(super) fn fresh(&mut self, node: usize, boot: u32) -> Node {
        Node {
            spread: Spread::new(address(node), Vec::new(), self.random.random())
                .with_first("fleet"),
            boot,
            store: Versions::new(),
            confirmed: false,
            view: View::Up,
            group: 0,
            watch: None,
            wake: Timestamp::NEVER,
        }
    }

    pub(super) fn restart(&mut self, node: usize) {
        let (boot, view, group) = {
            let old = &self.nodes[node];
            (old.boot + 1, old.view, old.group)
        };
        let fresh = self.fresh(node, boot);
        self.nodes[node] = Node {
            view,
            group,
            ..fresh
        };
        self.act(node, Event::Tick);
    }

    pub(super) fn publish(&mut self, name: &str, generation: u64, text: &str) {
        self.live.index.revision += 1;
        let revision = self.live.index.revision;
        self.live.index.values.insert(name.to_owned(), revision);
        let version = Version::new(Generation(generation), text);
        self.live.versions.insert(name.to_owned(), version);
        self.answer_watches();
    }

    pub(super) fn set_view(&mut self, node: usize, view: View) {
        self.nodes[node].view = view;
        self.answer_watches();
    }

    fn later(&mut self, happening: Happening) {
        let delay = Duration::from_micros(self.random.random_range(200..5_000));
        self.at(self.now + delay, happening);
    }

    fn at(&mut self, time: Timestamp, happening: Happening) {
        let key = self
            .happenings
            .last_key_value()
            .map_or(0, |(key, _)| key + 1);
        self.queue.push(std::cmp::Reverse((time, key)));
        self.happenings.insert(key, happening);
    }

    pub(super) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(&std::cmp::Reverse((time, key))) = self.queue.peek() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = time;
            if let Some(happening) = self.happenings.remove(&key) {
                self.happen(happening);
            }
        }
        self.now = end;
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Deliver(node, boot, event) => {
                if self.nodes[node].boot == boot {
                    self.act(node, event);
                }
            }
            Happening::Wake(node) => {
                if self.nodes[node].wake <= self.now {
                    self.act(node, Event::Tick);
                }
            }
            Happening::Call(caller, callee, boot) => {
                let peer = address(callee);
                let event = if self.connected(caller, callee) {
                    let (own, versions) = (address(caller), self.nodes[caller].store.clone());
                    let called = Event::Called {
                        peer: own,
                        versions,
                    };
                    self.act(callee, called);
                    let versions = self.nodes[callee].store.clone();
                    Event::Answered { peer, versions }
                } else {
                    Event::Unreachable(peer)
                };
                self.later(Happening::Deliver(caller, boot, event));
            }
            Happening::Fetch(caller, callee, boot, name) => {
                let found = self.nodes[callee].store.get(&name).copied();
                let outcome = match found {
                    _ if !self.connected(caller, callee) => Outcome::Failed,
                    Some(version) => Outcome::Known(version),
                    None => Outcome::Missing,
                };
                let event = Event::Fetched { name, outcome };
                self.later(Happening::Deliver(caller, boot, event));
            }
        }
    }

    fn connected(&mut self, a: usize, b: usize) -> bool {
        self.nodes[a].group == self.nodes[b].group && !self.random.random_bool(self.loss)
    }

    fn seen(&self, node: usize) -> Option<&Service> {
        match self.nodes[node].view {
            View::Up => Some(&self.live),
            View::Stale => Some(&self.stale),
            View::Down => None,
        }
    }

    fn answer_watches(&mut self) {
        for node in 0..self.nodes.len() {
            let Some(known) = self.nodes[node].watch else {
                continue;
            };
            let event = match self.seen(node) {
                Some(service) if service.index.revision == known => continue,
                Some(service) => Event::Indexed(service.index.clone()),
                None => Event::ServiceDown,
            };
            self.nodes[node].watch = None;
            let boot = self.nodes[node].boot;
            self.later(Happening::Deliver(node, boot, event));
        }
    }

    /// Takes what a process learned into its store, as the real adapter does, and asserts that the
    /// store never goes back.
    fn take(&mut self, node: usize, event: Event) -> Event {
        let (Event::Read { name, outcome } | Event::Fetched { name, outcome }) = &event else {
            return event;
        };
        if let Outcome::Known(version) = *outcome {
            let stored = self.nodes[node]
                .store
                .entry(name.clone())
                .or_insert(version);
            *stored = version.max(*stored);
        }
        event
    }

    pub(super) fn act(&mut self, node: usize, event: Event) {
        let event = self.take(node, event);
        let learned = matches!(event, Event::Read { .. } | Event::Fetched { .. });
        let now = self.now;
        let mut actions = self.nodes[node].spread.handle(event, now);
        if learned && self.nodes[node].store.contains_key("fleet") {
            let all = (0..self.nodes.len()).map(address).collect();
            actions.extend(self.nodes[node].spread.handle(Event::Declared(all), now));
        }
        let boot = self.nodes[node].boot;
        for action in actions {
            self.carry_out(node, boot, action);
        }
        let known = self.nodes[node].spread.known().clone();
        assert_eq!(
            known, self.nodes[node].store,
            "the machine knows what is stored"
        );
        let wake = self.nodes[node].spread.wake();
        self.nodes[node].wake = wake;
        if wake < Timestamp::NEVER {
            self.at(
                wake.max(now + Duration::from_micros(1)),
                Happening::Wake(node),
            );
        }
    }

    fn carry_out(&mut self, node: usize, boot: u32, action: Action) {
        match action {
            Action::Exchange(peer) => {
                self.later(Happening::Call(node, index_of(peer), boot));
            }
            Action::Fetch { peer, name } => {
                self.later(Happening::Fetch(node, index_of(peer), boot, name));
            }
            Action::Watch { known } => {
                self.calls.push(self.now);
                self.nodes[node].watch = Some(known);
                self.answer_watches_of(node);
            }
            Action::Read { name } => {
                self.calls.push(self.now);
                let outcome = match self.seen(node) {
                    None => Outcome::Failed,
                    Some(service) => service
                        .versions
                        .get(&name)
                        .map_or(Outcome::Missing, |version| Outcome::Known(*version)),
                };
                let event = Event::Read { name, outcome };
                self.later(Happening::Deliver(node, boot, event));
            }
            Action::Confirmed => self.nodes[node].confirmed = true,
        }
    }

    fn answer_watches_of(&mut self, node: usize) {
        let known = self.nodes[node].watch;
        let event = match self.seen(node) {
            Some(service) if Some(service.index.revision) == known => return,
            Some(service) => Event::Indexed(service.index.clone()),
            None => Event::ServiceDown,
        };
        self.nodes[node].watch = None;
        let boot = self.nodes[node].boot;
        self.later(Happening::Deliver(node, boot, event));
    }

    fn settled(&self) -> bool {
        let newest = &self.live.versions;
        self.nodes.iter().all(|node| &node.store == newest)
    }

    /// Runs until every process has what was published last. Gives the time that it took.
    pub(super) fn settle(&mut self, limit: Duration) -> Option<Duration> {
        let start = self.now;
        while !self.settled() {
            if self.now.since(start) >= limit {
                return None;
            }
            self.run(Duration::from_millis(20));
        }
        println!("settled in {:?}", self.now.since(start));
        Some(self.now.since(start))
    }

    /// Most calls to the service in any second since `start`.
    pub(super) fn peak_calls(&self, start: Timestamp) -> usize {
        let calls: Vec<_> = self.calls.iter().filter(|call| **call >= start).collect();
        let ends = calls.iter().enumerate().map(|(first, begin)| {
            calls[first..].partition_point(|call| call.since(**begin) < Duration::from_secs(1))
        });
        let peak = ends.max().unwrap_or(0);
        println!("peak {peak} calls in a second, {} calls since", calls.len());
        peak
    }
}

pub(super) fn started(size: usize, seed: u64) -> World {
    let mut world = World::new(size, seed);
    for name in ["fleet", "routes", "teams-0"] {
        world.publish(name, 1, "first");
    }
    assert!(world.settle(Duration::from_secs(60)).is_some());
    world.run(Duration::from_secs(10));
    assert!(world.nodes.iter().all(|node| node.confirmed));
    world
}
