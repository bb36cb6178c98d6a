//! Weighs ways to place requests by the prefix of their prompts against load.
//!
//! Twelve unlike engines with prefix caches of limited size serve prompts that share prefixes. The
//! entry reserves at three agents at once, or at one first and at two more after a delay; an agent
//! with a free slot takes the request that waits longest.
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
/// Prompts that share a prefix, by popularity.
const GROUPS: usize = 60;
const REQUESTS: usize = 20_000;
const FANOUT: usize = 3;
const SEEDS: u64 = 3;

fn main() {
    println!(
        "{:>10} {:>8} {:>5} | {:>9} {:>9} {:>9} {:>8} {:>9}",
        "first", "widen ms", "load", "prefill %", "wait ms", "95th ms", "hottest", "reserved"
    );
    for load in [0.5, 0.8, 0.95] {
        for affinity in Affinity::iter() {
            for widen in [0, 5, 20, 100] {
                let runs = (1..=SEEDS).map(|seed| Model::new(affinity, widen, load, seed).run());
                let sum = runs.fold(Figures::default(), |sum, run| sum.plus(&run));
                let mean = |value: f64| value / SEEDS as f64;
                println!(
                    "{affinity:>10} {widen:>8} {load:>5} | {:>9.1} {:>9.1} {:>9.1} {:>8.2} {:>9.2}",
                    mean(sum.prefill),
                    mean(sum.wait),
                    mean(sum.late),
                    mean(sum.hottest),
                    mean(sum.reserved)
                );
            }
        }
    }
}

#[derive(Default)]
struct Figures {
    /// Prompt tokens computed, in 100 of all prompt tokens.
    prefill: f64,
    /// Milliseconds from arrival to a slot: mean and 95th percentile.
    wait: f64,
    late: f64,
    /// Busy time of the hottest engine relative to the mean.
    hottest: f64,
    /// Reservations for each request.
    reserved: f64,
}

impl Figures {
    fn plus(self, other: &Self) -> Self {
        Self {
            prefill: self.prefill + other.prefill,
            wait: self.wait + other.wait,
            late: self.late + other.late,
            hottest: self.hottest + other.hottest,
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
    /// Blocks, the one used last at the back.
    cache: VecDeque<PrefixDigest>,
}

struct Request {
    arrived: f64,
    prefixes: Vec<PrefixDigest>,
    output: f64,
    unasked: Vec<EndpointName>,
    started: bool,
}

enum Event {
    Arrive,
    Widen(usize),
    End(usize),
}

struct Model {
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
    asked: usize,
    next: u64,
}

impl Model {
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
            asked: 0,
            next: 0,
        }
    }

    fn run(mut self) -> Figures {
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
        self.figures()
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
        let mut unasked = self
            .placement
            .candidates(&self.fleet, &self.route, &prefixes, time);
        unasked.reverse();
        let output = if self.random.random_bool(0.1) {
            1_000.0
        } else {
            33.0
        };
        self.requests.push(Request {
            arrived: now,
            prefixes,
            output,
            unasked,
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

    /// A few prompts are very popular.
    fn group(&mut self) -> usize {
        let uniform: f64 = self.random.random_range(0.0..1.0);
        (GROUPS as f64).powf(uniform) as usize - 1
    }

    /// Reserves at some more agents. Of several that are free, any may be the first to offer.
    fn place(&mut self, request: usize, count: usize, now: f64) {
        if self.requests[request].started {
            return;
        }
        let mut asked = Vec::new();
        for _ in 0..count {
            if let Some(name) = self.requests[request].unasked.pop() {
                asked.push(index(&name));
            }
        }
        self.asked += asked.len();
        let offset = self.random.random_range(0..asked.len().max(1));
        asked.rotate_left(offset);
        for &engine in &asked {
            self.engines[engine].queue.push_back(request);
        }
        for engine in asked {
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
        let fresh = self.engines[engine].compute(&prefixes);
        self.computed += fresh;
        let time = service(
            self.engines[engine].speed,
            fresh,
            self.requests[request].output,
        );
        self.engines[engine].running += 1;
        self.engines[engine].busy += time;
        self.at(now + time, Event::End(engine));
    }

    fn figures(mut self) -> Figures {
        self.waits.sort_by(f64::total_cmp);
        let prompt = |request: &Request| request.prefixes.len() * BLOCK_TOKENS + TAIL_TOKENS;
        let prompts: usize = self.requests.iter().map(prompt).sum();
        let busy: Vec<f64> = self.engines.iter().map(|engine| engine.busy).collect();
        let mean = busy.iter().sum::<f64>() / ENGINES as f64;
        let count = self.waits.len();
        Figures {
            prefill: 100.0 * self.computed as f64 / prompts as f64,
            wait: 1e3 * self.waits.iter().sum::<f64>() / count as f64,
            late: 1e3 * self.waits[count * 95 / 100],
            hottest: busy.iter().copied().fold(0.0, f64::max) / mean,
            reserved: self.asked as f64 / count as f64,
        }
    }
}

impl Engine {
    /// Takes a prompt into the cache. Returns the tokens that are not in it.
    fn compute(&mut self, prefixes: &[PrefixDigest]) -> usize {
        let cached = prefixes
            .iter()
            .take_while(|prefix| self.cache.contains(prefix));
        let fresh = prefixes.len() - cached.count();
        for prefix in prefixes {
            self.cache.retain(|block| block != prefix);
            self.cache.push_back(*prefix);
        }
        while self.cache.len() > CACHE_BLOCKS {
            self.cache.pop_front();
        }
        fresh * BLOCK_TOKENS + TAIL_TOKENS
    }
}

/// Seconds that a request takes on an engine.
fn service(speed: f64, prefill: usize, output: f64) -> f64 {
    (prefill as f64 / 4_000.0 + output / 50.0) / speed
}

/// Four generations of engines.
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
