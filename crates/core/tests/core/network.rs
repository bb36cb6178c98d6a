//! Entry and agent cores joined by a small deterministic network that loses, repeats, reorders and
//! delays, with pauses and restarts. It keeps the truth of what ran, which no core sees.

mod agents;
mod entries;
mod upsets;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use comfreyhaven_core::agent::{self, Agent, RunEnd, RunStatus};
use comfreyhaven_core::entry::{self, Arrival, Ending, Entry};
use comfreyhaven_core::fleet::DataCentreState;
use comfreyhaven_core::refusal::{NotRunReason, Refusal};
use comfreyhaven_core::request::BodyDigest;
use comfreyhaven_core::{
    BootNonce, Cost, EndpointName, OfferId, RequestId, ReservationId, Timestamp,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::{endpoint_name, fleet, host_name, key, route_name};

pub const ENTRIES: usize = 2;
pub const AGENTS: usize = 3;

/// Time after which nothing is under way any more.
const END: Timestamp = Timestamp::from_millis(180_000);

/// Time between probes of an engine.
const PROBE_MILLIS: u64 = 500;

/// How often things go wrong, in a thousand.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    pub loss: u32,
    pub repeat: u32,
    pub engine: u32,
    /// Largest delay of a message, in milliseconds.
    pub delay: u64,
}

/// Something that happens to a process.
#[derive(Debug, Clone, Copy)]
pub enum Upset {
    PauseEntry(usize, u64),
    PauseAgent(usize, u64),
    RestartEntry(usize),
    RestartAgent(usize),
    RestartEngine(usize),
    Centre(DataCentreState),
    LeaveAgent(usize),
}

#[derive(Debug, Clone)]
enum Delivery {
    Entry(usize, u64, entry::Event),
    Agent(usize, agent::Event),
    /// A body, and whether its answer has a way back.
    Body(usize, usize, bool),
    /// An inquiry and the dispatch it is about.
    Inquiry(usize, usize, bool),
    /// An engine's news of a run: for the process that carried it alone.
    Engine(usize, u64, agent::Event),
    Probe(usize),
    Upset(Upset),
}

/// One body sent by an entry.
#[derive(Debug)]
pub struct Dispatch {
    pub request: RequestId,
    entry: (usize, u64),
    agent: usize,
    offer: OfferId,
    open: bool,
    /// Whether the entry was told that nothing ran.
    pub disowned: bool,
}

/// What truly happened to one request.
#[derive(Debug, Default)]
pub struct Truth {
    pub runs: u32,
    pub ends: u32,
    pub refusal: Option<Refusal>,
    pub whole: bool,
    /// The entry that owned it restarted, so that its caller lost the connection.
    pub orphan: bool,
}

#[derive(Debug)]
struct Node<T> {
    core: T,
    boot: u64,
    paused: Timestamp,
    tick: Timestamp,
}

#[derive(Debug, Default)]
struct Engine {
    boot: u64,
    /// Requests in the engine with the dispatch that brought them and the agent's boot.
    active: BTreeMap<RequestId, (usize, u64)>,
}

pub struct Network {
    random: ChaCha8Rng,
    faults: Faults,
    now: Timestamp,
    sequence: u64,
    pending: BTreeMap<(Timestamp, u64), Delivery>,
    entries: Vec<Node<Entry>>,
    agents: Vec<Node<Agent>>,
    engines: Vec<Engine>,
    centre: DataCentreState,
    /// Reservation calls that were not answered: entry, its boot, agent.
    calls: BTreeMap<(ReservationId, usize), (usize, u64)>,
    pub dispatches: Vec<Dispatch>,
    pub truth: HashMap<RequestId, Truth>,
    owners: HashMap<RequestId, (usize, u64)>,
    /// Most requests that an engine held at once.
    pub peak: usize,
    pub trace: Vec<String>,
}

