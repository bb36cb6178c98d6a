//! Simulation of many processes, a network and a configuration service on one virtual clock.

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

/// Range of the one-way delay of the network, in microseconds.
const DELAY_RANGE_US: std::ops::Range<u64> = 200..20_000;

/// Interval between two checks whether every process knows a change.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Name of the document that is changed.
const CHANGED_DOCUMENT: &str = "teams-0";

enum Step {
    Deliver(u16, Event),
    Exchange(u16, u16),
    Fetch(u16, u16, String),
    Wake(u16),
}

struct Process {
    sync: ConfigSync,
    watch: Option<u64>,
    wake: Timestamp,
}

pub(super) struct Simulation {
    now: Timestamp,
    processes: Vec<Process>,
    schedule: BinaryHeap<Reverse<(Timestamp, u64)>>,
    steps: HashMap<u64, Step>,
    sequence: u64,
    index: Index,
    published: Versions,
    calls: Vec<Timestamp>,
    exchange_count: u64,
    random: ChaCha8Rng,
}

fn address(process: u16) -> SocketAddr {
    let [high, low] = process.to_be_bytes();
    ([10, 0, high, low], 7_000).into()
}

fn process_at(address: SocketAddr) -> u16 {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            u16::from_be_bytes([high, low])
        }
        SocketAddr::V6(_) => 0,
    }
}

impl Simulation {
    /// Creates a fleet of `size` processes that all start at the same time.
    pub(super) fn new(size: u16, seed: u64) -> Self {
        let mut simulation = Self {
            now: Timestamp::ZERO,
            processes: Vec::new(),
            schedule: BinaryHeap::new(),
            steps: HashMap::new(),
            sequence: 0,
            index: Index::default(),
            published: Versions::new(),
            calls: Vec::new(),
            exchange_count: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for name in comfreyhaven_config::document_names() {
            simulation.set_version(&name, 1);
        }
        for process in 0..size {
            let sync = ConfigSync::new(address(process), Vec::new(), simulation.random.random())
                .with_first_document("fleet");
            simulation.processes.push(Process {
                sync,
                watch: None,
                wake: Timestamp::NEVER,
            });
        }
        (0..size).for_each(|process| simulation.handle_event(process, Event::Tick));
        simulation
    }

    pub(super) fn now(&self) -> Timestamp {
        self.now
    }

    /// Publishes a new generation of one document.
    pub(super) fn publish(&mut self, generation: u64) {
        self.set_version(CHANGED_DOCUMENT, generation);
        for process in 0..self.size() {
            self.answer_watch(process);
        }
    }

    /// Runs until every process knows all published versions. Returns the time until then, or
    /// `None` after `limit`.
    pub(super) fn run_until_known(&mut self, limit: Duration) -> Option<Duration> {
        let start = self.now;
        loop {
            let published = &self.published;
            if self
                .processes
                .iter()
                .all(|process| process.sync.known() == published)
            {
                return Some(self.now.since(start));
            }
            if self.now.since(start) >= limit {
                return None;
            }
            self.run(CHECK_INTERVAL);
        }
    }

    pub(super) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(&Reverse((time, key))) = self.schedule.peek() {
            if time > end {
                break;
            }
            self.schedule.pop();
            self.now = time;
            if let Some(step) = self.steps.remove(&key) {
                self.run_step(step);
            }
        }
        self.now = end;
    }

    /// Returns the number of exchanges that have been started.
    pub(super) fn exchanges(&self) -> f64 {
        self.exchange_count as f64
    }

    /// Returns the number of calls to the configuration service since `start`.
    pub(super) fn calls_since(&self, start: Timestamp) -> f64 {
        self.calls.iter().filter(|call| **call >= start).count() as f64
    }

    /// Returns the largest number of calls to the configuration service in any second since
    /// `start`.
    pub(super) fn peak(&self, start: Timestamp) -> f64 {
        let first = self.calls.partition_point(|call| *call < start);
        let calls = &self.calls[first..];
        let second = Duration::from_secs(1);
        let counts = (0..calls.len())
            .map(|begin| calls[begin..].partition_point(|call| call.since(calls[begin]) < second));
        counts.max().unwrap_or(0) as f64
    }

