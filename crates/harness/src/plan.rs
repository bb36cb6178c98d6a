//! What a deployment consists of.

use comfreyhaven_core::KeyDigest;

/// An endpoint, its stand-in and its agent.
#[derive(Debug, Clone)]
pub struct EndpointPlan {
    pub(crate) name: String,
    pub(crate) centre: String,
    pub(crate) serves: String,
    pub(crate) engine: bool,
    pub(crate) cold: u32,
    pub(crate) warm: u32,
    pub(crate) tokens: u64,
    pub(crate) arguments: Vec<String>,
}

impl EndpointPlan {
    /// An engine that serves one model.
    #[must_use]
    pub fn new_engine(name: &str, centre: &str, model: &str) -> Self {
        Self {
            name: name.to_owned(),
            centre: centre.to_owned(),
            serves: model.to_owned(),
            engine: true,
            cold: 4,
            warm: 16,
            tokens: 200_000,
            arguments: Vec::new(),
        }
    }

    /// A plain service.
    #[must_use]
    pub fn new_service(name: &str, centre: &str, service: &str) -> Self {
        Self {
            engine: false,
            tokens: 0,
            ..Self::new_engine(name, centre, service)
        }
    }

    /// The same endpoint with a declared cold and warm bearing.
    #[must_use]
    pub fn with_bearing(self, cold: u32, warm: u32) -> Self {
        Self { cold, warm, ..self }
    }

    /// The same endpoint with one more argument of its stand-in, such as `("step-us", 500)`.
    #[must_use]
    pub fn with_argument(mut self, name: &str, value: u64) -> Self {
        self.arguments
            .extend([format!("--{name}"), value.to_string()]);
        self
    }
}

/// An entry host.
#[derive(Debug, Clone)]
pub struct EntryPlan {
    pub(crate) name: String,
    pub(crate) centre: String,
}

/// A route.
#[derive(Debug, Clone)]
pub struct RoutePlan {
    pub(crate) name: String,
    pub(crate) lines: Vec<(String, String)>,
}

impl RoutePlan {
    /// A route to a model.
    #[must_use]
    pub fn new_model(name: &str, model: &str, tier: &str) -> Self {
        let route = Self {
            name: name.to_owned(),
            lines: Vec::new(),
        };
        route
            .with_value("path", "/v1/chat/completions")
            .with_value("model", model)
            .with_value("tier", tier)
    }

    /// A route to a plain service under a path prefix.
    #[must_use]
    pub fn new_service(name: &str, path: &str, service: &str, tier: &str) -> Self {
        let route = Self {
            name: name.to_owned(),
            lines: Vec::new(),
        };
        route
            .with_value("path", path)
            .with_value("service", service)
            .with_value("tier", tier)
    }

    /// The same route with one more value of its section.
    #[must_use]
    pub fn with_value(mut self, name: &str, value: &str) -> Self {
        self.lines.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// A team whose key is `key-` and its name.
#[derive(Debug, Clone)]
pub struct TeamPlan {
    pub(crate) name: String,
    pub(crate) rate: u64,
    pub(crate) burst: u64,
    pub(crate) weight: u32,
    pub(crate) keys: Vec<String>,
    pub(crate) routes: Vec<String>,
}

impl TeamPlan {
    /// A team that may use some routes.
    #[must_use]
    pub fn new(name: &str, rate: u64, burst: u64, routes: &[&str]) -> Self {
        Self {
            name: name.to_owned(),
            rate,
            burst,
            weight: 1,
            keys: vec![format!("key-{name}")],
            routes: routes.iter().map(|&route| route.to_owned()).collect(),
        }
    }

    /// The same team with other keys.
    #[must_use]
    pub fn with_keys(self, keys: &[&str]) -> Self {
        Self {
            keys: keys.iter().map(|&key| key.to_owned()).collect(),
            ..self
        }
    }

    pub(crate) fn digests(&self) -> String {
        let digest = |key: &String| KeyDigest::of_key(key).to_string();
        self.keys.iter().map(digest).collect::<Vec<_>>().join(", ")
    }
}

/// A whole deployment.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    pub(crate) centres: Vec<(String, bool)>,
    pub(crate) tiers: Vec<String>,
    pub(crate) entries: Vec<EntryPlan>,
    pub(crate) endpoints: Vec<EndpointPlan>,
    pub(crate) routes: Vec<RoutePlan>,
    pub(crate) teams: Vec<TeamPlan>,
    pub(crate) lag: u64,
    pub(crate) log: String,
    pub(crate) relays: bool,
}

impl Plan {
    /// A deployment with tiers `high`, `mid` and `low` and nothing else.
    #[must_use]
    pub fn new() -> Self {
        let tiers = ["high", "mid", "low"].map(str::to_owned).to_vec();
        Self {
            tiers,
            lag: 500,
            log: "info".to_owned(),
            ..Self::default()
        }
    }