impl Network {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let node = |boot| (boot, Timestamp::ZERO, Timestamp::NEVER);
        let entries = (0..ENTRIES).map(|index| {
            let (boot, paused, tick) = node(0);
            let core = Entry::new(host_name(index), BootNonce::new(boot), seed + index as u64);
            Node {
                core,
                boot,
                paused,
                tick,
            }
        });
        let agents = (0..AGENTS).map(|index| {
            let (boot, paused, tick) = node(0);
            let core = Agent::new(endpoint_name(index), BootNonce::new(100 * index as u64));
            Node {
                core,
                boot,
                paused,
                tick,
            }
        });
        let mut network = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            faults,
            now: Timestamp::ZERO,
            sequence: 0,
            pending: BTreeMap::new(),
            entries: entries.collect(),
            agents: agents.collect(),
            engines: (0..AGENTS).map(|_| Engine::default()).collect(),
            centre: DataCentreState::In,
            calls: BTreeMap::new(),
            dispatches: Vec::new(),
            truth: HashMap::new(),
            owners: HashMap::new(),
            peak: 0,
            trace: Vec::new(),
        };
        network.configure();
        for agent in 0..AGENTS {
            network.at(0, Delivery::Probe(agent));
        }
        network
    }

    /// Plans a caller's request.
    pub fn request(&mut self, millis: u64, request: u128, tier: u8, team: usize, cost: Cost) {
        let arrival = Arrival {
            id: RequestId::new(request),
            key: Some(key(team)),
            route: route_name(tier),
            cost,
            prefixes: Vec::new(),
            body: BodyDigest(request as u64),
            call: None,
        };
        let entry = request as usize % ENTRIES;
        let event = entry::Event::Arrived(Box::new(arrival));
        self.at(millis, Delivery::Entry(entry, u64::MAX, event));
    }

    /// Plans that a caller goes away.
    pub fn caller_gone(&mut self, millis: u64, request: u128) {
        let entry = request as usize % ENTRIES;
        let event = entry::Event::CallerDisconnected(RequestId::new(request));
        self.at(millis, Delivery::Entry(entry, u64::MAX, event));
    }

    pub fn upset(&mut self, millis: u64, upset: Upset) {
        self.at(millis, Delivery::Upset(upset));
    }

    /// Runs until nothing is under way.
    pub fn run(&mut self) {
        while let Some(((time, _), delivery)) = self.pending.pop_first() {
            if time > END {
                return;
            }
            self.now = self.now.max(time);
            self.deliver(delivery);
        }
    }

    fn at(&mut self, millis: u64, delivery: Delivery) {
        self.push(Timestamp::from_millis(millis), delivery);
    }

    fn push(&mut self, time: Timestamp, delivery: Delivery) {
        self.sequence += 1;
        self.pending.insert((time, self.sequence), delivery);
    }

    fn soon(&mut self, delivery: Delivery) {
        let delay = self.random.random_range(100..=self.faults.delay * 1_000);
        self.push(self.now + Duration::from_micros(delay), delivery);
    }

    fn later(&mut self, delivery: Delivery) {
        let delay = self.random.random_range(10..=3_000);
        self.push(self.now + Duration::from_millis(delay), delivery);
    }

    fn happens(&mut self, in_thousand: u32) -> bool {
        self.random.random_range(0..1_000) < in_thousand
    }

    fn lost(&mut self) -> bool {
        self.happens(self.faults.loss)
    }

    fn repeated(&mut self) -> bool {
        self.happens(self.faults.repeat)
    }

    fn deliver(&mut self, delivery: Delivery) {
        if let Some(until) = self.paused(&delivery) {
            return self.push(until, delivery);
        }
        match delivery {
            Delivery::Entry(index, boot, event) => {
                if boot == u64::MAX || boot == self.entries[index].boot {
                    self.entry_event(index, event);
                }
            }
            Delivery::Agent(index, event) => self.agent_event(index, event, None),
            Delivery::Engine(index, boot, event) => self.engine_event(index, boot, event),
            Delivery::Body(index, dispatch, answered) => {
                let Dispatch { offer, request, .. } = self.dispatches[dispatch];
                let event = agent::Event::Claim { offer, request };
                self.agent_event(index, event, Some((dispatch, answered)));
            }
            Delivery::Inquiry(index, dispatch, answered) => {
                let Dispatch { offer, request, .. } = self.dispatches[dispatch];
                let event = agent::Event::Inquire { offer, request };
                self.agent_event(index, event, Some((dispatch, answered)));
            }
            Delivery::Probe(index) => self.probe(index),
            Delivery::Upset(upset) => self.suffer(upset),
        }
    }

    fn paused(&self, delivery: &Delivery) -> Option<Timestamp> {
        let until = match *delivery {
            Delivery::Entry(index, ..) => self.entries[index].paused,
            Delivery::Agent(index, _)
            | Delivery::Body(index, ..)
            | Delivery::Inquiry(index, ..)
            | Delivery::Probe(index)
            | Delivery::Engine(index, ..) => self.agents[index].paused,
            Delivery::Upset(_) => return None,
        };
        (until > self.now).then_some(until)
    }

    fn probe(&mut self, index: usize) {
        let boot = self.engines[index].boot;
        let running = self.engines[index].active.len() as u32;
        self.agent_event(index, agent::Event::EndpointUp { boot, running }, None);
        let next = self.now + Duration::from_millis(PROBE_MILLIS);
        self.push(next, Delivery::Probe(index));
    }

    fn configure(&mut self) {
        let fleet = fleet(AGENTS, self.centre);
        for index in 0..ENTRIES {
            self.entry_event(index, entry::Event::Configured(fleet.clone()));
        }
        for index in 0..AGENTS {
            self.agent_event(index, agent::Event::Configured(fleet.clone()), None);
        }
    }
}

fn agent_index(endpoint: &EndpointName) -> usize {
    let text = endpoint.to_string();
    text.rsplit('-').next().unwrap().parse().unwrap()
}
