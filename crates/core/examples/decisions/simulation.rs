//! Agent cores in front of model engines, with one dispatcher in place of the entries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use comfreyhaven_core::agent::{Action, Agent, Event, RunEnd};
use comfreyhaven_core::name::NameError;
use comfreyhaven_core::refusal::{NotRunReason, ReturnReason};
use comfreyhaven_core::request::BodyDigest;
use comfreyhaven_core::{
    BootNonce, Cost, HostName, OfferId, RequestId, Reservation, ReservationId, Tier, Timestamp,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine::{Engine, StepEvent};
use crate::fleet;
use crate::outcomes::{Outcome, Outcomes};
use crate::setup::{Binding, Leaving, Setup};
use crate::workload::Request;

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const RESTART_TIME: Duration = Duration::from_secs(2);

#[derive(Debug)]
enum SimEvent {
    Arrive(usize),
    Agent(usize, Event),
    Engine(usize, u64, Event),
    Offered(usize, ReservationId, OfferId),
    Returned(usize, ReservationId),
    Step(usize, u64),
    Probe(usize),
    Recover(usize),
    Sample,
    TurnCold(usize),
    Restart(usize),
}

#[derive(Debug, Default)]
struct Pending {
    attempt: u32,
    candidates: Vec<usize>,
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
    queue: BTreeMap<(Timestamp, u64), SimEvent>,
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
            simulation.push(Timestamp::ZERO, SimEvent::Probe(index));
        }
        simulation.schedule_events();
        Ok(simulation)
    }

    /// Runs until every request has ended.
    pub fn run(mut self) -> Result<Outcomes, NameError> {
        let last = self
            .requests
            .iter()
            .map(|r| r.arrival + r.kind.deadline * 3)
            .max();
        while let Some(((time, _), event)) = self.queue.pop_first() {
            if Some(time) > last {
                break;
            }
            self.now = time;
            self.handle(event)?;
        }
        Ok(self.outcomes())
    }

    fn outcomes(self) -> Outcomes {
        let late = |(request, outcome): &(Request, Outcome)| {
            let end = request.arrival + request.kind.deadline;
            outcome.first.is_some()
                && outcome.complete.is_none_or(|time| time > end)
                && !outcome.broken
        };
        let requests: Vec<_> = self.requests.into_iter().zip(self.outcomes).collect();
        let too_late = requests.iter().filter(|pair| late(pair));
        let too_late: u64 = too_late
            .map(|(request, _)| u64::from(request.kind.prompt))
            .sum();
        Outcomes {
            messages: self.messages,
            crashes: self.engines.iter().map(|engine| engine.crashes).sum(),
            prefill: self.engines.iter().map(|engine| engine.prefill).sum(),
            wasted: self.engines.iter().map(|engine| engine.wasted).sum::<u64>() + too_late,
            requests,
        }
    }

    fn schedule_events(&mut self) {
        for index in 0..self.requests.len() {
            self.push(self.requests[index].arrival, SimEvent::Arrive(index));
        }
        if let Some((engine, time)) = self.setup.turns_cold {
            self.push(time, SimEvent::TurnCold(engine));
        }
        if let Some((agent, time)) = self.setup.leaves {
            self.push(time, SimEvent::Agent(agent, Event::Leave));
        }
        if let Some((agent, time)) = self.setup.restarts {
            self.push(time, SimEvent::Restart(agent));
        }
        if let Binding::Push { .. } = self.setup.binding {
            self.push(Timestamp::ZERO, SimEvent::Sample);
        }
    }

    fn new_agent(&self, index: usize) -> Result<Agent, NameError> {
        let boot = BootNonce::new(self.boots[index]);
        let mut agent = Agent::new(fleet::endpoint(index)?, boot).with_policy(self.setup.policy);
        let fleet = fleet::declare(&self.setup.engines)?;
        agent.handle(Event::Configured(fleet), self.now);
        Ok(agent)
    }

    fn push(&mut self, time: Timestamp, event: SimEvent) {
        self.sequence += 1;
        self.queue.insert((time, self.sequence), event);
    }

    /// Sends a message between an entry and an agent.
    fn send(&mut self, event: SimEvent) {
        self.messages += 1;
        self.push(self.now + self.setup.delay, event);
    }

    fn handle(&mut self, event: SimEvent) -> Result<(), NameError> {
        match event {
            SimEvent::Arrive(index) => self.arrive(index)?,
            SimEvent::Agent(index, event) => {
                self.leaving[index] |= matches!(event, Event::Leave);
                self.feed(index, event)?;
            }
            SimEvent::Engine(index, boot, event) => {
                if boot == self.boots[index] {
                    self.feed(index, event)?;
                }
            }
            SimEvent::Offered(agent, id, offer) => self.offered(agent, id, offer),
            SimEvent::Returned(agent, id) => self.returned(agent, id)?,
            SimEvent::Step(engine, boot) => self.step(engine, boot)?,
            SimEvent::Probe(agent) => self.probe(agent)?,
            SimEvent::Recover(engine) => self.engines[engine].down = false,
            SimEvent::Sample => self.sample(),
            SimEvent::TurnCold(engine) => self.engines[engine].turn_cold(),
            SimEvent::Restart(agent) => self.restart(agent)?,
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
                self.push(self.now + age, SimEvent::Sample);
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
        self.push(self.now + PROBE_INTERVAL, SimEvent::Probe(index));
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
        pending.candidates = agents;
        pending.bound = false;
        self.place(index)
    }

    fn place(&mut self, index: usize) -> Result<(), NameError> {
        let fanout = match self.setup.binding {
            Binding::Late { fanout } => fanout,
            Binding::Push { .. } => 1,
        };
        while self.pending[index].waiting.len() < fanout {
            let Some(agent) = self.pending[index].candidates.pop() else {
                break;
            };
            self.pending[index].waiting.insert(agent);
            let reservation = self.reservation(index)?;
            self.send(SimEvent::Agent(agent, Event::Reserve(reservation)));
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
            return self.send(SimEvent::Agent(agent, Event::Release(offer)));
        }
        pending.bound = true;
        let waiting = std::mem::take(&mut pending.waiting);
        for other in waiting.into_iter().filter(|other| *other != agent) {
            self.send(SimEvent::Agent(other, Event::Withdraw(id)));
        }
        let request = id.request;
        self.send(SimEvent::Agent(agent, Event::Claim { offer, request }));
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
                SimEvent::Engine(index, self.boots[index], Event::Tick),
            );
        }
        for action in actions {
            match action {
                Action::Offer { id, offer, .. } => {
                    self.send(SimEvent::Offered(index, id, offer));
                }
                Action::Return { id, reason } => self.handle_return(index, id, reason)?,
                Action::Run(_) => self.start(index, claimed)?,
                Action::Reject { .. } => self.retry(claimed)?,
                Action::Close(_) | Action::Report { .. } => {}
            }
        }
        Ok(())
    }

    fn handle_return(
        &mut self,
        agent: usize,
        id: ReservationId,
        reason: ReturnReason,
    ) -> Result<(), NameError> {
        let forwards = reason == ReturnReason::Leaving && self.setup.leaving == Leaving::Forward;
        if !forwards {
            self.send(SimEvent::Returned(agent, id));
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
        self.send(SimEvent::Agent(peer, Event::Reserve(reservation)));
        Ok(())
    }

    /// Reserves again after an agent rejected the body or found its engine down.
    fn retry(&mut self, request: Option<RequestId>) -> Result<(), NameError> {
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
                SimEvent::Engine(index, boot, Event::Finished { request, end }),
            );
            return self.retry(Some(request));
        }
        let spec = self.requests[index_of(request)];
        self.outcomes[index_of(request)].started = Some(self.now);
        let lost = self.engines[index].admit(request, spec.kind.prompt, spec.output);
        if !lost.is_empty() {
            self.push(self.now + RESTART_TIME, SimEvent::Recover(index));
        }
        for request in lost {
            self.outcomes[index_of(request)].broken = true;
            let end = RunEnd::Broken;
            self.push(
                self.now,
                SimEvent::Engine(index, boot, Event::Finished { request, end }),
            );
        }
        self.schedule_step(index);
        Ok(())
    }

    fn schedule_step(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if let (false, Some(time)) = (engine.stepping, engine.step_time()) {
            engine.stepping = true;
            let boot = engine.boot;
            self.push(self.now + time, SimEvent::Step(index, boot));
        }
    }

    fn step(&mut self, index: usize, boot: u64) -> Result<(), NameError> {
        self.engines[index].stepping = false;
        let events = match self.engines[index].boot == boot {
            true => self.engines[index].advance(),
            false => Vec::new(),
        };
        for event in events {
            let event = match event {
                StepEvent::FirstToken(request) => {
                    self.outcomes[index_of(request)].first = Some(self.now);
                    Event::FirstToken(request)
                }
                StepEvent::Progress(request, tokens) => Event::Progress { request, tokens },
                StepEvent::Complete(request, output, prefill) => {
                    self.outcomes[index_of(request)].complete = Some(self.now);
                    let end = RunEnd::Whole { output, prefill };
                    Event::Finished { request, end }
                }
            };
            self.push(self.now, SimEvent::Engine(index, self.boots[index], event));
        }
        self.schedule_step(index);
        Ok(())
    }
}

fn index_of(request: RequestId) -> usize {
    usize::from_str_radix(&request.to_string(), 16).unwrap_or(usize::MAX)
}
