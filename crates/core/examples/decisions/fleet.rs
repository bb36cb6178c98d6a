//! A fleet with one model, three tiers and five teams.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::fleet::{
    DataCentre, DataCentreState, Endpoint, EndpointKind, Fleet, Host, Route, RouteAccess, Service,
    Team,
};
use comfreyhaven_core::name::NameError;
use comfreyhaven_core::{
    DataCentreName, EndpointName, HostName, ModelName, RouteName, TeamName, Tier,
};

use crate::engine::Spec;

pub const TEAMS: usize = 5;

pub fn team(index: usize) -> Result<TeamName, NameError> {
    TeamName::new(&format!("team-{index}"))
}

pub fn endpoint(index: usize) -> Result<EndpointName, NameError> {
    EndpointName::new(&format!("engine-{index}"))
}

pub fn route(tier: u8) -> Result<RouteName, NameError> {
    RouteName::new(&format!("route-{tier}"))
}

/// Creates a fleet with one endpoint per engine, all in one data centre.
pub fn declare(engines: &[Spec]) -> Result<Arc<Fleet>, NameError> {
    let centre = DataCentreName::new("centre")?;
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let model = ModelName::new("model")?;
    let mut fleet = Fleet::default();
    let state = DataCentreState::In;
    let declared = DataCentre {
        name: centre.clone(),
        region: "region".to_owned(),
        state,
    };
    fleet.centres.insert(centre.clone(), declared);
    let name = HostName::new("entry")?;
    let host = Host {
        name: name.clone(),
        centre: centre.clone(),
        control: address,
    };
    fleet.hosts.insert(name, host);
    for (index, spec) in engines.iter().enumerate() {
        let endpoint = Endpoint {
            name: endpoint(index)?,
            centre: centre.clone(),
            kind: EndpointKind::Engine,
            serves: BTreeSet::from([model.clone()]),
            control: address,
            traffic: address,
            cold: u32::try_from(spec.cold).unwrap_or(u32::MAX),
            warm: u32::try_from(spec.warm).unwrap_or(u32::MAX),
            tokens: 0,
        };
        fleet.endpoints.insert(endpoint.name.clone(), endpoint);
    }
    for tier in 0..3 {
        let route = Route {
            name: route(tier)?,
            path: format!("/{tier}"),
            service: Service::Model(model.clone()),
            tier: Tier(tier),
            access: RouteAccess::Open,
            deadline: Duration::from_secs(60),
            output: 4_096,
        };
        fleet.routes.insert(route.name.clone(), route);
    }
    for index in 0..TEAMS {
        let team = Team {
            name: team(index)?,
            rate: 1,
            burst: 1,
            weight: 1,
            keys: BTreeSet::new(),
            routes: BTreeSet::new(),
        };
        fleet.teams.insert(team.name.clone(), team);
    }
    Ok(Arc::new(fleet))
}
