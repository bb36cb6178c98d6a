//! Simulation of several direct entries over endpoints of different speed, for replaying a load.

mod pauses;
mod returning;
mod tally;

use pauses::Pauses;
pub use returning::Returns;
pub use tally::Tally;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{
    Ending, Outcome, Placement, PlacementRequest, Plan, Policies, Run, Scheduler, Ticket,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{address, at, endpoint_record, plan, scheduler};

/// Delay of a message between any two processes.
const HOP_DELAY: Duration = Duration::from_millis(1);
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const REPORT_INTERVAL: Duration = Duration::from_millis(40);

/// Times of an endpoint whose factor is one, in milliseconds.
const FIRST_MS: f64 = 26.0;
const PROMPT_TOKEN_MS: f64 = 0.0064;
const ANSWER_TOKEN_MS: f64 = 4.2;
/// Tokens per event.
const EVENT_TOKENS: f64 = 6.0;

/// How an endpoint is chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// By the scheduler.
    Scheduled,
    /// The endpoint with the fewest requests of the same entry, without waiting; the endpoint
    /// queues the request.
    Naive,
}

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub rank: u8,
    pub rate: f64,
    pub prompt: f64,
    pub length: f64,
    pub objective: u64,
}

#[derive(Debug, Clone)]
enum Event {
    Arrive {
        entry: usize,
        kind: usize,
        request: PlacementRequest,
    },
    Reach {
        engine: usize,
        job: u64,
    },
    First {
        engine: usize,
        job: u64,
    },
    Done {
        engine: usize,
        job: u64,
    },
    Report {
        from: usize,
    },
    Tick {
        entry: usize,
    },
}

#[derive(Debug)]
struct Engine {
    id: String,
    slots: usize,
    factor: f64,
    running: usize,
    /// Slots reserved for requests that have not arrived yet.
    reserved: usize,
    queue: VecDeque<u64>,
    /// Time at which the prompts received so far will be processed.
    prefill_end: Timestamp,
    reached: Vec<Timestamp>,
}

#[derive(Debug)]
struct Job {
    entry: usize,
    kind: usize,
    request: PlacementRequest,
    run: Option<Run>,
    /// Whether a slot is reserved for the request.
    reserved: bool,
}

pub struct Simulation {
    pub entries: Vec<Scheduler>,
    policy: Policy,
    report_interval: Duration,
    kinds: Vec<Kind>,
    engines: Vec<Engine>,
    own: Vec<HashMap<usize, usize>>,
    jobs: HashMap<u64, Job>,
    waiting: HashMap<(usize, Ticket), (usize, PlacementRequest)>,
    events: BTreeMap<(Timestamp, u64), Event>,
    next: u64,
    random: ChaCha8Rng,
    returns: Option<Returns>,
    pub pauses: Pauses,
    /// The callers that have returned, and whether they were told a time that they honour.
    returned: HashMap<Ticket, bool>,
    pub tallies: Vec<Tally>,
    /// Reservations that endpoints refused.
    pub full: u32,
    /// Slots in use and all slots, summed over the ticks at which requests waited.
    pub used: (usize, usize),
    /// Milliseconds that refused requests have waited.
    pub refused_waits: Vec<u64>,
    /// Delays in milliseconds after which callers were told to return, and when they were told.
    pub told: Vec<(Timestamp, u64)>,
}

