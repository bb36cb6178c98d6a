//! Each kind of section turned into the part that it declares.

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

/// How long a route's answer is worth something, if the route does not say.
pub const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);

/// Longest deadline of a route.
pub const DEADLINE_LIMIT: Duration = Duration::from_secs(3_600);

/// Time in which a call may be sent again under its idempotency key, if the route does not say.
pub const RESEND_WINDOW_DEFAULT: Duration = Duration::from_secs(60);

/// Longest such time. Keys are remembered as long.
pub const RESEND_WINDOW_LIMIT: Duration = Duration::from_secs(3_600);

/// Largest answer of a route that does not say, in tokens.
pub const OUTPUT_DEFAULT_TOKENS: u32 = 1_024;

/// Largest rate, burst or cache, in tokens a second or tokens.
pub const TOKENS_LIMIT: u64 = 1_000_000_000_000;

const RANKS: RangeInclusive<u64> = 0..=255;
const REQUESTS: RangeInclusive<u64> = 1..=100_000;
const OUTPUT_TOKENS: RangeInclusive<u64> = 1..=10_000_000;
const WEIGHTS: RangeInclusive<u64> = 1..=1_000_000;

pub(crate) fn tier(section: &mut Section) -> Option<TierSpec> {
    let name = section.name();
    let rank = section.take_count("rank", None, RANKS);
    Some(TierSpec {
        name: name?,
        tier: Tier(u8::try_from(rank?).ok()?),
    })
}

pub(crate) fn centre(section: &mut Section) -> Option<DataCentre> {
    let name = section.name();
    // A region has the form of a name and no section of its own.
    let region: Option<DataCentreName> = section.take("region");
    let state = section.take_or("state", Choice(DataCentreState::In));
    Some(DataCentre {
        name: name?,
        region: region?.to_string(),
        state: state?.0,
    })
}

pub(crate) fn host(section: &mut Section) -> Option<Host> {
    let name = section.name();
    let centre = section.take("data centre");
    let control = section.take_address("control");
    Some(Host {
        name: name?,
        centre: centre?,
        control: control?,
    })
}

pub(crate) fn endpoint(section: &mut Section) -> Option<Endpoint> {
    let name = section.name();
    let centre = section.take("data centre");
    let kind = section.take::<Choice<EndpointKind>>("kind");
    let listed = section.has("serves");
    let serves: BTreeSet<ModelName> = section.take_list("serves").into_iter().collect();
    if serves.is_empty() && !listed {
        section.fault(Some("serves"), None, "at least one model or service");
    }
    let control = section.take_address("control");
    let traffic = section.take_address("traffic");
    let cold = section.take_count("cold requests", Some(1), REQUESTS);
    let warm = section.take_count("warm requests", None, REQUESTS);
    if let (Some(cold), Some(warm)) = (cold, warm)
        && cold > warm
    {
        let expected = format!("at most the warm requests, {warm}");
        section.fault(Some("cold requests"), Some(&cold.to_string()), &expected);
    }
    let tokens = section.take_count("cache tokens", Some(0), 0..=TOKENS_LIMIT);
    let kind = kind?.0;
    if let (EndpointKind::Service, Some(tokens @ 1..)) = (kind, tokens) {
        let expected = "nothing; a service has no cache of tokens";
        section.fault(Some("cache tokens"), Some(&tokens.to_string()), expected);
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

/// A route whose tier is still a name.
pub(crate) fn route(section: &mut Section) -> Option<(Route, TierName)> {
    let name = section.name();
    let path: Option<String> = section.take("path");
    if let Some(path) = path.as_ref().filter(|path| !is_path(path)) {
        let expected = "a path that starts with / and holds no space, ? or #";
        section.fault(Some("path"), Some(path), expected);
    }
    let service = service(section);
    let tier = section.take("tier");
    let access = section.take_or("access", Choice(RouteAccess::Teams));
    let deadline = deadline(section);
    let default = Some(u64::from(OUTPUT_DEFAULT_TOKENS));
    let output = section.take_count("output tokens", default, OUTPUT_TOKENS);
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

/// Whether a text can stand before the query of a request.
pub(crate) fn is_path(path: &str) -> bool {
    let plain = |c: char| c.is_ascii_graphic() && !"?#;\"'\\[]".contains(c);
    path.starts_with('/') && path.chars().all(plain)
}

fn deadline(section: &mut Section) -> Option<Duration> {
    let Span(deadline) = section.take_or("deadline", Span(DEADLINE_DEFAULT))?;
    if deadline.is_zero() || deadline > DEADLINE_LIMIT {
        let expected = format!("from 1ms to {}", Span(DEADLINE_LIMIT));
        section.fault(
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
        section.fault(
            Some("resend window"),
            Some(&Span(window).to_string()),
            &expected,
        );
        return None;
    }
    Some(window)
}

fn service(section: &mut Section) -> Option<Service> {
    let repeatable = section.has("idempotent");
    let named = (section.has("model"), section.has("service"));
    let model: Option<ModelName> = section.take_optional("model");
    let plain: Option<ModelName> = section.take_optional("service");
    let Flag(idempotent) = section.take_or("idempotent", Flag(false))?;
    let resent = section.has("resend window");
    let window = resend_window(section)?;
    match (model, plain) {
        (Some(model), None) => {
            if repeatable {
                section.fault(Some("idempotent"), None, "nothing; it is for a service");
            }
            if resent {
                section.fault(Some("resend window"), None, "nothing; it is for a service");
            }
            Some(Service::Model(model))
        }
        (None, Some(service)) => Some(Service::Plain {
            service,
            idempotent,
            window,
        }),
        (None, None) if named.0 != named.1 => None,
        _ => {
            section.fault(Some("model"), None, "either a model or a service");
            None
        }
    }
}

pub(crate) fn team(section: &mut Section) -> Option<Team> {
    let name: Option<TeamName> = section.name();
    if name.as_ref().is_some_and(|name| name.as_str() == OPEN_TEAM) {
        let expected = "another name; this one is for requests without a key";
        section.fault(None, Some(OPEN_TEAM), expected);
    }
    let rate = rate(section);
    let burst = section.take_count("burst tokens", None, 1..=TOKENS_LIMIT);
    let weight = section.take_count("weight", Some(1), WEIGHTS);
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
    let TokenRate(rate) = section.take("rate")?;
    if !(1..=TOKENS_LIMIT).contains(&rate) {
        let expected = format!("from 1/s to {TOKENS_LIMIT}/s; to stop a team, remove its keys");
        section.fault(Some("rate"), Some(&TokenRate(rate).to_string()), &expected);
        return None;
    }
    Some(rate)
}
