//! Compares ways against a few slow answers, under several loads.
//!
//! Twelve endpoints with four slots and a queue each answer requests; either 1 answer in 50 takes ten
//! times as long, or all answers of one endpoint take four times as long. Hedges are decided by the
//! core's own modules.
//!
//! Run it with `cargo run --release -p comfreyhaven-core --example hedging`.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{Hedging, ServiceUse, WaitEnd};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use strum::{Display, EnumIter, IntoEnumIterator};

const ENDPOINTS: usize = 12;
const SLOTS: usize = 4;
const QUEUE_LIMIT: usize = 8;
const REQUESTS: usize = 200_000;
const KIND: u64 = 1;

/// Mean time of a usual answer, of which half is constant, in milliseconds.
const MEAN_MS: f64 = 60.0;

/// Time from the first answer until the other copy has ended, in milliseconds.
const CANCEL_MS: f64 = 5.0;

/// Fixed delay of a hedge, three times the mean.
const FIXED_MS: f64 = 180.0;

/// Hedges as a part of all requests.
const PART: f64 = 0.03;

/// Weight of a new answer in an endpoint's estimate.
const ESTIMATE_WEIGHT: f64 = 0.05;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
enum Way {
    /// The less busy of two endpoints.
    Nothing,
    /// A hedge after a fixed delay, without a limit.
    Fixed,
    /// Two copies at once; the second one ends when the first one starts.
    Tied,
    /// A hedge at the learned percentile, within the limit.
    Percentile,
    /// The endpoint with the least estimate.
    Steering,
    /// Both of the last two.
    Both,
}

#[derive(Debug, Clone, Copy, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
enum Trouble {
    SlowAnswers,
    SlowEndpoint,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive,
    Hedge(usize),
    End(usize),
    Cancel(usize),
}

#[derive(Debug)]
struct Attempt {
    request: usize,
    endpoint: usize,
    sent: f64,
    started: Option<f64>,
    ended: bool,
}

#[derive(Debug, Default)]
struct Request {
    arrived: f64,
    attempts: Vec<usize>,
    took: Option<f64>,
}

#[derive(Debug, Default)]
struct Endpoint {
    running: usize,
    queue: VecDeque<usize>,
    /// Average time of its answers, in milliseconds.
    estimate: f64,
}

impl Endpoint {
    fn load(&self) -> usize {
        self.running + self.queue.len()
    }
}

struct Simulation {
    way: Way,
    trouble: Trouble,
    service: Arc<str>,
    hedging: Hedging,
    endpoints: Vec<Endpoint>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    events: BTreeMap<(u64, usize), Event>,
    next: usize,
    now: f64,
    /// Slot time of all attempts.
    busy: f64,
    refused: usize,
    random: ChaCha8Rng,
}

impl Simulation {
    fn new(way: Way, trouble: Trouble) -> Self {
        let mut hedging = Hedging::default();
        hedging.set_part(PART);
        let endpoint = || Endpoint {
            estimate: MEAN_MS,
            ..Endpoint::default()
        };
        Self {
            way,
            trouble,
            service: "look".into(),
            hedging,
            endpoints: (0..ENDPOINTS).map(|_| endpoint()).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            events: BTreeMap::new(),
            next: 0,
            now: 0.0,
            busy: 0.0,
            refused: 0,
            random: ChaCha8Rng::seed_from_u64(3),
        }
    }

    fn schedule(&mut self, after: f64, event: Event) {
        self.next += 1;
        let time = ((self.now + after) * 1_000.0) as u64;
        self.events.insert((time, self.next), event);
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_micros((self.now * 1_000.0) as u64)
    }

    fn run(&mut self, load: f64) {
        let mean = match self.trouble {
            Trouble::SlowAnswers => MEAN_MS * 1.18,
            Trouble::SlowEndpoint => MEAN_MS,
        };
        let gap = mean / (load * (ENDPOINTS * SLOTS) as f64);
        self.schedule(0.0, Event::Arrive);
        while let Some(((time, _), event)) = self.events.pop_first() {
            self.now = time as f64 / 1_000.0;
            match event {
                Event::Arrive => self.arrive(gap),
                Event::Hedge(request) => self.hedge(request),
                Event::End(attempt) => self.end(attempt),
                Event::Cancel(attempt) => self.cancel(attempt),
            }
        }
    }