impl Simulation {
    pub fn new(policy: Policy, entries: u8, factors: &[f64], slots: u32, kinds: &[Kind]) -> Self {
        let seeds: Vec<u8> = (1..=entries).collect();
        let mut simulation = Self {
            entries: seeds
                .iter()
                .map(|index| scheduler(*index, &seeds))
                .collect(),
            policy,
            report_interval: REPORT_INTERVAL,
            kinds: kinds.to_vec(),
            engines: Vec::new(),
            own: vec![HashMap::new(); usize::from(entries)],
            jobs: HashMap::new(),
            waiting: HashMap::new(),
            events: BTreeMap::new(),
            next: 0,
            random: ChaCha8Rng::seed_from_u64(7),
            returns: None,
            pauses: Pauses::default(),
            returned: HashMap::new(),
            refused_waits: Vec::new(),
            told: Vec::new(),
            tallies: vec![Tally::default(); kinds.len()],
            full: 0,
            used: (0, 0),
        };
        for (index, factor) in factors.iter().enumerate() {
            let id = format!("e{index}");
            for entry in &mut simulation.entries {
                entry.upsert_endpoint(endpoint_record(&id, slots), at(0));
            }
            simulation.engines.push(Engine {
                id,
                slots: slots as usize,
                factor: *factor,
                running: 0,
                reserved: 0,
                queue: VecDeque::new(),
                prefill_end: at(0),
                reached: Vec::new(),
            });
        }
        for entry in 0..usize::from(entries) {
            simulation.schedule(at(1), Event::Report { from: entry });
            simulation.schedule(at(2), Event::Tick { entry });
        }
        simulation
    }

    /// Sets the interval between two reports of an entry.
    pub fn with_report_interval(mut self, interval: Duration) -> Self {
        self.report_interval = interval;
        self
    }

    /// Sets the optional decisions of all entries.
    pub fn with_policies(mut self, policies: Policies) -> Self {
        let entries = self.entries.into_iter();
        self.entries = entries.map(|entry| entry.with_policies(policies)).collect();
        self
    }

    /// Lets entries reserve slots.
    pub fn with_reservations(mut self) -> Self {
        let mut reserving = Plan::clone(&plan(2));
        for service in reserving.services.values_mut() {
            service.reservation = Duration::from_secs(2);
        }
        let reserving = Arc::new(reserving);
        for entry in &mut self.entries {
            entry.configure(Arc::clone(&reserving), at(0));
        }
        self
    }

    /// Sets the longest acceptable time between two events of an answer.
    pub fn with_event_gap(mut self, gap: Duration) -> Self {
        self.pauses = Pauses::new(gap, self.engines.len());
        self
    }

    fn schedule(&mut self, time: Timestamp, event: Event) {
        self.next += 1;
        self.events.insert((time, self.next), event);
    }

    /// Adds arrivals at `load` times the rates of the kinds. Entries receive unequal shares.
    pub fn add_load(&mut self, from: u64, to: u64, load: f64) {
        for kind in 0..self.kinds.len() {
            let shape = self.kinds[kind];
            let mut time = from as f64;
            loop {
                time -= (1.0 - self.random.random::<f64>()).ln() * 1_000.0 / (shape.rate * load);
                if time >= to as f64 {
                    break;
                }
                self.arrive(kind, at(0) + Duration::from_secs_f64(time / 1_000.0));
            }
        }
    }

    fn arrive(&mut self, kind: usize, time: Timestamp) {
        let shape = self.kinds[kind];
        let draw_size = |random: &mut ChaCha8Rng, mean: f64| {
            // The sizes are skewed: most are small, and a few are several times the mean.
            let drawn: f64 = random.random::<f64>();
            (mean * (0.2 + 2.4 * drawn * drawn)) as u64 + 1
        };
        let share: f64 = self.random.random();
        let entry = ((share * share) * self.entries.len() as f64) as usize;
        let patience = match self.returns {
            Some(_) => returning::LONGEST_DEADLINE.mul_f64(self.random.random_range(0.85..1.0)),
            None => Duration::from_secs(15),
        };
        let request = PlacementRequest {
            deadline: time + patience,
            prompt: draw_size(&mut self.random, shape.prompt),
            length: draw_size(&mut self.random, shape.length),
            objective: time + Duration::from_millis(shape.objective),
            event_gap: self.pauses.gap(),
            ..super::placement_request(self.next, shape.rank, time)
        };
        self.schedule(
            time,
            Event::Arrive {
                entry,
                kind,
                request,
            },
        );
    }

