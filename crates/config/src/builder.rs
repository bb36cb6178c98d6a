//! A builder for operators: declares a fleet in Rust and prints the documents to publish.
//!
//! Names are typed, and [`Configuration::publish`] runs the checks of the processes on the printed
//! documents. It returns documents that the processes accept, or all problems.
//!
//! ```
//! use comfreyhaven_config::builder::{
//!     Configuration, DataCentre, Endpoint, Host, Route, Team, Tier,
//! };
//! use comfreyhaven_core::{Generation, KeyDigest};
//!
//! # fn main() -> Result<(), comfreyhaven_core::name::NameError> {
//! let configuration = Configuration::new()
//!     .with_tier(Tier::new("high".parse()?, 0))
//!     .with_centre(DataCentre::new("tb1".parse()?, "tbilisi".parse()?))
//!     .with_host(Host::new("e1".parse()?, "tb1".parse()?, ([10, 0, 1, 1], 7000).into()))
//!     .with_endpoint(
//!         Endpoint::new_engine("g1".parse()?, "tb1".parse()?, [10, 0, 1, 2].into())
//!             .with_model("hive".parse()?)
//!             .with_requests(2, 16),
//!     )
//!     .with_route(Route::new_model(
//!         "plan".parse()?,
//!         "/v1/chat/completions",
//!         "hive".parse()?,
//!         "high".parse()?,
//!     ))
//!     .with_team(
//!         Team::new("kakheti".parse()?, 2_000, 60_000)
//!             .with_key(KeyDigest::of_key("secret"))
//!             .with_route("plan".parse()?),
//!     );
//! let documents = configuration.publish(Generation(1)).expect("no problems");
//! assert_eq!(documents.len(), 18);
//! # Ok(())
//! # }
//! ```

mod declaration;
mod print;

use std::collections::BTreeMap;
use std::hash::Hasher;

use comfreyhaven_core::fleet::{self, Fleet};
use comfreyhaven_core::{Generation, TeamName, TierName};

pub use declaration::{DataCentre, Endpoint, Host, Route, Team, Tier};

use crate::assemble::assemble;
use crate::document::{Document, document_names};
use crate::problem::{Problem, Problems};

/// Number of documents over which teams are distributed.
const TEAM_DOCUMENT_COUNT: u64 = 16;

/// All declarations of a configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    tiers: Vec<fleet::TierSpec>,
    centres: Vec<fleet::DataCentre>,
    hosts: Vec<fleet::Host>,
    endpoints: Vec<fleet::Endpoint>,
    routes: Vec<Route>,
    teams: Vec<fleet::Team>,
}

impl Configuration {
    /// Creates an empty configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a tier.
    #[must_use]
    pub fn with_tier(mut self, tier: Tier) -> Self {
        self.tiers.push(tier.0);
        self
    }

    /// Adds a data centre.
    #[must_use]
    pub fn with_centre(mut self, centre: DataCentre) -> Self {
        self.centres.push(centre.0);
        self
    }

    /// Adds an entry host.
    #[must_use]
    pub fn with_host(mut self, host: Host) -> Self {
        self.hosts.push(host.0);
        self
    }

    /// Adds an endpoint.
    #[must_use]
    pub fn with_endpoint(mut self, endpoint: Endpoint) -> Self {
        self.endpoints.push(endpoint.0);
        self
    }

    /// Adds a route.
    #[must_use]
    pub fn with_route(mut self, route: Route) -> Self {
        self.routes.push(route);
        self
    }

    /// Adds a team.
    #[must_use]
    pub fn with_team(mut self, team: Team) -> Self {
        self.teams.push(team.0);
        self
    }

    /// Prints every document with the same generation.
    ///
    /// Unchanged documents need not be published, because a process tracks the generation of each
    /// document separately.
    ///
    /// # Errors
    /// Returns every problem for which a process would reject the documents.
    pub fn publish(&self, generation: Generation) -> Result<Vec<Document>, Problems> {
        // A path is the only unrestricted text. A line break in it would add lines to the document.
        let problems: Vec<_> = self.routes.iter().filter_map(path_problem).collect();
        Problems(problems).into_result(())?;
        let documents = document_names()
            .map(|name| Document::new(&self.print(&name, generation)))
            .collect::<Result<Vec<_>, _>>()?;
        assemble(&documents)?;
        Ok(documents)
    }

    fn print(&self, name: &str, generation: Generation) -> String {
        let mut text = print::header(name, generation);
        match name {
            "fleet" => {
                self.tiers
                    .iter()
                    .for_each(|item| print::tier(&mut text, item));
                self.centres
                    .iter()
                    .for_each(|item| print::centre(&mut text, item));
                self.hosts
                    .iter()
                    .for_each(|item| print::host(&mut text, item));
                self.endpoints
                    .iter()
                    .for_each(|item| print::endpoint(&mut text, item));
            }
            "routes" => self
                .routes
                .iter()
                .for_each(|item| print::route(&mut text, item)),
            _ => {
                let belongs = |team: &&fleet::Team| team_document(&team.name) == name;
                let teams = self.teams.iter().filter(belongs);
                teams.for_each(|item| print::team(&mut text, item));
            }
        }
        text
    }
}

impl From<&Fleet> for Configuration {
    /// Copies the declarations of a fleet, so that they can be changed and published again.
    fn from(fleet: &Fleet) -> Self {
        let tier_names: BTreeMap<_, _> = fleet
            .tiers
            .iter()
            .map(|tier| (tier.tier, &tier.name))
            .collect();
        let routes = fleet.routes.values().filter_map(|route| {
            let tier: &TierName = tier_names.get(&route.tier)?;
            Some(Route::from_parts(route.clone(), tier.clone()))
        });
        Self {
            tiers: fleet.tiers.clone(),
            centres: fleet.centres.values().cloned().collect(),
            hosts: fleet.hosts.values().cloned().collect(),
            endpoints: fleet.endpoints.values().cloned().collect(),
            routes: routes.collect(),
            teams: fleet.teams.values().cloned().collect(),
        }
    }
}

/// Returns the name of the document that holds a team. It depends only on the team's name, so that
/// a team stays in its document from one generation to the next.
///
/// ```
/// use comfreyhaven_config::builder::team_document;
///
/// let team = "kakheti".parse().unwrap();
/// assert_eq!(team_document(&team), team_document(&team));
/// assert!(team_document(&team).starts_with("teams-"));
/// ```
#[must_use]
pub fn team_document(team: &TeamName) -> String {
    let mut hasher = Fnv1a::default();
    hasher.write(team.as_str().as_bytes());
    format!("teams-{:x}", hasher.finish() % TEAM_DOCUMENT_COUNT)
}

/// The 64-bit FNV-1a hash, which gives the same result in every build.
struct Fnv1a(u64);

impl Default for Fnv1a {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for Fnv1a {
    fn finish(&self) -> u64 {
        // The low bits of an FNV-1a hash are mixed less than the high bits.
        self.0 ^ (self.0 >> 32)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

fn path_problem(route: &Route) -> Option<Problem> {
    let path = route.path();
    (!crate::declaration::is_path(path)).then(|| Problem {
        document: "routes".to_owned(),
        section: format!("route {}", route.name()),
        name: Some("path".to_owned()),
        found: Some(path.to_owned()),
        expected: "a path that starts with / and contains no space, ? or #".to_owned(),
    })
}
