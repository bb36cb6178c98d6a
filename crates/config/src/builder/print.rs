//! Prints each part as the section that declares it.

use std::fmt::{Display, Write};

use comfreyhaven_core::Generation;
use comfreyhaven_core::fleet::{DataCentre, Endpoint, Host, Service, Team, TierSpec};

use super::part::Route;
use crate::value::{Span, TokenRate};

pub(super) fn header(name: &str, generation: Generation) -> String {
    let mut text = String::new();
    section(&mut text, "document", "");
    value(&mut text, "name", name);
    value(&mut text, "generation", generation);
    text
}

pub(super) fn tier(text: &mut String, part: &TierSpec) {
    section(text, "tier", &part.name);
    value(text, "rank", part.tier);
}

pub(super) fn centre(text: &mut String, part: &DataCentre) {
    section(text, "data-centre", &part.name);
    value(text, "region", &part.region);
    value(text, "state", part.state);
}

pub(super) fn host(text: &mut String, part: &Host) {
    section(text, "host", &part.name);
    value(text, "data centre", &part.centre);
    value(text, "control", part.control);
}

pub(super) fn endpoint(text: &mut String, part: &Endpoint) {
    section(text, "endpoint", &part.name);
    value(text, "data centre", &part.centre);
    value(text, "kind", part.kind);
    list(text, "serves", &part.serves);
    value(text, "control", part.control);
    value(text, "traffic", part.traffic);
    value(text, "cold requests", part.cold);
    value(text, "warm requests", part.warm);
    if part.tokens > 0 {
        value(text, "cache tokens", part.tokens);
    }
}

pub(super) fn route(text: &mut String, part: &Route) {
    let (route, tier) = part.parts();
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

pub(super) fn team(text: &mut String, part: &Team) {
    section(text, "team", &part.name);
    value(text, "rate", TokenRate(part.rate));
    value(text, "burst tokens", part.burst);
    value(text, "weight", part.weight);
    list(text, "keys", &part.keys);
    list(text, "routes", &part.routes);
}

fn section(text: &mut String, kind: &str, name: impl Display) {
    let gap = if text.is_empty() { "" } else { "\n" };
    let title = format!("{kind} {name}");
    let _ = writeln!(text, "{gap}[{}]", title.trim_end());
}

fn value(text: &mut String, name: &str, value: impl Display) {
    let _ = writeln!(text, "{name} = {value}");
}

/// Prints a list, or nothing if it is empty.
fn list<T: Display>(text: &mut String, name: &str, items: impl IntoIterator<Item = T>) {
    let items: Vec<_> = items.into_iter().map(|item| item.to_string()).collect();
    if !items.is_empty() {
        value(text, name, items.join(", "));
    }
}
