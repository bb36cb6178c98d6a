//! The fleet as operators declare it: the one model that every process decides by.
//!
//! A [`Fleet`] is immutable. The configuration crate builds it from checked documents; a change of
//! configuration makes a new one.

mod entry_index;
mod part;

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

pub use part::{
    DataCentre, DataCentreState, Endpoint, EndpointKind, Host, Route, RouteAccess, Service, Team,
    TierSpec,
};

use crate::id::{Generation, KeyDigest};
use crate::name::{DataCentreName, EndpointName, HostName, RouteName, TeamName};

/// Everything that is declared, with the generation of each document it came from.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Fleet {
    /// Generation in force, by document.
    pub generations: BTreeMap<String, Generation>,
    /// Tiers, most urgent first.
    pub tiers: Vec<TierSpec>,
    /// Data centres by name.
    pub centres: BTreeMap<DataCentreName, DataCentre>,
    /// Entry hosts by name.
    pub hosts: BTreeMap<HostName, Host>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<EndpointName, Endpoint>,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, Route>,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, Team>,
    #[serde(skip)]
    keys: HashMap<KeyDigest, TeamName>,
}

impl Fleet {
    /// Makes the look-up of teams by key. Call it once all teams are in place.
    #[must_use]
    pub fn with_key_index(mut self) -> Self {
        self.keys = self
            .teams
            .values()
            .flat_map(|team| team.keys.iter().map(|key| (*key, team.name.clone())))
            .collect();
        self
    }

    /// The team that a key belongs to.
    #[must_use]
    pub fn team_of_key(&self, key: &KeyDigest) -> Option<&Team> {
        self.teams.get(self.keys.get(key)?)
    }

    /// Whether new work may go to a data centre.
    #[must_use]
    pub fn is_in_service(&self, centre: &DataCentreName) -> bool {
        self.centres
            .get(centre)
            .is_some_and(|c| c.state == DataCentreState::In)
    }
}
