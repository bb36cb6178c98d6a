//! Agent cores before model engines, with a dispatcher that stands for the entries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use comfreyhaven_core::agent::{Action, Agent, Event, Policy, RunEnd};
use comfreyhaven_core::name::NameError;
use comfreyhaven_core::refusal::{NotRunReason, ReturnReason};
use comfreyhaven_core::request::BodyDigest;
use comfreyhaven_core::{
    BootNonce, Cost, HostName, OfferId, RequestId, Reservation, ReservationId, Tier, Timestamp,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine::{Engine, News, Spec};
use crate::fleet;
use crate::outcomes::{Outcome, Outcomes};
use crate::workload::Request;

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const RESTART_TIME: Duration = Duration::from_secs(2);

/// How requests find their engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Binding {
    /// Reservations at some random agents; the first offer is taken.
    Late { fanout: usize },
    /// The agent with the lower reported load of two random ones, by reports of the given age.
    Push { age: Duration },
}

/// What becomes of reservations at an agent that leaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Leaving {
    Return,
    Forward,
}

/// One experiment.
#[derive(Debug, Clone)]
pub struct Setup {
    pub engines: Vec<Spec>,
    pub policy: Policy,
    pub binding: Binding,
    pub leaving: Leaving,
    /// One-way delay of messages.
    pub delay: Duration,
    /// Engine that becomes cold without a word, and when.
    pub chill: Option<(usize, Timestamp)>,
    /// Agent that leaves, and when.
    pub leaves: Option<(usize, Timestamp)>,
    /// Agent that restarts, and when.
    pub restarts: Option<(usize, Timestamp)>,
    /// Whether all requests count as one team's, so that agents serve in order of arrival.
    pub anonymous: bool,
}

impl Setup {
    pub fn new(engines: Vec<Spec>) -> Self {
        Self {
            engines,
            policy: Policy::default(),
            binding: Binding::Late { fanout: 3 },
            leaving: Leaving::Return,
            delay: Duration::from_micros(500),
            chill: None,
            leaves: None,
            restarts: None,
            anonymous: false,
        }
    }
}

#[derive(Debug)]
enum Happening {
    Arrive(usize),
    Agent(usize, Event),
    Engine(usize, u64, Event),
    Offered(usize, ReservationId, OfferId),
    Returned(usize, ReservationId),
    Step(usize, u64),
    Probe(usize),
    Revive(usize),
    Sample,
    Chill(usize),
    Restart(usize),
}

#[derive(Debug, Default)]
struct Pending {
    attempt: u32,
    unasked: Vec<usize>,
    waiting: BTreeSet<usize>,
    bound: bool,
}

pub struct Simulation {
    setup: Setup,
    requests: Vec<Request>,
    outcomes: Vec<Outcome>,
    pending: Vec<Pending>,
    agents: Vec<Agent>,
    boots: Vec<u64>,
    leaving: Vec<bool>,
    engines: Vec<Engine>,
    reports: Vec<usize>,
    queue: BTreeMap<(Timestamp, u64), Happening>,
    sequence: u64,
    now: Timestamp,
    random: ChaCha8Rng,
    messages: u64,
    host: HostName,
}

impl Simulation {
    pub fn new(setup: Setup, requests: Vec<Request>, seed: u64) -> Result<Self, NameError> {
        let count = setup.engines.len();
        let mut simulation = Self {
            outcomes: vec![Outcome::default(); requests.len()],
            pending: requests.iter().map(|_| Pending::default()).collect(),
            requests,
            agents: Vec::new(),
            boots: (0..count as u64).collect(),
            leaving: vec![false; count],
            engines: setup
                .engines
                .iter()
                .map(|spec| Engine::new(*spec))
                .collect(),
            reports: vec![0; count],
            queue: BTreeMap::new(),
            sequence: 0,
            now: Timestamp::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
            messages: 0,
            host: HostName::new("entry")?,
            setup,
        };
        for index in 0..count {
            let agent = simulation.new_agent(index)?;
            simulation.agents.push(agent);
            simulation.push(Timestamp::ZERO, Happening::Probe(index));
        }
        simulation.plan();
        Ok(simulation)
    }

