//! Measures queue operations by the number of waiting reservations, and compares the queue with a
//! list that is scanned.

use std::hint::black_box;
use std::time::{Duration, Instant};

use comfreyhaven_core::agent::{Queue, SizeClass, Waiting};
use comfreyhaven_core::name::NameError;
use comfreyhaven_core::request::BodyDigest;
use comfreyhaven_core::{
    BootNonce, Cost, HostName, RequestId, Reservation, ReservationId, Tier, Timestamp,
};

use crate::fleet;

const OPERATIONS: u128 = 2_000;

fn waiting(request: u128) -> Result<Waiting, NameError> {
    let tier = (request % 3) as u8;
    let reservation = Reservation {
        id: ReservationId {
            request: RequestId::new(request),
            attempt: 0,
        },
        entry: HostName::new("entry")?,
        boot: BootNonce::new(1),
        team: fleet::team(request as usize % 200)?,
        route: fleet::route(tier)?,
        tier: Tier(tier),
        cost: Cost {
            prompt: 10,
            output: 10,
        },
        remaining: Duration::from_secs(60),
        prefixes: Vec::new(),
        call: None,
        body: BodyDigest(0),
        alone: false,
    };
    let deadline = Timestamp::from_micros(1_000_000_000 + (request as u64 * 7_919) % 1_000_000);
    let (service, class) = (Duration::ZERO, SizeClass::Short);
    Ok(Waiting {
        reservation,
        deadline,
        service,
        class,
        rank: request as u64,
    })
}

/// Measures the queue work of one event per item in `added`: push the item, remove late
/// reservations, get the next latest start, and pop.
fn indexed(items: &[Waiting], added: &[Waiting]) -> Duration {
    let mut queue = Queue::new(usize::MAX);
    for item in items {
        queue.push(item.clone(), 1);
    }
    let start = Instant::now();
    for item in added {
        queue.push(item.clone(), 1);
        black_box(queue.remove_late(Timestamp::ZERO));
        black_box(queue.next_latest_start());
        black_box(queue.pop(SizeClass::Long));
    }
    start.elapsed()
}

fn scanned(items: &[Waiting], added: &[Waiting]) -> Duration {
    let mut list = items.to_vec();
    let start = Instant::now();
    for item in added {
        list.push(item.clone());
        black_box(
            list.iter()
                .filter(|w| w.deadline <= Timestamp::ZERO)
                .count(),
        );
        black_box(list.iter().map(|w| w.deadline).min());
        let next = list
            .iter()
            .enumerate()
            .min_by_key(|(_, w)| (w.reservation.tier, w.rank));
        if let Some(next) = next.map(|(index, _)| index) {
            list.swap_remove(next);
        }
    }
    start.elapsed()
}

fn measure(count: u128) -> Result<(Duration, Duration), NameError> {
    let items = (0..count).map(waiting).collect::<Result<Vec<_>, _>>()?;
    let added = (count..count + OPERATIONS)
        .map(waiting)
        .collect::<Result<Vec<_>, _>>()?;
    Ok((indexed(&items, &added), scanned(&items, &added)))
}

/// Prints the table.
pub fn print() {
    println!(
        "structure: microseconds per event (push, remove late, next deadline, pop), 200 teams"
    );
    println!("{:>8} {:>9} {:>9}", "waiting", "indexed", "scanned");
    for count in [100, 1_000, 10_000] {
        if let Ok((indexed, scanned)) = measure(count) {
            let each = |time: Duration| time.as_secs_f64() * 1e6 / OPERATIONS as f64;
            println!("{count:>8} {:>9.2} {:>9.2}", each(indexed), each(scanned));
        }
    }
    println!();
}
