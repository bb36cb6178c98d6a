//! Memory and time of an entry's state machine.

use std::sync::Arc;

use comfreyhaven_core::entry::{Action, Arrival, Ending, Entry, Event, HOLDER_LIMIT};
use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_core::request::{BodyDigest, PrefixDigest};
use comfreyhaven_core::{BootNonce, Cost as Tokens, OfferId, RequestId, ReservationId, Timestamp};

use crate::error::CapacityError;
use crate::findings::{Cost, Findings};
use crate::fit::Point;
use crate::fleet::{self, Size};
use crate::gauge;

/// Size with so few hosts that each of them holds a share of every team.
const FEW_HOSTS: Size = Size {
    hosts: HOLDER_LIMIT,
    ..fleet::BASE_SIZE
};

/// Number of requests that are timed together.
const TIMED_REQUESTS: u128 = 500;

pub fn run(findings: &mut Findings) -> Result<(), CapacityError> {
    measure_shares(findings)?;
    measure_requests(findings)?;
    let mut points = Vec::new();
    for endpoints in [100, 200, 400, 610] {
        let fleet = Arc::new(fleet::fleet(Size {
            endpoints,
            ..FEW_HOSTS
        })?);
        points.push(Point {
            size: endpoints as f64,
            cost: time_at(&fleet, 0)?,
        });
    }
    findings.add_slope(Cost::PlacementTime, "declared endpoint", points);
    Ok(())
}

fn measure_shares(findings: &mut Findings) -> Result<(), CapacityError> {
    let mut points = Vec::new();
    for teams in [1_000, 2_000, 3_500, 4_900] {
        let fleet = Arc::new(fleet::fleet(Size { teams, ..FEW_HOSTS })?);
        let (entry, bytes) = gauge::memory_of(|| configured_entry(&fleet));
        entry?;
        points.push(Point {
            size: teams as f64,
            cost: bytes,
        });
    }
    findings.add_slope(Cost::ShareMemory, "team", points);
    Ok(())
}

fn measure_requests(findings: &mut Findings) -> Result<(), CapacityError> {
    let fleet = Arc::new(fleet::fleet(FEW_HOSTS)?);
    let (mut waiting, mut dispatched, mut time) = (Vec::new(), Vec::new(), Vec::new());
    for count in [25_u32, 50, 100, 200] {
        let mut entry = configured_entry(&fleet)?;
        let size = f64::from(count);
        let (result, bytes) = gauge::memory_of(|| place_many(&mut entry, count));
        waiting.push(Point { size, cost: bytes });
        let placed = result?;
        let ((), added) = gauge::memory_of(|| {
            for reserved in &placed {
                receive_offer(&mut entry, reserved);
            }
        });
        let result_bytes = (std::mem::size_of::<PlacedReservation>() as u32 * count) as f64;
        dispatched.push(Point {
            size,
            cost: bytes + added - result_bytes,
        });
        time.push(Point {
            size,
            cost: time_at(&fleet, count)?,
        });
    }
    findings.add_slope(Cost::WaitingMemory, "waiting request", waiting);
    findings.add_slope(Cost::DispatchedMemory, "dispatched request", dispatched);
    findings.add_slope(Cost::EntryTime, "waiting request", time);
    Ok(())
}

fn configured_entry(fleet: &Arc<Fleet>) -> Result<Entry, CapacityError> {
    let mut entry = Entry::new("entry-000".parse()?, BootNonce::new(1), 1);
    entry.handle(Event::Configured(Arc::clone(fleet)), Timestamp::ZERO);
    Ok(entry)
}

/// A reservation that the entry has placed.
struct PlacedReservation {
    id: ReservationId,
    endpoint: comfreyhaven_core::EndpointName,
}

fn place_many(entry: &mut Entry, count: u32) -> Result<Vec<PlacedReservation>, CapacityError> {
    let mut reserved = Vec::with_capacity(count as usize);
    for number in 0..count {
        reserved.push(place(entry, u128::from(number))?);
    }
    Ok(reserved)
}

fn place(entry: &mut Entry, number: u128) -> Result<PlacedReservation, CapacityError> {
    let actions = entry.handle(Event::Arrived(Box::new(arrival(number)?)), now());
    std::hint::black_box(entry.wake());
    let placed = actions.into_iter().find_map(|action| match action {
        Action::Reserve {
            endpoint,
            reservation,
        } => Some(PlacedReservation {
            id: reservation.id,
            endpoint,
        }),
        _ => None,
    });
    placed.ok_or(CapacityError::Decision("place a reservation"))
}

fn receive_offer(entry: &mut Entry, reserved: &PlacedReservation) {
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

/// Returns the microseconds for one request, from its arrival to its complete answer, with
/// `waiting` other requests. Includes a fraction of the setup of the entry.
fn time_at(fleet: &Arc<Fleet>, waiting: u32) -> Result<f64, CapacityError> {
    let total = gauge::time_of(|| {
        let mut entry = configured_entry(fleet)?;
        place_many(&mut entry, waiting)?;
        for number in 0..TIMED_REQUESTS {
            let reserved = place(&mut entry, 1_000_000 + number)?;
            receive_offer(&mut entry, &reserved);
            let request = reserved.id.request;
            entry.handle(Event::AnswerStarted(request), now());
            let ending = Ending::Whole { output: 1 };
            entry.handle(Event::Ended { request, ending }, now());
            std::hint::black_box(entry.wake());
        }
        Ok(entry)
    })?;
    Ok(total / TIMED_REQUESTS as f64)
}

/// Returns the time at which shares, which are empty after a start, have filled up.
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