    /// Runs until every request has ended.
    pub fn run(mut self) -> Result<Outcomes, NameError> {
        let last = self
            .requests
            .iter()
            .map(|r| r.arrival + r.kind.deadline * 3)
            .max();
        while let Some(((time, _), happening)) = self.queue.pop_first() {
            if Some(time) > last {
                break;
            }
            self.now = time;
            self.happen(happening)?;
        }
        Ok(self.outcomes())
    }

    fn outcomes(self) -> Outcomes {
        let late = |(request, outcome): &(Request, Outcome)| {
            let end = request.arrival + request.kind.deadline;
            outcome.first.is_some()
                && outcome.whole.is_none_or(|time| time > end)
                && !outcome.broken
        };
        let requests: Vec<_> = self.requests.into_iter().zip(self.outcomes).collect();
        let useless = requests.iter().filter(|pair| late(pair));
        let useless: u64 = useless
            .map(|(request, _)| u64::from(request.kind.prompt))
            .sum();
        Outcomes {
            messages: self.messages,
            crashes: self.engines.iter().map(|engine| engine.crashes).sum(),
            prefill: self.engines.iter().map(|engine| engine.prefill).sum(),
            wasted: self.engines.iter().map(|engine| engine.wasted).sum::<u64>() + useless,
            requests,
        }
    }

    fn plan(&mut self) {
        for index in 0..self.requests.len() {
            self.push(self.requests[index].arrival, Happening::Arrive(index));
        }
        if let Some((engine, time)) = self.setup.chill {
            self.push(time, Happening::Chill(engine));
        }
        if let Some((agent, time)) = self.setup.leaves {
            self.push(time, Happening::Agent(agent, Event::Leave));
        }
        if let Some((agent, time)) = self.setup.restarts {
            self.push(time, Happening::Restart(agent));
        }
        if let Binding::Push { .. } = self.setup.binding {
            self.push(Timestamp::ZERO, Happening::Sample);
        }
    }

    fn new_agent(&self, index: usize) -> Result<Agent, NameError> {
        let boot = BootNonce::new(self.boots[index]);
        let mut agent = Agent::new(fleet::endpoint(index)?, boot).with_policy(self.setup.policy);
        let fleet = fleet::declare(&self.setup.engines)?;
        agent.handle(Event::Configured(fleet), self.now);
        Ok(agent)
    }

    fn push(&mut self, time: Timestamp, happening: Happening) {
        self.sequence += 1;
        self.queue.insert((time, self.sequence), happening);
    }

    /// Sends a message between an entry and an agent.
    fn send(&mut self, happening: Happening) {
        self.messages += 1;
        self.push(self.now + self.setup.delay, happening);
    }

    fn happen(&mut self, happening: Happening) -> Result<(), NameError> {
        match happening {
            Happening::Arrive(index) => self.arrive(index)?,
            Happening::Agent(index, event) => {
                self.leaving[index] |= matches!(event, Event::Leave);
                self.feed(index, event)?;
            }
            Happening::Engine(index, boot, event) => {
                if boot == self.boots[index] {
                    self.feed(index, event)?;
                }
            }
            Happening::Offered(agent, id, offer) => self.offered(agent, id, offer),
            Happening::Returned(agent, id) => self.returned(agent, id)?,
            Happening::Step(engine, boot) => self.step(engine, boot)?,
            Happening::Probe(agent) => self.probe(agent)?,
            Happening::Revive(engine) => self.engines[engine].down = false,
            Happening::Sample => self.sample(),
            Happening::Chill(engine) => self.engines[engine].chill(),
            Happening::Restart(agent) => self.restart(agent)?,
        }
        Ok(())
    }

    fn restart(&mut self, index: usize) -> Result<(), NameError> {
        self.boots[index] += 1_000;
        self.agents[index] = self.new_agent(index)?;
        for request in 0..self.pending.len() {
            if self.pending[request].waiting.contains(&index) {
                let attempt = self.pending[request].attempt;
                let id = ReservationId {
                    request: RequestId::new(request as u128),
                    attempt,
                };
                self.returned(index, id)?;
            }
        }
        Ok(())
    }

