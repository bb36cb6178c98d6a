//! A large fleet of direct entries whose reports travel through a network that delays and drops
//! them, and a store that counts its calls.

mod store;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{
    Bounds, EndpointRecord, LendingMessage, Plan, Policies, RatePolicy, ReadCursor, Report,
    Scheduler, Section,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{at, bounds, plan, rate_policy};
use store::StoreAnswer;

/// Data centres of the fleet.
pub const CENTRES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Processor shares of entries in thousandths of a core: a few strong entries, and many thin ones.
const STRONG: u16 = 500;
const THIN: u16 = 90;

/// One entry in this many is strong.
const STRONG_EVERY: usize = 7;

/// Time for which entries of one start differ, in milliseconds.
const START_SPREAD: u64 = 300;

/// Network delay.
const DELAY: Duration = Duration::from_millis(2);

pub fn entry_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 200) as u8, (index % 200) as u8 + 1], 7_600))
}

#[derive(Debug)]
enum Event {
    Start(usize),
    Send(usize),
    Read(usize),
    Answer(usize, Box<StoreAnswer>),
    Arrive {
        from: SocketAddr,
        to: usize,
        report: Box<Report>,
    },
    Lend {
        from: SocketAddr,
        to: usize,
        message: LendingMessage,
    },
}

/// The fleet and its network.
pub struct FleetNetwork {
    pub entries: Vec<Option<Scheduler>>,
    indices: HashMap<SocketAddr, usize>,
    /// Entries are unreachable for those of another group.
    pub groups: Vec<u8>,
    pub loss: f64,
    /// Optional decisions of entries that start.
    pub policies: Policies,
    /// Whether reports hold the work of teams.
    pub reports_work: bool,
    /// Time that messages take.
    pub delay: Duration,
    /// Whether the store answers.
    pub store_up: bool,
    /// Time that an answer of the store takes.
    pub store_delay: Duration,
    /// Group that does not reach the store.
    pub without_store: Option<u8>,
    /// How often the store was restored from a copy.
    pub era: u64,
    /// Version of the configuration that the store shows, which is also its revision.
    pub version: u64,
    /// The endpoint records that the store shows, if the fleet reads them.
    pub listed: Option<Vec<EndpointRecord>>,
    pub store_calls: usize,
    /// Reads of a whole section.
    pub whole_reads: usize,
    cursors: Vec<[ReadCursor; 2]>,
    /// Answers to the reads of one step.
    answers: Vec<(usize, StoreAnswer)>,
    /// Until when each entry's watch of the endpoints waits for a change.
    watched: Vec<Timestamp>,
    /// How many reads of each entry have failed in a row, and until when it pauses.
    failed: Vec<(u32, Timestamp)>,
    /// Reports that each entry has sent.
    pub sent: Vec<usize>,
    /// Incarnation of each entry, which its events belong to.
    starts: Vec<u64>,
    /// Rate of the team in units per second, and units by which a window may be exceeded.
    rate: u64,
    slack: f64,
    events: BTreeMap<(Timestamp, u64), (u64, Event)>,
    next: u64,
    pub now: u64,
    random: ChaCha8Rng,
}

impl FleetNetwork {
    /// Creates a fleet of `count` entries, all of which start within [`START_SPREAD`].
    pub fn new(count: usize) -> Self {
        let mut fleet = Self {
            entries: (0..count).map(|_| None).collect(),
            indices: (0..count)
                .map(|index| (entry_address(index), index))
                .collect(),
            groups: vec![0; count],
            loss: 0.01,
            policies: Policies::default(),
            reports_work: true,
            delay: DELAY,
            store_up: true,
            store_delay: Duration::ZERO,
            without_store: None,
            era: 0,
            version: 10,
            listed: None,
            store_calls: 0,
            whole_reads: 0,
            cursors: vec![Default::default(); count],
            answers: Vec::new(),
            watched: vec![Timestamp::ZERO; count],
            failed: vec![(0, Timestamp::ZERO); count],
            sent: vec![0; count],
            starts: vec![0; count],
            rate: 1_000,
            slack: 0.0,
            events: BTreeMap::new(),
            next: 0,
            now: 0,
            random: ChaCha8Rng::seed_from_u64(5),
        };
        fleet.start_all();
        fleet
    }

