//! Several direct entries over simulated endpoints of unlike speed, for the replay of a load.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{Ask, Ending, Outcome, Run, Scheduler, Ticket};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{address, at, listing, scheduler};

/// One way between any two processes.
const HOP: Duration = Duration::from_millis(1);
const TICK: Duration = Duration::from_millis(20);
const REPORT: Duration = Duration::from_millis(40);

/// Milliseconds of an endpoint of factor one.
const FIRST_MS: f64 = 26.0;
const PROMPT_TOKEN_MS: f64 = 0.0064;
const ANSWER_TOKEN_MS: f64 = 4.2;
/// Tokens of an event.
const STRIDE: f64 = 6.0;

/// How requests find an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The scheduler's.
    Scheduled,
    /// To the endpoint with fewest of the entry's own requests, at once; it queues there.
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

/// What became of the requests of one kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub asked: u32,
    pub timely: u32,
    pub late: u32,
    pub refused: u32,
    /// Answers that were not whole at their deadline.
    pub cut: u32,
}

impl Tally {
    pub fn timely_part(&self) -> f64 {
        f64::from(self.timely) / f64::from(self.asked.max(1))
    }

    pub fn served_part(&self) -> f64 {
        f64::from(self.timely + self.late) / f64::from(self.asked.max(1))
    }
}

#[derive(Debug, Clone)]
enum Event {
    Arrive { entry: usize, kind: usize, ask: Ask },
    Reach { engine: usize, job: u64 },
    First { engine: usize, job: u64 },
    Done { engine: usize, job: u64 },
    Report { from: usize },
    Tick { entry: usize },
}

#[derive(Debug)]
struct Engine {
    id: String,
    slots: usize,
    factor: f64,
    running: usize,
    queue: VecDeque<u64>,
    /// When the prompts that it has taken in are read.
    read: Timestamp,
    reached: Vec<Timestamp>,
}

#[derive(Debug)]
struct Job {
    entry: usize,
    kind: usize,
    ask: Ask,
    run: Option<Run>,
}

pub struct World {
    pub entries: Vec<Scheduler>,
    policy: Policy,
    kinds: Vec<Kind>,
    engines: Vec<Engine>,
    own: Vec<HashMap<usize, usize>>,
    jobs: HashMap<u64, Job>,
    waiting: HashMap<(usize, Ticket), (usize, Ask)>,
    events: BTreeMap<(Timestamp, u64), Event>,
    next: u64,
    random: ChaCha8Rng,
    pub tallies: Vec<Tally>,
}

impl World {
    pub fn new(policy: Policy, entries: u8, factors: &[f64], slots: u32, kinds: &[Kind]) -> Self {
        let seeds: Vec<u8> = (1..=entries).collect();
        let mut world = Self {
            entries: seeds
                .iter()
                .map(|index| scheduler(*index, &seeds))
                .collect(),
            policy,
            kinds: kinds.to_vec(),
            engines: Vec::new(),
            own: vec![HashMap::new(); usize::from(entries)],
            jobs: HashMap::new(),
            waiting: HashMap::new(),
            events: BTreeMap::new(),
            next: 0,
            random: ChaCha8Rng::seed_from_u64(7),
            tallies: vec![Tally::default(); kinds.len()],
        };
        for (index, factor) in factors.iter().enumerate() {
            let id = format!("e{index}");
            for entry in &mut world.entries {
                entry.list(listing(&id, slots), at(0));
            }
            world.engines.push(Engine {
                id,
                slots: slots as usize,
                factor: *factor,
                running: 0,
                queue: VecDeque::new(),
                read: at(0),
                reached: Vec::new(),
            });
        }
        for entry in 0..usize::from(entries) {
            world.add(at(1), Event::Report { from: entry });
            world.add(at(2), Event::Tick { entry });
        }
        world
    }

    fn add(&mut self, time: Timestamp, event: Event) {
        self.next += 1;
        self.events.insert((time, self.next), event);
    }

    /// Adds arrivals at `load` times the kinds' rates, to entries of unlike share.
    pub fn load(&mut self, from: u64, to: u64, load: f64) {
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
        let spread = |random: &mut ChaCha8Rng, mean: f64| {
            // A skewed size: most are small, a few several times the mean.
            let drawn: f64 = random.random::<f64>();
            (mean * (0.2 + 2.4 * drawn * drawn)) as u64 + 1
        };
        let share: f64 = self.random.random();
        let entry = ((share * share) * self.entries.len() as f64) as usize;
        let ask = Ask {
            prompt: spread(&mut self.random, shape.prompt),
            length: spread(&mut self.random, shape.length),
            objective: time + Duration::from_millis(shape.objective),
            ..super::ask(self.next, shape.rank, time)
        };
        self.add(time, Event::Arrive { entry, kind, ask });
    }