    /// Runs the simulation until `end`.
    pub fn run(&mut self, end: u64) {
        while let Some((&(now, _), _)) = self.events.first_key_value()
            && now <= at(end)
        {
            if let Some((_, event)) = self.events.pop_first() {
                self.handle(event, now);
            }
        }
    }

    fn handle(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Arrive {
                entry,
                kind,
                request,
            } => self.submit(entry, kind, request, now),
            Event::Reach { engine, job } => self.reach(engine, job, now),
            Event::First { engine, job } => self.first(engine, job, now),
            Event::Done { engine, job } => self.done(engine, job, now),
            Event::Report { from } => self.report(from, now),
            Event::Tick { entry } => {
                self.process_queues(entry, now);
                self.count_slots();
                self.schedule(now + TICK_INTERVAL, Event::Tick { entry });
            }
        }
    }

    fn submit(&mut self, entry: usize, kind: usize, request: PlacementRequest, now: Timestamp) {
        let tally = &mut self.tallies[kind];
        match self.returned.contains_key(&request.ticket) {
            true => tally.returned += 1,
            false => tally.submitted += 1,
        }
        if self.policy == Policy::Naive {
            let busy = |engine: &usize| self.own[entry].get(engine).copied().unwrap_or(0);
            let engine = (0..self.engines.len())
                .min_by_key(busy)
                .expect("there is an engine");
            let job = Job {
                entry,
                kind,
                request,
                run: None,
                reserved: false,
            };
            return self.send(job, engine, now);
        }
        self.place(entry, kind, request, now);
    }

    fn place(&mut self, entry: usize, kind: usize, request: PlacementRequest, now: Timestamp) {
        match self.entries[entry].submit(request.clone(), now) {
            Some(outcome) => self.outcome(entry, kind, request, outcome, now),
            None => drop(
                self.waiting
                    .insert((entry, request.ticket), (kind, request)),
            ),
        }
    }

    fn outcome(
        &mut self,
        entry: usize,
        kind: usize,
        request: PlacementRequest,
        outcome: Outcome,
        now: Timestamp,
    ) {
        match outcome {
            Outcome::Refused(refusal) => {
                if !self.come_back(kind, &request, refusal.retry_after, now) {
                    self.tallies[kind].refused += 1;
                }
            }
            Outcome::Placed(placement) => {
                let id = &*placement.record.id;
                let engine = self.engines.iter().position(|engine| engine.id == id);
                let engine = engine.expect("the engine is listed");
                if !self.reserve(engine, &placement) {
                    self.full += 1;
                    self.entries[entry].end(&placement.run, Ending::Full, now);
                    return self.place(entry, kind, request, now);
                }
                let job = Job {
                    entry,
                    kind,
                    request,
                    run: Some(placement.run),
                    reserved: !placement.reservation.is_zero(),
                };
                self.send(job, engine, now);
            }
        }
    }

    /// Reserves a slot if the placement asks for one. Returns false if the engine has none.
    fn reserve(&mut self, engine: usize, placement: &Placement) -> bool {
        if placement.reservation.is_zero() {
            return true;
        }
        let engine = &mut self.engines[engine];
        let has_slot = engine.running + engine.reserved < engine.slots;
        engine.reserved += usize::from(has_slot);
        has_slot
    }

    fn send(&mut self, job: Job, engine: usize, now: Timestamp) {
        *self.own[job.entry].entry(engine).or_default() += 1;
        let number = self.next;
        self.jobs.insert(number, job);
        self.schedule(
            now + HOP_DELAY,
            Event::Reach {
                engine,
                job: number,
            },
        );
    }

    fn reach(&mut self, engine: usize, job: u64, now: Timestamp) {
        self.engines[engine].reached.push(now);
        let reserved = self.jobs[&job].reserved;
        self.engines[engine].reserved -= usize::from(reserved);
        if reserved
            || self.engines[engine].running + self.engines[engine].reserved
                < self.engines[engine].slots
        {
            self.start(engine, job, now);
        } else {
            self.engines[engine].queue.push_back(job);
        }
    }

    fn start(&mut self, engine: usize, job: u64, now: Timestamp) {
        let request = &self.jobs[&job].request;
        let target = &mut self.engines[engine];
        target.running += 1;
        let span = |millis: f64| Duration::from_secs_f64(millis / 1_000.0);
        let prefill = span(target.factor * PROMPT_TOKEN_MS * request.prompt as f64);
        target.prefill_end = target.prefill_end.max(now) + prefill;
        let interval = span(target.factor * ANSWER_TOKEN_MS * EVENT_TOKENS);
        let pause = target.prefill_end.since(now) + interval;
        self.pauses.record_pause(engine, pause);
        let first = target.prefill_end + span(target.factor * FIRST_MS);
        let done = first + span(target.factor * ANSWER_TOKEN_MS * request.length as f64);
        self.schedule(first + HOP_DELAY, Event::First { engine, job });
        self.schedule(done + HOP_DELAY, Event::Done { engine, job });
    }

    fn first(&mut self, engine: usize, job: u64, now: Timestamp) {
        self.pauses.record_first(engine, job);
        let job = self.jobs.get_mut(&job).expect("the job is running");
        let tally = &mut self.tallies[job.kind];
        let returned = self.returned.get(&job.request.ticket);
        tally.readmitted += u32::from(returned.is_some());
        tally.kept += u32::from(returned == Some(&true));
        match now <= job.request.objective && returned.is_none() {
            true => tally.timely += 1,
            false => tally.late += 1,
        }
        if let Some(run) = &mut job.run {
            self.entries[job.entry].record_first_byte(run, now);
        }
    }

    fn done(&mut self, engine: usize, job: u64, now: Timestamp) {
        self.pauses.record_done(engine, job);
        let job = self.jobs.remove(&job).expect("the job is running");
        self.tallies[job.kind].overdue += u32::from(now > job.request.deadline);
        self.engines[engine].running -= 1;
        let target = &mut self.engines[engine];
        let free = target.running + target.reserved < target.slots;
        let next = free.then(|| target.queue.pop_front()).flatten();
        if let Some(next) = next {
            self.start(engine, next, now);
        }
        if let Some(count) = self.own[job.entry].get_mut(&engine) {
            *count -= 1;
        }
        if let Some(run) = &job.run {
            let events = job.request.length as f64 / EVENT_TOKENS;
            let span = self.engines[engine].factor * ANSWER_TOKEN_MS * job.request.length as f64;
            let span = Duration::from_secs_f64(span / 1_000.0);
            self.entries[job.entry].record_events(run, events as u32, span);
            self.entries[job.entry].end(run, Ending::Complete, now);
            self.process_queues(job.entry, now);
        }
    }

    fn process_queues(&mut self, entry: usize, now: Timestamp) {
        for (ticket, outcome) in self.entries[entry].process_queues(now) {
            if let Some((kind, request)) = self.waiting.remove(&(entry, ticket)) {
                self.outcome(entry, kind, request, outcome, now);
            }
        }
    }

    fn count_slots(&mut self) {
        if !self.waiting.is_empty() {
            let used = self.engines.iter().map(|engine| engine.running);
            self.used.0 += used.sum::<usize>();
            self.used.1 += self
                .engines
                .iter()
                .map(|engine| engine.slots)
                .sum::<usize>();
        }
    }

    fn report(&mut self, from: usize, now: Timestamp) {
        let report = self.entries[from].report(now);
        for to in (0..self.entries.len()).filter(|to| *to != from) {
            self.entries[to].apply_report(address(from as u8 + 1), report.clone(), now + HOP_DELAY);
        }
        self.schedule(now + self.report_interval, Event::Report { from });
    }

    /// Returns the largest number of requests that an endpoint received in one second.
    pub fn busiest_second(&self, engine: usize) -> usize {
        let reached = &self.engines[engine].reached;
        let second = |start: &Timestamp| {
            let end = *start + Duration::from_secs(1);
            reached
                .iter()
                .filter(|time| (*start..end).contains(time))
                .count()
        };
        reached.iter().map(second).max().unwrap_or(0)
    }
}
