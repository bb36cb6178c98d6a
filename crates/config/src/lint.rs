//! Warnings about configurations that are valid but probably contain a mistake.

use std::collections::BTreeSet;

use comfreyhaven_core::fleet::{Fleet, Service, Team};
use comfreyhaven_core::{EndpointName, ModelName, RouteName, TeamName};
use derive_more::Display;
use serde::Serialize;

/// A route or endpoint that can serve no request, or a limit that some requests always exceed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case", tag = "warning")]
pub enum Warning {
    /// No endpoint serves the model or service of a route.
    #[display("route {route}: no endpoint serves {service}; its requests are refused")]
    Unserved {
        /// The route that cannot be served.
        route: RouteName,
        /// The model or service that no endpoint lists.
        service: ModelName,
    },
    /// No route uses any model or service of an endpoint.
    #[display("endpoint {endpoint}: no route uses any model or service that it serves")]
    Unused {
        /// The endpoint that receives no requests.
        endpoint: EndpointName,
    },
    /// A request for a route's longest answer always exceeds a team's burst.
    #[display(
        "team {team}: a request on route {route} without max_tokens costs at least {needed} \
         tokens, more than the {burst} burst tokens; such requests are always refused"
    )]
    SmallBurst {
        /// The team whose burst is too small.
        team: TeamName,
        /// The first such route that the team may use.
        route: RouteName,
        /// The route's answer limit, in tokens.
        needed: u64,
        /// The team's burst, in tokens.
        burst: u64,
    },
}

/// Returns the warnings about a fleet.
///
/// ```
/// use comfreyhaven_config::lint::{Warning, lint};
///
/// let routes = "[document]\nname = routes\ngeneration = 1\n\
///     [route hours]\npath = /hours\nservice = hours\ntier = low\n";
/// let fleet = "[document]\nname = fleet\ngeneration = 1\n[tier low]\nrank = 0\n";
/// let fleet = comfreyhaven_config::check([("routes", routes), ("fleet", fleet)]).unwrap();
/// assert!(matches!(lint(&fleet)[..], [Warning::Unserved { .. }]));
/// ```
#[must_use]
pub fn lint(fleet: &Fleet) -> Vec<Warning> {
    let mut warnings = Vec::new();
    let served: BTreeSet<&ModelName> = fleet
        .endpoints
        .values()
        .flat_map(|endpoint| &endpoint.serves)
        .collect();
    let routed: BTreeSet<&ModelName> = fleet
        .routes
        .values()
        .map(|route| route.service.name())
        .collect();
    for route in fleet.routes.values() {
        let service = route.service.name();
        if !served.contains(service) {
            warnings.push(Warning::Unserved {
                route: route.name.clone(),
                service: service.clone(),
            });
        }
    }
    for endpoint in fleet.endpoints.values() {
        if endpoint.serves.iter().all(|name| !routed.contains(name)) {
            let endpoint = endpoint.name.clone();
            warnings.push(Warning::Unused { endpoint });
        }
    }
    warnings.extend(
        fleet
            .teams
            .values()
            .filter_map(|team| small_burst(fleet, team)),
    );
    warnings
}

/// Warns of the first route whose answer limit exceeds a team's burst.
fn small_burst(fleet: &Fleet, team: &Team) -> Option<Warning> {
    let routes = team.routes.iter().filter_map(|name| fleet.routes.get(name));
    let mut models = routes.filter(|route| matches!(route.service, Service::Model(_)));
    let route = models.find(|route| u64::from(route.output) > team.burst)?;
    Some(Warning::SmallBurst {
        team: team.name.clone(),
        route: route.name.clone(),
        needed: u64::from(route.output),
        burst: team.burst,
    })
}
