//! Each kind of section turned into the part that it declares.

use std::collections::BTreeSet;
use std::time::Duration;

use comfreyhaven_core::fleet::{
    DataCentre, DataCentreState, Endpoint, EndpointKind, Host, Route, RouteAccess, Service, Team,
    TierSpec,
};
use comfreyhaven_core::{ModelName, Tier, TierName};

use crate::section::Section;
use crate::value::{Choice, Count, Span, TokenRate};

const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);
const OUTPUT_DEFAULT_TOKENS: u64 = 1_024;

pub(crate) fn tier(section: &mut Section) -> Option<TierSpec> {
    let name = section.name();
    let rank = small(section, "rank", None);
    Some(TierSpec {
        name: name?,
        tier: Tier(u8::try_from(rank?).unwrap_or(u8::MAX)),
    })
}

pub(crate) fn centre(section: &mut Section) -> Option<DataCentre> {
    let name = section.name();
    let region = section.take("region");
    let state = section.take_or("state", Choice(DataCentreState::In));
    Some(DataCentre {
        name: name?,
        region: region?,
        state: state?.0,
    })
}

pub(crate) fn host(section: &mut Section) -> Option<Host> {
    let name = section.name();
    let centre = section.take("data centre");
    let control = section.take("control");
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
    let serves: BTreeSet<ModelName> = section.take_list("serves").into_iter().collect();
    if serves.is_empty() {
        section.fault(Some("serves"), None, "at least one model or service");
    }
    let control = section.take("control");
    let traffic = section.take("traffic");
    let cold = small(section, "cold requests", Some(1));
    let warm = small(section, "warm requests", None);
    if let (Some(cold), Some(warm)) = (cold, warm)
        && (cold > warm || cold == 0)
    {
        let found = cold.to_string();
        section.fault(
            Some("cold requests"),
            Some(&found),
            "at least 1 and at most warm requests",
        );
    }
    let tokens = section.take_or("cache tokens", Count(0));
    Some(Endpoint {
        name: name?,
        centre: centre?,
        kind: kind?.0,
        serves,
        control: control?,
        traffic: traffic?,
        cold: cold?,
        warm: warm?,
        tokens: tokens?.0,
    })
}

/// A route whose tier is still a name.
pub(crate) fn route(section: &mut Section) -> Option<(Route, TierName)> {
    let name = section.name();
    let path: Option<String> = section.take("path");
    if let Some(path) = path.as_ref().filter(|path| !path.starts_with('/')) {
        section.fault(Some("path"), Some(path), "a path that starts with /");
    }
    let service = service(section);
    let tier = section.take("tier");
    let access = section.take_or("access", Choice(RouteAccess::Teams));
    let deadline = section.take_or("deadline", Span(DEADLINE_DEFAULT));
    let output = small(section, "output tokens", Some(OUTPUT_DEFAULT_TOKENS));
    let route = Route {
        name: name?,
        path: path?,
        service: service?,
        tier: Tier::default(),
        access: access?.0,
        deadline: deadline?.0,
        output: output?,
    };
    Some((route, tier?))
}

fn service(section: &mut Section) -> Option<Service> {
    let model = section.take_or("model", String::new())?;
    let plain = section.take_or("service", String::new())?;
    let idempotent = section.take_or("idempotent", false)?;
    let parsed = if model.is_empty() {
        plain.parse()
    } else {
        model.parse()
    };
    match (model.is_empty(), plain.is_empty(), parsed) {
        (false, true, Ok(model)) => Some(Service::Model(model)),
        (true, false, Ok(service)) => Some(Service::Plain {
            service,
            idempotent,
        }),
        (true, true, _) | (false, false, _) => {
            section.fault(Some("model"), None, "either a model or a service");
            None
        }
        (.., Err(error)) => {
            section.fault(Some("model"), Some(&(model + &plain)), &error.to_string());
            None
        }
    }
}

pub(crate) fn team(section: &mut Section) -> Option<Team> {
    let name = section.name();
    let rate = section.take::<TokenRate>("rate");
    let burst = section.take::<Count>("burst tokens");
    let weight = small(section, "weight", Some(1));
    let keys = section.take_list("keys").into_iter().collect();
    let routes = section.take_list("routes").into_iter().collect();
    Some(Team {
        name: name?,
        rate: rate?.0,
        burst: burst?.0,
        weight: weight?,
        keys,
        routes,
    })
}

/// Takes a count that fits 32 bits.
fn small(section: &mut Section, name: &str, default: Option<u64>) -> Option<u32> {
    let count = match default {
        Some(default) => section.take_or(name, Count(default))?,
        None => section.take(name)?,
    };
    let small = u32::try_from(count.0).ok();
    if small.is_none() {
        section.fault(
            Some(name),
            Some(&count.to_string()),
            "a number under 4294967296",
        );
    }
    small
}
