//! Parses each kind of section into the tier, data centre, host, endpoint, route or team that it
//! declares.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use comfreyhaven_core::entry::OPEN_TEAM;
use comfreyhaven_core::fleet::{
    DataCentre, DataCentreState, Endpoint, EndpointKind, Host, Route, RouteAccess, Service, Team,
    TierSpec,
};
use comfreyhaven_core::{DataCentreName, ModelName, TeamName, Tier, TierName};

use crate::section::Section;
use crate::value::{Choice, Flag, Span, TokenRate};

/// Deadline of a route that sets none: the time after which its answer is no longer useful.
pub const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);

/// Longest deadline of a route.
pub const DEADLINE_LIMIT: Duration = Duration::from_secs(3_600);

/// Resend window of a route that sets none: how long a caller may send a call again under its
/// idempotency key.
pub const RESEND_WINDOW_DEFAULT: Duration = Duration::from_secs(60);

/// Longest resend window. Idempotency keys are remembered for the same time.
pub const RESEND_WINDOW_LIMIT: Duration = Duration::from_secs(3_600);

/// Answer limit of a route that sets none, in tokens.
pub const OUTPUT_DEFAULT_TOKENS: u32 = 1_024;

/// Largest rate in tokens per second, and largest burst or cache in tokens.
pub const TOKENS_LIMIT: u64 = 1_000_000_000_000;

const RANK_RANGE: RangeInclusive<u64> = 0..=255;
const REQUEST_RANGE: RangeInclusive<u64> = 1..=100_000;
const OUTPUT_TOKEN_RANGE: RangeInclusive<u64> = 1..=10_000_000;
const WEIGHT_RANGE: RangeInclusive<u64> = 1..=1_000_000;

pub(crate) fn tier(section: &mut Section) -> Option<TierSpec> {
    let name = section.name();
    let rank = section.take_count("rank", None, RANK_RANGE);
    Some(TierSpec {
        name: name?,
        tier: Tier(u8::try_from(rank?).ok()?),
    })
}

pub(crate) fn centre(section: &mut Section) -> Option<DataCentre> {
    let name = section.name();
    // A region follows the syntax of names but has no section of its own.
    let region: Option<DataCentreName> = section.take_required("region");
    let state = section.take_or("state", Choice(DataCentreState::In));
    Some(DataCentre {
        name: name?,
        region: region?.to_string(),
        state: state?.0,
    })
}

pub(crate) fn host(section: &mut Section) -> Option<Host> {
    let name = section.name();
    let centre = section.take_required("data centre");
    let control = section.take_address("control");
    Some(Host {
        name: name?,
        centre: centre?,
        control: control?,
    })
}

pub(crate) fn endpoint(section: &mut Section) -> Option<Endpoint> {
    let name = section.name();
    let centre = section.take_required("data centre");
    let kind = section.take_required::<Choice<EndpointKind>>("kind");
    let listed = section.contains_key("serves");
    let serves: BTreeSet<ModelName> = section.take_list("serves").into_iter().collect();
    if serves.is_empty() && !listed {
        section.report(Some("serves"), None, "at least one model or service");
    }
    let control = section.take_address("control");
    let traffic = section.take_address("traffic");
    let cold = section.take_count("cold requests", Some(1), REQUEST_RANGE);
    let warm = section.take_count("warm requests", None, REQUEST_RANGE);
    if let (Some(cold), Some(warm)) = (cold, warm)
        && cold > warm
    {
        let expected = format!("at most the warm requests, {warm}");
        section.report(Some("cold requests"), Some(&cold.to_string()), &expected);
    }
    let tokens = section.take_count("cache tokens", Some(0), 0..=TOKENS_LIMIT);
    let kind = kind?.0;
    if let (EndpointKind::Service, Some(tokens @ 1..)) = (kind, tokens) {
        let expected = "no value; a plain service has no token cache";
        section.report(Some("cache tokens"), Some(&tokens.to_string()), expected);
    }
    Some(Endpoint {
        name: name?,
        centre: centre?,
        kind,
        serves,
        control: control?,
        traffic: traffic?,
        cold: u32::try_from(cold?).ok()?,
        warm: u32::try_from(warm?).ok()?,
        tokens: tokens?,
    })
}

