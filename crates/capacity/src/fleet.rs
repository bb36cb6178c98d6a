//! Generates configurations of a given size.

use std::net::{Ipv4Addr, SocketAddr};

use comfreyhaven_config::builder::{Configuration, DataCentre, Endpoint, Host, Route, Team, Tier};
use comfreyhaven_config::{Document, assemble};
use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_core::{Generation, KeyDigest};

use crate::error::CapacityError;

/// Number of items of each kind in a configuration.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of teams.
    pub teams: usize,
    /// Number of keys of each team.
    pub keys: usize,
    /// Number of routes, each with a model of its own.
    pub routes: usize,
    /// Number of engines, distributed evenly over the models.
    pub endpoints: usize,
    /// Number of entry hosts.
    pub hosts: usize,
}

/// Size of which each measurement varies one field.
pub const BASE_SIZE: Size = Size {
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

/// Rate in tokens per second and burst in tokens that no measurement exhausts.
const AMPLE_TOKENS: u64 = 1_000_000_000_000;

/// Returns the digest of the key at `index` of a team.
pub fn key(team: usize, index: usize) -> KeyDigest {
    KeyDigest::of_key(&format!("key {team} {index}"))
}

/// Returns the documents of a fleet of the given size.
pub fn documents(size: Size) -> Result<Vec<Document>, CapacityError> {
    let mut configuration = Configuration::new();
    for tier in 0..TIERS {
        let rank = u8::try_from(tier).unwrap_or(u8::MAX);
        configuration = configuration.with_tier(Tier::new(format!("tier-{tier}").parse()?, rank));
    }
    for centre in 0..CENTRES {
        let region = format!("region-{}", centre % REGIONS).parse()?;
        configuration =
            configuration.with_centre(DataCentre::new(centre_name(centre).parse()?, region));
    }
    for host in 0..size.hosts {
        let control = SocketAddr::new(ip(1, host), 7_000);
        let centre = centre_name(host).parse()?;
        configuration = configuration.with_host(Host::new(
            format!("entry-{host:03}").parse()?,
            centre,
            control,
        ));
    }
    for endpoint in 0..size.endpoints {
        configuration = configuration.with_endpoint(engine(endpoint, size.routes)?);
    }
    for route in 0..size.routes {
        let model = model(route).parse()?;
        let tier = format!("tier-{}", route % TIERS).parse()?;
        let name = format!("route-{route:03}").parse()?;
        configuration =
            configuration.with_route(Route::new_model(name, "/v1/chat/completions", model, tier));
    }
    for index in 0..size.teams {
        configuration = configuration.with_team(team(index, size)?);
    }
    Ok(configuration.publish(Generation(1))?)
}

/// Returns the assembled fleet of the given size.
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
    let mut team = Team::new(
        format!("team-{index:04}").parse()?,
        AMPLE_TOKENS,
        AMPLE_TOKENS,
    );
    for number in 0..size.keys {
        team = team.with_key(key(index, number));
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

fn ip(network: u8, index: usize) -> std::net::IpAddr {
    let [high, low] = u16::try_from(index).unwrap_or(u16::MAX).to_be_bytes();
    Ipv4Addr::new(10, network, high, low).into()
}
