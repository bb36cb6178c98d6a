//! Memory and time of an agent's state machine.

use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::agent::{Action, Agent, Event, RunEnd};
use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_core::request::{BodyDigest, PrefixDigest};
use comfreyhaven_core::{
    BootNonce, Cost as Tokens, RequestId, Reservation, ReservationId, Tier, Timestamp,
};

use crate::error::CapacityError;
use crate::findings::{Cost, Findings};
use crate::fit::Point;
use crate::fleet::{self, BASE_SIZE};
use crate::gauge;

/// Number of requests that are timed together.
const TIMED_REQUESTS: usize = 2_000;

/// Number of prefix digests in a reservation.
const PREFIX_DIGESTS: u64 = 4;

pub fn run(findings: &mut Findings) -> Result<(), CapacityError> {
    let fleet = Arc::new(fleet::fleet(BASE_SIZE)?);
    let (mut memory, mut time) = (Vec::new(), Vec::new());
    for waiting in [32, 64, 128, 240] {
        let mut agent = configured_agent(&fleet)?;
        fill_endpoint(&mut agent)?;
        let ((), bytes) = gauge::memory_of(|| queue_reservations(&mut agent, waiting));
        let size = waiting as f64;
        memory.push(Point { size, cost: bytes });
        time.push(Point {
            size,
            cost: time_at(&fleet, waiting)?,
        });
    }
    findings.add_slope(Cost::ReservationMemory, "waiting reservation", memory);
    findings.add_slope(Cost::AgentTime, "waiting reservation", time);
    findings.add_slope(
        Cost::HistoryMemory,
        "request remembered",
        history_points(&fleet)?,
    );
    Ok(())
}

/// Creates an agent whose endpoint is up.
fn configured_agent(fleet: &Arc<Fleet>) -> Result<Agent, CapacityError> {
    let mut agent = Agent::new("engine-000".parse()?, BootNonce::new(1));
    agent.handle(Event::Configured(Arc::clone(fleet)), Timestamp::ZERO);
    let up = Event::EndpointUp {
        boot: 1,
        running: 0,
    };
    agent.handle(up, Timestamp::ZERO);
    Ok(agent)
}

/// Runs requests until the agent makes no more offers.
fn fill_endpoint(agent: &mut Agent) -> Result<(), CapacityError> {
    for number in 0..1_000 {
        if !start_run(agent, u128::MAX - number) {
            return Ok(());
        }
    }
    Err(CapacityError::Decision("reach the limit of its endpoint"))
}

fn queue_reservations(agent: &mut Agent, count: u32) {
    for number in 0..count {
        agent.handle(Event::Reserve(reservation(u128::from(number))), now());
    }
}

/// Places a reservation and claims its offer. Returns whether the request runs.
fn start_run(agent: &mut Agent, number: u128) -> bool {
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

/// Returns the microseconds for the reservation and withdrawal of one request, with `waiting` other
/// reservations in the queue. Includes a fraction of the setup of the agent.
fn time_at(fleet: &Arc<Fleet>, waiting: u32) -> Result<f64, CapacityError> {
    let total = gauge::time_of(|| {
        let mut agent = configured_agent(fleet)?;
        fill_endpoint(&mut agent)?;
        queue_reservations(&mut agent, waiting);
        for number in 0..TIMED_REQUESTS as u128 {
            let id = reservation(1_000_000 + number).id;
            agent.handle(Event::Reserve(reservation(1_000_000 + number)), now());
            std::hint::black_box(agent.wake());
            agent.handle(Event::Withdraw(id), now());
            std::hint::black_box(agent.wake());
        }
        Ok(agent)
    })?;
    Ok(total / TIMED_REQUESTS as f64)
}

fn history_points(fleet: &Arc<Fleet>) -> Result<Vec<Point>, CapacityError> {
    let mut points = Vec::new();
    for count in [4_000_u32, 8_000, 16_000, 32_000] {
        let mut agent = configured_agent(fleet)?;
        let mut all_ran = true;
        let ((), bytes) = gauge::memory_of(|| {
            for number in 0..count {
                all_ran &= start_run(&mut agent, u128::from(number));
                let request = RequestId::new(u128::from(number));
                let end = RunEnd::Whole {
                    output: 1,
                    prefill: 1,
                };
                agent.handle(Event::Finished { request, end }, now());
            }
        });
        if !all_ran {
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

/// Creates the reservation of a typical request.
pub fn reservation(number: u128) -> Reservation {
    let team = number % 500;
    Reservation {
        id: ReservationId {
            request: RequestId::new(number),
            attempt: 0,
        },
        entry: "entry-000".parse().expect("a valid name"),
        boot: BootNonce::new(1),
        team: format!("team-{team:04}").parse().expect("a valid name"),
        route: "route-000".parse().expect("a valid name"),
        tier: Tier(0),
        cost: Tokens {
            prompt: 900,
            output: 494,
        },
        remaining: Duration::from_secs(30),
        prefixes: (0..PREFIX_DIGESTS)
            .map(|block| PrefixDigest(u64::MAX - block))
            .collect(),
        body: BodyDigest(u64::MAX),
        call: None,
        alone: false,
    }
}
