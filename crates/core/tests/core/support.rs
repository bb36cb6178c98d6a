//! A small fleet, and helpers that build its names, requests and reservations.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::fleet::{
    DataCentre, DataCentreState, Endpoint, EndpointKind, Fleet, Host, Route, RouteAccess, Service,
    Team,
};
use comfreyhaven_core::request::BodyDigest;
use comfreyhaven_core::{
    BootNonce, Cost, EndpointName, KeyDigest, RequestId, Reservation, ReservationId, Tier,
};
use proptest::test_runner::{Config, FileFailurePersistence};

/// Numbers of concurrent requests that an endpoint can handle when cold and when warm.
pub const COLD: u32 = 2;
pub const WARM: u32 = 6;

/// Tokens that the KV cache of an endpoint can hold.
pub const KV_TOKENS: u64 = 4_000;

/// Returns a proptest configuration that stores the seeds of failed cases in a file of this crate.
pub fn config(cases: u32, file: &'static str) -> Config {
    Config {
        cases,
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct(file))),
        ..Config::default()
    }
}

pub fn endpoint_name(index: usize) -> EndpointName {
    EndpointName::new(&format!("engine-{index}")).unwrap()
}

pub fn team_name(index: usize) -> comfreyhaven_core::TeamName {
    comfreyhaven_core::TeamName::new(&format!("team-{index}")).unwrap()
}

pub fn route_name(tier: u8) -> comfreyhaven_core::RouteName {
    comfreyhaven_core::RouteName::new(&format!("route-{tier}")).unwrap()
}

pub fn host_name(index: usize) -> comfreyhaven_core::HostName {
    comfreyhaven_core::HostName::new(&format!("entry-{index}")).unwrap()
}

pub fn key(team: usize) -> KeyDigest {
    KeyDigest::of_key(&format!("key-{team}"))
}

/// Returns a fleet of `endpoints` engines in one data centre, two entries, three tiers and four
/// teams.
pub fn fleet(endpoints: usize, state: DataCentreState) -> Arc<Fleet> {
    let centre = comfreyhaven_core::DataCentreName::new("centre").unwrap();
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let model = comfreyhaven_core::ModelName::new("model").unwrap();
    let mut fleet = Fleet::default();
    let declared = DataCentre {
        name: centre.clone(),
        region: "region".into(),
        state,
    };
    fleet.centres.insert(centre.clone(), declared);
    for name in (0..2).map(host_name) {
        let host = Host {
            name: name.clone(),
            centre: centre.clone(),
            control: address,
        };
        fleet.hosts.insert(name, host);
    }
    for name in (0..endpoints).map(endpoint_name) {
        let endpoint = Endpoint {
            name: name.clone(),
            centre: centre.clone(),
            kind: EndpointKind::Engine,
            serves: BTreeSet::from([model.clone()]),
            control: address,
            traffic: address,
            cold: COLD,
            warm: WARM,
            tokens: KV_TOKENS,
        };
        fleet.endpoints.insert(name, endpoint);
    }
    for tier in 0..3 {
        let route = Route {
            name: route_name(tier),
            path: format!("/{tier}"),
            service: Service::Model(model.clone()),
            tier: Tier(tier),
            access: RouteAccess::Teams,
            deadline: Duration::from_secs(20),
            output: 1_000,
        };
        fleet.routes.insert(route.name.clone(), route);
    }
    for index in 0..4 {
        let team = Team {
            name: team_name(index),
            rate: 1_000_000,
            burst: 10_000_000,
            weight: 1 + u32::try_from(index).unwrap() % 2,
            keys: BTreeSet::from([key(index)]),
            routes: (0..3).map(route_name).collect(),
        };
        fleet.teams.insert(team.name.clone(), team);
    }
    Arc::new(fleet.with_key_index())
}

/// Returns the reservation id of an attempt of a request.
pub fn reservation_id(request: u128, attempt: u32) -> ReservationId {
    ReservationId {
        request: RequestId::new(request),
        attempt,
    }
}

/// Returns a reservation made by the first entry, with 20 s to the deadline.
pub fn reservation(id: ReservationId, tier: u8, team: usize, cost: Cost) -> Reservation {
    Reservation {
        id,
        entry: host_name(0),
        boot: BootNonce::new(7),
        team: team_name(team),
        route: route_name(tier),
        tier: Tier(tier),
        cost,
        remaining: Duration::from_secs(20),
        prefixes: Vec::new(),
        body: BodyDigest(0),
        call: None,
        alone: false,
    }
}
