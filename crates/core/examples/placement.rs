//! Compares methods of placing requests by the prefix of their prompts, under several loads.
//!
//! Twelve engines of different speeds with prefix caches of limited size serve prompts that share
//! prefixes. The entry reserves at three agents at once, or at one and after a delay at two more.
//! An agent with a free slot takes the request that has waited longest in its queue.
//!
//! Run it with `cargo run --release -p comfreyhaven-core --example placement`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use comfreyhaven_core::entry::{Affinity, Placement};
use comfreyhaven_core::fleet::{
    DataCentre, DataCentreState, Endpoint, EndpointKind, Fleet, Route, RouteAccess, Service,
};
use comfreyhaven_core::request::PrefixDigest;
use comfreyhaven_core::{EndpointName, RouteName, Tier, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use strum::IntoEnumIterator;

const ENGINES: usize = 12;
const SLOTS: usize = 8;
const CACHE_BLOCKS: usize = 96;
const BLOCK_TOKENS: usize = 256;
const TAIL_TOKENS: usize = 64;
/// Number of groups of prompts that share a prefix. Group 0 is the most popular.
const GROUPS: usize = 60;
const REQUESTS: usize = 20_000;
const FANOUT: usize = 3;
const SEEDS: u64 = 3;

fn main() {
    println!(
        "{:>10} {:>8} {:>5} | {:>9} {:>9} {:>9} {:>8} {:>9}",
        "first", "widen ms", "load", "prefill %", "wait ms", "p95 ms", "busiest", "reserved"
    );
    for load in [0.5, 0.8, 0.95] {
        for affinity in Affinity::iter() {
            for widen in [0, 5, 20, 100] {
                let runs =
                    (1..=SEEDS).map(|seed| Simulation::new(affinity, widen, load, seed).run());
                let sum = runs.fold(Summary::default(), |sum, run| sum.plus(&run));
                let mean = |value: f64| value / SEEDS as f64;
                println!(
                    "{affinity:>10} {widen:>8} {load:>5} | {:>9.1} {:>9.1} {:>9.1} {:>8.2} {:>9.2}",
                    mean(sum.prefill),
                    mean(sum.wait),
                    mean(sum.wait_p95),
                    mean(sum.busiest),
                    mean(sum.reserved)
                );
            }
        }
    }
}

#[derive(Default)]
struct Summary {
    /// Computed prompt tokens, as a percentage of all prompt tokens.
    prefill: f64,
    /// Mean time from arrival to a slot, in milliseconds.
    wait: f64,
    /// 95th percentile of the time from arrival to a slot, in milliseconds.
    wait_p95: f64,
    /// Busy time of the busiest engine, relative to the mean of all engines.
    busiest: f64,
    /// Mean number of reservations per request.
    reserved: f64,
}

impl Summary {
    fn plus(self, other: &Self) -> Self {
        Self {
            prefill: self.prefill + other.prefill,
            wait: self.wait + other.wait,
            wait_p95: self.wait_p95 + other.wait_p95,
            busiest: self.busiest + other.busiest,
            reserved: self.reserved + other.reserved,
        }
    }
}

#[derive(Default)]
struct Engine {
    speed: f64,
    running: usize,
    busy: f64,
    queue: VecDeque<usize>,
    /// Cached blocks, the most recently used one at the back.
    cache: VecDeque<PrefixDigest>,
}

struct Request {
    arrived: f64,
    prefixes: Vec<PrefixDigest>,
    output: f64,
    candidates: Vec<EndpointName>,
    started: bool,
}

enum Event {
    Arrive,
    Widen(usize),
    End(usize),
}

struct Simulation {
    fleet: Fleet,
    route: RouteName,
    placement: Placement,
    random: ChaCha8Rng,
    widen: u64,
    gap: f64,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    events: BTreeMap<(u64, u64), Event>,
    waits: Vec<f64>,
    computed: usize,
    reservations: usize,
    next: u64,
}

impl Simulation {
    fn new(affinity: Affinity, widen: u64, load: f64, seed: u64) -> Self {
        let engines: Vec<_> = (0..ENGINES).map(engine).collect();
        let speed: f64 = engines.iter().map(|engine| engine.speed).sum();
        let mean = service(1.0, 2 * BLOCK_TOKENS, 130.0);
        Self {
            fleet: fleet(),
            route: route(),
            placement: Placement::new(seed).with_affinity(affinity),
            random: ChaCha8Rng::seed_from_u64(seed),
            widen,
            gap: mean / (speed * SLOTS as f64 * load),
            engines,
            requests: Vec::new(),
            events: BTreeMap::new(),
            waits: Vec::new(),
            computed: 0,
            reservations: 0,
            next: 0,
        }
    }

    fn run(mut self) -> Summary {
        self.at(0.0, Event::Arrive);
        while let Some(((micros, _), event)) = self.events.pop_first() {
            let now = micros as f64 / 1e6;
            match event {
                Event::Arrive => self.arrive(now),
                Event::Widen(request) => self.place(request, FANOUT - 1, now),
                Event::End(engine) => {
                    self.engines[engine].running -= 1;
                    self.serve(engine, now);
                }
            }
        }
        self.summary()
    }

    fn at(&mut self, time: f64, event: Event) {
        self.next += 1;
        self.events.insert(((time * 1e6) as u64, self.next), event);
    }

    fn arrive(&mut self, now: f64) {
        let group = self.group();
        let length = 1 + group % 8;
        let digest = |block| PrefixDigest((group * 8 + block) as u64);
        let prefixes: Vec<_> = (0..length).map(digest).collect();
        let time = Timestamp::ZERO + Duration::from_secs_f64(now);
        let mut candidates = self
            .placement
            .candidates(&self.fleet, &self.route, &prefixes, time);
        candidates.reverse();
        let output = if self.random.random_bool(0.1) {
            1_000.0
        } else {
            33.0
        };
        self.requests.push(Request {
            arrived: now,
            prefixes,
            output,
            candidates,
            started: false,
        });
        let request = self.requests.len() - 1;
        if self.widen == 0 {
            self.place(request, FANOUT, now);
        } else {
            self.place(request, 1, now);
            self.at(now + self.widen as f64 / 1e3, Event::Widen(request));
        }
        if self.requests.len() < REQUESTS {
            let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
            self.at(now - uniform.ln() * self.gap, Event::Arrive);
        }
    }

    /// Draws a group of prompts. A few groups are very popular.
    fn group(&mut self) -> usize {
        let uniform: f64 = self.random.random_range(0.0..1.0);
        (GROUPS as f64).powf(uniform) as usize - 1
    }

    /// Reserves at the next `count` candidates. If several of them are free, a random one offers
    /// first.
    fn place(&mut self, request: usize, count: usize, now: f64) {
        if self.requests[request].started {
            return;
        }
        let mut agents = Vec::new();
        for _ in 0..count {
            if let Some(name) = self.requests[request].candidates.pop() {
                agents.push(index(&name));
            }
        }
        self.reservations += agents.len();
        let offset = self.random.random_range(0..agents.len().max(1));
        agents.rotate_left(offset);
        for &engine in &agents {
            self.engines[engine].queue.push_back(request);
        }
        for engine in agents {
            self.serve(engine, now);
        }
    }

    fn serve(&mut self, engine: usize, now: f64) {
        while self.engines[engine].running < SLOTS {
            let Some(request) = self.engines[engine].queue.pop_front() else {
                return;
            };
            if !self.requests[request].started {
                self.start(engine, request, now);
            }
        }
    }

    fn start(&mut self, engine: usize, request: usize, now: f64) {
        let prefixes = self.requests[request].prefixes.clone();
        self.requests[request].started = true;
        self.waits.push(now - self.requests[request].arrived);
        self.placement.record_sent(&name(engine), &prefixes);
        let uncached = self.engines[engine].compute(&prefixes);
        self.computed += uncached;
        let time = service(
            self.engines[engine].speed,
            uncached,
            self.requests[request].output,
        );
        self.engines[engine].running += 1;
        self.engines[engine].busy += time;
        self.at(now + time, Event::End(engine));
    }

    fn summary(mut self) -> Summary {
        self.waits.sort_by(f64::total_cmp);
        let prompt = |request: &Request| request.prefixes.len() * BLOCK_TOKENS + TAIL_TOKENS;
        let prompts: usize = self.requests.iter().map(prompt).sum();
        let busy: Vec<f64> = self.engines.iter().map(|engine| engine.busy).collect();
        let mean = busy.iter().sum::<f64>() / ENGINES as f64;
        let count = self.waits.len();
        Summary {
            prefill: 100.0 * self.computed as f64 / prompts as f64,
            wait: 1e3 * self.waits.iter().sum::<f64>() / count as f64,
            wait_p95: 1e3 * self.waits[count * 95 / 100],
            busiest: busy.iter().copied().fold(0.0, f64::max) / mean,
            reserved: self.reservations as f64 / count as f64,
        }
    }
}

impl Engine {
    /// Adds a prompt to the cache. Returns the number of its tokens that must be computed.
    fn compute(&mut self, prefixes: &[PrefixDigest]) -> usize {
        let cached = prefixes
            .iter()
            .take_while(|prefix| self.cache.contains(prefix));
        let uncached = prefixes.len() - cached.count();
        for prefix in prefixes {
            self.cache.retain(|block| block != prefix);
            self.cache.push_back(*prefix);
        }
        while self.cache.len() > CACHE_BLOCKS {
            self.cache.pop_front();
        }
        uncached * BLOCK_TOKENS + TAIL_TOKENS
    }
}

/// Returns the service time of a request on an engine, in seconds.
fn service(speed: f64, prefill: usize, output: f64) -> f64 {
    (prefill as f64 / 4_000.0 + output / 50.0) / speed
}

/// Creates an engine of one of four speeds.
fn engine(index: usize) -> Engine {
    Engine {
        speed: [0.5, 1.0, 1.5, 2.0][index % 4],
        ..Engine::default()
    }
}

fn name(engine: usize) -> EndpointName {
    format!("engine-{engine}").parse().expect("a name")
}

fn index(name: &EndpointName) -> usize {
    name.as_str()["engine-".len()..].parse().expect("a number")
}

fn route() -> RouteName {
    "plan".parse().expect("a name")
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    let centre = DataCentre {
        name: "tb1".parse().expect("a name"),
        region: "tbilisi".to_owned(),
        state: DataCentreState::In,
    };
    let endpoint = |number| Endpoint {
        name: name(number),
        centre: centre.name.clone(),
        kind: EndpointKind::Engine,
        serves: BTreeSet::from(["hive".parse().expect("a name")]),
        control: ([127, 0, 0, 1], 1).into(),
        traffic: ([127, 0, 0, 1], 2).into(),
        cold: 8,
        warm: 8,
        tokens: 0,
    };
    let endpoints = (0..ENGINES).map(endpoint);
    fleet.endpoints = endpoints.map(|e| (e.name.clone(), e)).collect();
    fleet.centres.insert(centre.name.clone(), centre);
    let route = Route {
        name: route(),
        path: "/v1/chat/completions".to_owned(),
        service: Service::Model("hive".parse().expect("a name")),
        tier: Tier(0),
        access: RouteAccess::Open,
        deadline: Duration::from_secs(30),
        output: 1_000,
    };
    fleet.routes.insert(route.name.clone(), route);
    fleet
}