    fn arrive(&mut self, gap: f64) {
        let request = self.requests.len();
        if request + 1 < REQUESTS {
            let after = -gap * (1.0 - self.random.random::<f64>()).ln();
            self.schedule(after, Event::Arrive);
        }
        self.requests.push(Request {
            arrived: self.now,
            ..Request::default()
        });
        self.hedging.count_request(&self.service);
        let first = self.choose(None);
        if self.endpoints[first].queue.len() >= QUEUE_LIMIT {
            self.refused += 1;
            return;
        }
        self.send(request, first);
        if self.way == Way::Tied && self.attempt_of(request).started.is_none() {
            let second = self.choose(Some(first));
            self.send(request, second);
        }
        let delay = match self.way {
            Way::Fixed => Some(FIXED_MS),
            Way::Percentile | Way::Both => self
                .hedging
                .delay(KIND, self.time())
                .map(|delay| delay.as_secs_f64() * 1_000.0),
            Way::Nothing | Way::Tied | Way::Steering => None,
        };
        if let Some(delay) = delay {
            self.schedule(delay, Event::Hedge(request));
        }
    }

    /// Returns the slot time for each request that was not refused.
    fn busy_each(&self) -> f64 {
        self.busy / (self.requests.len() - self.refused) as f64
    }

    fn attempt_of(&self, request: usize) -> &Attempt {
        &self.attempts[self.requests[request].attempts[0]]
    }

    /// Chooses an endpoint other than `first`.
    fn choose(&mut self, first: Option<usize>) -> usize {
        let others: Vec<_> = (0..ENDPOINTS).filter(|e| Some(*e) != first).collect();
        if matches!(self.way, Way::Steering | Way::Both) {
            let cost = |e: &usize| {
                let endpoint = &self.endpoints[*e];
                let waiting = endpoint.load() as f64 / SLOTS as f64;
                endpoint.estimate * (1.0 + waiting)
            };
            let least = others
                .into_iter()
                .min_by(|a, b| cost(a).total_cmp(&cost(b)));
            return least.unwrap_or_default();
        }
        let mut draw = || others[self.random.random_range(0..others.len())];
        let (one, other) = (draw(), draw());
        if self.endpoints[one].load() <= self.endpoints[other].load() {
            one
        } else {
            other
        }
    }