    fn sample(&mut self) {
        if let Binding::Push { age } = self.setup.binding {
            let load = |pending: &Pending, agent: usize| pending.waiting.contains(&agent);
            for agent in 0..self.engines.len() {
                let waiting = self.pending.iter().filter(|p| load(p, agent)).count();
                self.reports[agent] = waiting + self.engines[agent].running();
            }
            if !self.queue.is_empty() {
                self.push(self.now + age, Happening::Sample);
            }
        }
    }

    fn probe(&mut self, index: usize) -> Result<(), NameError> {
        let engine = &self.engines[index];
        let running = u32::try_from(engine.running()).unwrap_or(u32::MAX);
        let event = match engine.down {
            true => Event::EndpointDown,
            false => Event::EndpointUp {
                boot: engine.boot,
                running,
            },
        };
        self.feed(index, event)?;
        self.push(self.now + PROBE_INTERVAL, Happening::Probe(index));
        Ok(())
    }

    fn arrive(&mut self, index: usize) -> Result<(), NameError> {
        let mut agents: Vec<_> = (0..self.engines.len())
            .filter(|i| !self.leaving[*i])
            .collect();
        agents.shuffle(&mut self.random);
        if let Binding::Push { .. } = self.setup.binding {
            let two = &mut agents[..2];
            two.sort_by_key(|agent| self.reports[*agent]);
        }
        agents.reverse();
        let pending = &mut self.pending[index];
        pending.unasked = agents;
        pending.bound = false;
        self.place(index)
    }

    fn place(&mut self, index: usize) -> Result<(), NameError> {
        let fanout = match self.setup.binding {
            Binding::Late { fanout } => fanout,
            Binding::Push { .. } => 1,
        };
        while self.pending[index].waiting.len() < fanout {
            let Some(agent) = self.pending[index].unasked.pop() else {
                break;
            };
            self.pending[index].waiting.insert(agent);
            let reservation = self.reservation(index)?;
            self.send(Happening::Agent(agent, Event::Reserve(reservation)));
        }
        if self.pending[index].waiting.is_empty() {
            self.outcomes[index].refused = Some(self.now);
        }
        Ok(())
    }

    fn reservation(&self, index: usize) -> Result<Reservation, NameError> {
        let request = &self.requests[index];
        let deadline = request.arrival + request.kind.deadline;
        Ok(Reservation {
            id: ReservationId {
                request: RequestId::new(index as u128),
                attempt: self.pending[index].attempt,
            },
            entry: self.host.clone(),
            boot: BootNonce::new(1),
            team: fleet::team(if self.setup.anonymous {
                0
            } else {
                request.team
            })?,
            route: fleet::route(request.kind.tier)?,
            tier: Tier(request.kind.tier),
            cost: Cost {
                prompt: request.kind.prompt,
                output: request.kind.output * 2,
            },
            remaining: deadline.since(self.now),
            prefixes: Vec::new(),
            call: None,
            body: BodyDigest(0),
            alone: false,
        })
    }

    fn offered(&mut self, agent: usize, id: ReservationId, offer: OfferId) {
        let index = index_of(id.request);
        let pending = &mut self.pending[index];
        if pending.bound || pending.attempt != id.attempt {
            return self.send(Happening::Agent(agent, Event::Release(offer)));
        }
        pending.bound = true;
        let waiting = std::mem::take(&mut pending.waiting);
        for other in waiting.into_iter().filter(|other| *other != agent) {
            self.send(Happening::Agent(other, Event::Withdraw(id)));
        }
        let request = id.request;
        self.send(Happening::Agent(agent, Event::Claim { offer, request }));
    }

    fn returned(&mut self, agent: usize, id: ReservationId) -> Result<(), NameError> {
        let index = index_of(id.request);
        let pending = &mut self.pending[index];
        if pending.bound || pending.attempt != id.attempt || !pending.waiting.remove(&agent) {
            return Ok(());
        }
        self.place(index)
    }

