//! Tests of the direct entry: its components alone, and several entries over simulated endpoints.

mod availability;
mod buffer_limit;
mod builds;
mod cold;
mod components;
mod confirmation;
mod containment;
mod crashing_parts;
mod departing_endpoints;
mod endpoints;
mod event_interval;
mod fleet_network;
mod hedging;
mod interruption;
mod large_fleet;
mod lending;
mod malformed_messages;
mod members;
mod origins;
mod overload;
mod pauses;
mod rate_limit;
mod reaction_limit;
mod request_limits;
mod restoration;
mod restored_records;
mod retry_budget;
mod returns;
mod simulation;
mod slot_shares;
mod store_progress;
mod team_shares;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{
    Bounds, EndpointRecord, Outcome, PlacementRequest, Plan, PlanTeam, RatePolicy, Scheduler,
    ServicePlan, StoreRevision, Ticket, Unit,
};

pub const SERVICE: &str = "model";

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

pub fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 7_600))
}

/// Returns a revision of a store that was never restored.
pub const fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

pub fn rate_policy(first_start: bool) -> RatePolicy {
    RatePolicy {
        window: Duration::from_secs(8),
        margin: 0.25,
        slack: 0.0,
        first_start,
    }
}

pub fn bounds() -> Bounds {
    Bounds {
        rate_policy: rate_policy(true),
        retry_window: Duration::from_secs(10),
        retry_ratio: 0.2,
        retry_slack: 52.0,
        cold_factor: 1.5,
        cold_extra: 5.0,
        drain: Duration::from_secs(2),
    }
}

pub fn team(rate: u64) -> PlanTeam {
    PlanTeam {
        name: "kakheti".into(),
        rank: None,
        unit: Unit::Tokens,
        plain_units: 200,
        rate,
        burst: rate,
    }
}

pub fn plan(version: u64) -> Arc<Plan> {
    let service = ServicePlan {
        name: SERVICE.into(),
        cold_capacity: 22.0,
        warmup: Duration::from_secs(3),
        reservation: Duration::ZERO,
        event_tokens: 6.0,
        memory_tokens: 0,
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

pub fn endpoint_record(id: &str, slots: u32) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        service: SERVICE.into(),
        address: SocketAddr::from(([10, 1, 0, 1], 80)),
        centre: "a".into(),
        build: "v1".into(),
        slots,
        leaving: false,
        cold: Duration::ZERO,
        sequence: 1,
        started_ms: 1,
    }
}

pub fn placement_request(ticket: u64, rank: u8, now: Timestamp) -> PlacementRequest {
    PlacementRequest {
        ticket: Ticket(ticket),
        service: SERVICE.into(),
        build: None,
        kind: format!("rank-{rank}").into(),
        average_time: Duration::ZERO,
        share: 0,
        team: 0,
        team_rank: 0,
        rank,
        prompt: 1_000,
        length: 200,
        memory: 1_200,
        streaming: true,
        arrived: now,
        elapsed: Duration::ZERO,
        objective: now + Duration::from_millis(500),
        deadline: now + Duration::from_secs(15),
        event_gap: None,
        excluded: Vec::new(),
    }
}

/// Returns the endpoint of a request that was placed at once.
pub fn placed(outcome: Option<Outcome>) -> Option<String> {
    match outcome {
        Some(Outcome::Placed(placement)) => Some(placement.record.id.to_string()),
        Some(Outcome::Refused(_)) | None => None,
    }
}
