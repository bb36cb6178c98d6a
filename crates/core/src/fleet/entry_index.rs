//! Lookups that an entry makes for each request.

use super::{Endpoint, Fleet, Route, RouteAccess, Service, Team};
use crate::name::{ModelName, RouteName};

impl Fleet {
    /// Returns the route with the longest path prefix that matches `path` and, for a route of a
    /// model, `model`.
    #[must_use]
    pub fn route_for(&self, path: &str, model: Option<&str>) -> Option<&Route> {
        self.routes
            .values()
            .filter(|route| path.starts_with(&route.path) && matches_model(route, model))
            .max_by_key(|route| route.path.len())
    }

    /// Returns whether a team may use a route.
    #[must_use]
    pub fn may_use(&self, team: Option<&Team>, route: &Route) -> bool {
        route.access == RouteAccess::Open || team.is_some_and(|t| t.routes.contains(&route.name))
    }

    /// Returns the endpoints that serve a route and whose data centre accepts new work.
    pub fn eligible<'a>(&'a self, route: &RouteName) -> impl Iterator<Item = &'a Endpoint> {
        let service: Option<&ModelName> = self.routes.get(route).map(|r| r.service.name());
        self.endpoints.values().filter(move |endpoint| {
            service.is_some_and(|s| endpoint.serves.contains(s))
                && self.is_in_service(&endpoint.centre)
        })
    }
}

fn matches_model(route: &Route, model: Option<&str>) -> bool {
    match &route.service {
        Service::Model(name) => model == Some(name.as_str()),
        Service::Plain { .. } => true,
    }
}