    fn feed(&mut self, index: usize, event: Event) -> Result<(), NameError> {
        let claimed = match &event {
            Event::Claim { request, .. } => Some(*request),
            _ => None,
        };
        let actions = self.agents[index].handle(event, self.now);
        let wake = self.agents[index].wake();
        if wake < Timestamp::NEVER {
            let time = wake.max(self.now + Duration::from_micros(1));
            self.push(
                time,
                Happening::Engine(index, self.boots[index], Event::Tick),
            );
        }
        for action in actions {
            match action {
                Action::Offer { id, offer, .. } => {
                    self.send(Happening::Offered(index, id, offer));
                }
                Action::Return { id, reason } => self.give_back(index, id, reason)?,
                Action::Run(_) => self.start(index, claimed)?,
                Action::Reject { .. } => self.again(claimed)?,
                Action::Close(_) | Action::Report { .. } => {}
            }
        }
        Ok(())
    }

    fn give_back(
        &mut self,
        agent: usize,
        id: ReservationId,
        reason: ReturnReason,
    ) -> Result<(), NameError> {
        let forwards = reason == ReturnReason::Leaving && self.setup.leaving == Leaving::Forward;
        if !forwards {
            self.send(Happening::Returned(agent, id));
            return Ok(());
        }
        let index = index_of(id.request);
        let mut peers: Vec<_> = (0..self.engines.len()).collect();
        peers.retain(|peer| !self.leaving[*peer] && !self.pending[index].waiting.contains(peer));
        let peer = peers[self.random.random_range(0..peers.len())];
        self.pending[index].waiting.remove(&agent);
        self.pending[index].waiting.insert(peer);
        self.messages += 1;
        let reservation = self.reservation(index)?;
        self.send(Happening::Agent(peer, Event::Reserve(reservation)));
        Ok(())
    }

    /// Reserves again after the agent's word that nothing ran.
    fn again(&mut self, request: Option<RequestId>) -> Result<(), NameError> {
        let Some(request) = request else {
            return Ok(());
        };
        let index = index_of(request);
        self.pending[index].attempt += 1;
        if self.now >= self.requests[index].arrival + self.requests[index].kind.deadline {
            self.outcomes[index].refused = Some(self.now);
            return Ok(());
        }
        self.arrive(index)
    }

    fn start(&mut self, index: usize, request: Option<RequestId>) -> Result<(), NameError> {
        let Some(request) = request else {
            return Ok(());
        };
        let boot = self.boots[index];
        if self.engines[index].down {
            let end = RunEnd::NotRun(NotRunReason::EndpointDown);
            self.push(
                self.now,
                Happening::Engine(index, boot, Event::Finished { request, end }),
            );
            return self.again(Some(request));
        }
        let wanted = self.requests[index_of(request)];
        self.outcomes[index_of(request)].started = Some(self.now);
        let lost = self.engines[index].admit(request, wanted.kind.prompt, wanted.output);
        if !lost.is_empty() {
            self.push(self.now + RESTART_TIME, Happening::Revive(index));
        }
        for request in lost {
            self.outcomes[index_of(request)].broken = true;
            let end = RunEnd::Broken;
            self.push(
                self.now,
                Happening::Engine(index, boot, Event::Finished { request, end }),
            );
        }
        self.plan_step(index);
        Ok(())
    }

    fn plan_step(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if let (false, Some(time)) = (engine.stepping, engine.step_time()) {
            engine.stepping = true;
            let boot = engine.boot;
            self.push(self.now + time, Happening::Step(index, boot));
        }
    }

    fn step(&mut self, index: usize, boot: u64) -> Result<(), NameError> {
        self.engines[index].stepping = false;
        let news = match self.engines[index].boot == boot {
            true => self.engines[index].advance(),
            false => Vec::new(),
        };
        for item in news {
            let event = match item {
                News::First(request) => {
                    self.outcomes[index_of(request)].first = Some(self.now);
                    Event::FirstToken(request)
                }
                News::Progress(request, tokens) => Event::Progress { request, tokens },
                News::Whole(request, output, prefill) => {
                    self.outcomes[index_of(request)].whole = Some(self.now);
                    let end = RunEnd::Whole { output, prefill };
                    Event::Finished { request, end }
                }
            };
            self.push(self.now, Happening::Engine(index, self.boots[index], event));
        }
        self.plan_step(index);
        Ok(())
    }
}

fn index_of(request: RequestId) -> usize {
    usize::from_str_radix(&request.to_string(), 16).unwrap_or(usize::MAX)
}
