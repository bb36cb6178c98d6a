//! Configurations of a given size.

use std::net::{Ipv4Addr, SocketAddr};

use comfreyhaven_config::builder::{Configuration, DataCentre, Endpoint, Host, Route, Team, Tier};
use comfreyhaven_config::{Document, assemble};
use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_core::{Generation, KeyDigest};

use crate::error::CapacityError;

/// How much of each part there is.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Teams.
    pub teams: usize,
    /// Keys of each team.
    pub keys: usize,
    /// Routes, one for each model.
    pub routes: usize,
    /// Engines, spread over the models.
    pub endpoints: usize,
    /// Entry hosts.
    pub hosts: usize,
}

/// A fleet that each measurement varies one part of.
pub const SMALL: Size = Size {
    teams: 500,
    keys: 2,
    routes: 36,
    endpoints: 100,
    hosts: 50,
};

const CENTRES: usize = 9;
const REGIONS: usize = 3;
const TIERS: usize = 3;
const ROUTES_PER_TEAM: usize = 3;

/// Tokens a second, and tokens, that no measurement runs out of.
const PLENTY: u64 = 1_000_000_000_000;

/// The key of a team.
pub fn key(team: usize, index: usize) -> KeyDigest {
    KeyDigest::of_key(&format!("key {team} {index}"))
}

/// The published documents of a fleet.
pub fn documents(size: Size) -> Result<Vec<Document>, CapacityError> {
    let mut built = Configuration::new();
    for tier in 0..TIERS {
        let rank = u8::try_from(tier).unwrap_or(u8::MAX);
        built = built.with_tier(Tier::new(format!("tier-{tier}").parse()?, rank));
    }
    for centre in 0..CENTRES {
        let region = format!("region-{}", centre % REGIONS).parse()?;
        built = built.with_centre(DataCentre::new(centre_name(centre).parse()?, region));
    }
    for host in 0..size.hosts {
        let control = SocketAddr::new(ip(1, host), 7_000);
        let centre = centre_name(host).parse()?;
        built = built.with_host(Host::new(
            format!("entry-{host:03}").parse()?,
            centre,
            control,
        ));
    }
    for endpoint in 0..size.endpoints {
        built = built.with_endpoint(engine(endpoint, size.routes)?);
    }
    for route in 0..size.routes {
        let model = model(route).parse()?;
        let tier = format!("tier-{}", route % TIERS).parse()?;
        let name = format!("route-{route:03}").parse()?;
        built = built.with_route(Route::new_model(name, "/v1/chat/completions", model, tier));
    }
    for index in 0..size.teams {
        built = built.with_team(team(index, size)?);
    }
    Ok(built.publish(Generation(1))?)
}

/// A fleet in force.
pub fn fleet(size: Size) -> Result<Fleet, CapacityError> {
    Ok(assemble(&documents(size)?)?)
}

fn engine(index: usize, models: usize) -> Result<Endpoint, CapacityError> {
    let name = format!("engine-{index:03}").parse()?;
    let centre = centre_name(index).parse()?;
    let model = model(index % models.max(1)).parse()?;
    let endpoint = Endpoint::new_engine(name, centre, ip(2, index)).with_model(model);
    Ok(endpoint.with_requests(4, 64).with_cache(800_000))
}

fn team(index: usize, size: Size) -> Result<Team, CapacityError> {
    let mut team = Team::new(format!("team-{index:04}").parse()?, PLENTY, PLENTY);
    for own in 0..size.keys {
        team = team.with_key(key(index, own));
    }
    for route in 0..ROUTES_PER_TEAM.min(size.routes) {
        let route = (index + route) % size.routes;
        team = team.with_route(format!("route-{route:03}").parse()?);
    }
    Ok(team)
}

fn model(index: usize) -> String {
    format!("model-{index:03}")
}

fn centre_name(index: usize) -> String {
    format!("centre-{}", index % CENTRES)
}

fn ip(net: u8, index: usize) -> std::net::IpAddr {
    let [high, low] = u16::try_from(index).unwrap_or(u16::MAX).to_be_bytes();
    Ipv4Addr::new(10, net, high, low).into()
}
