//! Simulation of many processes, a network and a configuration service on one virtual clock.

use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::config_sync::{Action, ConfigSync, Event, Index, Outcome, Version, Versions};
use crate::id::Generation;
use crate::time::Timestamp;

/// State of the configuration service as one process sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum View {
    Up,
    Stale,
    Down,
}

#[derive(Debug)]
enum Scheduled {
    Deliver(usize, u32, Event),
    Call(usize, usize, u32),
    Fetch(usize, usize, u32, String),
    Wake(usize),
}

pub(super) struct Process {
    pub(super) sync: ConfigSync,
    pub(super) boot: u32,
    pub(super) store: Versions,
    pub(super) confirmed: bool,
    view: View,
    pub(super) partition: u8,
    /// Revision known to the open watch, which is answered once the service has another one.
    watch: Option<u64>,
    wake: Timestamp,
}

#[derive(Default, Clone)]
pub(super) struct Service {
    index: Index,
    pub(super) versions: Versions,
}

/// The simulated processes and the events scheduled for them.
pub(super) struct World {
    pub(super) now: Timestamp,
    pub(super) processes: Vec<Process>,
    queue: BinaryHeap<std::cmp::Reverse<(Timestamp, u64)>>,
    scheduled: BTreeMap<u64, Scheduled>,
    pub(super) live: Service,
    pub(super) stale: Service,
    pub(super) loss: f64,
    calls: Vec<Timestamp>,
    random: ChaCha8Rng,
}

pub(super) fn address(process: usize) -> SocketAddr {
    let process = u16::try_from(process).unwrap();
    ([127, 1, (process >> 8) as u8, (process & 255) as u8], 7_000).into()
}

pub(super) fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        unreachable!("every address is IPv4")
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

