//! Parts of a configuration that processes accept but that are rarely meant.

use std::collections::BTreeSet;

use comfreyhaven_core::fleet::{Fleet, Service, Team};
use comfreyhaven_core::{EndpointName, ModelName, RouteName, TeamName};
use derive_more::Display;
use serde::Serialize;

/// A part that takes no work, or a limit that some callers can never meet.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case", tag = "warning")]
pub enum Warning {
    /// No endpoint serves a route.
    #[display("route {route}: no endpoint serves {service}; its requests are refused")]
    Unserved {
        /// The route.
        route: RouteName,
        /// What endpoints would have to list.
        service: ModelName,
    },
    /// No route leads to an endpoint.
    #[display("endpoint {endpoint}: no route leads to what it serves")]
    Unused {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// A request of a route's full length never fits a team's burst.
    #[display(
        "team {team}: a request on route {route} without max_tokens costs {needed} tokens or \
         more, and its burst tokens are {burst}; such requests are always refused"
    )]
    SmallBurst {
        /// The team.
        team: TeamName,
        /// The route.
        route: RouteName,
        /// Tokens of the route's largest answer.
        needed: u64,
        /// The team's burst, in tokens.
        burst: u64,
    },
}

/// Lists what is rarely meant.
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
    let wanted: BTreeSet<&ModelName> = fleet
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
        if endpoint.serves.iter().all(|name| !wanted.contains(name)) {
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

/// The first route whose full answer is over a team's burst.
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
