//! Entries, a stub in place of the agents, and the messages between them, in simulated time.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::entry::{Action, Arrival, Ending, Entry, Event, LoanRequest};
use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_core::refusal::RefusalKind;
use comfreyhaven_core::request::BodyDigest;
use comfreyhaven_core::{BootNonce, Cost, OfferId, RequestId, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::bucket::Bucket;
use crate::fleet;

/// One-way delay between hosts.
const DELAY: Duration = Duration::from_micros(500);
/// Time before the first call, in which the shares of the entries fill.
const FILL_TIME: Duration = Duration::from_secs(30);
const CALL_TIME: Duration = Duration::from_secs(120);
/// Slot time of an answer of 4000 tokens, which is longer than any answer.
const SLOT_TIME_MAX: Duration = Duration::from_secs(8);

/// Which entries the callers reach.
#[derive(Clone, Copy)]
pub enum Callers {
    /// A random live entry for each call.
    Spread,
    /// The first entry for every call.
    One,
}

impl std::fmt::Display for Callers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(match self {
            Self::Spread => "spread",
            Self::One => "one",
        })
    }
}

/// Parameters of a run.
pub struct Scenario {
    pub hosts: usize,
    pub callers: Callers,
    /// Whether the last host is down from the start of the calls.
    pub dead: bool,
    /// Tokens used by the calls, as a fraction of the rate.
    pub load: f64,
    /// Burst, in seconds at the rate.
    pub burst: f64,
    /// Whether entries lend tokens to each other.
    pub borrows: bool,
}

/// Counts of a run.
#[derive(Default)]
pub struct Outcome {
    pub sent: u64,
    /// Requests that were refused for the rate although the exact bucket held their tokens.
    pub wrongful: u64,
    /// Requests that were admitted although the exact bucket lacked their tokens.
    pub excess: u64,
    pub loan_requests: u64,
    /// Sum of the times from arrival to admission.
    pub wait: Duration,
}

impl Outcome {
    pub fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.wrongful += other.wrongful;
        self.excess += other.excess;
        self.loan_requests += other.loan_requests;
        self.wait += other.wait;
    }
}

enum Message {
    Event(Event),
    LoanRequest { from: usize, request: LoanRequest },
}

struct Call {
    arrived: Timestamp,
    cost: Cost,
    used: u32,
    /// Whether the exact bucket held the tokens when the request arrived.
    fits: bool,
}

