//! Random requests, reproducible from a seed.

use std::time::Duration;

use comfreyhaven_core::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine::{Spec, at};
use crate::fleet::TEAMS;

/// A class of requests with the same tier, prompt size and deadline.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Fraction of all requests that are of this kind.
    pub share: f64,
    pub tier: u8,
    pub prompt: u32,
    /// Mean number of output tokens.
    pub output: u32,
    pub deadline: Duration,
}

/// Three kinds of requests, each in a tier of its own: short checks, medium questions and long
/// plans.
pub const MIXED: [Kind; 3] = [
    kind(0.6, 0, 40, 8, 2),
    kind(0.3, 1, 200, 80, 10),
    kind(0.1, 2, 1_500, 800, 60),
];

/// Short checks and long plans in the same tier.
pub const ONE_TIER: [Kind; 2] = [kind(0.8, 0, 40, 8, 10), kind(0.2, 0, 1_500, 800, 60)];

/// Medium questions only.
pub const QUESTIONS: [Kind; 1] = [kind(1.0, 0, 200, 80, 10)];

const fn kind(share: f64, tier: u8, prompt: u32, output: u32, deadline: u64) -> Kind {
    let deadline = Duration::from_secs(deadline);
    Kind {
        share,
        tier,
        prompt,
        output,
        deadline,
    }
}

/// A request with its arrival time.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub arrival: Timestamp,
    pub kind: Kind,
    pub team: usize,
    /// Number of tokens of the answer, which the agents do not know in advance.
    pub output: u32,
}

/// Returns the requests per second that warm engines can handle.
pub fn capacity(kinds: &[Kind], engines: &[Spec]) -> f64 {
    let mean = |of: fn(&Kind) -> u32| {
        kinds
            .iter()
            .map(|k| k.share * f64::from(of(k)))
            .sum::<f64>()
    };
    let (prompt, output) = (mean(|k| k.prompt), mean(|k| k.output));
    let one = |spec: &Spec| {
        let batch = spec.warm as f64;
        let step = spec.step.as_secs_f64() * (1.0 + (batch - 1.0) / 16.0);
        1.0 / (prompt / f64::from(spec.prefill) + output * step / batch)
    };
    engines.iter().map(one).sum()
}

/// Generates Poisson arrivals at `rate` requests per second for `seconds` seconds. Team 0 sends
/// `greedy_factor` times as many requests as each other team.
pub fn arrivals(
    seed: u64,
    kinds: &[Kind],
    rate: f64,
    seconds: f64,
    greedy_factor: f64,
) -> Vec<Request> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut time, mut requests) = (0.0, Vec::new());
    let teams = TEAMS as f64 - 1.0 + greedy_factor;
    loop {
        time += -(1.0 - random.random::<f64>()).ln() / rate;
        if time > seconds {
            return requests;
        }
        let mut pick = random.random::<f64>();
        let chosen = kinds.iter().find(|kind| {
            pick -= kind.share;
            pick < 0.0
        });
        let kind = *chosen.unwrap_or(&kinds[0]);
        let team = (random.random::<f64>() * teams - greedy_factor).max(-1.0) + 1.0;
        let output = kind.output / 2 + random.random_range(0..=kind.output);
        let (arrival, team) = (at(time), (team.ceil() as usize).min(TEAMS - 1));
        requests.push(Request {
            arrival,
            kind,
            team,
            output,
        });
    }
}
