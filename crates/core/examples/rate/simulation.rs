//! Entries, a stub of an agent, and the messages between them, in simulated time.

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

/// One way between hosts.
const DELAY: Duration = Duration::from_micros(500);
/// Time in which shares fill before anyone calls.
const FILL_TIME: Duration = Duration::from_secs(30);
const CALL_TIME: Duration = Duration::from_secs(120);
/// Longest time of an answer.
const HOLD_MAX: Duration = Duration::from_secs(8);

/// Which entries the callers reach.
#[derive(Clone, Copy)]
pub enum Callers {
    /// All that live, at random.
    Spread,
    /// The first.
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

/// What one run is about.
pub struct Plan {
    pub hosts: usize,
    pub callers: Callers,
    /// Whether the last host is dead from the start of the calls.
    pub dead: bool,
    /// Tokens asked for, as a part of the rate.
    pub load: f64,
    /// Burst in seconds of the rate.
    pub burst: f64,
    pub borrows: bool,
}

/// What was counted.
#[derive(Default)]
pub struct Outcome {
    pub sent: u64,
    pub wrongful: u64,
    pub excess: u64,
    pub asks: u64,
    pub wait: Duration,
}

impl Outcome {
    pub fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.wrongful += other.wrongful;
        self.excess += other.excess;
        self.asks += other.asks;
        self.wait += other.wait;
    }
}

enum Message {
    Event(Event),
    Ask { from: usize, ask: LoanRequest },
}

struct Call {
    arrived: Timestamp,
    cost: Cost,
    used: u32,
    /// Whether the exact bucket held the tokens when the request arrived.
    fits: bool,
}

pub struct Simulation<'a> {
    plan: &'a Plan,
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
    pub fn new(plan: &'a Plan, seed: u64) -> Self {
        let burst = (plan.burst * fleet::RATE as f64) as u64;
        let fleet = Arc::new(fleet::new(plan.hosts, burst));
        let mut simulation = Self {
            plan,
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
        for index in 0..self.plan.hosts {
            let seed = self.random.random();
            let entry = Entry::new(fleet::host(index), BootNonce::new(seed), seed);
            self.entries.push(entry);
        }
        for index in 0..self.plan.hosts {
            self.send(index, Duration::ZERO, Event::Configured(Arc::clone(fleet)));
        }
    }

    /// Runs to the end of the calls and returns what was counted.
    pub fn run(mut self) -> Outcome {
        self.advance(Timestamp::ZERO + FILL_TIME);
        self.outcome.asks = 0;
        let end = self.now + CALL_TIME;
        while self.now < end {
            let gap = self.gap();
            self.advance(self.now + gap);
            self.call();
            if self.now > Timestamp::ZERO + HOLD_MAX {
                let settled = self.now.since(Timestamp::ZERO + HOLD_MAX * 2);
                self.bucket.settle(Timestamp::ZERO + settled);
            }
        }
        self.advance(end + HOLD_MAX * 2);
        self.outcome
    }

    /// Time to the next call: independent calls whose tokens make up the load.
    fn gap(&mut self) -> Duration {
        let mean = MEAN_USED / (self.plan.load * fleet::RATE as f64);
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }

    fn call(&mut self) {
        let long = self.random.random_bool(LONG_PART);
        let (prompt, output) = if long { (400, 3_000) } else { (24, 16) };
        let used = self.random.random_range(output / 4..=output);
        let cost = Cost { prompt, output };
        let id = RequestId::new(self.random.random());
        let alive = self.plan.hosts - usize::from(self.plan.dead);
        let entry = match self.plan.callers {
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
        self.plan.dead && calling && index + 1 == self.plan.hosts
    }

    fn deliver(&mut self, target: usize, message: Message) {
        match message {
            Message::Event(event) => self.handle(target, event),
            Message::Ask { from, ask } if self.is_dead(target) => {
                let ask = Box::new(ask);
                self.send(
                    from,
                    DELAY,
                    Event::LoanAnswered {
                        request: ask,
                        loan: None,
                    },
                );
            }
            Message::Ask { from, ask } => {
                let asked = LoanRequest {
                    peer: fleet::host(from),
                    ..ask.clone()
                };
                let actions =
                    self.entries[target].handle(Event::LoanRequested(Box::new(asked)), self.now);
                for action in actions {
                    if let Action::Lend(loan) = action {
                        let ask = Box::new(ask.clone());
                        self.send(
                            from,
                            DELAY,
                            Event::LoanAnswered {
                                request: ask,
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
            Action::Borrow(ask) => self.borrow(index, *ask),
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
                let hold = HOLD_MAX.mul_f64(f64::from(used) / 4_000.0);
                let ending = Ending::Whole { output: used };
                self.send(index, hold, Event::Ended { request, ending });
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

    fn borrow(&mut self, from: usize, ask: LoanRequest) {
        self.outcome.asks += 1;
        if ask.team.is_some() && !self.plan.borrows {
            let ask = Box::new(ask);
            return self.send(
                from,
                Duration::ZERO,
                Event::LoanAnswered {
                    request: ask,
                    loan: None,
                },
            );
        }
        let to = ask.peer.as_str()[1..].parse().expect("a number");
        self.post(to, DELAY, Message::Ask { from, ask });
    }

    fn admitted(&mut self, request: RequestId) {
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        let tokens = call.cost.total();
        if self.bucket.level(self.now) + ROUNDING < tokens as f64 {
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

/// Tokens within which the exact bucket's arithmetic may differ.
const ROUNDING: f64 = 0.001;
/// Part of the calls that ask for a long answer.
const LONG_PART: f64 = 0.1;
/// Tokens that a call uses on average.
const MEAN_USED: f64 =
    LONG_PART * (400.0 + 0.625 * 3_000.0) + (1.0 - LONG_PART) * (24.0 + 0.625 * 16.0);