/// Parses a route, with the name of its tier. `reference::check` resolves the name to a rank.
pub(crate) fn route(section: &mut Section) -> Option<(Route, TierName)> {
    let name = section.name();
    let path: Option<String> = section.take_required("path");
    if let Some(path) = path.as_ref().filter(|path| !is_path(path)) {
        let expected = "a path that starts with / and contains no space, ? or #";
        section.report(Some("path"), Some(path), expected);
    }
    let service = service(section);
    let tier = section.take_required("tier");
    let access = section.take_or("access", Choice(RouteAccess::Teams));
    let deadline = deadline(section);
    let default = Some(u64::from(OUTPUT_DEFAULT_TOKENS));
    let output = section.take_count("output tokens", default, OUTPUT_TOKEN_RANGE);
    let route = Route {
        name: name?,
        path: path?,
        service: service?,
        tier: Tier::default(),
        access: access?.0,
        deadline: deadline?,
        output: u32::try_from(output?).ok()?,
    };
    Some((route, tier?))
}

/// Returns whether a text is a URL path without a query that can be written as an INI value.
pub(crate) fn is_path(path: &str) -> bool {
    let plain = |c: char| c.is_ascii_graphic() && !"?#;\"'\\[]".contains(c);
    path.starts_with('/') && path.chars().all(plain)
}

fn deadline(section: &mut Section) -> Option<Duration> {
    let Span(deadline) = section.take_or("deadline", Span(DEADLINE_DEFAULT))?;
    if deadline.is_zero() || deadline > DEADLINE_LIMIT {
        let expected = format!("from 1ms to {}", Span(DEADLINE_LIMIT));
        section.report(
            Some("deadline"),
            Some(&Span(deadline).to_string()),
            &expected,
        );
        return None;
    }
    Some(deadline)
}

fn resend_window(section: &mut Section) -> Option<Duration> {
    let Span(window) = section.take_or("resend window", Span(RESEND_WINDOW_DEFAULT))?;
    if window > RESEND_WINDOW_LIMIT {
        let expected = format!("at most {}", Span(RESEND_WINDOW_LIMIT));
        section.report(
            Some("resend window"),
            Some(&Span(window).to_string()),
            &expected,
        );
        return None;
    }
    Some(window)
}

fn service(section: &mut Section) -> Option<Service> {
    let has_idempotent = section.contains_key("idempotent");
    let has_target = (
        section.contains_key("model"),
        section.contains_key("service"),
    );
    let model: Option<ModelName> = section.take_optional("model");
    let plain_service: Option<ModelName> = section.take_optional("service");
    let Flag(idempotent) = section.take_or("idempotent", Flag(false))?;
    let has_window = section.contains_key("resend window");
    let window = resend_window(section)?;
    match (model, plain_service) {
        (Some(model), None) => {
            if has_idempotent {
                section.report(
                    Some("idempotent"),
                    None,
                    "no value; this key applies to plain services only",
                );
            }
            if has_window {
                section.report(
                    Some("resend window"),
                    None,
                    "no value; this key applies to plain services only",
                );
            }
            Some(Service::Model(model))
        }
        (None, Some(service)) => Some(Service::Plain {
            service,
            idempotent,
            window,
        }),
        (None, None) if has_target.0 != has_target.1 => None,
        _ => {
            section.report(Some("model"), None, "exactly one of model and service");
            None
        }
    }
}

pub(crate) fn team(section: &mut Section) -> Option<Team> {
    let name: Option<TeamName> = section.name();
    if name.as_ref().is_some_and(|name| name.as_str() == OPEN_TEAM) {
        let expected = "another name; this one is reserved for requests without a key";
        section.report(None, Some(OPEN_TEAM), expected);
    }
    let rate = rate(section);
    let burst = section.take_count("burst tokens", None, 1..=TOKENS_LIMIT);
    let weight = section.take_count("weight", Some(1), WEIGHT_RANGE);
    let keys = section.take_digests("keys").into_iter().collect();
    let routes = section.take_list("routes").into_iter().collect();
    Some(Team {
        name: name?,
        rate: rate?,
        burst: burst?,
        weight: u32::try_from(weight?).ok()?,
        keys,
        routes,
    })
}

fn rate(section: &mut Section) -> Option<u64> {
    let TokenRate(rate) = section.take_required("rate")?;
    if !(1..=TOKENS_LIMIT).contains(&rate) {
        let expected = format!("from 1/s to {TOKENS_LIMIT}/s; to stop a team, remove its keys");
        section.report(Some("rate"), Some(&TokenRate(rate).to_string()), &expected);
        return None;
    }
    Some(rate)
}