    /// Plays until `end`.
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
            Event::Arrive { entry, kind, ask } => self.ask(entry, kind, ask, now),
            Event::Reach { engine, job } => self.reach(engine, job, now),
            Event::First { engine, job } => self.first(engine, job, now),
            Event::Done { engine, job } => self.done(engine, job, now),
            Event::Report { from } => self.report(from, now),
            Event::Tick { entry } => {
                self.settle(entry, now);
                self.add(now + TICK, Event::Tick { entry });
            }
        }
    }

    fn ask(&mut self, entry: usize, kind: usize, ask: Ask, now: Timestamp) {
        self.tallies[kind].asked += 1;
        if self.policy == Policy::Naive {
            let busy = |engine: &usize| self.own[entry].get(engine).copied().unwrap_or(0);
            let engine = (0..self.engines.len()).min_by_key(busy).expect("an engine");
            let job = Job {
                entry,
                kind,
                ask,
                run: None,
            };
            return self.send(job, engine, now);
        }
        match self.entries[entry].ask(ask.clone(), now) {
            Some(outcome) => self.outcome(entry, kind, ask, outcome, now),
            None => drop(self.waiting.insert((entry, ask.ticket), (kind, ask))),
        }
    }

    fn outcome(&mut self, entry: usize, kind: usize, ask: Ask, outcome: Outcome, now: Timestamp) {
        match outcome {
            Outcome::Turned(_) => self.tallies[kind].refused += 1,
            Outcome::Placed(placement) => {
                let id = &*placement.listing.id;
                let engine = self.engines.iter().position(|engine| engine.id == id);
                let engine = engine.expect("a listed engine");
                let job = Job {
                    entry,
                    kind,
                    ask,
                    run: Some(placement.run),
                };
                self.send(job, engine, now);
            }
        }
    }

    fn send(&mut self, job: Job, engine: usize, now: Timestamp) {
        *self.own[job.entry].entry(engine).or_default() += 1;
        let number = self.next;
        self.jobs.insert(number, job);
        self.add(
            now + HOP,
            Event::Reach {
                engine,
                job: number,
            },
        );
    }

    fn reach(&mut self, engine: usize, job: u64, now: Timestamp) {
        self.engines[engine].reached.push(now);
        if self.engines[engine].running < self.engines[engine].slots {
            self.begin(engine, job, now);
        } else {
            self.engines[engine].queue.push_back(job);
        }
    }

    fn begin(&mut self, engine: usize, job: u64, now: Timestamp) {
        let ask = &self.jobs[&job].ask;
        let at_work = &mut self.engines[engine];
        at_work.running += 1;
        let span = |millis: f64| Duration::from_secs_f64(millis / 1_000.0);
        let reading = span(at_work.factor * PROMPT_TOKEN_MS * ask.prompt as f64);
        at_work.read = at_work.read.max(now) + reading;
        let first = at_work.read + span(at_work.factor * FIRST_MS);
        let done = first + span(at_work.factor * ANSWER_TOKEN_MS * ask.length as f64);
        self.add(first + HOP, Event::First { engine, job });
        self.add(done + HOP, Event::Done { engine, job });
    }

    fn first(&mut self, _engine: usize, job: u64, now: Timestamp) {
        let job = self.jobs.get_mut(&job).expect("a job");
        let tally = &mut self.tallies[job.kind];
        match now <= job.ask.objective {
            true => tally.timely += 1,
            false => tally.late += 1,
        }
        if let Some(run) = &mut job.run {
            self.entries[job.entry].begin(run, now);
        }
    }

    fn done(&mut self, engine: usize, job: u64, now: Timestamp) {
        let job = self.jobs.remove(&job).expect("a job");
        self.tallies[job.kind].cut += u32::from(now > job.ask.deadline);
        self.engines[engine].running -= 1;
        if let Some(next) = self.engines[engine].queue.pop_front() {
            self.begin(engine, next, now);
        }
        if let Some(count) = self.own[job.entry].get_mut(&engine) {
            *count -= 1;
        }
        if let Some(run) = &job.run {
            let events = job.ask.length as f64 / STRIDE;
            let span = self.engines[engine].factor * ANSWER_TOKEN_MS * job.ask.length as f64;
            let span = Duration::from_secs_f64(span / 1_000.0);
            self.entries[job.entry].stream(run, events as u32, span);
            self.entries[job.entry].end(run, Ending::Whole, now);
            self.settle(job.entry, now);
        }
    }

    fn settle(&mut self, entry: usize, now: Timestamp) {
        for (ticket, outcome) in self.entries[entry].settle(now) {
            if let Some((kind, ask)) = self.waiting.remove(&(entry, ticket)) {
                self.outcome(entry, kind, ask, outcome, now);
            }
        }
    }

    fn report(&mut self, from: usize, now: Timestamp) {
        let report = self.entries[from].report(now);
        for to in (0..self.entries.len()).filter(|to| *to != from) {
            self.entries[to].hear(address(from as u8 + 1), report.clone(), now + HOP);
        }
        self.add(now + REPORT, Event::Report { from });
    }

    /// The most requests that one endpoint got in any second.
    pub fn busiest_second(&self, engine: usize) -> usize {
        let reached = &self.engines[engine].reached;
        let second = |begin: &Timestamp| {
            let end = *begin + Duration::from_secs(1);
            reached
                .iter()
                .filter(|time| (*begin..end).contains(time))
                .count()
        };
        reached.iter().map(second).max().unwrap_or(0)
    }
}
