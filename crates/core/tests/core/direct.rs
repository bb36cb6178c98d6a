//! Direct entries: their parts alone, and several of them over simulated endpoints.

mod allowance;
mod cold;
mod currency;
mod endpoints;
mod members;
mod overload;
mod parts;
mod readings;
mod tempo;
mod world;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{
    Ask, Bounds, Listing, Outcome, Plan, PlanTeam, Scheduler, ServicePlan, Terms, Ticket, Unit,
};

pub const SERVICE: &str = "model";

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

pub fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 7_600))
}

pub fn terms(first: bool) -> Terms {
    Terms {
        window: Duration::from_secs(8),
        margin: 0.25,
        slack: 0.0,
        first,
    }
}

pub fn bounds() -> Bounds {
    Bounds {
        rates: terms(true),
        window: Duration::from_secs(10),
        ratio: 0.2,
        slack: 52.0,
        overage: 1.5,
        extra: 5.0,
    }
}

pub fn team(rate: u64) -> PlanTeam {
    PlanTeam {
        name: "kakheti".into(),
        rank: None,
        unit: Unit::Tokens,
        plain: 200,
        rate,
        burst: rate,
    }
}

pub fn plan(version: u64) -> Arc<Plan> {
    let service = ServicePlan {
        name: SERVICE.into(),
        cold: 22.0,
        warmup: Duration::from_secs(3),
        stride: 6.0,
    };
    let mut plan = Plan {
        version,
        teams: vec![Arc::new(team(1_000))],
        ..Plan::default()
    };
    plan.services.insert(SERVICE.into(), service);
    Arc::new(plan)
}

pub fn scheduler(index: u8, seeds: &[u8]) -> Scheduler {
    let seeds = seeds.iter().map(|seed| address(*seed)).collect();
    let boot = 1_000 + u64::from(index);
    let mut scheduler = Scheduler::new(address(index), "a".into(), seeds, bounds(), boot);
    scheduler.configure(plan(1), at(0));
    scheduler
}

pub fn listing(id: &str, slots: u32) -> Listing {
    Listing {
        id: id.into(),
        service: SERVICE.into(),
        address: SocketAddr::from(([10, 1, 0, 1], 80)),
        centre: "a".into(),
        slots,
        leaving: false,
        cold: Duration::ZERO,
        sequence: 1,
        born: 1,
    }
}

pub fn ask(ticket: u64, rank: u8, now: Timestamp) -> Ask {
    Ask {
        ticket: Ticket(ticket),
        service: SERVICE.into(),
        kind: format!("rank-{rank}").into(),
        typical: Duration::ZERO,
        standing: 0,
        rank,
        prompt: 1_000,
        length: 200,
        streaming: true,
        arrived: now,
        objective: now + Duration::from_millis(500),
        deadline: now + Duration::from_secs(15),
        pause: None,
        excluded: Vec::new(),
    }
}

/// The endpoint that a request got at once.
pub fn placed(outcome: Option<Outcome>) -> Option<String> {
    match outcome {
        Some(Outcome::Placed(placement)) => Some(placement.listing.id.to_string()),
        Some(Outcome::Turned(_)) | None => None,
    }
}