    /// Sets the rate of the team, which no entry has started with yet.
    pub fn with_rate(mut self, rate: u64, slack: f64) -> Self {
        (self.rate, self.slack) = (rate, slack);
        self
    }

    fn plan(&self) -> Arc<Plan> {
        let mut plan = Plan::clone(&plan(self.version));
        plan.teams = vec![Arc::new(super::team(self.rate))];
        Arc::new(plan)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the incarnation of an entry, running or not.
    pub fn start_of(&self, index: usize) -> u64 {
        self.starts[index]
    }

    /// Returns the running entries.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Scheduler)> {
        let entries = self.entries.iter().enumerate();
        entries.filter_map(|(index, entry)| Some((index, entry.as_ref()?)))
    }

    pub fn centre(index: usize) -> &'static str {
        CENTRES[index % CENTRES.len()]
    }

    fn start_all(&mut self) {
        for index in 0..self.len() {
            let after = self.random.random_range(0..START_SPREAD);
            self.start(index, after);
        }
    }

    /// Starts an entry after `after` milliseconds.
    pub fn start(&mut self, index: usize, after: u64) {
        self.starts[index] += 1;
        self.schedule(at(self.now + after), index, Event::Start(index));
    }

    pub fn kill(&mut self, index: usize) {
        self.entries[index] = None;
        self.starts[index] += 1;
    }

    pub fn kill_all(&mut self) {
        for index in 0..self.len() {
            self.kill(index);
        }
    }

    pub fn restart_all(&mut self) {
        self.start_all();
    }

    fn schedule(&mut self, time: Timestamp, owner: usize, event: Event) {
        self.next += 1;
        let start = self.starts[owner];
        self.events.insert((time, self.next), (start, event));
    }

    /// Runs for `millis` and calls `step` every 10 ms.
    pub fn run_with(&mut self, millis: u64, mut step: impl FnMut(&mut Self)) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 10;
            while let Some((&(time, _), _)) = self.events.first_key_value()
                && time <= at(self.now)
            {
                if let Some(((time, _), (start, event))) = self.events.pop_first() {
                    self.handle(event, start, time);
                }
            }
            step(self);
        }
    }

    pub fn run(&mut self, millis: u64) {
        self.run_with(millis, |_| {});
    }

    fn handle(&mut self, event: Event, start: u64, now: Timestamp) {
        match event {
            Event::Start(index) if self.starts[index] == start => self.boot(index, now),
            Event::Send(index) if self.starts[index] == start => self.send(index, now),
            Event::Read(index) if self.starts[index] == start => self.read(index, now),
            Event::Answer(index, answer) if self.starts[index] == start => {
                self.apply_answer(index, *answer, now);
            }
            Event::Arrive { from, to, report } => self.arrive(from, to, *report, now),
            Event::Lend { from, to, message } => self.lend(from, to, message, now),
            Event::Start(_) | Event::Send(_) | Event::Read(_) | Event::Answer(..) => {}
        }
    }

    fn boot(&mut self, index: usize, now: Timestamp) {
        let bounds = Bounds {
            rate_policy: RatePolicy {
                slack: self.slack,
                ..rate_policy(self.starts[index] == 1)
            },
            ..bounds()
        };
        let seeds = (0..3).map(entry_address).collect();
        let capacity = if index.is_multiple_of(STRONG_EVERY) {
            STRONG
        } else {
            THIN
        };
        let boot = self.starts[index] * 1_000_000 + index as u64 + 1;
        let scheduler = Scheduler::new(
            entry_address(index),
            Self::centre(index).into(),
            seeds,
            bounds,
            boot,
        )
        .with_capacity(capacity)
        .with_policies(self.policies)
        .with_start(now);
        self.watched[index] = Timestamp::ZERO;
        self.failed[index] = (0, Timestamp::ZERO);
        self.cursors[index] = Default::default();
        self.entries[index] = Some(scheduler);
        self.schedule(now, index, Event::Read(index));
        self.schedule(now + DELAY, index, Event::Send(index));
    }

    fn send(&mut self, index: usize, now: Timestamp) {
        let Some(entry) = &mut self.entries[index] else {
            return;
        };
        let reports = entry.reports(now);
        entry.expire_peers(now);
        entry.remove_expired(now);
        entry.release_kept(now);
        let interval = entry.report_interval();
        self.sent[index] += reports.len();
        self.schedule(now + interval, index, Event::Send(index));
        for (address, mut report) in reports {
            report.shares.retain(|_| self.reports_work);
            let Some(&to) = self.indices.get(&address) else {
                continue;
            };
            if self.groups[to] == self.groups[index] && !self.random.random_bool(self.loss) {
                let event = Event::Arrive {
                    from: entry_address(index),
                    to,
                    report: Box::new(report),
                };
                self.schedule(now + self.delay, to, event);
            }
        }
    }

    fn arrive(&mut self, from: SocketAddr, to: usize, report: Report, now: Timestamp) {
        let effect = match &mut self.entries[to] {
            Some(entry) => entry.apply_report(from, report, now),
            None => return,
        };
        if effect.newer
            && let Some(sender) = &self.entries[self.indices[&from]]
            && let Some(entry) = &self.entries[to]
        {
            let known = entry.store_progress().revision(Section::Endpoints);
            let snapshot = sender.snapshot(entry.plan().version, known, now);
            if let Some(entry) = &mut self.entries[to] {
                entry.apply_snapshot(snapshot, now, now);
            }
        }
    }

    /// Sends an entry's questions for requests to limited endpoints.
    pub fn ask_lenders(&mut self, index: usize, now: Timestamp) {
        let Some(entry) = &mut self.entries[index] else {
            return;
        };
        for (to, message) in entry.lending_questions(now) {
            self.send_lending(index, to, message, now);
        }
    }

    fn send_lending(
        &mut self,
        index: usize,
        to: SocketAddr,
        message: LendingMessage,
        now: Timestamp,
    ) {
        let from = entry_address(index);
        let to = self.indices[&to];
        if self.groups[to] == self.groups[index] && !self.random.random_bool(self.loss) {
            self.schedule(now + self.delay, to, Event::Lend { from, to, message });
        }
    }

    fn lend(&mut self, from: SocketAddr, to: usize, message: LendingMessage, now: Timestamp) {
        let Some(entry) = &mut self.entries[to] else {
            return;
        };
        match entry.apply_lending_message(from, message, now) {
            Some(answer) => self.send_lending(to, from, answer, now),
            None => self.ask_lenders(to, now),
        }
    }

    /// Returns the greatest age of a running entry's confirmation.
    pub fn oldest_confirmation(&self) -> Duration {
        let now = at(self.now);
        let ages = self
            .running()
            .map(|(_, entry)| entry.confirmation().age(now).unwrap_or(Duration::MAX));
        ages.max().unwrap_or_default()
    }

    /// Adds the same endpoint to every running entry.
    pub fn add_endpoint(&mut self, id: &str, slots: u32, cold: Duration) {
        let now = at(self.now);
        for entry in self.entries.iter_mut().flatten() {
            let record = EndpointRecord {
                cold,
                sequence: 2,
                ..super::endpoint_record(id, slots)
            };
            entry.upsert_endpoint(record, now);
        }
    }

    /// Returns the requests that an entry believes to run at an endpoint.
    pub fn running_at(&self, index: usize, id: &str) -> u32 {
        let entry = self.entries[index].as_ref();
        let state = entry.and_then(|entry| entry.endpoints().get(id));
        state.map_or(0, |state| state.load().running)
    }

    /// Publishes a configuration and returns the milliseconds until every running entry has it.
    pub fn publish(&mut self, limit: u64) -> u64 {
        self.version += 3;
        let started = self.now;
        while self.now < started + limit {
            self.run(10);
            let version = self.version;
            if self.running().all(|(_, e)| e.plan().version == version) {
                break;
            }
        }
        self.now - started
    }
}

/// Returns the team that all entries share.
pub fn shared_team(entry: &Scheduler) -> Arc<comfreyhaven_core::direct::PlanTeam> {
    Arc::clone(&entry.plan().teams[0])
}