    /// The same deployment with another log filter in every process.
    #[must_use]
    pub fn with_log(self, filter: &str) -> Self {
        Self {
            log: filter.to_owned(),
            ..self
        }
    }

    /// Adds a data centre that is in service.
    #[must_use]
    pub fn with_centre(mut self, name: &str) -> Self {
        self.centres.push((name.to_owned(), true));
        self
    }

    /// Adds an entry host.
    #[must_use]
    pub fn with_entry(mut self, name: &str, centre: &str) -> Self {
        self.entries.push(EntryPlan {
            name: name.to_owned(),
            centre: centre.to_owned(),
        });
        self
    }

    /// Adds an endpoint.
    #[must_use]
    pub fn with_endpoint(mut self, endpoint: EndpointPlan) -> Self {
        self.endpoints.push(endpoint);
        self
    }

    /// Adds a route.
    #[must_use]
    pub fn with_route(mut self, route: RoutePlan) -> Self {
        self.routes.push(route);
        self
    }

    /// Adds a team.
    #[must_use]
    pub fn with_team(mut self, team: TeamPlan) -> Self {
        self.teams.push(team);
        self
    }

    /// Puts relays before the control and traffic ports of each agent, before the control port of each
    /// entry, and before each endpoint.
    #[must_use]
    pub fn with_relays(self) -> Self {
        Self {
            relays: true,
            ..self
        }
    }

    /// Adds a value to the section of a route. Takes effect when the routes are published.
    pub fn set_route(&mut self, route: &str, name: &str, value: &str) {
        for known in self.routes.iter_mut().filter(|known| known.name == route) {
            known.lines.push((name.to_owned(), value.to_owned()));
        }
    }

    /// Changes the bearing of an endpoint. Takes effect when the fleet is published.
    pub fn set_bearing(&mut self, endpoint: &str, cold: u32, warm: u32) {
        for known in self
            .endpoints
            .iter_mut()
            .filter(|known| known.name == endpoint)
        {
            (known.cold, known.warm) = (cold, warm);
        }
    }

    /// Changes a value of a route's section. Takes effect when the routes are published.
    pub fn set_route_value(&mut self, route: &str, name: &str, value: &str) {
        for known in self.routes.iter_mut().filter(|known| known.name == route) {
            known.lines.retain(|(line, _)| line != name);
            known.lines.push((name.to_owned(), value.to_owned()));
        }
    }

    /// Puts a data centre in or out of service. Takes effect when the fleet is published.
    pub fn set_in_service(&mut self, centre: &str, state: bool) {
        for (_, known) in self.centres.iter_mut().filter(|(name, _)| name == centre) {
            *known = state;
        }
    }

    /// Replaces the keys of a team. Takes effect when the teams are published.
    pub fn set_keys(&mut self, team: &str, keys: &[&str]) {
        for known in self.teams.iter_mut().filter(|known| known.name == team) {
            known.keys = keys.iter().map(|&key| key.to_owned()).collect();
        }
    }
}
