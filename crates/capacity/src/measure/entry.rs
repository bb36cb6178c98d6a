//! Memory and time of an entry's decisions.

use std::sync::Arc;

use comfreyhaven_core::entry::{Action, Arrival, Ending, Entry, Event, HOLDERS_LIMIT};
use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_core::request::{BodyDigest, PrefixDigest};
use comfreyhaven_core::{BootNonce, Cost as Tokens, OfferId, RequestId, ReservationId, Timestamp};

use crate::error::CapacityError;
use crate::fit::Point;
use crate::fleet::{self, Size};
use crate::gauge;
use crate::series::{Cost, Findings};

/// A fleet so small in hosts that each of them holds a share of every team.
const SMALL: Size = Size {
    hosts: HOLDERS_LIMIT,
    ..fleet::SMALL
};

/// Requests whose time is measured together.
const BATCH: u128 = 500;

pub fn run(findings: &mut Findings) -> Result<(), CapacityError> {
    shares(findings)?;
    requests(findings)?;
    let mut points = Vec::new();
    for endpoints in [100, 200, 400, 610] {
        let fleet = Arc::new(fleet::fleet(Size { endpoints, ..SMALL })?);
        points.push(Point {
            size: endpoints as f64,
            cost: time_at(&fleet, 0)?,
        });
    }
    findings.add(Cost::PlacementTime, "declared endpoint", points);
    Ok(())
}

fn shares(findings: &mut Findings) -> Result<(), CapacityError> {
    let mut points = Vec::new();
    for teams in [1_000, 2_000, 3_500, 4_900] {
        let fleet = Arc::new(fleet::fleet(Size { teams, ..SMALL })?);
        let (entry, bytes) = gauge::memory_of(|| ready(&fleet));
        entry?;
        points.push(Point {
            size: teams as f64,
            cost: bytes,
        });
    }
    findings.add(Cost::ShareMemory, "team", points);
    Ok(())
}

fn requests(findings: &mut Findings) -> Result<(), CapacityError> {
    let fleet = Arc::new(fleet::fleet(SMALL)?);
    let (mut waiting, mut dispatched, mut time) = (Vec::new(), Vec::new(), Vec::new());
    for count in [25_u32, 50, 100, 200] {
        let mut entry = ready(&fleet)?;
        let size = f64::from(count);
        let (arrived, bytes) = gauge::memory_of(|| arrive_many(&mut entry, count));
        waiting.push(Point { size, cost: bytes });
        let first = arrived?;
        let ((), more) = gauge::memory_of(|| {
            for reserved in &first {
                offer(&mut entry, reserved);
            }
        });
        let kept = (std::mem::size_of::<Reserved>() as u32 * count) as f64;
        dispatched.push(Point {
            size,
            cost: bytes + more - kept,
        });
        time.push(Point {
            size,
            cost: time_at(&fleet, count)?,
        });
    }
    findings.add(Cost::WaitingMemory, "waiting request", waiting);
    findings.add(Cost::DispatchedMemory, "dispatched request", dispatched);
    findings.add(Cost::EntryTime, "waiting request", time);
    Ok(())
}

fn ready(fleet: &Arc<Fleet>) -> Result<Entry, CapacityError> {
    let mut entry = Entry::new("entry-000".parse()?, BootNonce::new(1), 1);
    entry.handle(Event::Configured(Arc::clone(fleet)), Timestamp::ZERO);
    Ok(entry)
}

/// A reservation that an entry has placed.
struct Reserved {
    id: ReservationId,
    endpoint: comfreyhaven_core::EndpointName,
}

fn arrive_many(entry: &mut Entry, count: u32) -> Result<Vec<Reserved>, CapacityError> {
    let mut reserved = Vec::with_capacity(count as usize);
    for number in 0..count {
        reserved.push(arrive(entry, u128::from(number))?);
    }
    Ok(reserved)
}

fn arrive(entry: &mut Entry, number: u128) -> Result<Reserved, CapacityError> {
    let actions = entry.handle(Event::Arrived(Box::new(arrival(number)?)), now());
    std::hint::black_box(entry.wake());
    let placed = actions.into_iter().find_map(|action| match action {
        Action::Reserve {
            endpoint,
            reservation,
        } => Some(Reserved {
            id: reservation.id,
            endpoint,
        }),
        _ => None,
    });
    placed.ok_or(CapacityError::Decision("place a reservation"))
}

fn offer(entry: &mut Entry, reserved: &Reserved) {
    let offer = OfferId {
        boot: BootNonce::new(2),
        sequence: 1,
    };
    let event = Event::Offered {
        id: reserved.id,
        endpoint: reserved.endpoint.clone(),
        offer,
    };
    entry.handle(event, now());
    std::hint::black_box(entry.wake());
}

/// Microseconds for one request, from arrival to its whole answer, beside `waiting` others.
fn time_at(fleet: &Arc<Fleet>, waiting: u32) -> Result<f64, CapacityError> {
    let total = gauge::time_of(|| {
        let mut entry = ready(fleet)?;
        arrive_many(&mut entry, waiting)?;
        for number in 0..BATCH {
            let reserved = arrive(&mut entry, 1_000_000 + number)?;
            offer(&mut entry, &reserved);
            let request = reserved.id.request;
            entry.handle(Event::AnswerStarted(request), now());
            let ending = Ending::Whole { output: 1 };
            entry.handle(Event::Ended { request, ending }, now());
            std::hint::black_box(entry.wake());
        }
        Ok(entry)
    })?;
    Ok(total / BATCH as f64)
}

/// Late enough for shares that start empty to be full.
fn now() -> Timestamp {
    Timestamp::from_millis(3_600_000)
}

fn arrival(number: u128) -> Result<Arrival, CapacityError> {
    Ok(Arrival {
        id: RequestId::new(number),
        key: Some(fleet::key(0, 0)),
        route: "route-000".parse()?,
        cost: Tokens {
            prompt: 900,
            output: 494,
        },
        prefixes: (0..4).map(PrefixDigest).collect(),
        body: BodyDigest(1),
        call: None,
    })
}
