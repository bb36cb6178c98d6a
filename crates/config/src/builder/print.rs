//! Prints each item as the section that declares it.

use std::fmt::{Display, Write};

use comfreyhaven_core::Generation;
use comfreyhaven_core::fleet::{DataCentre, Endpoint, Host, Service, Team, TierSpec};

use super::declaration::Route;
use crate::value::{Span, TokenRate};

pub(super) fn header(name: &str, generation: Generation) -> String {
    let mut text = String::new();
    section(&mut text, "document", "");
    value(&mut text, "name", name);
    value(&mut text, "generation", generation);
    text
}

pub(super) fn tier(text: &mut String, spec: &TierSpec) {
    section(text, "tier", &spec.name);
    value(text, "rank", spec.tier);
}

pub(super) fn centre(text: &mut String, centre: &DataCentre) {
    section(text, "data-centre", &centre.name);
    value(text, "region", &centre.region);
    value(text, "state", centre.state);
}

pub(super) fn host(text: &mut String, host: &Host) {
    section(text, "host", &host.name);
    value(text, "data centre", &host.centre);
    value(text, "control", host.control);
}

pub(super) fn endpoint(text: &mut String, endpoint: &Endpoint) {
    section(text, "endpoint", &endpoint.name);
    value(text, "data centre", &endpoint.centre);
    value(text, "kind", endpoint.kind);
    list(text, "serves", &endpoint.serves);
    value(text, "control", endpoint.control);
    value(text, "traffic", endpoint.traffic);
    value(text, "cold requests", endpoint.cold);
    value(text, "warm requests", endpoint.warm);
    if endpoint.tokens > 0 {
        value(text, "cache tokens", endpoint.tokens);
    }
}

pub(super) fn route(text: &mut String, declared: &Route) {
    let (route, tier) = declared.route_and_tier();
    section(text, "route", &route.name);
    value(text, "path", &route.path);
    match &route.service {
        Service::Model(model) => value(text, "model", model),
        Service::Plain {
            service,
            idempotent,
            window,
        } => {
            value(text, "service", service);
            value(text, "idempotent", idempotent);
            value(text, "resend window", Span(*window));
        }
    }
    value(text, "tier", tier);
    value(text, "access", route.access);
    value(text, "deadline", Span(route.deadline));
    value(text, "output tokens", route.output);
}

pub(super) fn team(text: &mut String, team: &Team) {
    section(text, "team", &team.name);
    value(text, "rate", TokenRate(team.rate));
    value(text, "burst tokens", team.burst);
    value(text, "weight", team.weight);
    list(text, "keys", &team.keys);
    list(text, "routes", &team.routes);
}

fn section(text: &mut String, kind: &str, name: impl Display) {
    let gap = if text.is_empty() { "" } else { "\n" };
    let title = format!("{kind} {name}");
    let _ = writeln!(text, "{gap}[{}]", title.trim_end());
}

fn value(text: &mut String, name: &str, value: impl Display) {
    let _ = writeln!(text, "{name} = {value}");
}

/// Prints a comma-separated list. An empty list is left out.
fn list<T: Display>(text: &mut String, name: &str, items: impl IntoIterator<Item = T>) {
    let items: Vec<_> = items.into_iter().map(|item| item.to_string()).collect();
    if !items.is_empty() {
        value(text, name, items.join(", "));
    }
}