impl World {
    pub(super) fn new(size: usize, seed: u64) -> Self {
        let mut world = Self {
            now: Timestamp::ZERO,
            processes: Vec::new(),
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            live: Service::default(),
            stale: Service::default(),
            loss: 0.0,
            calls: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for process in 0..size {
            let fresh = world.new_process(process, 0);
            world.processes.push(fresh);
            world.handle_event(process, Event::Tick);
        }
        world
    }

    pub(super) fn new_process(&mut self, process: usize, boot: u32) -> Process {
        Process {
            sync: ConfigSync::new(address(process), Vec::new(), self.random.random())
                .with_first_document("fleet"),
            boot,
            store: Versions::new(),
            confirmed: false,
            view: View::Up,
            partition: 0,
            watch: None,
            wake: Timestamp::NEVER,
        }
    }

    pub(super) fn restart(&mut self, process: usize) {
        let (boot, view, partition) = {
            let old = &self.processes[process];
            (old.boot + 1, old.view, old.partition)
        };
        let fresh = self.new_process(process, boot);
        self.processes[process] = Process {
            view,
            partition,
            ..fresh
        };
        self.handle_event(process, Event::Tick);
    }

    pub(super) fn publish(&mut self, name: &str, generation: u64, text: &str) {
        self.live.index.revision += 1;
        let revision = self.live.index.revision;
        self.live.index.values.insert(name.to_owned(), revision);
        let version = Version::new(Generation(generation), text);
        self.live.versions.insert(name.to_owned(), version);
        self.answer_watches();
    }

    pub(super) fn set_view(&mut self, process: usize, view: View) {
        self.processes[process].view = view;
        self.answer_watches();
    }

    fn schedule_delayed(&mut self, occurrence: Scheduled) {
        let delay = Duration::from_micros(self.random.random_range(200..5_000));
        self.schedule_at(self.now + delay, occurrence);
    }

    fn schedule_at(&mut self, time: Timestamp, occurrence: Scheduled) {
        let key = self
            .scheduled
            .last_key_value()
            .map_or(0, |(key, _)| key + 1);
        self.queue.push(std::cmp::Reverse((time, key)));
        self.scheduled.insert(key, occurrence);
    }

    pub(super) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(&std::cmp::Reverse((time, key))) = self.queue.peek() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = time;
            if let Some(occurrence) = self.scheduled.remove(&key) {
                self.dispatch(occurrence);
            }
        }
        self.now = end;
    }

    fn dispatch(&mut self, occurrence: Scheduled) {
        match occurrence {
            Scheduled::Deliver(process, boot, event) => {
                if self.processes[process].boot == boot {
                    self.handle_event(process, event);
                }
            }
            Scheduled::Wake(process) => {
                if self.processes[process].wake <= self.now {
                    self.handle_event(process, Event::Tick);
                }
            }
            Scheduled::Call(caller, callee, boot) => {
                let peer = address(callee);
                let event = if self.connected(caller, callee) {
                    let (own, versions) = (address(caller), self.processes[caller].store.clone());
                    let called = Event::Called {
                        peer: own,
                        versions,
                    };
                    self.handle_event(callee, called);
                    let versions = self.processes[callee].store.clone();
                    Event::Answered { peer, versions }
                } else {
                    Event::Unreachable(peer)
                };
                self.schedule_delayed(Scheduled::Deliver(caller, boot, event));
            }
            Scheduled::Fetch(caller, callee, boot, name) => {
                let found = self.processes[callee].store.get(&name).copied();
                let outcome = match found {
                    _ if !self.connected(caller, callee) => Outcome::Failed,
                    Some(version) => Outcome::Known(version),
                    None => Outcome::Missing,
                };
                let event = Event::Fetched { name, outcome };
                self.schedule_delayed(Scheduled::Deliver(caller, boot, event));
            }
        }
    }

    fn connected(&mut self, a: usize, b: usize) -> bool {
        self.processes[a].partition == self.processes[b].partition
            && !self.random.random_bool(self.loss)
    }

    fn visible_service(&self, process: usize) -> Option<&Service> {
        match self.processes[process].view {
            View::Up => Some(&self.live),
            View::Stale => Some(&self.stale),
            View::Down => None,
        }
    }

    fn answer_watches(&mut self) {
        for process in 0..self.processes.len() {
            let Some(known) = self.processes[process].watch else {
                continue;
            };
            let event = match self.visible_service(process) {
                Some(service) if service.index.revision == known => continue,
                Some(service) => Event::Indexed(service.index.clone()),
                None => Event::ServiceDown,
            };
            self.processes[process].watch = None;
            let boot = self.processes[process].boot;
            self.schedule_delayed(Scheduled::Deliver(process, boot, event));
        }
    }

    /// Stores a document that a process received, as the real adapter does. The store never moves
    /// to a lower version.
    fn record_outcome(&mut self, process: usize, event: Event) -> Event {
        let (Event::Read { name, outcome } | Event::Fetched { name, outcome }) = &event else {
            return event;
        };
        if let Outcome::Known(version) = *outcome {
            let stored = self.processes[process]
                .store
                .entry(name.clone())
                .or_insert(version);
            *stored = version.max(*stored);
        }
        event
    }

    pub(super) fn handle_event(&mut self, process: usize, event: Event) {
        let event = self.record_outcome(process, event);
        let learned = matches!(event, Event::Read { .. } | Event::Fetched { .. });
        let now = self.now;
        let mut actions = self.processes[process].sync.handle(event, now);
        if learned && self.processes[process].store.contains_key("fleet") {
            let all = (0..self.processes.len()).map(address).collect();
            actions.extend(
                self.processes[process]
                    .sync
                    .handle(Event::Declared(all), now),
            );
        }
        let boot = self.processes[process].boot;
        for action in actions {
            self.perform(process, boot, action);
        }
        let known = self.processes[process].sync.known().clone();
        assert_eq!(
            known, self.processes[process].store,
            "the state machine's versions differ from the stored ones"
        );
        let wake = self.processes[process].sync.wake();
        self.processes[process].wake = wake;
        if wake < Timestamp::NEVER {
            self.schedule_at(
                wake.max(now + Duration::from_micros(1)),
                Scheduled::Wake(process),
            );
        }
    }

    fn perform(&mut self, process: usize, boot: u32, action: Action) {
        match action {
            Action::Exchange(peer) => {
                self.schedule_delayed(Scheduled::Call(process, index_of(peer), boot));
            }
            Action::Fetch { peer, name } => {
                self.schedule_delayed(Scheduled::Fetch(process, index_of(peer), boot, name));
            }
            Action::Watch { known } => {
                self.calls.push(self.now);
                self.processes[process].watch = Some(known);
                self.answer_watch(process);
            }
            Action::Read { name } => {
                self.calls.push(self.now);
                let outcome = match self.visible_service(process) {
                    None => Outcome::Failed,
                    Some(service) => service
                        .versions
                        .get(&name)
                        .map_or(Outcome::Missing, |version| Outcome::Known(*version)),
                };
                let event = Event::Read { name, outcome };
                self.schedule_delayed(Scheduled::Deliver(process, boot, event));
            }
            Action::Confirmed => self.processes[process].confirmed = true,
        }
    }

    fn answer_watch(&mut self, process: usize) {
        let known = self.processes[process].watch;
        let event = match self.visible_service(process) {
            Some(service) if Some(service.index.revision) == known => return,
            Some(service) => Event::Indexed(service.index.clone()),
            None => Event::ServiceDown,
        };
        self.processes[process].watch = None;
        let boot = self.processes[process].boot;
        self.schedule_delayed(Scheduled::Deliver(process, boot, event));
    }

    fn settled(&self) -> bool {
        let newest = &self.live.versions;
        self.processes
            .iter()
            .all(|process| &process.store == newest)
    }

    /// Runs until every process has the documents published last. Returns the time taken.
    pub(super) fn run_until_settled(&mut self, limit: Duration) -> Option<Duration> {
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

    /// Returns the largest number of calls to the service in any second since `start`.
    pub(super) fn peak_calls(&self, start: Timestamp) -> usize {
        let calls: Vec<_> = self.calls.iter().filter(|call| **call >= start).collect();
        let ends = calls.iter().enumerate().map(|(first, begin)| {
            calls[first..].partition_point(|call| call.since(**begin) < Duration::from_secs(1))
        });
        let peak = ends.max().unwrap_or(0);
        println!(
            "peak {peak} calls per second, {} calls in total",
            calls.len()
        );
        peak
    }
}

pub(super) fn started_world(size: usize, seed: u64) -> World {
    let mut world = World::new(size, seed);
    for name in ["fleet", "routes", "teams-0"] {
        world.publish(name, 1, "first");
    }
    assert!(world.run_until_settled(Duration::from_secs(60)).is_some());
    world.run(Duration::from_secs(10));
    assert!(world.processes.iter().all(|process| process.confirmed));
    world
}
