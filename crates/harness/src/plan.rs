//! Describes a deployment: its hosts, endpoints, routes and teams.

use comfreyhaven_core::KeyDigest;

/// An endpoint with its stand-in and its agent.
#[derive(Debug, Clone)]
pub struct EndpointPlan {
    pub(crate) name: String,
    pub(crate) centre: String,
    pub(crate) serves: String,
    pub(crate) is_engine: bool,
    pub(crate) cold_limit: u32,
    pub(crate) warm_limit: u32,
    pub(crate) cache_tokens: u64,
    pub(crate) arguments: Vec<String>,
}

impl EndpointPlan {
    /// Creates an engine that serves one model.
    #[must_use]
    pub fn new_engine(name: &str, centre: &str, model: &str) -> Self {
        Self {
            name: name.to_owned(),
            centre: centre.to_owned(),
            serves: model.to_owned(),
            is_engine: true,
            cold_limit: 4,
            warm_limit: 16,
            cache_tokens: 200_000,
            arguments: Vec::new(),
        }
    }

    /// Creates an endpoint of a plain service.
    #[must_use]
    pub fn new_service(name: &str, centre: &str, service: &str) -> Self {
        Self {
            is_engine: false,
            cache_tokens: 0,
            ..Self::new_engine(name, centre, service)
        }
    }

    /// Sets the limits of concurrent requests that the fleet document declares.
    #[must_use]
    pub fn with_capacity(self, cold: u32, warm: u32) -> Self {
        Self {
            cold_limit: cold,
            warm_limit: warm,
            ..self
        }
    }

    /// Adds a command line argument of the stand-in, such as `("step-us", 500)`.
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

/// A section of the routes document.
#[derive(Debug, Clone)]
pub struct RoutePlan {
    pub(crate) name: String,
    pub(crate) values: Vec<(String, String)>,
}

impl RoutePlan {
    /// Creates a route to a model.
    #[must_use]
    pub fn new_model(name: &str, model: &str, tier: &str) -> Self {
        let route = Self {
            name: name.to_owned(),
            values: Vec::new(),
        };
        route
            .with_value("path", "/v1/chat/completions")
            .with_value("model", model)
            .with_value("tier", tier)
    }

    /// Creates a route to a plain service under a path prefix.
    #[must_use]
    pub fn new_service(name: &str, path: &str, service: &str, tier: &str) -> Self {
        let route = Self {
            name: name.to_owned(),
            values: Vec::new(),
        };
        route
            .with_value("path", path)
            .with_value("service", service)
            .with_value("tier", tier)
    }

    /// Adds a value to the section of the route.
    #[must_use]
    pub fn with_value(mut self, name: &str, value: &str) -> Self {
        self.values.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// A team. Its API key is `key-` followed by its name, unless other keys are set.
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
    /// Creates a team that may use `routes`, with a rate in tokens per second and a burst in
    /// tokens.
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

    /// Replaces the API keys of the team.
    #[must_use]
    pub fn with_keys(self, keys: &[&str]) -> Self {
        Self {
            keys: keys.iter().map(|&key| key.to_owned()).collect(),
            ..self
        }
    }

    pub(crate) fn key_digests(&self) -> String {
        let digest = |key: &String| KeyDigest::of_key(key).to_string();
        self.keys.iter().map(digest).collect::<Vec<_>>().join(", ")
    }
}

/// The complete plan of a deployment.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    pub(crate) centres: Vec<(String, bool)>,
    pub(crate) tiers: Vec<String>,
    pub(crate) entries: Vec<EntryPlan>,
    pub(crate) endpoints: Vec<EndpointPlan>,
    pub(crate) routes: Vec<RoutePlan>,
    pub(crate) teams: Vec<TeamPlan>,
    pub(crate) lag_ms: u64,
    pub(crate) log_filter: String,
    pub(crate) relays: bool,
}

impl Plan {
    /// Creates a plan that contains only the tiers `high`, `mid` and `low`.
    #[must_use]
    pub fn new() -> Self {
        let tiers = ["high", "mid", "low"].map(str::to_owned).to_vec();
        Self {
            tiers,
            lag_ms: 500,
            log_filter: "info".to_owned(),
            ..Self::default()
        }
    }

    /// Sets the log filter of all agents and entries.
    #[must_use]
    pub fn with_log_filter(self, filter: &str) -> Self {
        Self {
            log_filter: filter.to_owned(),
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

    /// Puts relays in front of the control and traffic ports of each agent, the control port of
    /// each entry, and each endpoint.
    #[must_use]
    pub fn with_relays(self) -> Self {
        Self {
            relays: true,
            ..self
        }
    }

    /// Adds a value to the section of a route. Takes effect with the next publication.
    pub fn add_route_value(&mut self, route: &str, name: &str, value: &str) {
        for plan in self.routes.iter_mut().filter(|plan| plan.name == route) {
            plan.values.push((name.to_owned(), value.to_owned()));
        }
    }

    /// Sets the declared limits of an endpoint. Takes effect with the next publication.
    pub fn set_capacity(&mut self, endpoint: &str, cold: u32, warm: u32) {
        for plan in self
            .endpoints
            .iter_mut()
            .filter(|plan| plan.name == endpoint)
        {
            (plan.cold_limit, plan.warm_limit) = (cold, warm);
        }
    }

    /// Replaces a value in the section of a route. Takes effect with the next publication.
    pub fn set_route_value(&mut self, route: &str, name: &str, value: &str) {
        for plan in self.routes.iter_mut().filter(|plan| plan.name == route) {
            plan.values.retain(|(existing, _)| existing != name);
            plan.values.push((name.to_owned(), value.to_owned()));
        }
    }

    /// Puts a data centre in or out of service. Takes effect with the next publication.
    pub fn set_in_service(&mut self, centre: &str, in_service: bool) {
        for (_, state) in self.centres.iter_mut().filter(|(name, _)| name == centre) {
            *state = in_service;
        }
    }

    /// Replaces the API keys of a team. Takes effect with the next publication.
    pub fn set_keys(&mut self, team: &str, keys: &[&str]) {
        for plan in self.teams.iter_mut().filter(|plan| plan.name == team) {
            plan.keys = keys.iter().map(|&key| key.to_owned()).collect();
        }
    }
}
