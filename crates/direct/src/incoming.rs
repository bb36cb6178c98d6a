//! Reads a caller's request: its route, key, cost and deadline, and the headers that the endpoint
//! receives.

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use comfreyhaven_core::direct::{
    Access, Fingerprint, Holding, Plan, PlanTeam, Route, Unit, digest,
};
use comfreyhaven_core::refusal::RefusalKind;
use comfreyhaven_core::request::{Cost, PartDigest};
use comfreyhaven_core::{KeyDigest, Timestamp};
use http_body_util::{BodyExt, Collected, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{AUTHORIZATION, CONNECTION, HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;

use crate::buffers::{Buffers, Holder};
use crate::dialect::Dialect;
use crate::prompt_parts;

/// How long a caller may take to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "content-length",
    "upgrade",
    "expect",
];

/// What a request states of the stream that it takes up after a broken answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Resumption {
    /// Id of the caller's attempt that brought the first event, if stated.
    pub(crate) stream: Option<HeaderValue>,
    /// The last event that the caller has received, as stated.
    pub(crate) last: Option<HeaderValue>,
}

impl Resumption {
    /// Returns the id of the stream as text, for log lines.
    pub(crate) fn stream_text(&self) -> &str {
        text(self.stream.as_ref())
    }

    /// Returns the last event as text, for log lines.
    pub(crate) fn last_text(&self) -> &str {
        text(self.last.as_ref())
    }
}

fn text(value: Option<&HeaderValue>) -> &str {
    value.and_then(|value| value.to_str().ok()).unwrap_or("-")
}

/// The parsed head of a request.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) id: HeaderValue,
    pub(crate) route: Arc<Route>,
    pub(crate) team: Option<Arc<PlanTeam>>,
    pub(crate) cost: Option<Cost>,
    /// The parts of the prompt that requests may share.
    pub(crate) parts: Arc<[PartDigest]>,
    /// Expected number of tokens of the answer.
    pub(crate) length: u64,
    pub(crate) deadline: Duration,
    /// The stream that the request takes up, if any.
    pub(crate) resumption: Option<Resumption>,
    /// Headers for the endpoint, without those that are set for each send.
    pub(crate) headers: HeaderMap,
}

impl Head {
    /// Returns the request's id as text, for log lines.
    pub(crate) fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("-")
    }

    /// Returns the digest of the team's name, or zero without a team.
    pub(crate) fn team_digest(&self) -> u64 {
        self.team.as_ref().map_or(0, |team| digest(&team.name))
    }

    /// Returns the rank of the team, which takes precedence over that of the route.
    pub(crate) fn team_rank(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.rank);
        team.unwrap_or_default()
    }

    /// Units that the request counts against its team's rate limit.
    pub(crate) fn units(&self) -> u64 {
        let Some(team) = &self.team else { return 0 };
        match team.unit {
            Unit::Requests => 1,
            Unit::Tokens => self.cost.map_or(team.plain_units, Cost::total),
        }
    }
}

/// A request that was read completely.
#[derive(Debug)]
pub(crate) struct IncomingRequest {
    pub(crate) arrived: Timestamp,
    pub(crate) head: Head,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) fingerprint: Fingerprint,
}

/// Parses the head. `current` states whether the configuration was confirmed recently; if it was
/// not, a missing route or an unknown key is refused as unavailable, since a newer configuration
/// may have it.
pub(crate) fn head(
    parts: &Parts,
    plan: &Plan,
    current: bool,
    dialect: &Dialect,
) -> Result<Head, RefusalKind> {
    if plan.version == 0 {
        return Err(RefusalKind::Unavailable);
    }
    let unconfirmed = |kind| {
        if current {
            kind
        } else {
            RefusalKind::Unavailable
        }
    };
    let host = host(parts).ok_or(RefusalKind::Malformed)?;
    let route = plan
        .route(&host, parts.uri.path())
        .ok_or_else(|| unconfirmed(RefusalKind::NoRoute))?;
    let id = single(&parts.headers, &dialect.request)?.ok_or(RefusalKind::Malformed)?;
    let key = key(&parts.headers, dialect)?;
    let team = key.and_then(|key| plan.team(&KeyDigest::of_key(key)));
    if route.access == Access::Keyed && plan.keyed {
        if team.is_none() {
            return Err(unconfirmed(RefusalKind::Unauthenticated));
        }
        if !current {
            return Err(RefusalKind::Unavailable);
        }
    }
    let deadline = match single(&parts.headers, &dialect.deadline)? {
        Some(value) => millis(value).ok_or(RefusalKind::Malformed)?,
        None => route.timeout,
    };
    let cost = match single(&parts.headers, &dialect.cost)? {
        Some(value) => Some(cost(value).ok_or(RefusalKind::Malformed)?),
        None => None,
    };
    let limit = cost.map_or(0, |cost| u64::from(cost.output));
    let hint = parts.headers.get(&dialect.length);
    let hint = hint.and_then(|value| value.to_str().ok()?.trim().parse::<u64>().ok());
    Ok(Head {
        length: hint.unwrap_or(limit).min(limit),
        id: id.clone(),
        route: Arc::clone(route),
        team: team.cloned(),
        cost,
        parts: prompt_parts::read(&parts.headers, &dialect.parts),
        deadline,
        resumption: resumption(&parts.headers, route, dialect)?,
        headers: forwarded(&parts.headers, key, dialect),
    })
}

