//! Many processes, a network and a configuration service on one virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use comfreyhaven_core::config_sync::{
    Action, ConfigSync, Event, Index, Outcome, Version, Versions,
};
use comfreyhaven_core::{Generation, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One way through the network, in microseconds.
const DELAY_MICROS: std::ops::Range<u64> = 200..20_000;

/// Time between looks whether a change is in force.
const LOOK: Duration = Duration::from_millis(10);

/// The document that changes.
const CHANGED: &str = "teams-0";

enum Happening {
    Deliver(u16, Event),
    Exchange(u16, u16),
    Fetch(u16, u16, String),
    Wake(u16),
}

struct Node {
    spread: ConfigSync,
    watch: Option<u64>,
    wake: Timestamp,
}

pub(super) struct World {
    now: Timestamp,
    nodes: Vec<Node>,
    order: BinaryHeap<Reverse<(Timestamp, u64)>>,
    happenings: HashMap<u64, Happening>,
    sequence: u64,
    index: Index,
    published: Versions,
    calls: Vec<Timestamp>,
    exchanged: u64,
    random: ChaCha8Rng,
}

fn address(node: u16) -> SocketAddr {
    let [high, low] = node.to_be_bytes();
    ([10, 0, high, low], 7_000).into()
}

fn node_at(address: SocketAddr) -> u16 {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            u16::from_be_bytes([high, low])
        }
        SocketAddr::V6(_) => 0,
    }
}

impl World {
    /// A fleet of which every process starts at once.
    pub(super) fn new(size: u16, seed: u64) -> Self {
        let mut world = Self {
            now: Timestamp::ZERO,
            nodes: Vec::new(),
            order: BinaryHeap::new(),
            happenings: HashMap::new(),
            sequence: 0,
            index: Index::default(),
            published: Versions::new(),
            calls: Vec::new(),
            exchanged: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for name in comfreyhaven_config::document_names() {
            world.store(&name, 1);
        }
        for node in 0..size {
            let spread = ConfigSync::new(address(node), Vec::new(), world.random.random())
                .with_first_document("fleet");
            world.nodes.push(Node {
                spread,
                watch: None,
                wake: Timestamp::NEVER,
            });
        }
        (0..size).for_each(|node| world.act(node, Event::Tick));
        world
    }

    pub(super) fn now(&self) -> Timestamp {
        self.now
    }

    /// Publishes one document anew.
    pub(super) fn publish(&mut self, generation: u64) {
        self.store(CHANGED, generation);
        for node in 0..self.size() {
            self.answer_watch(node);
        }
    }

    /// Runs until every process has what is published, and gives the time that it took.
    pub(super) fn settle(&mut self, limit: Duration) -> Option<Duration> {
        let start = self.now;
        loop {
            let published = &self.published;
            if self
                .nodes
                .iter()
                .all(|node| node.spread.known() == published)
            {
                return Some(self.now.since(start));
            }
            if self.now.since(start) >= limit {
                return None;
            }
            self.run(LOOK);
        }
    }

    pub(super) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(&Reverse((time, key))) = self.order.peek() {
            if time > end {
                break;
            }
            self.order.pop();
            self.now = time;
            if let Some(happening) = self.happenings.remove(&key) {
                self.happen(happening);
            }
        }
        self.now = end;
    }

    /// Exchanges begun so far.
    pub(super) fn exchanges(&self) -> f64 {
        self.exchanged as f64
    }

    /// Calls to the service since a time.
    pub(super) fn calls_since(&self, start: Timestamp) -> f64 {
        self.calls.iter().filter(|call| **call >= start).count() as f64
    }

    /// Most calls to the service in a second since a time.
    pub(super) fn peak(&self, start: Timestamp) -> f64 {
        let first = self.calls.partition_point(|call| *call < start);
        let calls = &self.calls[first..];
        let second = Duration::from_secs(1);
        let counts = (0..calls.len())
            .map(|begin| calls[begin..].partition_point(|call| call.since(calls[begin]) < second));
        counts.max().unwrap_or(0) as f64
    }