    fn size(&self) -> u16 {
        u16::try_from(self.processes.len()).unwrap_or(u16::MAX)
    }

    fn set_version(&mut self, name: &str, generation: u64) {
        self.index.revision += 1;
        let revision = self.index.revision;
        self.index.values.insert(name.to_owned(), revision);
        let version = Version::new(Generation(generation), name);
        self.published.insert(name.to_owned(), version);
    }

    fn schedule_at(&mut self, time: Timestamp, step: Step) {
        self.sequence += 1;
        self.schedule.push(Reverse((time, self.sequence)));
        self.steps.insert(self.sequence, step);
    }

    fn schedule_delayed(&mut self, step: Step) {
        let delay = Duration::from_micros(self.random.random_range(DELAY_RANGE_US));
        self.schedule_at(self.now + delay, step);
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Deliver(process, event) => self.handle_event(process, event),
            Step::Wake(process) => {
                if self.processes[usize::from(process)].wake <= self.now {
                    self.handle_event(process, Event::Tick);
                }
            }
            Step::Exchange(caller, callee) => self.exchange(caller, callee),
            Step::Fetch(caller, callee, name) => {
                let outcome = outcome(self.processes[usize::from(callee)].sync.known(), &name);
                let event = Event::Fetched { name, outcome };
                self.schedule_delayed(Step::Deliver(caller, event));
            }
        }
    }

    fn exchange(&mut self, caller: u16, callee: u16) {
        let known = |simulation: &Self, process: u16| {
            simulation.processes[usize::from(process)]
                .sync
                .known()
                .clone()
        };
        let call = Event::Called {
            peer: address(caller),
            versions: known(self, caller),
        };
        self.handle_event(callee, call);
        let answer = Event::Answered {
            peer: address(callee),
            versions: known(self, callee),
        };
        self.schedule_delayed(Step::Deliver(caller, answer));
    }

    fn handle_event(&mut self, process: u16, event: Event) {
        let may_change_fleet = matches!(event, Event::Read { .. } | Event::Fetched { .. });
        let now = self.now;
        let all = self.size();
        let sync = &mut self.processes[usize::from(process)].sync;
        let mut actions = sync.handle(event, now);
        if may_change_fleet && sync.known().contains_key("fleet") {
            let all = (0..all).map(address).collect();
            actions.extend(sync.handle(Event::Declared(all), now));
        }
        for action in actions {
            self.perform(process, action);
        }
        let wake = self.processes[usize::from(process)].sync.wake();
        self.processes[usize::from(process)].wake = wake;
        if wake < Timestamp::NEVER {
            let earliest = now + Duration::from_micros(1);
            self.schedule_at(wake.max(earliest), Step::Wake(process));
        }
    }

    fn perform(&mut self, process: u16, action: Action) {
        match action {
            Action::Exchange(peer) => {
                self.exchange_count += 1;
                self.schedule_delayed(Step::Exchange(process, process_at(peer)));
            }
            Action::Fetch { peer, name } => {
                self.schedule_delayed(Step::Fetch(process, process_at(peer), name));
            }
            Action::Watch { known } => {
                self.calls.push(self.now);
                self.processes[usize::from(process)].watch = Some(known);
                self.answer_watch(process);
            }
            Action::Read { name } => {
                self.calls.push(self.now);
                let outcome = outcome(&self.published, &name);
                self.schedule_delayed(Step::Deliver(process, Event::Read { name, outcome }));
            }
            Action::Confirmed => {}
        }
    }

    /// Answers the watch of a process if the revision of the index differs from the known one.
    fn answer_watch(&mut self, process: u16) {
        let watch = &mut self.processes[usize::from(process)].watch;
        if watch.is_some_and(|known| known != self.index.revision) {
            *watch = None;
            let index = self.index.clone();
            self.schedule_delayed(Step::Deliver(process, Event::Indexed(index)));
        }
    }
}

fn outcome(versions: &BTreeMap<String, Version>, name: &str) -> Outcome {
    let version = versions.get(name).copied();
    version.map_or(Outcome::Missing, Outcome::Known)
}
