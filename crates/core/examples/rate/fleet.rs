//! The fleet of the simulation.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use comfreyhaven_core::fleet::{
    DataCentre, DataCentreState, Endpoint, EndpointKind, Fleet, Host, Route, RouteAccess, Service,
    Team,
};
use comfreyhaven_core::{Generation, HostName, KeyDigest, RouteName, TeamName, Tier};

/// Rate of the team in tokens per second.
pub const RATE: u64 = 20_000;

/// Returns the key of the team.
pub fn key() -> KeyDigest {
    KeyDigest::of_key("key")
}

/// Returns the name of the only route.
pub fn route() -> RouteName {
    "plan".parse().expect("a name")
}

/// Returns the name of an entry host.
pub fn host(index: usize) -> HostName {
    format!("e{index}").parse().expect("a name")
}

/// Creates a fleet of `hosts` entries, one endpoint and one team with a burst of `burst` tokens.
pub fn new(hosts: usize, burst: u64) -> Fleet {
    let mut fleet = Fleet::default();
    let team: TeamName = "kakheti".parse().expect("a name");
    let centre = "tb1".parse().expect("a name");
    fleet.generations = BTreeMap::from([("fleet".to_owned(), Generation(1))]);
    fleet.centres = [DataCentre {
        name: centre,
        region: "tbilisi".to_owned(),
        state: DataCentreState::In,
    }]
    .map(|c| (c.name.clone(), c))
    .into();
    fleet.hosts = (0..hosts)
        .map(host_record)
        .map(|h| (h.name.clone(), h))
        .collect();
    fleet.endpoints = [endpoint_record()].map(|e| (e.name.clone(), e)).into();
    fleet.routes = [route_record()].map(|r| (r.name.clone(), r)).into();
    fleet.teams = [Team {
        name: team,
        rate: RATE,
        burst,
        weight: 1,
        keys: BTreeSet::from([key()]),
        routes: BTreeSet::from([route()]),
    }]
    .map(|t| (t.name.clone(), t))
    .into();
    fleet.with_key_index()
}

fn host_record(index: usize) -> Host {
    Host {
        name: host(index),
        centre: "tb1".parse().expect("a name"),
        control: ([127, 0, 0, 1], 1_000 + index as u16).into(),
    }
}

fn endpoint_record() -> Endpoint {
    Endpoint {
        name: "engine".parse().expect("a name"),
        centre: "tb1".parse().expect("a name"),
        kind: EndpointKind::Engine,
        serves: BTreeSet::from(["hive".parse().expect("a name")]),
        control: ([127, 0, 0, 1], 1).into(),
        traffic: ([127, 0, 0, 1], 2).into(),
        cold: 1,
        warm: 1,
        tokens: 0,
    }
}

fn route_record() -> Route {
    Route {
        name: route(),
        path: "/v1/chat/completions".to_owned(),
        service: Service::Model("hive".parse().expect("a name")),
        tier: Tier(0),
        access: RouteAccess::Teams,
        deadline: Duration::from_secs(30),
        output: 4_000,
    }
}