pub struct Simulation<'a> {
    scenario: &'a Scenario,
    entries: Vec<Entry>,
    queue: BTreeMap<(Timestamp, u64), (usize, Message)>,
    calls: HashMap<RequestId, Call>,
    bucket: Bucket,
    random: ChaCha8Rng,
    now: Timestamp,
    next: u64,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    pub fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let burst = (scenario.burst * fleet::RATE as f64) as u64;
        let fleet = Arc::new(fleet::new(scenario.hosts, burst));
        let mut simulation = Self {
            scenario,
            entries: Vec::new(),
            queue: BTreeMap::new(),
            calls: HashMap::new(),
            bucket: Bucket::new(burst),
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Timestamp::ZERO,
            next: 0,
            outcome: Outcome::default(),
        };
        simulation.start(&fleet);
        simulation
    }

    fn start(&mut self, fleet: &Arc<Fleet>) {
        for index in 0..self.scenario.hosts {
            let seed = self.random.random();
            let entry = Entry::new(fleet::host(index), BootNonce::new(seed), seed);
            self.entries.push(entry);
        }
        for index in 0..self.scenario.hosts {
            self.send(index, Duration::ZERO, Event::Configured(Arc::clone(fleet)));
        }
    }

    /// Runs until the last answer has ended and returns the counts.
    pub fn run(mut self) -> Outcome {
        self.advance(Timestamp::ZERO + FILL_TIME);
        self.outcome.loan_requests = 0;
        let end = self.now + CALL_TIME;
        while self.now < end {
            let gap = self.gap();
            self.advance(self.now + gap);
            self.call();
            if self.now > Timestamp::ZERO + SLOT_TIME_MAX {
                let settled = self.now.since(Timestamp::ZERO + SLOT_TIME_MAX * 2);
                self.bucket.settle(Timestamp::ZERO + settled);
            }
        }
        self.advance(end + SLOT_TIME_MAX * 2);
        self.outcome
    }

    /// Draws the time to the next call of a Poisson process with the load of the scenario.
    fn gap(&mut self) -> Duration {
        let mean = MEAN_USED_TOKENS / (self.scenario.load * fleet::RATE as f64);
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }

    fn call(&mut self) {
        let long = self.random.random_bool(LONG_FRACTION);
        let (prompt, output) = if long { (400, 3_000) } else { (24, 16) };
        let used = self.random.random_range(output / 4..=output);
        let cost = Cost { prompt, output };
        let id = RequestId::new(self.random.random());
        let alive = self.scenario.hosts - usize::from(self.scenario.dead);
        let entry = match self.scenario.callers {
            Callers::Spread => self.random.random_range(0..alive),
            Callers::One => 0,
        };
        let fits = self.bucket.level(self.now) >= cost.total() as f64;
        let call = Call {
            arrived: self.now,
            cost,
            used,
            fits,
        };
        self.calls.insert(id, call);
        self.outcome.sent += 1;
        let arrival = Arrival {
            id,
            key: Some(fleet::key()),
            route: fleet::route(),
            cost,
            prefixes: Vec::new(),
            body: BodyDigest(0),
            call: None,
        };
        self.handle(entry, Event::Arrived(Box::new(arrival)));
    }

    fn send(&mut self, target: usize, delay: Duration, event: Event) {
        self.post(target, delay, Message::Event(event));
    }

    fn post(&mut self, target: usize, delay: Duration, message: Message) {
        self.next += 1;
        self.queue
            .insert((self.now + delay, self.next), (target, message));
    }

    /// Delivers messages and timers up to `end`.
    fn advance(&mut self, end: Timestamp) {
        loop {
            let wakes = self.entries.iter().map(Entry::wake).enumerate();
            let (index, wake) = wakes.min_by_key(|(_, time)| *time).expect("an entry");
            let due = self
                .queue
                .first_key_value()
                .map_or(Timestamp::NEVER, |(key, _)| key.0);
            if wake.min(due) > end {
                break;
            }
            self.now = self.now.max(wake.min(due));
            if wake <= due {
                self.handle(index, Event::Tick);
            } else if let Some((_, (target, message))) = self.queue.pop_first() {
                self.deliver(target, message);
            }
        }
        self.now = self.now.max(end);
    }

    fn is_dead(&self, index: usize) -> bool {
        let calling = self.now >= Timestamp::ZERO + FILL_TIME;
        self.scenario.dead && calling && index + 1 == self.scenario.hosts
    }

    fn deliver(&mut self, target: usize, message: Message) {
        match message {
            Message::Event(event) => self.handle(target, event),
            Message::LoanRequest { from, request } if self.is_dead(target) => {
                let request = Box::new(request);
                self.send(
                    from,
                    DELAY,
                    Event::LoanAnswered {
                        request,
                        loan: None,
                    },
                );
            }
            Message::LoanRequest { from, request } => {
                let received = LoanRequest {
                    peer: fleet::host(from),
                    ..request.clone()
                };
                let actions =
                    self.entries[target].handle(Event::LoanRequested(Box::new(received)), self.now);
                for action in actions {
                    if let Action::Lend(loan) = action {
                        let request = Box::new(request.clone());
                        self.send(
                            from,
                            DELAY,
                            Event::LoanAnswered {
                                request,
                                loan: Some(loan),
                            },
                        );
                    }
                }
            }
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        for action in self.entries[index].handle(event, self.now) {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Borrow(request) => self.borrow(index, *request),
            Action::Reserve {
                endpoint,
                reservation,
            } => {
                let offer = OfferId {
                    boot: BootNonce::new(0),
                    sequence: self.next,
                };
                self.admitted(reservation.id.request);
                let event = Event::Offered {
                    id: reservation.id,
                    endpoint,
                    offer,
                };
                self.send(index, DELAY * 2, event);
            }
            Action::Dispatch { request, .. } => {
                let used = self.calls[&request].used;
                let slot_time = SLOT_TIME_MAX.mul_f64(f64::from(used) / 4_000.0);
                let ending = Ending::Whole { output: used };
                self.send(index, slot_time, Event::Ended { request, ending });
            }
            Action::Close(request) => {
                if let Some(call) = self.calls.remove(&request) {
                    let unused = u64::from(call.cost.output - call.used);
                    self.bucket.refund(request, unused);
                }
            }
            Action::Refuse { request, refusal } => self.refused(request, refusal.kind()),
            Action::Lend(_)
            | Action::Warn { .. }
            | Action::Withdraw { .. }
            | Action::Release { .. }
            | Action::Inquire { .. } => {}
        }
    }

    fn borrow(&mut self, from: usize, request: LoanRequest) {
        self.outcome.loan_requests += 1;
        if request.team.is_some() && !self.scenario.borrows {
            let request = Box::new(request);
            return self.send(
                from,
                Duration::ZERO,
                Event::LoanAnswered {
                    request,
                    loan: None,
                },
            );
        }
        let to = request.peer.as_str()[1..].parse().expect("a number");
        self.post(to, DELAY, Message::LoanRequest { from, request });
    }

    fn admitted(&mut self, request: RequestId) {
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        let tokens = call.cost.total();
        if self.bucket.level(self.now) + ROUNDING_TOKENS < tokens as f64 {
            self.outcome.excess += 1;
        }
        self.outcome.wait += self.now.since(call.arrived);
        self.bucket.charge(request, tokens, self.now);
    }

    fn refused(&mut self, request: RequestId, kind: RefusalKind) {
        let Some(call) = self.calls.remove(&request) else {
            return;
        };
        let fits = call.fits || self.bucket.level(self.now) >= call.cost.total() as f64;
        if kind == RefusalKind::RateExceeded && fits {
            self.outcome.wrongful += 1;
        }
    }
}

/// Tolerance for rounding errors of the exact bucket, in tokens.
const ROUNDING_TOKENS: f64 = 0.001;
/// Fraction of the calls that request a long answer.
const LONG_FRACTION: f64 = 0.1;
/// Mean number of tokens that a call uses.
const MEAN_USED_TOKENS: f64 =
    LONG_FRACTION * (400.0 + 0.625 * 3_000.0) + (1.0 - LONG_FRACTION) * (24.0 + 0.625 * 16.0);
