//! Memory and time of an agent's decisions.

use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::agent::{Action, Agent, Event, RunEnd};
use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_core::request::{BodyDigest, PrefixDigest};
use comfreyhaven_core::{
    BootNonce, Cost as Tokens, RequestId, Reservation, ReservationId, Tier, Timestamp,
};

use crate::error::CapacityError;
use crate::fit::Point;
use crate::fleet::{self, SMALL};
use crate::gauge;
use crate::series::{Cost, Findings};

/// Requests whose time is measured together.
const BATCH: usize = 2_000;

/// Prefix digests of a reservation.
const PREFIXES: u64 = 4;

pub fn run(findings: &mut Findings) -> Result<(), CapacityError> {
    let fleet = Arc::new(fleet::fleet(SMALL)?);
    let (mut memory, mut time) = (Vec::new(), Vec::new());
    for waiting in [32, 64, 128, 240] {
        let mut agent = ready(&fleet)?;
        fill(&mut agent)?;
        let ((), bytes) = gauge::memory_of(|| wait(&mut agent, waiting));
        let size = waiting as f64;
        memory.push(Point { size, cost: bytes });
        time.push(Point {
            size,
            cost: time_at(&fleet, waiting)?,
        });
    }
    findings.add(Cost::ReservationMemory, "waiting reservation", memory);
    findings.add(Cost::AgentTime, "waiting reservation", time);
    findings.add(Cost::HistoryMemory, "request remembered", history(&fleet)?);
    Ok(())
}

/// An agent whose endpoint answers.
fn ready(fleet: &Arc<Fleet>) -> Result<Agent, CapacityError> {
    let mut agent = Agent::new("engine-000".parse()?, BootNonce::new(1));
    agent.handle(Event::Configured(Arc::clone(fleet)), Timestamp::ZERO);
    let up = Event::EndpointUp {
        boot: 1,
        running: 0,
    };
    agent.handle(up, Timestamp::ZERO);
    Ok(agent)
}

/// Runs requests until the endpoint bears no more.
fn fill(agent: &mut Agent) -> Result<(), CapacityError> {
    for number in 0..1_000 {
        if !start(agent, u128::MAX - number) {
            return Ok(());
        }
    }
    Err(CapacityError::Decision("reach the limit of its endpoint"))
}

fn wait(agent: &mut Agent, count: u32) {
    for number in 0..count {
        agent.handle(Event::Reserve(reservation(u128::from(number))), now());
    }
}

/// Reserves and claims; tells whether the request runs.
fn start(agent: &mut Agent, number: u128) -> bool {
    let reservation = reservation(number);
    let id = reservation.id;
    let actions = agent.handle(Event::Reserve(reservation), now());
    let offer = actions.iter().find_map(|action| match action {
        Action::Offer { offer, .. } => Some(*offer),
        _ => None,
    });
    let Some(offer) = offer else {
        agent.handle(Event::Withdraw(id), now());
        return false;
    };
    let request = id.request;
    let actions = agent.handle(Event::Claim { offer, request }, now());
    std::hint::black_box(agent.wake());
    matches!(actions[..], [Action::Run(_), ..])
}

/// Microseconds for one request, from reservation to end, beside `waiting` others.
fn time_at(fleet: &Arc<Fleet>, waiting: u32) -> Result<f64, CapacityError> {
    let total = gauge::time_of(|| {
        let mut agent = ready(fleet)?;
        fill(&mut agent)?;
        wait(&mut agent, waiting);
        for number in 0..BATCH as u128 {
            let id = reservation(1_000_000 + number).id;
            agent.handle(Event::Reserve(reservation(1_000_000 + number)), now());
            std::hint::black_box(agent.wake());
            agent.handle(Event::Withdraw(id), now());
            std::hint::black_box(agent.wake());
        }
        Ok(agent)
    })?;
    Ok(total / BATCH as f64)
}

fn history(fleet: &Arc<Fleet>) -> Result<Vec<Point>, CapacityError> {
    let mut points = Vec::new();
    for count in [4_000_u32, 8_000, 16_000, 32_000] {
        let mut agent = ready(fleet)?;
        let mut ran = true;
        let ((), bytes) = gauge::memory_of(|| {
            for number in 0..count {
                ran &= start(&mut agent, u128::from(number));
                let request = RequestId::new(u128::from(number));
                let end = RunEnd::Whole {
                    output: 1,
                    prefill: 1,
                };
                agent.handle(Event::Finished { request, end }, now());
            }
        });
        if !ran {
            return Err(CapacityError::Decision("run each request"));
        }
        points.push(Point {
            size: f64::from(count),
            cost: bytes,
        });
    }
    Ok(points)
}

fn now() -> Timestamp {
    Timestamp::from_millis(1_000)
}

/// A reservation of a typical request.
pub fn reservation(number: u128) -> Reservation {
    let team = number % 500;
    Reservation {
        id: ReservationId {
            request: RequestId::new(number),
            attempt: 0,
        },
        entry: "entry-000".parse().expect("a sound name"),
        boot: BootNonce::new(1),
        team: format!("team-{team:04}").parse().expect("a sound name"),
        route: "route-000".parse().expect("a sound name"),
        tier: Tier(0),
        cost: Tokens {
            prompt: 900,
            output: 494,
        },
        remaining: Duration::from_secs(30),
        prefixes: (0..PREFIXES)
            .map(|block| PrefixDigest(u64::MAX - block))
            .collect(),
        body: BodyDigest(u64::MAX),
        call: None,
        alone: false,
    }
}