    fn send(&mut self, request: usize, endpoint: usize) {
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            endpoint,
            sent: self.now,
            started: None,
            ended: false,
        });
        self.requests[request].attempts.push(attempt);
        if self.endpoints[endpoint].running < SLOTS {
            self.start(attempt);
        } else {
            self.endpoints[endpoint].queue.push_back(attempt);
        }
    }

    fn start(&mut self, attempt: usize) {
        let Attempt {
            request, endpoint, ..
        } = self.attempts[attempt];
        self.attempts[attempt].started = Some(self.now);
        self.endpoints[endpoint].running += 1;
        let usual = MEAN_MS / 2.0 * (1.0 - (1.0 - self.random.random::<f64>()).ln());
        let factor = match self.trouble {
            Trouble::SlowAnswers if self.random.random_ratio(1, 50) => 10.0,
            Trouble::SlowEndpoint if endpoint == 0 => 4.0,
            Trouble::SlowAnswers | Trouble::SlowEndpoint => 1.0,
        };
        self.schedule(usual * factor, Event::End(attempt));
        if self.way == Way::Tied {
            self.cancel_others(request, attempt);
        }
    }

    fn cancel_others(&mut self, request: usize, kept: usize) {
        for other in self.requests[request].attempts.clone() {
            if other != kept && !self.attempts[other].ended {
                self.schedule(CANCEL_MS, Event::Cancel(other));
            }
        }
    }

    fn hedge(&mut self, request: usize) {
        if self.requests[request].took.is_some() {
            return;
        }
        let first = self.attempt_of(request).endpoint;
        let second = self.choose(Some(first));
        if self.way != Way::Fixed {
            let running: usize = self.endpoints.iter().map(|e| e.running).sum();
            let service = ServiceUse {
                waiting: self.endpoints.iter().map(|e| e.queue.len()).sum(),
                free: (ENDPOINTS * SLOTS - running) as u32,
                slots: (ENDPOINTS * SLOTS) as u32,
            };
            let is_free = self.endpoints[second].running < SLOTS;
            let service_name = Arc::clone(&self.service);
            if service.is_overloaded() || !is_free || !self.hedging.take(&service_name) {
                let delay = self.hedging.delay(KIND, self.time()).unwrap_or_default();
                let delay = delay.as_secs_f64() * 1_000.0;
                return self.schedule(delay / 2.0, Event::Hedge(request));
            }
        }
        self.send(request, second);
    }

    fn end(&mut self, attempt: usize) {
        let Attempt {
            request,
            endpoint,
            sent,
            ended,
            ..
        } = self.attempts[attempt];
        if ended {
            return;
        }
        let took = self.now - sent;
        self.observe(endpoint, took);
        self.record(took, WaitEnd::Answered);
        let is_first = self.requests[request].took.is_none();
        self.release(attempt);
        if is_first {
            self.requests[request].took = Some(self.now - self.requests[request].arrived);
            self.cancel_others(request, attempt);
        }
    }

    fn cancel(&mut self, attempt: usize) {
        let Attempt {
            request,
            endpoint,
            sent,
            started,
            ended,
        } = self.attempts[attempt];
        // Of two copies that started at the same moment, neither ends the other.
        let both_run = started.is_some() && self.requests[request].took.is_none();
        if ended || both_run {
            return;
        }
        let took = self.now - sent;
        self.record(took, WaitEnd::Cancelled);
        if took > self.endpoints[endpoint].estimate {
            self.observe(endpoint, took);
        }
        if started.is_some() {
            return self.release(attempt);
        }
        self.attempts[attempt].ended = true;
        self.endpoints[endpoint]
            .queue
            .retain(|queued| *queued != attempt);
    }

    fn observe(&mut self, endpoint: usize, took: f64) {
        let estimate = &mut self.endpoints[endpoint].estimate;
        *estimate += ESTIMATE_WEIGHT * (took.min(*estimate * 4.0) - *estimate);
    }

    fn record(&mut self, took: f64, end: WaitEnd) {
        let took = Duration::from_secs_f64(took / 1_000.0);
        self.hedging.record(KIND, took, end, self.time());
    }

    fn release(&mut self, attempt: usize) {
        let Attempt {
            endpoint, started, ..
        } = self.attempts[attempt];
        let busy = self.now - started.unwrap_or(self.now);
        self.busy += busy;
        self.attempts[attempt].ended = true;
        self.endpoints[endpoint].running -= 1;
        if let Some(next) = self.endpoints[endpoint].queue.pop_front() {
            self.start(next);
        }
    }
}

fn main() {
    println!(
        "{:>14} {:>5} {:>11} | {:>6} {:>6} {:>6} | {:>7} {:>7} {:>8}",
        "trouble", "load", "way", "p50", "p99", "p99.9", "sends %", "work %", "served %"
    );
    for trouble in Trouble::iter() {
        for load in [0.3, 0.6, 0.9, 1.2] {
            let mut usual = None;
            for way in Way::iter() {
                let mut simulation = Simulation::new(way, trouble);
                simulation.run(load);
                let usual = *usual.get_or_insert(simulation.busy_each());
                print(&simulation, load, usual);
            }
        }
    }
}

fn print(simulation: &Simulation, load: f64, usual: f64) {
    let took = simulation.requests.iter().filter_map(|r| r.took);
    let mut took: Vec<f64> = took.collect();
    took.sort_by(f64::total_cmp);
    let percentile = |part: f64| took[((took.len() - 1) as f64 * part) as usize];
    let percent = |part: f64, all: f64| 100.0 * part / all;
    let sent = simulation.requests.len() - simulation.refused;
    println!(
        "{:>14} {load:>5} {:>11} | {:>6.0} {:>6.0} {:>6.0} | {:>7.2} {:>7.2} {:>8.2}",
        simulation.trouble.to_string(),
        simulation.way.to_string(),
        percentile(0.5),
        percentile(0.99),
        percentile(0.999),
        percent((simulation.attempts.len() - sent) as f64, sent as f64),
        percent(simulation.busy_each() / usual - 1.0, 1.0),
        percent(took.len() as f64, simulation.requests.len() as f64),
    );
}
