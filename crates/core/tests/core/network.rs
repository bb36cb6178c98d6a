//! Entry and agent cores joined by a small deterministic network that loses, duplicates, reorders
//! and delays messages and that suspends and restarts processes. The network records which requests
//! actually ran, which no core can know.

mod agents;
mod disruptions;
mod entries;

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

/// End of the simulated time, by which every request has ended.
const END_TIME: Timestamp = Timestamp::from_millis(180_000);

/// Interval between probes of an engine, in milliseconds.
const PROBE_MILLIS: u64 = 500;

/// Probabilities of faults, in thousandths.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    /// Probability that a message is lost.
    pub loss: u32,
    /// Probability that a message is delivered twice.
    pub repeat: u32,
    /// Probability that an engine rejects a run or breaks its connection.
    pub engine: u32,
    /// Maximum delay of a message, in milliseconds.
    pub delay: u64,
}

/// An external event that stops, suspends or restarts a process or changes the data centre's state.
#[derive(Debug, Clone, Copy)]
pub enum Disruption {
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
    /// The body of a dispatch to an agent, and whether the answer can return to the entry.
    Body(usize, usize, bool),
    /// An inquiry to an agent about a dispatch, and whether the report can return to the entry.
    Inquiry(usize, usize, bool),
    /// An event of a run, which only the agent process with this boot number receives.
    Engine(usize, u64, agent::Event),
    Probe(usize),
    Disruption(Disruption),
}

/// One body sent by an entry.
#[derive(Debug)]
pub struct Dispatch {
    pub request: RequestId,
    entry: (usize, u64),
    agent: usize,
    offer: OfferId,
    open: bool,
    /// Whether the entry was notified that the body has not run and will not run.
    pub not_run: bool,
}

/// What actually happened to one request, independently of what any core knows.
#[derive(Debug, Default)]
pub struct Truth {
    pub runs: u32,
    pub ends: u32,
    pub refusal: Option<Refusal>,
    pub complete: bool,
    /// Whether its entry restarted before it ended, which broke the connection to the caller.
    pub orphaned: bool,
}

#[derive(Debug)]
struct Process<T> {
    core: T,
    boot: u64,
    suspended_until: Timestamp,
    next_tick: Timestamp,
}

#[derive(Debug, Default)]
struct Engine {
    boot: u64,
    /// Running requests with their dispatch and the boot number of the agent that started them.
    active: BTreeMap<RequestId, (usize, u64)>,
}

pub struct Network {
    random: ChaCha8Rng,
    faults: Faults,
    now: Timestamp,
    sequence: u64,
    pending: BTreeMap<(Timestamp, u64), Delivery>,
    entries: Vec<Process<Entry>>,
    agents: Vec<Process<Agent>>,
    engines: Vec<Engine>,
    centre: DataCentreState,
    /// Entry and boot number of each open reservation call, by reservation and agent.
    calls: BTreeMap<(ReservationId, usize), (usize, u64)>,
    pub dispatches: Vec<Dispatch>,
    pub truth: HashMap<RequestId, Truth>,
    owners: HashMap<RequestId, (usize, u64)>,
    /// Maximum number of requests that an engine ran at once.
    pub peak: usize,
    pub trace: Vec<String>,
}

impl Network {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let initial = |boot| (boot, Timestamp::ZERO, Timestamp::NEVER);
        let entries = (0..ENTRIES).map(|index| {
            let (boot, suspended_until, next_tick) = initial(0);
            let core = Entry::new(host_name(index), BootNonce::new(boot), seed + index as u64);
            Process {
                core,
                boot,
                suspended_until,
                next_tick,
            }
        });
        let agents = (0..AGENTS).map(|index| {
            let (boot, suspended_until, next_tick) = initial(0);
            let core = Agent::new(endpoint_name(index), BootNonce::new(100 * index as u64));
            Process {
                core,
                boot,
                suspended_until,
                next_tick,
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
            network.push_at(0, Delivery::Probe(agent));
        }
        network
    }

    /// Schedules the arrival of a caller's request.
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
        self.push_at(millis, Delivery::Entry(entry, u64::MAX, event));
    }

    /// Schedules the disconnection of a caller.
    pub fn disconnect_caller(&mut self, millis: u64, request: u128) {
        let entry = request as usize % ENTRIES;
        let event = entry::Event::CallerDisconnected(RequestId::new(request));
        self.push_at(millis, Delivery::Entry(entry, u64::MAX, event));
    }

    /// Schedules a disruption.
    pub fn disrupt(&mut self, millis: u64, disruption: Disruption) {
        self.push_at(millis, Delivery::Disruption(disruption));
    }

    /// Delivers messages until none is left or the end time is reached.
    pub fn run(&mut self) {
        while let Some(((time, _), delivery)) = self.pending.pop_first() {
            if time > END_TIME {
                return;
            }
            self.now = self.now.max(time);
            self.deliver(delivery);
        }
    }

    fn push_at(&mut self, millis: u64, delivery: Delivery) {
        self.push(Timestamp::from_millis(millis), delivery);
    }

    fn push(&mut self, time: Timestamp, delivery: Delivery) {
        self.sequence += 1;
        self.pending.insert((time, self.sequence), delivery);
    }

    fn push_soon(&mut self, delivery: Delivery) {
        let delay = self.random.random_range(100..=self.faults.delay * 1_000);
        self.push(self.now + Duration::from_micros(delay), delivery);
    }

    fn push_late(&mut self, delivery: Delivery) {
        let delay = self.random.random_range(10..=3_000);
        self.push(self.now + Duration::from_millis(delay), delivery);
    }

    fn chance(&mut self, per_thousand: u32) -> bool {
        self.random.random_range(0..1_000) < per_thousand
    }

    fn draw_loss(&mut self) -> bool {
        self.chance(self.faults.loss)
    }

    fn draw_duplication(&mut self) -> bool {
        self.chance(self.faults.repeat)
    }

    fn deliver(&mut self, delivery: Delivery) {
        if let Some(until) = self.suspended_until(&delivery) {
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
            Delivery::Disruption(disruption) => self.apply_disruption(disruption),
        }
    }

    fn suspended_until(&self, delivery: &Delivery) -> Option<Timestamp> {
        let until = match *delivery {
            Delivery::Entry(index, ..) => self.entries[index].suspended_until,
            Delivery::Agent(index, _)
            | Delivery::Body(index, ..)
            | Delivery::Inquiry(index, ..)
            | Delivery::Probe(index)
            | Delivery::Engine(index, ..) => self.agents[index].suspended_until,
            Delivery::Disruption(_) => return None,
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
