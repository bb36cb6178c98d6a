//! The fleet as operators declare it. All processes base their decisions on this one model.
//!
//! A [`Fleet`] is immutable. The configuration crate builds it from checked documents, and a change
//! of configuration creates a new one.

mod declaration;
mod entry_index;

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

pub use declaration::{
    DataCentre, DataCentreState, Endpoint, EndpointKind, Host, Route, RouteAccess, Service, Team,
    TierSpec,
};

use crate::id::{Generation, KeyDigest};
use crate::name::{DataCentreName, EndpointName, HostName, RouteName, TeamName};

/// All declared parts, with the generation of the document that each comes from.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Fleet {
    /// Generation in force by document name.
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
    /// Builds the index of teams by key. Call it once all teams are present.
    #[must_use]
    pub fn with_key_index(mut self) -> Self {
        self.keys = self
            .teams
            .values()
            .flat_map(|team| team.keys.iter().map(|key| (*key, team.name.clone())))
            .collect();
        self
    }

    /// Returns the team to which a key belongs.
    #[must_use]
    pub fn team_of_key(&self, key: &KeyDigest) -> Option<&Team> {
        self.teams.get(self.keys.get(key)?)
    }

    /// Returns whether a data centre is declared and accepts new work.
    #[must_use]
    pub fn is_in_service(&self, centre: &DataCentreName) -> bool {
        self.centres
            .get(centre)
            .is_some_and(|c| c.state == DataCentreState::In)
    }
}