    fn size(&self) -> u16 {
        u16::try_from(self.nodes.len()).unwrap_or(u16::MAX)
    }

    fn store(&mut self, name: &str, generation: u64) {
        self.index.revision += 1;
        let revision = self.index.revision;
        self.index.values.insert(name.to_owned(), revision);
        let version = Version::new(Generation(generation), name);
        self.published.insert(name.to_owned(), version);
    }

    fn at(&mut self, time: Timestamp, happening: Happening) {
        self.sequence += 1;
        self.order.push(Reverse((time, self.sequence)));
        self.happenings.insert(self.sequence, happening);
    }

    fn later(&mut self, happening: Happening) {
        let delay = Duration::from_micros(self.random.random_range(DELAY_MICROS));
        self.at(self.now + delay, happening);
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Deliver(node, event) => self.act(node, event),
            Happening::Wake(node) => {
                if self.nodes[usize::from(node)].wake <= self.now {
                    self.act(node, Event::Tick);
                }
            }
            Happening::Exchange(caller, callee) => self.exchange(caller, callee),
            Happening::Fetch(caller, callee, name) => {
                let outcome = outcome(self.nodes[usize::from(callee)].spread.known(), &name);
                let event = Event::Fetched { name, outcome };
                self.later(Happening::Deliver(caller, event));
            }
        }
    }

    fn exchange(&mut self, caller: u16, callee: u16) {
        let known = |world: &Self, node: u16| world.nodes[usize::from(node)].spread.known().clone();
        let called = Event::Called {
            peer: address(caller),
            versions: known(self, caller),
        };
        self.act(callee, called);
        let answered = Event::Answered {
            peer: address(callee),
            versions: known(self, callee),
        };
        self.later(Happening::Deliver(caller, answered));
    }

    fn act(&mut self, node: u16, event: Event) {
        let learned = matches!(event, Event::Read { .. } | Event::Fetched { .. });
        let now = self.now;
        let all = self.size();
        let spread = &mut self.nodes[usize::from(node)].spread;
        let mut actions = spread.handle(event, now);
        if learned && spread.known().contains_key("fleet") {
            let all = (0..all).map(address).collect();
            actions.extend(spread.handle(Event::Declared(all), now));
        }
        for action in actions {
            self.carry_out(node, action);
        }
        let wake = self.nodes[usize::from(node)].spread.wake();
        self.nodes[usize::from(node)].wake = wake;
        if wake < Timestamp::NEVER {
            let soon = now + Duration::from_micros(1);
            self.at(wake.max(soon), Happening::Wake(node));
        }
    }

    fn carry_out(&mut self, node: u16, action: Action) {
        match action {
            Action::Exchange(peer) => {
                self.exchanged += 1;
                self.later(Happening::Exchange(node, node_at(peer)));
            }
            Action::Fetch { peer, name } => {
                self.later(Happening::Fetch(node, node_at(peer), name));
            }
            Action::Watch { known } => {
                self.calls.push(self.now);
                self.nodes[usize::from(node)].watch = Some(known);
                self.answer_watch(node);
            }
            Action::Read { name } => {
                self.calls.push(self.now);
                let outcome = outcome(&self.published, &name);
                self.later(Happening::Deliver(node, Event::Read { name, outcome }));
            }
            Action::Confirmed => {}
        }
    }

    /// Answers a watch once the index differs from what it knows.
    fn answer_watch(&mut self, node: u16) {
        let watch = &mut self.nodes[usize::from(node)].watch;
        if watch.is_some_and(|known| known != self.index.revision) {
            *watch = None;
            let index = self.index.clone();
            self.later(Happening::Deliver(node, Event::Indexed(index)));
        }
    }
}

fn outcome(versions: &BTreeMap<String, Version>, name: &str) -> Outcome {
    let version = versions.get(name).copied();
    version.map_or(Outcome::Missing, Outcome::Known)
}