/// Returns which stream a request takes up. A stream from which the caller has received no event
/// begins anew.
fn resumption(
    headers: &HeaderMap,
    route: &Route,
    dialect: &Dialect,
) -> Result<Option<Resumption>, RefusalKind> {
    let stream = single(headers, &dialect.taken_up)?;
    let last = single(headers, &dialect.resume)?;
    let begins = stream.is_none() && last.is_none_or(|last| last.as_bytes().trim_ascii() == b"0");
    Ok((route.streaming && !begins).then(|| Resumption {
        stream: stream.cloned(),
        last: last.cloned(),
    }))
}

/// Reads the body, which may have `limit` bytes and is held until it is dropped.
pub(crate) async fn body(
    body: Incoming,
    limit: usize,
    buffers: &Buffers,
) -> Result<Bytes, RefusalKind> {
    if body.size_hint().lower() > limit as u64 {
        return Err(RefusalKind::TooLarge);
    }
    let body = Limited::new(body, limit);
    let reading = async {
        match buffers.open(Holding::Request) {
            Some(holder) => collect_held(body, holder).await,
            None => {
                let collected = body.collect().await.map(Collected::to_bytes);
                collected.map_err(|error| body_refusal(&*error))
            }
        }
    };
    let read = tokio::time::timeout(BODY_TIMEOUT, reading).await;
    read.unwrap_or(Err(RefusalKind::Malformed))
}

/// Returns how a request is refused whose body cannot be read.
fn body_refusal(error: &(dyn Error + 'static)) -> RefusalKind {
    match error.is::<LengthLimitError>() {
        true => RefusalKind::TooLarge,
        false => RefusalKind::Malformed,
    }
}

/// Reads a body that `holder` holds. The length that it states is held at once, so that bodies which
/// arrive together do not take the room from each other halfway. A body for which there is no room is
/// read to its end, since closing with an unread body would reset the connection.
async fn collect_held(
    mut body: Limited<Incoming>,
    holder: Arc<Holder>,
) -> Result<Bytes, RefusalKind> {
    let mut held = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut result = holder.hold(held);
    let mut collected = BytesMut::new();
    while result.is_ok()
        && let Some(frame) = body.frame().await
    {
        let frame = frame.map_err(|error| body_refusal(&*error))?;
        let bytes = frame.into_data().unwrap_or_default();
        collected.extend_from_slice(&bytes);
        let more = collected.len().saturating_sub(held);
        result = holder.hold(more);
        held += more;
    }
    if result.is_ok() {
        return Ok(holder.held_frame(collected.freeze()));
    }
    drop((holder, collected));
    while let Some(frame) = body.frame().await {
        frame.map_err(|error| body_refusal(&*error))?;
    }
    Err(RefusalKind::Overloaded)
}

fn host(parts: &Parts) -> Option<String> {
    let named = parts
        .headers
        .get(HOST)
        .and_then(|value| value.to_str().ok());
    let text = parts.uri.authority().map(|a| a.as_str()).or(named)?;
    let host = match text.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => host,
        _ => text,
    };
    Some(host.to_ascii_lowercase())
}

/// Returns the value of a header that must not have several different values.
fn single<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, RefusalKind> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    match values.all(|other| Some(other) == first) {
        true => Ok(first),
        false => Err(RefusalKind::Malformed),
    }
}

fn key<'a>(headers: &'a HeaderMap, dialect: &Dialect) -> Result<Option<&'a str>, RefusalKind> {
    let Some(value) = single(headers, &AUTHORIZATION)? else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| RefusalKind::Unauthenticated)?;
    let Some((scheme, key)) = text.trim().split_once(' ') else {
        return Ok(None);
    };
    let matches = scheme.eq_ignore_ascii_case(dialect.scheme);
    Ok(matches.then_some(key.trim()).filter(|key| !key.is_empty()))
}

fn millis(value: &HeaderValue) -> Option<Duration> {
    let millis: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (millis.is_finite() && millis >= 0.0)
        .then(|| Duration::from_secs_f64(millis.min(1e9) / 1_000.0))
}

fn cost(value: &HeaderValue) -> Option<Cost> {
    let (prompt, output) = value.to_str().ok()?.split_once(',')?;
    Some(Cost {
        prompt: prompt.trim().parse().ok()?,
        output: output.trim().parse().ok()?,
    })
}

/// Returns the headers that are forwarded to the endpoint: without hop-by-hop headers, without
/// those that only this system may set, and without any value that contains the caller's key.
fn forwarded(headers: &HeaderMap, key: Option<&str>, dialect: &Dialect) -> HeaderMap {
    let connection_names: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let hidden = |name: &HeaderName| {
        let hop_by_hop = HOP_BY_HOP.contains(&name.as_str())
            || connection_names.iter().any(|other| other == name.as_str())
                && !dialect.forwarded.contains(name);
        hop_by_hop || *name == AUTHORIZATION || dialect.reserved.contains(name)
    };
    let holds_key = |value: &HeaderValue| {
        key.is_some_and(|key| {
            let key = key.as_bytes();
            value.as_bytes().windows(key.len()).any(|part| part == key)
        })
    };
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !hidden(name) && !holds_key(value) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
